"""Edits documents at a steady rate and records when each revision was published."""

import asyncio
import random
import time
from typing import NamedTuple

from misc.documents.field import Field


class Published(NamedTuple):
    """A revision and the wall-clock time just before it was sent to the service."""

    document: str
    revision: int
    at_s: float


class Editor:
    """Publishes edits that change a limit, so that no engine has to load weights."""

    def __init__(self, field: Field, seed: int) -> None:
        self.field = field
        self.random_source = random.Random(seed)
        self.published: list[Published] = []
        self.number = 0

    async def edit(self) -> None:
        """Publish an edit of a randomly chosen document."""
        name = self.random_source.choice(sorted(self.field.documents))
        self.number += 1
        limits = {"in_flight_per_upstream": 1 + self.number % 64}
        document = {**self.field.documents[name], "limits": limits}
        at_s = time.time()
        revision = await self.field.testbed.publish(document)
        self.published.append(Published(name, revision, at_s))

    async def run(self, edits_per_s: float, seconds: float) -> None:
        """Publish edits at exponentially distributed intervals for that many seconds."""
        end_s = time.monotonic() + seconds
        next_s = time.monotonic()
        while True:
            next_s += self.random_source.expovariate(edits_per_s)
            if next_s >= end_s:
                await asyncio.sleep(max(0.0, end_s - time.monotonic()))
                return
            await asyncio.sleep(max(0.0, next_s - time.monotonic()))
            await self.edit()
