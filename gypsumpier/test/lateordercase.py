"""Base of tests with one engine that carries out calls late, beside a sidecar process."""

import asyncio
import tempfile
import unittest
from pathlib import Path
from typing import Final

from gypsumpier.test.lateorderfleet import PIECES, LateOrderFleet

LATE_S: Final = 5.0
"""Seconds after which a late call is carried out where no event of the test comes first."""
SETTLE_S: Final = 0.4


class LateOrderCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests with one engine that holds version 1 when its sidecar starts."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = LateOrderFleet(Path(folder.name))
        self.addAsyncCleanup(self.fleet.stop)
        self.engine = self.fleet.engine
        self.engine.late_calls.late_s = LATE_S
        await self.fleet.start()

    async def order_without_answer(self, count: int = 1) -> None:
        """Start the sidecar and wait until up to ``count`` orders for version 2 are on their way.

        There are fewer where the first one is carried out before the sidecar repeats it.
        """
        self.engine.late_orders = count
        self.fleet.name(2)
        await self.fleet.side.start()
        await self.fleet.until(lambda: self.fleet.ordered(2) > 0, "ordered")
        waiting = self.engine.late_calls.waiting
        await self.fleet.until(lambda: len(waiting) in (0, count), "ordered again")

    def is_half_staged(self) -> bool:
        """Return whether half of the pieces of version 3 are staged."""
        return self.fleet.staged_count(3) >= PIECES // 2

    def holds_next(self) -> bool:
        """Return whether the engine holds version 3."""
        return self.engine.version == 3 and not self.engine.is_busy

    async def assert_ends_whole(self, version: int) -> None:
        """Check that the engine ends on a version, never went back, and took whole pieces only."""
        await self.fleet.until(lambda: self.fleet.is_settled(version), f"at version {version}")
        await asyncio.sleep(SETTLE_S)
        self.assertEqual(0, self.engine.partial_loads, self.fleet.summary())
        self.assertEqual(sorted(self.engine.loads), self.engine.loads, self.fleet.summary())
        self.assertTrue(self.fleet.is_settled(version), self.fleet.summary())
