"""Tests of requests of a silent upstream that another one refuses at first."""

import asyncio
import unittest
from typing import Final

from gypsumpier.gateway.secondattempt import LastResort
from gypsumpier.test.builders_gateway import request_of
from gypsumpier.test.builders_platform import ENGINES
from gypsumpier.test.secondattemptcase import SecondAttemptCase
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


class LastResortTest(SecondAttemptCase):
    engine_count = 3

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.allow_many_attempts()
        self.second, self.third = (
            record
            for record in self.fleet_state.upstreams.values()
            if record.run_key() != self.silent.run_key()
        )
        self.last_resort = LastResort(self.other, self.second)

    # Guards against a second attempt that stays silent while a third upstream has a place.
    async def test_a_silent_second_attempt_is_ended_for_a_third_upstream(self) -> None:
        self.assertTrue(await self.last_resort.wait())

    # Guards against a second attempt that is given up although no other upstream has a place, so
    # that its answer is lost where the first upstream is dead.
    async def test_a_silent_second_attempt_stays_while_the_third_upstream_is_full(self) -> None:
        for _ in range(self.selector.limit(self.third)):
            self.selector.begin(self.third, 0)
        self.assertFalse(await self.last_resort.wait())

    # Guards against the same where the place will go to a request that has waited for it.
    async def test_a_silent_second_attempt_stays_while_others_wait(self) -> None:
        self.admission.queue(ENGINES).add(request_of(self.fleet_state), 1e9, 1e9)
        self.assertFalse(await self.last_resort.wait())


if __name__ == "__main__":
    unittest.main()
