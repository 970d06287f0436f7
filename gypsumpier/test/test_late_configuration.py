"""Tests that a configuration is in force in time where readers of the store are cut off from it."""

import asyncio
import time
import unittest
from typing import Final
from unittest import mock

from gypsumpier.fleet.watcher import WATCH_WAIT_S
from gypsumpier.mesh import feed as module
from gypsumpier.mesh.feed import FleetStateFeed
from gypsumpier.test.builders_platform import (
    BOUNDS,
    MODEL,
    configuration_body,
    configuration_record,
    fleet_state_of,
)
from gypsumpier.test.fakes_mesh import RecordingMesh
from gypsumpier.test.fakes_piece import entry_peer
from gypsumpier.test.network import Network
from gypsumpier.test.zonedreaders import MemoryStore, ReadingEntry, ReadingZones

IN_FORCE_S: Final = BOUNDS.configuration_in_force_s
"""Seconds within which a configuration must be in force."""
CHANGE_INTERVAL_S: Final = 0.137
"""Seconds between two configurations that follow each other as fast as a store takes them."""
CHANGES: Final = 24
"""Configurations in a row: 3.3 s, more than the time in which each must be in force."""
MESSAGE_S: Final = 0.002
TRANSFER_S: Final = 0.045
"""Seconds that one configuration takes over a narrow link between regions."""
VERSION_LATE_MAX_S: Final = 0.3
"""Seconds by which a version may seem younger than it is."""


class CloseChangesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.zones = ReadingZones("bac-a", "nam-a", "trung-a")
        self.addAsyncCleanup(self.zones.stop)
        await self.zones.start()

    async def change(self, first: int, count: int) -> None:
        """Write configurations that follow each other closely, then wait until all are due."""
        for version in range(first, first + count):
            self.zones.configure(version)
            await asyncio.sleep(CHANGE_INTERVAL_S)
        await asyncio.sleep(IN_FORCE_S)

    def assert_in_force_in_time(self) -> None:
        """Check every configuration at every entry."""
        for name in self.zones.entries:
            with self.subTest(name):
                self.assertLessEqual(self.zones.latest_s(name), IN_FORCE_S)

    async def test_configurations_in_a_row_while_the_watcher_of_a_zone_gets_no_answer(self) -> None:
        """Guards against a wait for an announced revision that each newer notice begins again."""
        self.zones.store.silent.add("front-trung-a-1")
        await self.change(2, CHANGES)
        self.assert_in_force_in_time()

    async def test_a_configuration_while_the_store_refuses_the_watchers_of_all_zones(self) -> None:
        """Guards against a take-over that comes after the configuration is due."""
        for zone in self.zones.zones():
            self.zones.store.refused.add(f"front-{zone}-1")
        self.zones.prove()
        await self.change(2, 1)
        self.assert_in_force_in_time()

    async def test_a_configuration_while_the_watchers_of_all_zones_get_no_answer(self) -> None:
        """Guards against the same where nothing tells a watcher that it is cut off."""
        for zone in self.zones.zones():
            self.zones.store.silent.add(f"front-{zone}-1")
        self.zones.prove()
        await self.change(2, 1)
        self.assert_in_force_in_time()


class ResumedReaderTest(unittest.IsolatedAsyncioTestCase):
    """One entry that reads the store, stops as others do, and reads it again."""

    async def asyncSetUp(self) -> None:
        self.store = MemoryStore()
        self.store.put("op/config", configuration_body())
        self.entry = ReadingEntry(self.store, Network(), "front-bac-a-2", "bac-a")
        self.is_reader = True
        self.entry.feed.should_read_store = lambda: self.is_reader  # type: ignore[method-assign]
        self.entry.watcher.start()
        self.addAsyncCleanup(self.entry.watcher.stop)
        await self.until_known()

    async def until_known(self) -> None:
        """Wait until the entry knows everything that is in the store."""
        async with asyncio.timeout(CHANGES * TRANSFER_S + IN_FORCE_S):
            while self.entry.state.revision < self.store.revision:
                await asyncio.sleep(MESSAGE_S)

    async def test_an_entry_that_reads_again_does_not_read_each_configuration(self) -> None:
        """Guards against a history of large configurations that takes a second to transfer.

        A version in it would also seem to have been named as the answer arrived.
        """
        self.is_reader = False
        await asyncio.sleep(WATCH_WAIT_S + CHANGE_INTERVAL_S)
        self.store.record_s = TRANSFER_S
        named_at_s = time.monotonic()
        self.store.put(f"op/version/{MODEL}", {"model": MODEL, "version": 2})
        for version in range(2, 2 + CHANGES):
            self.store.put("op/config", configuration_body(version))
        await asyncio.sleep(2 * VERSION_LATE_MAX_S)
        resumed_at_s = time.monotonic()
        self.is_reader = True
        await self.until_known()
        self.assertLess(time.monotonic() - resumed_at_s, CHANGES * TRANSFER_S / 2)
        believed_ago_s = self.entry.state.version_ages()[MODEL][-1][1]
        self.assertGreaterEqual(believed_ago_s, time.monotonic() - named_at_s - VERSION_LATE_MAX_S)


class AnnouncedRevisionTest(unittest.TestCase):
    def setUp(self) -> None:
        others = [entry_peer("front-bac-a-1", "bac-a"), entry_peer("front-nam-a-1", "nam-a")]
        self.other_zone = others[1]
        mesh = RecordingMesh(entry_peer("front-bac-a-2", "bac-a"), others)
        fleet_state = fleet_state_of(configuration_record(5))
        self.feed = FleetStateFeed(mesh, fleet_state)  # type: ignore[arg-type]
        self.now_s = time.monotonic()
        patch = mock.patch.object(time, "monotonic", lambda: self.now_s)
        patch.start()
        self.addCleanup(patch.stop)

    def announce(self, revision: int) -> None:
        """Handle a notice of another zone."""
        self.feed.handle_notice(self.other_zone, {"revision": revision, "age_s": 0.0})

    def test_newer_notices_do_not_put_off_the_reading_of_an_announced_revision(self) -> None:
        """Guards against records that are overdue for good while further changes are announced."""
        self.announce(6)
        for revision in range(7, 12):
            self.now_s += 0.9 * module.RECORDS_DELAY_S
            self.announce(revision)
        self.assertTrue(self.feed.should_read_store())

    def test_records_that_arrive_in_time_are_not_read_again(self) -> None:
        """Guards against further readers where changes follow each other closely."""
        for revision in range(6, 30):
            self.announce(revision)
            self.now_s += 0.6 * module.RECORDS_DELAY_S
            self.feed.fleet_state.revision = revision - 1
            self.assertFalse(self.feed.should_read_store())

    def test_entries_of_a_zone_read_overdue_records_one_after_the_other(self) -> None:
        """Guards against a copy for each entry of a zone over a narrow link, at each change."""
        others = [entry_peer(f"front-bac-a-{number}", "bac-a") for number in range(1, 9)]
        delays_s = []
        for own in others:
            mesh = RecordingMesh(own, [peer for peer in others if peer != own] + [self.other_zone])
            state = fleet_state_of(configuration_record(5))
            feed = FleetStateFeed(mesh, state)  # type: ignore[arg-type]
            feed.handle_notice(self.other_zone, {"revision": 6, "age_s": 0.0})
            delays_s.append(self.overdue_after_s(feed))
        self.assertEqual(sorted(delays_s), delays_s)
        self.assertEqual(5, len(set(delays_s)))
        self.assertLess(delays_s[-1], IN_FORCE_S / 2)

    def overdue_after_s(self, feed: FleetStateFeed) -> float:
        """Return the seconds after which the entry reads; the clock is set back afterwards."""
        began_s = self.now_s
        while not feed.should_read_store():
            self.now_s += MESSAGE_S
        took_s, self.now_s = self.now_s - began_s, began_s
        return took_s


if __name__ == "__main__":
    unittest.main()
