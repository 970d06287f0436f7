"""Edits documents at a steady rate and notes when each revision was published."""

import asyncio
import random
import time
from typing import NamedTuple

from misc.documents.field import Field


class Published(NamedTuple):
    """A revision and the wall-clock time just before the service took it."""

    document: str
    revision: int
    at_s: float


class Editor:
    """Publishes edits that change a limit, which makes no engine load anything."""

    def __init__(self, field: Field, seed: int) -> None:
        self.field = field
        self.randomness = random.Random(seed)
        self.published: list[Published] = []
        self.number = 0

    async def edit(self) -> None:
        """Publish one edit of some document."""
        name = self.randomness.choice(sorted(self.field.documents))
        self.number += 1
        limits = {"in_flight_per_upstream": 1 + self.number % 64}
        document = {**self.field.documents[name], "limits": limits}
        at_s = time.time()
        revision = await self.field.testbed.publish(document)
        self.published.append(Published(name, revision, at_s))

    async def run(self, edits_per_s: float, seconds: float) -> None:
        """Publish edits at exponential distances for so many seconds."""
        end_s = time.monotonic() + seconds
        next_s = time.monotonic()
        while True:
            next_s += self.randomness.expovariate(edits_per_s)
            if next_s >= end_s:
                await asyncio.sleep(max(0.0, end_s - time.monotonic()))
                return
            await asyncio.sleep(max(0.0, next_s - time.monotonic()))
            await self.edit()
