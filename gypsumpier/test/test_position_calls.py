"""Tests of how often the store's position is read beside a watch."""

import asyncio
import unittest
from typing import Final
from unittest import mock

from gypsumpier.codes.platform import PLATFORM_REFUSED
from gypsumpier.errors import GypsumpierError
from gypsumpier.fleet.watcher import POSITION_INTERVAL_S
from gypsumpier.test.storereaders import START_S, StoreReadersCase

TEST_S: Final = 2.0
"""Seconds for which the store refuses the readings: the wait of one watch."""


class PositionCallsTest(StoreReadersCase):
    async def test_a_store_that_refuses_readings_gets_no_more_of_them(self) -> None:
        """Guards against 20 calls a second by each reader where the store answers 429 or 503."""
        watcher = self.readers[0].watcher
        watcher.is_watching = True
        refused = GypsumpierError(PLATFORM_REFUSED, "429 Too Many Requests")
        read = mock.AsyncMock(side_effect=refused)

        async def sleep(seconds: float) -> None:
            self.now_s += seconds
            if self.now_s > START_S + TEST_S:
                raise asyncio.CancelledError

        with (
            mock.patch.object(self.readers[0].source, "current_position", read),
            mock.patch.object(watcher, "take_call", mock.AsyncMock()),
            mock.patch.object(asyncio, "sleep", sleep),
            self.assertRaises(asyncio.CancelledError),
        ):
            await watcher.run_position_readings()
        self.assertLessEqual(read.await_count, 1 + round(TEST_S / POSITION_INTERVAL_S))


if __name__ == "__main__":
    unittest.main()
