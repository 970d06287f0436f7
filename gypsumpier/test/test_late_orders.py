"""Tests of orders and staging writes that an engine carries out late, without an answer."""

import asyncio
import tempfile
import unittest
from pathlib import Path
from typing import Final

from gypsumpier.test.lateorderfleet import PIECES, LateOrderFleet

LATE_S: Final = 5.0
"""Seconds after which an order is accepted where no event of the test comes first."""
SETTLE_S: Final = 0.4


class LateOrderCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests with one engine that holds version 1, and version 2 named."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = LateOrderFleet(Path(folder.name))
        self.addAsyncCleanup(self.fleet.stop)
        self.engine = self.fleet.engine
        self.engine.late_calls.late_s = LATE_S
        await self.fleet.start()

    async def order_without_answer(self, count: int = 1) -> None:
        """Start the sidecar and wait until ``count`` orders for version 2 are on their way."""
        self.engine.late_orders = count
        self.fleet.name(2)
        await self.fleet.side.start()
        await self.fleet.until(lambda: self.fleet.ordered(2) == count, "ordered")

    async def assert_ends_whole(self, version: int) -> None:
        """Check that the engine ends on a version, never went back, and took whole pieces only."""
        await self.fleet.until(lambda: self.fleet.is_settled(version), f"at version {version}")
        await asyncio.sleep(SETTLE_S)
        self.assertEqual(0, self.engine.partial_loads, self.fleet.summary())
        self.assertEqual(sorted(self.engine.loads), self.engine.loads, self.fleet.summary())
        self.assertTrue(self.fleet.is_settled(version), self.fleet.summary())


class LateOrderTest(LateOrderCase):
    # Guards against staging another version while an order without an answer may be accepted.
    async def test_an_order_is_accepted_after_the_next_version_was_named(self) -> None:
        await self.order_without_answer()
        self.fleet.name(3)
        await self.fleet.release_when(lambda: self.fleet.staged_count(3) >= PIECES // 2)
        await self.assert_ends_whole(3)
