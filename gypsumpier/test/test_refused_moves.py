"""Tests of requests of a silent upstream that another one refuses at first."""

import asyncio
import unittest
from typing import Final

from gypsumpier.test.builders_platform import ENGINES
from gypsumpier.test.silentcase import EVENT_PAUSE_S, OTHER_ZONE, SilentUpstreamCase

DEAD_S: Final = 3.0
"""Seconds for which an engine does not go on: longer than a caller waits for an event."""


class RefusedMoveTest(SilentUpstreamCase):
    # Guards against a stream that stays with a dead engine because the only other one was full in
    # the moment in which it was asked.
    async def test_a_stream_moves_to_an_engine_that_was_full_a_moment_ago(self) -> None:
        await self.start()
        call = asyncio.create_task(self.fleet.call("/reports/x"))
        await self.wait_until(lambda: bool(self.silent.standin.run_ids))
        other = self.fleet.add("i-2", ENGINES, zone=OTHER_ZONE)
        other.plan = ["full"]
        await self.fleet.settle()
        await asyncio.sleep(1.5 * EVENT_PAUSE_S)
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        self.silent.pause(DEAD_S)
        self.assert_whole(await call)
        self.assertLess(loop.time() - began_s, 2.0)
        self.assertEqual(["r1"], other.run_ids)


if __name__ == "__main__":
    unittest.main()
