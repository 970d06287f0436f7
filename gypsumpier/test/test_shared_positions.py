"""Tests of positions of the store that one entry reads and others use."""

import unittest

from gypsumpier.fleet.position import Position
from gypsumpier.fleet.watcher import POSITION_INTERVAL_S, READERS_CHECK_S
from gypsumpier.mesh.feed import POSITION
from gypsumpier.test.builders_platform import MODEL
from gypsumpier.test.storereaders import NAMED_S, REVISION, START_S, StoreReadersCase

NEWEST = Position(0, REVISION - 1)


class SharedPositionTest(StoreReadersCase):
    async def test_a_version_is_dated_by_the_reading_of_another_zone(self) -> None:
        """Guards against calls that each zone makes for itself, or bounds that are a second old."""
        watcher, _, far = self.readers
        self.at(NAMED_S - 0.1)
        far.watcher.record_position(NEWEST, self.now_s)
        self.deliver(delay_s=0.02)
        self.at(NAMED_S + 0.02)
        await watcher.call(0.0, self.news)
        named_at_s = watcher.state.versions[MODEL][-1].earliest_named_at_s
        self.assertAlmostEqual(START_S + NAMED_S - 0.12, named_at_s)

    def test_a_watcher_does_not_read_what_another_one_has_just_told(self) -> None:
        """Guards against a call of each zone where one is enough."""
        watcher, _, far = self.readers
        watcher.watcher.is_watching = True
        self.at(1.0)
        self.assertTrue(watcher.watcher.is_position_due())
        far.watcher.record_position(NEWEST, self.now_s)
        self.deliver()
        self.assertFalse(watcher.watcher.is_position_due())
        self.at(1.0 + 2 * POSITION_INTERVAL_S)
        self.assertTrue(watcher.watcher.is_position_due())

    def test_the_zone_needs_no_check_while_its_watcher_tells_positions(self) -> None:
        """Guards against two processes of a zone that read the position side by side for good."""
        watcher, behind, far = self.readers
        self.at(1.0)
        self.assertTrue(behind.feed.should_check_revision())
        far.watcher.record_position(NEWEST, self.now_s)
        self.deliver()
        self.assertTrue(behind.feed.should_check_revision())
        watcher.watcher.record_position(NEWEST, self.now_s)
        self.deliver()
        self.assertFalse(behind.feed.should_check_revision())
        self.at(1.0 + READERS_CHECK_S)
        self.assertTrue(behind.feed.should_check_revision())

    def test_a_newer_position_is_announced(self) -> None:
        """Guards against a watch that hears of nothing while another zone has read the change."""
        watcher, _, far = self.readers
        far.watcher.record_position(Position(0, REVISION), self.now_s)
        self.assertEqual({POSITION}, {kind for _, kind, _ in far.mesh.posted})
        self.deliver()
        self.at(0.5)
        self.assertTrue(watcher.feed.is_news_overdue())


if __name__ == "__main__":
    unittest.main()
