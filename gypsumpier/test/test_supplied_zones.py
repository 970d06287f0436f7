"""Tests that zones far from the store are sent a change by one near to it, and in time."""

import asyncio
import math
import time
import unittest
from collections import defaultdict
from functools import cache
from typing import Any, Final
from unittest import mock

from gypsumpier.fleet.change import Batch
from gypsumpier.gateway.intake import PROOF_MAX_AGE_SHARE
from gypsumpier.mesh import feed as feed_module
from gypsumpier.mesh import supply as module
from gypsumpier.mesh.feed import FEED, NOTICE, FleetStateFeed, pack_records
from gypsumpier.mesh.supply import SUPPLY
from gypsumpier.test.builders_platform import (
    BOUNDS,
    DecodingSource,
    configuration_body,
    configuration_record,
    decode_record,
    fleet_state_of,
    route_body,
)
from gypsumpier.test.fakes_mesh import RecordingMesh
from gypsumpier.test.fakes_piece import entry_peer
from gypsumpier.test.zonedreaders import ReadingEntry, ReadingZones

IN_FORCE_S: Final = BOUNDS.configuration_in_force_s
FAR_S: Final = 0.006
"""Seconds by which the store is farther from another region."""
NEAR: Final = "bac-a"
FAR: Final = ("nam-a", "trung-a")
SIZES: Final = (1400, 6000)
CHANGES: Final = 8
CHANGE_INTERVAL_S: Final = 0.4
CHANGE_BYTES_MAX: Final = 12_000
"""Bytes of one change between two regions, with all else that six entries say in 0.4 s."""
WATCHED_BEFORE_S: Final = 0.5
"""Seconds by which a watcher reads again before others of its zone take over."""
POLL_S: Final = 0.05
WATCH_S: Final = 0.4
"""Wait of a watch in these tests, so that distances are known soon."""


class SuppliedZonesCase(unittest.IsolatedAsyncioTestCase):
    """Two entries in each of three zones, each in a region of its own; the store is near one."""

    async def asyncSetUp(self) -> None:
        patch = mock.patch("gypsumpier.fleet.watcher.WATCH_WAIT_S", WATCH_S)
        patch.start()
        self.addCleanup(patch.stop)
        self.zones = ReadingZones(NEAR, *FAR)
        for zone in FAR:
            self.zones.store.distances_s |= {f"front-{zone}-{n}": FAR_S for n in (1, 2)}
        self.addAsyncCleanup(self.zones.stop)
        # The start waits for a reader in each zone.
        with mock.patch.object(module, "ANSWERS_MIN", math.inf):
            await self.zones.start()

    def entry(self, zone: str, number: int = 1) -> Any:
        """Return an entry."""
        return self.zones.entries[f"front-{zone}-{number}"]

    async def until_supplied(self) -> None:
        """Wait until the far zones leave the reading to the near one."""
        await self.zones.wait_until(lambda: self.zones.readers() == [f"front-{NEAR}-1"])
        # Their last watches are still waiting.
        await asyncio.sleep(2 * WATCH_S)

    def write(self, version: int, routes: int = 0) -> None:
        """Write a configuration, of many routes if wanted, of which one changes each time."""
        body = configuration_body(version)
        body["routes"] += [route_body(f"r{n}", prefix=f"/r{n}/") for n in range(routes)]
        if routes:
            body["routes"][-1 - version]["timeout_ms"] = 1000 + version
        self.zones.written_at_s[version] = time.monotonic()
        self.zones.store.put("op/config", body)

    async def until_in_force(self, version: int) -> None:
        """Wait until all entries have the configuration."""
        async with asyncio.timeout(2 * IN_FORCE_S):
            while any(
                entry.state.configuration.version < version
                for entry in self.zones.entries.values()
                if entry.state.configuration
            ):
                await asyncio.sleep(0.005)

    def assert_in_force_in_time(self, *excused: str) -> None:
        """Check every configuration at every entry."""
        for name in self.zones.entries:
            if name not in excused:
                with self.subTest(name):
                    self.assertLessEqual(self.zones.latest_s(name), IN_FORCE_S)

    def far_bytes(self) -> int:
        """Return the most bytes that have crossed between two regions, or came from the store."""
        crossed = max(
            sum(
                link.sent_bytes
                for link in self.zones.network.links
                if zone in link.source
                and other in link.target
                or other in link.source
                and zone in link.target
            )
            for zone in FAR
            for other in (NEAR, *FAR)
            if other != zone
        )
        read = max(
            sum(self.zones.store.read_bytes[f"front-{zone}-{number}"] for number in (1, 2))
            for zone in FAR
        )
        return crossed + read


class BytesTest(SuppliedZonesCase):
    async def asyncSetUp(self) -> None:
        # Six processes would decode beside each other; here they do it by turns in one, so that
        # records would be overdue which their entry is only about to take.
        for patch in (
            mock.patch.object(DecodingSource, "decode", staticmethod(cache(decode_record))),
            mock.patch.object(feed_module, "RECORDS_DELAY_S", IN_FORCE_S),
        ):
            patch.start()
            self.addCleanup(patch.stop)
        await super().asyncSetUp()

    # Guards against a configuration that goes over each link between regions as a whole.
    async def test_a_change_crosses_between_regions_as_one(self) -> None:
        await self.until_supplied()
        version = 1
        for routes in SIZES:
            version += 1
            self.write(version, routes)
            await self.until_in_force(version)
            await asyncio.sleep(IN_FORCE_S)
            before = self.far_bytes()
            with self.subTest(routes=routes, changes=1):
                version += 1
                self.write(version, routes)
                await self.until_in_force(version)

                self.assertLess(self.far_bytes() - before, CHANGE_BYTES_MAX)

    async def test_a_storm_of_changes_stays_small(self) -> None:
        await self.until_supplied()
        self.write(2, SIZES[0])
        await self.until_in_force(2)
        await asyncio.sleep(IN_FORCE_S)
        before = self.far_bytes()
        for version in range(3, 3 + CHANGES):
            self.write(version, SIZES[0])
            await asyncio.sleep(CHANGE_INTERVAL_S)
        await self.until_in_force(2 + CHANGES)

        self.assertLess(self.far_bytes() - before, CHANGES * CHANGE_BYTES_MAX)
        self.assert_in_force_in_time()


class FaultTest(SuppliedZonesCase):
    """A configuration is in force in time although its supplier is not there.

    The proofs that keys are not revoked stay young enough as well.
    """

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.oldest_proof_s: dict[str, float] = defaultdict(float)

    async def change(self, first: int = 2, count: int = 6) -> None:
        """Write configurations each 0.4 s, then wait until all are due."""
        for version in range(first, first + count):
            self.write(version)
            await self.sleep(CHANGE_INTERVAL_S)
        await self.sleep(IN_FORCE_S)

    async def sleep(self, seconds: float) -> None:
        """Sleep, and note the age of the oldest proof of each entry."""
        until_s = time.monotonic() + seconds
        while time.monotonic() < until_s:
            await asyncio.sleep(POLL_S)
            for name, entry in self.zones.entries.items():
                age_s = max(self.oldest_proof_s[name], entry.state.proof_age_s())
                self.oldest_proof_s[name] = age_s

    def assert_in_force_in_time(self, *excused: str) -> None:
        super().assert_in_force_in_time(*excused)
        for name, age_s in self.oldest_proof_s.items():
            if name not in excused:
                with self.subTest(name):
                    self.assertLess(age_s, PROOF_MAX_AGE_SHARE * BOUNDS.key_revoked_s)

    async def test_the_store_gives_the_supplier_no_answer(self) -> None:
        await self.until_supplied()
        self.zones.store.silent.add(f"front-{NEAR}-1")
        await self.change()
        self.assert_in_force_in_time()

    async def test_the_store_refuses_the_supplier(self) -> None:
        await self.until_supplied()
        self.zones.store.refused.add(f"front-{NEAR}-1")
        await self.change()
        self.assert_in_force_in_time()

    async def test_the_supplier_restarts_between_changes(self) -> None:
        await self.until_supplied()
        await self.change(2, 2)
        stopped = self.entry(NEAR)
        await stopped.stop()
        await self.change(4, 3)
        restarted = ReadingEntry(self.zones.store, self.zones.network, stopped.name, NEAR)
        self.zones.entries[stopped.name] = restarted
        restarted.start()
        await self.change(7, 3)
        self.assert_in_force_in_time(stopped.name)
        await self.until_supplied()

    async def test_the_supplier_is_cut_off_from_a_zone(self) -> None:
        await self.until_supplied()
        for number in (1, 2):
            for own in (1, 2):
                self.zones.network.partition(f"front-{NEAR}-{own}", f"front-{FAR[0]}-{number}")
        await self.change()
        self.assert_in_force_in_time()

    async def test_a_supplied_watcher_is_silent(self) -> None:
        """Guards against a zone whose only way to a change is one entry."""
        await self.until_supplied()
        silent = self.entry(FAR[0])
        silent.mesh.aged_listeners = {}
        silent.watcher.readers = mock.Mock(should_read_store=lambda: False)
        await self.change()
        self.assert_in_force_in_time(silent.name)

    async def test_the_supplying_zone_is_gone(self) -> None:
        """The far zones read again, or one of them that the store has answered sooner by chance."""
        await self.until_supplied()
        gone = [self.entry(NEAR, number) for number in (1, 2)]
        for entry in gone:
            await entry.stop()
        await self.change()
        self.assert_in_force_in_time(*(entry.name for entry in gone))
        readers = set(self.zones.readers())
        self.assertTrue(readers & {f"front-{zone}-1" for zone in FAR}, readers)


class SupplyTest(unittest.TestCase):
    def setUp(self) -> None:
        own = entry_peer("front-nam-a-1", "nam-a")
        self.near = entry_peer("front-bac-a-1", "bac-a")
        self.follower = entry_peer("front-nam-a-2", "nam-a")
        self.mesh = RecordingMesh(own, [self.near, self.follower])
        self.feed = FleetStateFeed(
            self.mesh, fleet_state_of(configuration_record(5))  # type: ignore[arg-type]
        )
        self.now_s = time.monotonic()
        patch = mock.patch.object(time, "monotonic", lambda: self.now_s)
        patch.start()
        self.addCleanup(patch.stop)

    def measure(self, *answers_s: float) -> None:
        """Let the store answer the entry so late."""
        for answer_s in answers_s:
            self.feed.record_answer(answer_s)

    def notice(self, **fields: Any) -> None:
        """Handle a notice of the near zone."""
        self.feed.handle_notice(self.near, {"revision": 5, "age_s": 0.0} | fields)

    def supply(self, revision: int = 5, **fields: Any) -> None:
        """Handle a batch without records of the near zone's watcher."""
        batch = Batch(5, revision, [], False, 0.0)
        payload = (
            self.feed.feed_payload(batch, pack_records(batch.records)) | {"read": True} | fields
        )
        self.feed.handle_feed(self.near, payload)

    def asked(self) -> bool:
        """Return whether the near zone's watcher was asked for what it reads."""
        found = (self.near.name, SUPPLY, {}) in self.mesh.posted
        self.mesh.posted.clear()
        return found

    def test_a_watcher_that_is_nearer_is_asked(self) -> None:
        self.notice(answer_s=0.004)
        self.assertFalse(self.asked())
        self.measure(0.030, 0.009, 0.012, 0.009, 0.015)
        self.notice(answer_s=0.0085)
        self.assertFalse(self.asked())
        self.notice()
        self.assertFalse(self.asked())
        self.notice(answer_s=0.004)
        self.assertTrue(self.asked())

    # Guards against a far zone that seems near as its waiting watch was cut.
    def test_an_answer_before_the_end_of_its_wait_tells_no_distance(self) -> None:
        self.measure(*[0.009] * (module.ANSWERS_MIN - 1), -1.5)
        self.assertEqual({}, self.feed.supply.fields())
        self.measure(0.009)
        self.assertEqual({"answer_s": 0.009}, self.feed.supply.fields())
        self.measure(-0.001)
        self.assertEqual({"answer_s": 0.0}, self.feed.supply.fields())

    def test_an_older_build_is_not_asked(self) -> None:
        self.mesh.older_builds.add(self.near.name)
        self.measure(*[0.009] * module.ANSWERS_MIN)
        self.notice(answer_s=0.004)
        self.assertFalse(self.asked())

    def test_only_the_watcher_of_a_zone_asks(self) -> None:
        self.mesh.others.append(entry_peer("front-nam-a-0", "nam-a"))
        self.measure(*[0.009] * module.ANSWERS_MIN)
        self.notice(answer_s=0.004)
        self.assertFalse(self.asked())

    def test_a_zone_of_the_same_region_is_not_asked(self) -> None:
        self.near = self.near._replace(region=self.mesh.own.region)
        self.measure(*[0.009] * module.ANSWERS_MIN)
        self.notice(answer_s=0.004)
        self.assertFalse(self.asked())

    def test_a_supplied_watcher_reads_again_once_nothing_comes(self) -> None:
        self.assertTrue(self.feed.should_read_store())
        self.supply()
        self.assertFalse(self.feed.should_read_store())
        self.now_s += feed_module.TAKEOVER_S - WATCHED_BEFORE_S
        self.assertTrue(self.feed.should_read_store())
        self.supply()
        self.mesh.others.remove(self.near)
        self.assertTrue(self.feed.should_read_store())

    # Guards against a zone that relies on a watcher that it can't follow.
    def test_a_batch_that_can_not_be_applied_supplies_nothing(self) -> None:
        self.supply(4)
        self.assertTrue(self.feed.should_read_store())
        self.supply(9, after=8)
        self.assertTrue(self.feed.should_read_store())

    def test_what_is_supplied_goes_to_the_own_zone(self) -> None:
        self.supply(6)
        kinds = [(name, kind) for name, kind, _ in self.mesh.posted]
        self.assertEqual([(self.follower.name, FEED)], kinds)
        self.assertEqual(6, self.mesh.posted[0][2]["revision"])

    # Guards against records that are overdue in a zone while its watcher decodes them.
    def test_what_is_supplied_is_passed_on_before_it_is_applied_with_its_ages(self) -> None:
        applied_at: list[int] = []
        apply = self.feed.fleet_state.apply

        def record(*arguments: Any) -> None:
            applied_at.append(len(self.mesh.posted))
            apply(*arguments)

        self.feed.fleet_state.apply = record  # type: ignore[method-assign, assignment]
        fields = {"age_s": 0.4, "outage_ago_s": 3.0, "outage_lasted_s": 1.0}
        self.supply(6, observed={"m": [[2, 1.0]]}, **fields)
        self.assertEqual([1], applied_at)
        payload = self.mesh.posted[0][2]
        self.assertEqual({"m": [[2, 1.0]]}, payload["observed"])
        self.assertEqual(fields, {name: payload[name] for name in fields})

    def test_only_readers_that_ask_are_supplied_and_for_a_while(self) -> None:
        batch = Batch(5, 6, [configuration_record(6, version=6)], False, 0.0)
        self.feed.share(batch)
        self.assertIn((self.near.name, NOTICE), [found[:2] for found in self.mesh.posted])
        self.assertNotIn((self.near.name, FEED), [found[:2] for found in self.mesh.posted])
        self.mesh.listeners[SUPPLY](self.near, {})
        self.feed.share(batch)
        self.assertIn((self.near.name, FEED), [found[:2] for found in self.mesh.posted])
        self.now_s += module.WANTED_S + 0.01
        self.mesh.posted.clear()
        self.feed.share(batch)
        self.assertNotIn((self.near.name, FEED), [found[:2] for found in self.mesh.posted])

    # Guards against a reader beside the store that took itself for far, and is supplied for good.
    def test_a_supplied_watcher_measures_again_and_asks_no_more_where_it_is_nearer(self) -> None:
        self.measure(*[0.030] * module.ANSWERS_MIN)
        self.notice(answer_s=0.009)
        self.assertTrue(self.asked())
        self.supply(answer_s=0.009)
        self.assertTrue(self.asked())
        self.assertFalse(self.feed.should_check_revision())
        self.now_s += module.MEASURE_S + 0.01
        self.supply(answer_s=0.009)
        self.assertTrue(self.feed.should_check_revision())
        self.measure(0.004)
        self.assertFalse(self.feed.should_check_revision())
        self.mesh.posted.clear()
        self.supply(answer_s=0.009)
        self.assertFalse(self.asked())

    def test_a_supplied_watcher_without_others_checks_the_store_itself(self) -> None:
        self.measure(0.009)
        self.supply()
        self.assertFalse(self.feed.should_check_revision())
        self.mesh.others.remove(self.follower)
        self.assertTrue(self.feed.should_check_revision())


if __name__ == "__main__":
    unittest.main()
