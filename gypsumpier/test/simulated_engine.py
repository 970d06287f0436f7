"""An engine in virtual time."""

import asyncio
import time
from collections.abc import Callable
from typing import Final

from gypsumpier.fleet.upstream import UpstreamRecord

QUEUE_MAX: Final = 24
"""Requests beyond its slots that an engine holds; it refuses further ones."""
ANSWER_S: Final = 0.8
"""Seconds that an engine takes for an answer after it has read the prompt."""


class SimulatedEngine:
    """Reads prompts one after another, then answers; requests beyond its slots wait in it.

    Its work takes ``slowness`` times as long as usual.  An answer has ``parts`` of equal
    length; each other answer under way makes them longer by the share ``crowding``.
    ``sent_at_s`` holds when requests were sent to it, ``most`` is the most that it had at once, and
    ``unanswered_most_s`` the longest time from a request's arrival until its prompt was read.
    """

    def __init__(self, record: UpstreamRecord, tokens_per_s: float) -> None:
        self.record = record
        self.tokens_per_s = tokens_per_s
        self.slots = asyncio.Semaphore(record.slots)
        self.in_flight = self.most = self.refused = 0
        self.sent_at_s: list[float] = []
        self.slowness = 1.0
        self.crowding = 0.0
        self.parts = 1
        self.answering = 0
        self.read_until_s = 0.0
        self.unanswered_most_s = 0.0

    async def run(self, tokens: int, on_read: Callable[[], None]) -> None:
        """Run a request; call ``on_read`` once its prompt is read.  One too many is refused."""
        sent_at_s = time.monotonic()
        self.sent_at_s.append(sent_at_s)
        if self.in_flight >= self.record.slots + QUEUE_MAX:
            self.refused += 1
            return
        self.in_flight += 1
        self.most = max(self.most, self.in_flight)
        async with self.slots:
            now_s = time.monotonic()
            self.read_until_s = max(now_s, self.read_until_s) + (
                tokens / self.tokens_per_s * self.slowness
            )
            await asyncio.sleep(self.read_until_s - now_s)
            self.unanswered_most_s = max(self.unanswered_most_s, self.read_until_s - sent_at_s)
            on_read()
            await self.answer()
        self.in_flight -= 1

    async def answer(self) -> None:
        """Take the time of an answer, at the pace that holds during each of its parts."""
        self.answering += 1
        for _ in range(self.parts):
            stretch = self.slowness * (1.0 + self.crowding * (self.answering - 1))
            await asyncio.sleep(ANSWER_S / self.parts * stretch)
        self.answering -= 1
