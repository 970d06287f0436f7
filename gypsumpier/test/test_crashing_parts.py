"""Tests of entries as processes under requests that share a part which ends engines."""

import asyncio
import time
import unittest
from typing import Final

from gypsumpier.test.enginefleet import EngineFleetCase

FATAL_PARTS: Final = ("bad00001", "bad00002")
SOUND_PER_S: Final = 40.0
FATAL_PER_S: Final = 4.0
STABLE_S: Final = 3.0
"""Seconds after the fifth crash from which requests with the part count."""
LATE_MAX: Final = 3
"""Requests with the part that may still reach engines after that."""
SERVED_MIN: Final = 0.5
"""Share of the sound requests that must be served while requests with the part still come."""
QUIET_S: Final = 1.0
CONNECT_S: Final = 1.0
"""Seconds within which an entry that serves is connected to the others; they dial every 0.5 s."""
LOAD_S: Final = 7.0


class CrashingPartsTest(EngineFleetCase):
    # Guards against each request with a fatal part being taken for new, and ending engines anew.
    async def test_requests_with_a_part_that_ends_engines_are_refused_and_sound_ones_served(
        self,
    ) -> None:
        await self.fleet.load(QUIET_S, SOUND_PER_S, 0.0, "")
        for part in FATAL_PARTS:
            with self.subTest(part=part):
                self.fleet.fatal_parts.add(part)
                began_s = time.monotonic()
                crashes_before = len(self.fleet.crashes_at_s())
                await self.fleet.load(LOAD_S, SOUND_PER_S, FATAL_PER_S, part)
                ended_s = time.monotonic()
                crashes = self.fleet.crashes_at_s()[crashes_before:]
                fifth_s = crashes[min(4, len(crashes) - 1)]
                late = [a for a in self.fleet.arrivals(part) if a.at_s > fifth_s + STABLE_S]
                self.assertLessEqual(len(late), LATE_MAX)
                self.assertGreater(self.fleet.served_share(began_s + 1.0, ended_s), SERVED_MIN)

    # Guards against an entry that was restarted letting through what the others refuse.
    async def test_a_restarted_entry_refuses_what_the_others_refuse(self) -> None:
        part = FATAL_PARTS[0]
        self.fleet.fatal_parts.add(part)
        await self.fleet.load(QUIET_S, SOUND_PER_S, FATAL_PER_S, part)
        reached = len(self.fleet.arrivals(part))
        restarted = self.fleet.nodes[1]
        await restarted.kill()
        await restarted.start()
        await self.fleet.until_served(restarted)
        await asyncio.sleep(CONNECT_S)
        calls = [await self.fleet.call(restarted, self.fleet.fatal_prompt(part)) for _ in range(10)]
        # One of them may be the trial.
        self.assertGreaterEqual([call.status for call in calls].count(503), 9)
        self.assertLessEqual(len(self.fleet.arrivals(part)), reached + 1)


if __name__ == "__main__":
    unittest.main()
