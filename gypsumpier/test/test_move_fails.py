"""Tests of streams whose place at another engine turns out to be none.

A silence of a second is no reason to end an answer: the silent engine must not be given up for an
engine that has a place only by this entry's own count.
"""

import asyncio
import unittest

from gypsumpier.test.builders_platform import ENGINES
from gypsumpier.test.silentcase import EVENT_PAUSE_S, OTHER_ZONE, SILENCE_S, SilentUpstreamCase


class MoveFailsTest(SilentUpstreamCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.start()

    def leave_retries(self, count: int) -> None:
        """Leave the entry so many retries."""
        retries = self.fleet.entry.retries
        slack = count / 0.8 * retries.entry_count
        retries.bounds = retries.bounds._replace(retry_share=0.0, retry_slack=slack)

    # Guards against a stream that is cut as the engine that was to continue it is full, and the
    # entry has no second retry.
    async def test_a_stream_is_whole_where_the_other_engine_is_full_and_no_retry_is_left(
        self,
    ) -> None:
        call = asyncio.create_task(self.fleet.call("/reports/x"))
        await self.wait_until(lambda: bool(self.silent.standin.run_ids))
        other = self.fleet.add("i-2", ENGINES, zone=OTHER_ZONE)
        other.is_full = True
        await self.fleet.settle()
        self.leave_retries(1)
        await asyncio.sleep(1.5 * EVENT_PAUSE_S)
        self.silent.pause(SILENCE_S)
        self.assert_whole(await call)

    # Guards against the same where the entry's queue is refused.
    async def test_streams_are_whole_where_the_other_engine_is_full(self) -> None:
        calls = [asyncio.create_task(self.fleet.call("/reports/x", f"r{n}")) for n in range(3)]
        await self.wait_until(lambda: len(self.silent.standin.run_ids) == 3)
        other = self.fleet.add("i-2", ENGINES, zone=OTHER_ZONE)
        other.is_full = True
        await self.fleet.settle()
        await asyncio.sleep(1.5 * EVENT_PAUSE_S)
        self.silent.pause(SILENCE_S)
        for answer in await asyncio.gather(*calls):
            self.assert_whole(answer)


class LookAgainTest(SilentUpstreamCase):
    # Guards against a stream that stays at a dead engine until its caller gives up, after 2 s,
    # because no place was free in the one moment in which it looked for another engine.
    async def test_a_stream_moves_soon_after_another_engine_appears(self) -> None:
        await self.start()
        loop = asyncio.get_running_loop()
        call = asyncio.create_task(self.fleet.call("/reports/x"))
        await self.wait_until(lambda: bool(self.silent.standin.run_ids))
        await asyncio.sleep(1.5 * EVENT_PAUSE_S)
        began_s = loop.time()
        self.silent.pause(3.0)
        await asyncio.sleep(1.2)
        other = self.fleet.add("i-2", ENGINES, zone=OTHER_ZONE)
        await self.fleet.settle()
        while not other.run_ids and loop.time() - began_s < 2.9:
            await asyncio.sleep(0.01)
        took_s = loop.time() - began_s
        await call
        self.assertLess(took_s, 1.7)


if __name__ == "__main__":
    unittest.main()
