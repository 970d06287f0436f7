"""Tests of evacuations known before the store came back from an older copy."""

import unittest
from typing import Final
from unittest import mock

from gypsumpier.fleet import evacuations, recordtable, state
from gypsumpier.fleet.change import Batch
from gypsumpier.fleet.evacuations import REPEAT_S, Evacuations
from gypsumpier.fleet.record import Record
from gypsumpier.fleet.state import FleetState
from gypsumpier.mesh import feed
from gypsumpier.mesh.feed import FleetStateFeed
from gypsumpier.test import builders_platform
from gypsumpier.test.builders_platform import (
    ZONE,
    DecodingSource,
    apply_records,
    engine_record,
    evacuation_record,
    fleet_state_of,
)
from gypsumpier.test.fakes_mesh import RecordingMesh
from gypsumpier.test.fakes_piece import entry_peer

COPY_REVISION: Final = 10
PEER: Final = entry_peer("front-bac-a-1", "bac-a")
ENDED: Final = evacuation_record(21, is_evacuated=False)
ENGINE: Final = engine_record(1, 1)


class RestoredEvacuationsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now_s = 1000.0
        for module in (state, evacuations, recordtable, feed, builders_platform):
            patch = mock.patch.object(module, "boot_time_s", lambda: self.now_s)
            patch.start()
            self.addCleanup(patch.stop)

    def restore(self, fleet_state: FleetState, *copied: Record, era: int = 1) -> None:
        """Apply the content of the copy from which the store has come back."""
        records = [found._replace(era=era) for found in copied]
        batch = Batch(0, COPY_REVISION, records, True, 0.0, era)
        fleet_state.apply(batch, self.now_s, "test")

    def write(self, fleet_state: FleetState, found: Record) -> None:
        """Apply a change that a watch in the state's era has read."""
        era, after = fleet_state.position
        batch = Batch(after, found.revision, [found._replace(era=era)], False, 0.0, era)
        fleet_state.apply(batch, self.now_s, "test")

    def wait(self, fleet_state: FleetState, seconds: float, proves: bool = True) -> None:
        """Let time pass, with or without a proof at its end that the store has nothing newer."""
        self.now_s += seconds
        if proves:
            fleet_state.record_proof(self.now_s)
        fleet_state.drop_expired_lapsed()

    def assert_evacuated(self, fleet_state: FleetState, is_evacuated: bool = True) -> None:
        """Check whether the zone is evacuated for a process."""
        self.assertEqual(is_evacuated, ZONE in fleet_state.evacuations.zones)

    # Guards against requests to the zone until the operator's tools have repeated the write.
    def test_a_key_that_the_copy_lacks_holds_until_it_is_written_again(self) -> None:
        fleet_state = fleet_state_of(evacuation_record(20))
        self.restore(fleet_state)
        self.wait(fleet_state, REPEAT_S - 0.1)
        self.assert_evacuated(fleet_state)
        self.write(fleet_state, evacuation_record(12))
        self.wait(fleet_state, 10 * REPEAT_S)
        self.assert_evacuated(fleet_state)

    # Guards against a zone that is evacuated for good as its removal was lost with its key.
    def test_a_key_that_is_not_written_again_counts_as_removed(self) -> None:
        fleet_state = fleet_state_of(evacuation_record(20))
        notified = mock.Mock()
        fleet_state.listeners.append(notified)
        self.restore(fleet_state)
        notified.reset_mock()
        self.wait(fleet_state, REPEAT_S + 0.1)
        self.assert_evacuated(fleet_state, False)
        self.assertEqual({ZONE: self.now_s}, fleet_state.evacuations.ended_at_s)
        notified.assert_called_once()

    # Guards against an end by time alone: the write may have been repeated unheard.
    def test_it_does_not_end_while_the_store_can_not_be_reached(self) -> None:
        fleet_state = fleet_state_of(evacuation_record(20))
        self.restore(fleet_state)
        self.wait(fleet_state, 100 * REPEAT_S, proves=False)
        fleet_state.record_proof(self.now_s - 99 * REPEAT_S - 0.1)
        self.wait(fleet_state, 0.0, proves=False)
        self.assert_evacuated(fleet_state)
        self.wait(fleet_state, 0.0)
        self.assert_evacuated(fleet_state, False)

    # Guards against a removal in the new era that is ignored as the key is lost anyway.
    def test_a_removal_in_the_new_era_ends_it_at_once(self) -> None:
        fleet_state = fleet_state_of(evacuation_record(20))
        self.restore(fleet_state)
        self.write(fleet_state, evacuation_record(11, is_evacuated=False))
        self.assert_evacuated(fleet_state, False)

    # Guards against a zone that the copy evacuates once more after the operator ended that.
    def test_a_key_whose_removal_is_known_waits_for_the_removal(self) -> None:
        fleet_state = fleet_state_of(evacuation_record(5), ENGINE)
        apply_records(fleet_state, ENDED)
        self.restore(fleet_state, evacuation_record(5), ENGINE)
        self.assert_evacuated(fleet_state, False)
        self.write(fleet_state, evacuation_record(11, is_evacuated=False))
        self.wait(fleet_state, 2 * REPEAT_S)
        self.assert_evacuated(fleet_state, False)

    # Guards against requests to the zone for good as the removal was not meant to be repeated.
    def test_a_removal_that_is_not_repeated_is_void(self) -> None:
        for proves in (True, False):
            with self.subTest(proves=proves):
                fleet_state = fleet_state_of(evacuation_record(5))
                apply_records(fleet_state, ENDED)
                self.restore(fleet_state, evacuation_record(5))
                self.wait(fleet_state, REPEAT_S + 0.1, proves)
                self.assert_evacuated(fleet_state)
                self.write(fleet_state, evacuation_record(12, is_evacuated=False))
                self.assert_evacuated(fleet_state, False)

    # Guards against an evacuation that begins late as its key has a low revision.
    def test_a_key_written_anew_evacuates_at_once(self) -> None:
        for is_in_snapshot in (True, False):
            with self.subTest(is_in_snapshot=is_in_snapshot):
                fleet_state = fleet_state_of(evacuation_record(15))
                apply_records(fleet_state, ENDED)
                written = evacuation_record(9)
                self.restore(fleet_state, *([written] if is_in_snapshot else []))
                if not is_in_snapshot:
                    self.write(fleet_state, written._replace(revision=11))
                self.assert_evacuated(fleet_state)

    # Guards against an earlier write of the key that is taken for one made anew.
    def test_earlier_writes_of_the_key_are_known(self) -> None:
        fleet_state = fleet_state_of(evacuation_record(5))
        apply_records(fleet_state, evacuation_record(8, is_evacuated=False))
        apply_records(fleet_state, evacuation_record(12), evacuation_record(15))
        apply_records(fleet_state, ENDED)
        self.restore(fleet_state, evacuation_record(5))
        self.assert_evacuated(fleet_state, False)

    # Guards against a time that is over before the tools could repeat the write a second time.
    def test_each_return_gives_the_time_once_more(self) -> None:
        fleet_state = fleet_state_of(evacuation_record(20))
        self.restore(fleet_state)
        self.wait(fleet_state, REPEAT_S - 0.1)
        self.restore(fleet_state, era=2)
        self.wait(fleet_state, REPEAT_S - 0.1)
        self.assert_evacuated(fleet_state)
        self.wait(fleet_state, 0.2)
        self.assert_evacuated(fleet_state, False)

    def feed_of(self, fleet_state: FleetState) -> FleetStateFeed:
        """Return the feed of a process with that state, and keep its mesh."""
        self.mesh = RecordingMesh(entry_peer("front-bac-a-2", "bac-a"), [PEER])
        return FleetStateFeed(self.mesh, fleet_state)  # type: ignore[arg-type]

    # Guards against a process that starts meanwhile and reads the copy alone.
    def test_a_process_that_starts_meanwhile_learns_of_the_lost_key(self) -> None:
        experienced = fleet_state_of(evacuation_record(20), ENGINE)
        self.restore(experienced, ENGINE)
        self.wait(experienced, 1.0)
        sender = self.feed_of(experienced)
        offer = sender.position_payload(experienced.position)
        for handle in ("handle_offer", "handle_notice", "handle_feed"):
            with self.subTest(handle):
                started = FleetState(DecodingSource())
                self.restore(started, ENGINE)
                self.assert_evacuated(started, False)
                if handle == "handle_feed":
                    sender.send_snapshot(PEER, {})
                    offer = self.mesh.posted.pop()[2]
                notified = mock.Mock()
                started.listeners.append(notified)
                getattr(FleetStateFeed(self.mesh, started), handle)(PEER, offer)  # type: ignore
                notified.assert_called()
                self.assert_evacuated(started)
                lost_until_s = started.evacuations.lost[ZONE]
                self.assertAlmostEqual(self.now_s + REPEAT_S - 1.0, lost_until_s)

    # Guards against an end before the tools could repeat the write: the peer lags behind an era.
    def test_the_time_that_a_peer_of_an_older_era_names_does_not_count(self) -> None:
        late = fleet_state_of(evacuation_record(20), ENGINE)
        self.restore(late, ENGINE)
        self.wait(late, REPEAT_S - 0.5)
        message = self.feed_of(late).position_payload(late.position)
        started = FleetState(DecodingSource())
        self.restore(started, ENGINE, era=2)
        self.feed_of(started).handle_notice(PEER, message)
        self.assertEqual(self.now_s + REPEAT_S, started.evacuations.lost[ZONE])

    # Guards against the same for a process that has not read the store yet: it returns once more.
    def test_the_time_counts_anew_from_the_first_reading(self) -> None:
        late = fleet_state_of(evacuation_record(20), ENGINE)
        self.restore(late, ENGINE)
        message = self.feed_of(late).position_payload(late.position)
        started = FleetState(DecodingSource())
        self.feed_of(started).handle_notice(PEER, message)
        self.wait(started, REPEAT_S - 0.5, proves=False)
        self.restore(started, ENGINE, era=2)
        self.wait(started, REPEAT_S - 0.5)
        self.assert_evacuated(started)
        self.wait(started, 0.6)
        self.assert_evacuated(started, False)

    # Guards against an end although the store holds the key: a peer that read an earlier copy names
    # it as lost after the key was written again at the revision of the known write.
    def test_a_doubted_key_is_not_taken_for_a_lost_one(self) -> None:
        peer = fleet_state_of(ENGINE)
        self.restore(peer, ENGINE, evacuation_record(5), era=1)
        self.restore(peer, ENGINE, era=2)
        fleet_state = fleet_state_of(evacuation_record(5), ENGINE)
        apply_records(fleet_state, ENDED)
        self.restore(fleet_state, ENGINE, evacuation_record(5), era=2)
        message = self.feed_of(peer).position_payload(peer.position)
        self.feed_of(fleet_state).handle_notice(PEER, message)
        self.wait(fleet_state, REPEAT_S + 0.1)
        self.assert_evacuated(fleet_state)

    # Guards against an evacuation that goes round for good between processes.
    def test_a_lost_key_is_not_learned_again_after_its_end(self) -> None:
        slow = fleet_state_of(evacuation_record(20))
        self.restore(slow)
        quick = fleet_state_of(evacuation_record(20))
        self.restore(quick)
        message = self.feed_of(slow).position_payload(slow.position)
        self.wait(quick, REPEAT_S + 0.1)
        self.feed_of(quick).handle_notice(PEER, message)
        self.assert_evacuated(quick, False)
        ended = fleet_state_of(evacuation_record(20))
        apply_records(ended, ENDED)
        self.feed_of(ended).handle_notice(PEER, message)
        self.assert_evacuated(ended, False)

    # Guards against a message that evacuates a zone for good.
    def test_a_malformed_time_is_limited(self) -> None:
        for left_s in (1e9, float("inf"), float("nan"), -1.0):
            known = Evacuations()
            self.assertTrue(known.merge_lost({ZONE: [0, 5, left_s]}, True, "test"))
            self.assertLessEqual(known.lost[ZONE], self.now_s + REPEAT_S)

    # Guards against state that grows with each evacuation.
    def test_ends_are_forgotten_after_their_time(self) -> None:
        fleet_state = fleet_state_of()
        for number in range(20):
            zone = f"zone-{number}"
            apply_records(fleet_state, evacuation_record(10 + 2 * number, zone))
            apply_records(fleet_state, evacuation_record(11 + 2 * number, zone, False))
            self.now_s += evacuations.ENDED_KEPT_S / 2 - 1.0
        self.assertLessEqual(len(fleet_state.evacuations.ended), 3)
        self.assertEqual(
            set(fleet_state.evacuations.ended), set(fleet_state.evacuations.ended_at_s)
        )
