"""Tests of late orders between versions, kills and stops of the sidecar, drawn by a seed."""

import random
from typing import Final

from gypsumpier.test.lateordercase import LateOrderCase

STEPS: Final = 5


class RandomOrderTest(LateOrderCase):
    """Guards against orders of events that nobody has thought of."""

    async def check_seed(self, seed: int) -> None:
        """Name versions between late orders, kills and stops of the sidecar."""
        newest = await self.fleet.play(random.Random(seed), STEPS)
        await self.assert_ends_whole(newest)

    async def test_late_orders_between_versions_kills_and_stops_with_seed_1(self) -> None:
        await self.check_seed(1)

    async def test_late_orders_between_versions_kills_and_stops_with_seed_4(self) -> None:
        await self.check_seed(4)

    async def test_late_orders_between_versions_kills_and_stops_with_seed_6(self) -> None:
        await self.check_seed(6)
