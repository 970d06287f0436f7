"""Tests of what holds of records known before the store came back from an older copy."""

import unittest
from typing import Final
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from gypsumpier.fleet import recordtable, state
from gypsumpier.fleet.change import Batch
from gypsumpier.fleet.clock import boot_time_s
from gypsumpier.fleet.position import Position
from gypsumpier.fleet.record import Record
from gypsumpier.fleet.state import FleetState
from gypsumpier.mesh.feed import FEED_ASK, FleetStateFeed, pack_records
from gypsumpier.test.builders_platform import (
    MODEL,
    apply_records,
    configuration_record,
    engine_record,
    fleet_state_of,
    plain_body,
    record,
)
from gypsumpier.test.fakes_mesh import RecordingMesh
from gypsumpier.test.fakes_piece import entry_peer

COPY_REVISION: Final = 10
PEER: Final = entry_peer("front-bac-a-1", "bac-a")
VERSION_KEY: Final = f"op/version/{MODEL}"


def version_record(version: int, revision: int) -> Record:
    """Return the record of a wanted version."""
    return record(VERSION_KEY, {"model": MODEL, "version": version}, revision)


def restore(fleet_state: FleetState, *copied: Record, era: int = 1) -> None:
    """Apply the content of the copy from which the store has come back."""
    records = [found._replace(era=era) for found in copied]
    batch = Batch(0, COPY_REVISION, records, True, 0.0, era)
    fleet_state.apply(batch, boot_time_s(), "test")


def write(fleet_state: FleetState, found: Record) -> None:
    """Apply a change that a watch in the state's era has read."""
    era, after = fleet_state.position
    batch = Batch(after, found.revision, [found._replace(era=era)], False, 0.0, era)
    fleet_state.apply(batch, boot_time_s(), "test")


class RestoredRecordsTest(unittest.TestCase):
    # Guards against an upstream that gets requests again as the copy shows it as ready.
    def test_an_upstream_that_leaves_is_left_until_it_reports_again(self) -> None:
        fleet_state = fleet_state_of(engine_record(1, 5))
        apply_records(fleet_state, engine_record(1, 20, state="draining", seq=9))
        restore(fleet_state, engine_record(1, 5))
        restore(fleet_state, engine_record(1, 5))
        self.assertTrue(fleet_state.upstreams["i-1"].is_leaving)
        write(fleet_state, engine_record(1, 11, seq=12))
        self.assertFalse(fleet_state.upstreams["i-1"].is_leaving)

    # Guards against a leaving that is taken for the copy's: it has a low revision, and the number
    # of the upstream's last report.
    def test_an_upstream_leaves_with_its_first_report_after_the_return(self) -> None:
        leaving = engine_record(1, COPY_REVISION - 1, state="draining")
        for is_in_snapshot in (True, False):
            with self.subTest(is_in_snapshot=is_in_snapshot):
                fleet_state = fleet_state_of(engine_record(1, 5, slots=8))
                apply_records(fleet_state, engine_record(1, 20))
                restore(fleet_state, leaving if is_in_snapshot else engine_record(1, 5, slots=8))
                self.assertEqual(is_in_snapshot, fleet_state.upstreams["i-1"].is_leaving)
                self.assertEqual(16, fleet_state.upstreams["i-1"].slots)
                if not is_in_snapshot:
                    write(fleet_state, leaving._replace(revision=COPY_REVISION + 1))
                self.assertTrue(fleet_state.upstreams["i-1"].is_leaving)

    # Guards against an address that is now another service's, under the old one's record.
    def test_a_removed_upstream_stays_removed_and_its_address_is_the_new_ones(self) -> None:
        fleet_state = fleet_state_of(engine_record(1, 5))
        apply_records(fleet_state, record("servers/i-1", None, 20))
        taken = record("servers/i-2", plain_body(1), 21)
        apply_records(fleet_state, taken)
        restore(fleet_state, engine_record(1, 5))
        self.assertEqual({"i-2"}, set(fleet_state.upstreams))
        write(fleet_state, taken._replace(revision=11))
        write(fleet_state, record("servers/i-1", None, 12))
        self.assertEqual({"i-2"}, set(fleet_state.upstreams))
        write(fleet_state, engine_record(1, 13, born=5000))
        self.assertEqual({"i-1", "i-2"}, set(fleet_state.upstreams))

    # Guards against a removal that is forgotten by the time of a second return.
    def test_a_removed_upstream_stays_removed_over_two_returns(self) -> None:
        fleet_state = fleet_state_of(engine_record(1, 5))
        apply_records(fleet_state, record("servers/i-1", None, 20))
        restore(fleet_state, engine_record(1, 5))
        restore(fleet_state, engine_record(1, 5), era=2)
        self.assertNotIn("i-1", fleet_state.upstreams)

    # Guards against an upstream that is added after the copy and never comes back.
    def test_an_upstream_that_the_copy_lacks_is_kept_for_the_grace_period(self) -> None:
        fleet_state = fleet_state_of(engine_record(1, 20))
        restore(fleet_state)
        fleet_state.drop_expired_lapsed()
        self.assertIn("i-1", fleet_state.upstreams)
        later_s = boot_time_s() + state.LAPSE_GRACE_S + 0.1
        with mock.patch.object(state, "boot_time_s", lambda: later_s):
            fleet_state.drop_expired_lapsed()
        self.assertNotIn("i-1", fleet_state.upstreams)
        write(fleet_state, engine_record(1, 11))
        self.assertIn("i-1", fleet_state.upstreams)

    # Guards against a version that counts as named anew as it is written again.
    def test_a_wanted_version_written_again_keeps_its_time(self) -> None:
        fleet_state = fleet_state_of(version_record(1, 5))
        apply_records(fleet_state, version_record(2, 20))
        named = list(fleet_state.versions[MODEL])
        restore(fleet_state, version_record(1, 5))
        write(fleet_state, version_record(2, 11))
        self.assertEqual(named, fleet_state.versions[MODEL])

    # Guards against processes that disagree on a version that was written with other content.
    def test_a_configuration_written_again_with_other_content_is_in_force(self) -> None:
        fleet_state = fleet_state_of(configuration_record(5))
        apply_records(fleet_state, configuration_record(20, version=2))
        restore(fleet_state, configuration_record(5))
        write(fleet_state, configuration_record(11, version=2, tenants=[]))
        assert fleet_state.configuration is not None
        self.assertEqual({}, fleet_state.configuration.workspaces_by_key)

    def test_an_older_era_is_neither_news_nor_a_proof(self) -> None:
        fleet_state = fleet_state_of(configuration_record(5), proven_ago_s=4.0)
        fleet_state.era = 2
        apply_records(fleet_state, configuration_record(20, version=2))
        assert fleet_state.configuration is not None
        self.assertEqual(1, fleet_state.configuration.version)
        self.assertGreater(fleet_state.proof_age_s(), 3.9)

    def test_a_change_without_its_eras_snapshot_is_not_applied(self) -> None:
        fleet_state = fleet_state_of(configuration_record(5))
        change = configuration_record(6, version=2)._replace(era=1)
        fleet_state.apply(Batch(5, 6, [change], False, 0.0, 1), boot_time_s(), "test")
        self.assertEqual(Position(0, 5), fleet_state.position)

    def test_removals_are_forgotten_after_their_time(self) -> None:
        fleet_state = fleet_state_of(*(engine_record(number, number) for number in range(1, 9)))
        for number in range(1, 9):
            apply_records(fleet_state, record(f"servers/i-{number}", None, 10 + number))
        self.assertEqual(8, len(fleet_state.records.removed))
        later_s = boot_time_s() + 2 * recordtable.REMOVED_KEPT_S
        with mock.patch.object(recordtable, "boot_time_s", lambda: later_s):
            apply_records(fleet_state, engine_record(9, 30))
            apply_records(fleet_state, record("servers/i-9", None, 31))
        self.assertEqual({"servers/i-9"}, set(fleet_state.records.removed))

    # Guards against a configuration or version that goes back over any series of returns.
    @given(
        st.lists(
            st.tuples(st.booleans(), st.integers(1, 9), st.integers(1, 9)), min_size=1, max_size=12
        )
    )
    def test_nothing_numbered_goes_back(self, steps: list[tuple[bool, int, int]]) -> None:
        fleet_state = fleet_state_of(configuration_record(1), version_record(1, 1))
        newest = newest_version = 1
        for is_return, configuration, version in steps:
            era, revision = fleet_state.position
            found = [
                configuration_record(1, version=configuration),
                version_record(version, 2),
            ]
            if is_return:
                restore(fleet_state, *found, era=era + 1)
            else:
                for change in found:
                    revision += 1
                    write(fleet_state, change._replace(revision=revision))
            newest = max(newest, configuration)
            newest_version = max(newest_version, version)
            assert fleet_state.configuration is not None
            self.assertEqual(newest, fleet_state.configuration.version)
            self.assertEqual(newest_version, fleet_state.versions[MODEL][-1].version)


class RestoredPeersTest(unittest.TestCase):
    def feed_of(self, fleet_state: FleetState) -> FleetStateFeed:
        """Return the feed of a process with that state, and keep its mesh."""
        self.mesh = RecordingMesh(entry_peer("front-bac-a-2", "bac-a"), [PEER])
        return FleetStateFeed(self.mesh, fleet_state)  # type: ignore[arg-type]

    def experienced_feed(self) -> FleetStateFeed:
        """Return the feed of a process that knows more than the copy."""
        fleet_state = fleet_state_of(configuration_record(5), engine_record(1, 6))
        apply_records(fleet_state, configuration_record(20, version=2))
        apply_records(fleet_state, record("servers/i-1", None, 21))
        restore(fleet_state, configuration_record(5), engine_record(1, 6))
        return self.feed_of(fleet_state)

    # Guards against a process that starts with the copy alone, at the position of its peers.
    def test_a_process_that_read_the_copy_learns_the_rest_from_a_peer(self) -> None:
        experienced = self.experienced_feed()
        offer = experienced.position_payload(experienced.fleet_state.position)
        experienced.send_snapshot(PEER, {})
        snapshot = self.mesh.posted.pop()[2]
        started = FleetState(experienced.fleet_state.source)
        restore(started, configuration_record(5), engine_record(1, 6))
        feed = self.feed_of(started)
        self.assertFalse(started.is_confirmed())
        feed.handle_offer(PEER, offer)
        self.assertEqual([(PEER.name, FEED_ASK, {})], self.mesh.posted)
        self.assertFalse(started.is_confirmed())
        feed.handle_feed(PEER, snapshot)
        self.assertTrue(started.is_confirmed())
        assert started.configuration is not None
        self.assertEqual((2, {}), (started.configuration.version, started.upstreams))
        restore(started, configuration_record(5), engine_record(1, 6))
        self.assertEqual((2, {}), (started.configuration.version, started.upstreams))

    # Guards against entries of another zone that restarted: they hear only positions from here.
    def test_a_notice_names_outdated_records(self) -> None:
        experienced = self.experienced_feed()
        notice = experienced.position_payload(experienced.fleet_state.position)
        started = FleetState(experienced.fleet_state.source)
        restore(started, configuration_record(5), engine_record(1, 6))
        self.feed_of(started).handle_notice(PEER, notice)
        self.assertEqual([FEED_ASK], [kind for _, kind, _ in self.mesh.posted])

    def test_a_process_that_hears_nobody_is_confirmed_after_a_while(self) -> None:
        fleet_state = fleet_state_of(configuration_record(5))
        self.assertTrue(fleet_state.is_confirmed())
        restore(fleet_state, configuration_record(5))
        self.assertFalse(fleet_state.is_confirmed())
        later_s = boot_time_s() + state.PEERS_HEARD_S + 0.1
        with mock.patch.object(state, "boot_time_s", lambda: later_s):
            self.assertTrue(fleet_state.is_confirmed())

    # Guards against older builds, which send no era: their messages are of the own one.
    def test_a_message_without_an_era_is_of_the_own_era(self) -> None:
        feed = self.experienced_feed()
        change = configuration_record(COPY_REVISION + 1, version=3)
        batch = Batch(COPY_REVISION, COPY_REVISION + 1, [change], False, 0.0)
        payload = feed.feed_payload(batch, pack_records([change]))
        for name in ("era", "outdated", "record_eras"):
            del payload[name]
        feed.handle_feed(PEER, payload)
        self.assertEqual(Position(1, COPY_REVISION + 1), feed.fleet_state.position)
        assert feed.fleet_state.configuration is not None
        self.assertEqual(3, feed.fleet_state.configuration.version)
