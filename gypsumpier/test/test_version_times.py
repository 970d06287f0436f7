"""Tests of what processes believe about the time at which a version of weights was named.

Every process of a test uses one clock, which the test advances; a message that is late is one that
is handled some time after it was posted.
"""

import unittest
from unittest import mock

from gypsumpier.fleet import state
from gypsumpier.mesh import feed
from gypsumpier.mesh.feed import AGE_FIELDS, FEED
from gypsumpier.mesh.peer import Peer
from gypsumpier.piece.turns import SwitchSchedule
from gypsumpier.test import builders_platform
from gypsumpier.test.builders_platform import (
    BOUNDS,
    ENGINES,
    MODEL,
)
from gypsumpier.test.versionprocess import (
    FAR_PEER,
    OWN,
    START_S,
    ZONE_PEER,
    ZONE_SIDECAR,
    Process,
    version_record,
)


class VersionTimesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now_s = START_S
        for module in (state, feed, builders_platform):
            patch = mock.patch.object(module, "boot_time_s", lambda: self.now_s)
            patch.start()
            self.addCleanup(patch.stop)

    def at(self, seconds: float) -> None:
        """Set the clock to ``seconds`` after the start of the test."""
        self.now_s = START_S + seconds

    def peer_that_saw_it(self, own: Peer = ZONE_PEER) -> Process:
        """Return a peer with continuous proofs that read version 2 as it was named, at 1 s."""
        peer = Process(own)
        self.at(1.0)
        peer.read_version()
        return peer

    def returned(self, at_s: float = 7.0) -> Process:
        """Return a process cut off from 0 s, which reads version 2 on its return."""
        self.at(0.0)
        process = Process(OWN)
        self.at(at_s)
        process.return_from_cut()
        return process


class ReceiptTest(VersionTimesTest):
    def test_a_late_receipt_is_corrected_to_an_earlier_observation(self) -> None:
        """The news of a version was 2 s on its way, which is too short for a gap of proofs."""
        peer, own = self.peer_that_saw_it(), Process(OWN)
        self.at(3.0)
        own.find_version()
        own.feed.handle_feed(peer.own, peer.feed_message())
        self.assertAlmostEqual(1.0, own.named_at_s())

    def test_a_late_message_does_not_move_an_observed_time(self) -> None:
        """Each message of a watcher arrives over a full link, 1.5 s after it was posted."""
        peer, own = self.peer_that_saw_it(), Process(OWN)
        own.read_version()
        for sent_s in (2.0, 4.0, 6.0):
            self.at(sent_s)
            message = peer.feed_message()
            self.at(sent_s + 1.5)
            own.feed.handle_feed(peer.own, message)
        self.assertAlmostEqual(1.0, own.named_at_s())

    def test_processes_agree_on_the_turns_after_a_late_receipt(self) -> None:
        """A schedule that was computed from the late time must not stay in use."""
        peer, own = self.peer_that_saw_it(), Process(OWN)
        self.at(3.0)
        own.find_version()
        schedules = [SwitchSchedule(one.state, BOUNDS.version_in_force_s) for one in (own, peer)]
        address = "127.0.0.1:8701"
        self.assertIsNotNone(schedules[0].turn(ENGINES, address))
        own.feed.handle_feed(peer.own, peer.feed_message())
        peer.feed.handle_feed(own.own, own.feed_message())
        turns = [schedule.turn(ENGINES, address) for schedule in schedules]
        assert turns[0] is not None and turns[1] is not None
        self.assertAlmostEqual(turns[0].at_s, turns[1].at_s)

    def test_a_time_later_than_that_of_learning_is_not_believed(self) -> None:
        """Guards against an age that lacks the time its message took: the latest bound wins."""
        own = Process(OWN)
        self.at(1.0)
        own.read_version()
        self.at(6.0)
        notice = own.notice() | {"proven": {MODEL: [[2, 0.5]]}}
        own.feed.handle_notice(FAR_PEER, notice)
        self.assertAlmostEqual(1.0, own.named_at_s())

    def test_a_message_of_an_older_build_does_not_replace_an_observed_time(self) -> None:
        """Older builds keep the later of two times, so theirs may be too late."""
        peer, own = self.peer_that_saw_it(), Process(OWN)
        own.read_version()
        self.at(6.0)
        message = peer.feed_message(named={MODEL: [[2, 1.0]]})
        for name in AGE_FIELDS.values():
            message.pop(name, None)
        own.feed.handle_feed(peer.own, message)
        self.assertAlmostEqual(1.0, own.named_at_s())

    def test_an_observed_time_replaces_that_of_an_older_build(self) -> None:
        """A process that has just started hears of the time from an older build first."""
        peer = self.peer_that_saw_it()
        self.at(6.0)
        own = Process(OWN, version_record(2))
        message = peer.feed_message(named={MODEL: [[2, 1.0]]})
        for name in AGE_FIELDS.values():
            message.pop(name, None)
        own.feed.handle_feed(peer.own, message)
        self.assertAlmostEqual(5.0, own.named_at_s())
        own.feed.handle_feed(peer.own, peer.feed_message())
        self.assertAlmostEqual(1.0, own.named_at_s())


class StartTest(VersionTimesTest):
    def test_a_started_process_adopts_an_observed_time(self) -> None:
        """Otherwise the version would be due at once, and requests refused without need."""
        peer = self.peer_that_saw_it()
        self.at(4.0)
        own = Process(OWN, version_record(2))
        self.assertEqual(float("-inf"), own.named_at_s())
        own.feed.handle_feed(peer.own, peer.feed_message())
        self.assertAlmostEqual(1.0, own.named_at_s())

    def test_a_started_process_does_not_change_the_time_of_its_peers(self) -> None:
        peer = self.peer_that_saw_it()
        self.at(4.0)
        own = Process(OWN, version_record(2))
        peer.feed.handle_feed(own.own, own.feed_message())
        self.assertAlmostEqual(1.0, peer.named_at_s())

    def test_the_later_of_two_lower_bounds_holds(self) -> None:
        """Neither process was in touch as the version was named; the later proof says more."""
        peer, own = Process(ZONE_PEER), Process(OWN, since_s=2.0)
        self.at(6.0)
        peer.find_version()
        own.find_version()
        self.assertAlmostEqual(-2.0, own.named_at_s())
        own.feed.handle_feed(peer.own, peer.feed_message())
        self.assertAlmostEqual(0.0, own.named_at_s())
        peer.feed.handle_feed(own.own, own.feed_message())
        self.assertAlmostEqual(0.0, peer.named_at_s())


class CutTest(VersionTimesTest):
    """Version 2 is named at 1 s; one process lost the store from 0 s on."""

    def test_a_process_that_returns_does_not_replace_the_time_of_its_peers(self) -> None:
        """A watcher that alone was cut off spreads the time of its return to its zone."""
        peer, own = self.peer_that_saw_it(), self.returned()
        peer.feed.handle_feed(own.own, own.feed_message())
        self.assertAlmostEqual(1.0, peer.named_at_s())

    def test_a_process_that_returns_adopts_the_time_of_its_zone(self) -> None:
        peer, own = self.peer_that_saw_it(), self.returned()
        self.at(7.5)
        own.feed.handle_feed(peer.own, peer.feed_message())
        self.assertAlmostEqual(1.0, own.named_at_s())

    def test_a_watcher_that_returns_adopts_the_time_in_a_notice(self) -> None:
        """Nobody else of its zone reads the store, so that only other zones send it messages."""
        peer, own = self.peer_that_saw_it(FAR_PEER), self.returned()
        self.at(7.5)
        own.feed.handle_notice(peer.own, peer.notice())
        self.assertAlmostEqual(1.0, own.named_at_s())

    def test_a_watcher_that_returns_adopts_the_time_in_an_offer(self) -> None:
        """Its connections were cut as well, and are made anew."""
        peer, own = self.peer_that_saw_it(), self.returned()
        self.at(7.5)
        own.feed.handle_offer(peer.own, peer.offer(OWN))
        self.assertAlmostEqual(1.0, own.named_at_s())

    def test_a_time_corrected_by_another_zone_is_passed_on_in_the_own_zone(self) -> None:
        """A whole zone was cut off, and a notice without news goes to one of its entries only."""
        peer, own = self.peer_that_saw_it(FAR_PEER), self.returned()
        own.mesh.posted.clear()
        own.feed.handle_notice(peer.own, peer.notice())
        sent = {name: payload for name, kind, payload in own.mesh.posted if kind == FEED}
        self.assertEqual({ZONE_PEER.name, ZONE_SIDECAR.name}, set(sent))
        zone_peer = self.returned()
        zone_peer.feed.handle_feed(own.own, sent[ZONE_PEER.name])
        self.assertAlmostEqual(1.0, zone_peer.named_at_s())
        own.mesh.posted.clear()
        own.feed.handle_notice(peer.own, peer.notice())
        self.assertEqual([], own.mesh.posted)

    def test_a_notice_and_an_offer_of_an_older_build_change_no_time(self) -> None:
        """Older builds send neither with times; a mixed fleet must understand both."""
        own = self.returned()
        message = {"revision": own.state.revision, "age_s": 0.0}
        own.feed.handle_notice(FAR_PEER, message)
        own.feed.handle_offer(ZONE_PEER, message)
        self.assertAlmostEqual(7.0, own.named_at_s())

    def test_the_time_of_a_version_whose_record_is_not_here_is_passed_over(self) -> None:
        """A notice comes before the records; engines must not load what was not read."""
        peer = self.peer_that_saw_it(FAR_PEER)
        own = Process(OWN)
        own.feed.handle_notice(peer.own, peer.notice())
        self.assertEqual({}, own.state.versions)
        own.feed.handle_notice(peer.own, peer.notice() | {"observed": {"other": [[2, 1.0]]}})
        self.assertEqual({}, own.state.versions)

    def test_a_process_that_missed_a_version_keeps_the_limit_of_that_version(self) -> None:
        """Two versions are named while it is cut off, and a snapshot holds the newer one only.

        Its engines must serve at least the first by the first one's limit.
        """
        peer = self.peer_that_saw_it()
        self.at(3.0)
        peer.read_version(3)
        self.at(0.0)
        own = Process(OWN)
        self.at(7.0)
        own.return_from_cut(3)
        own.feed.handle_feed(peer.own, peer.feed_message())
        self.assertEqual(2, own.state.due_version(MODEL, START_S + 2.0))
        self.assertEqual(3, own.state.due_version(MODEL, START_S + 3.5))
        self.assertEqual([2, 3], [wanted.version for wanted in own.state.versions[MODEL]])

    def test_no_more_versions_are_added_than_are_kept(self) -> None:
        """A peer that lags behind lists older versions; the list must stay bounded."""
        own = Process(OWN)
        newest = state.VERSIONS_KEPT + 3
        for version in [3, *range(5, newest + 1)]:
            own.read_version(version)
        self.at(2.0)
        for ages in ([[2, 1.0]], [[4, 0.5]], [[2, 1.0], [3, 1.0], [4, 1.0]]):
            own.feed.handle_feed(ZONE_PEER, own.feed_message(observed={MODEL: ages}))
        kept = own.state.versions[MODEL]
        self.assertEqual((state.VERSIONS_KEPT, newest), (len(kept), kept[-1].version))
        # The oldest claims are from 1 s and 1.5 s; everything else was read at 0 s.
        self.assertEqual(newest, own.state.due_version(MODEL, START_S + 0.1))


class StandstillTest(VersionTimesTest):
    """An entry stands still from before the naming of version 2, at 1 s, until 5.4 s."""

    def test_an_entry_that_goes_on_does_not_make_its_zone_take_a_version_for_younger(self) -> None:
        """Guards against replaced weights in a zone: the news waited in the entry's buffers."""
        reader = self.peer_that_saw_it()
        news = reader.share_version()
        self.at(0.0)
        stopped = Process(OWN)
        self.at(5.4)
        stopped.feed.handle_feed(reader.own, news, delay_s=4.4)
        self.assertAlmostEqual(1.0, stopped.named_at_s())
        reader.feed.handle_feed(stopped.own, stopped.feed_message())
        self.assertAlmostEqual(1.0, reader.named_at_s())

    def test_an_entry_that_goes_on_and_reads_the_store_does_neither(self) -> None:
        """Guards against the same where its own call is answered before it reads its messages."""
        reader = self.peer_that_saw_it()
        news = reader.share_version()
        self.at(0.0)
        stopped = Process(OWN)
        self.at(5.4)
        stopped.find_version()
        reader.feed.handle_feed(stopped.own, stopped.feed_message())
        self.assertAlmostEqual(1.0, reader.named_at_s())
        stopped.feed.handle_feed(reader.own, news, delay_s=4.4)
        stopped.feed.handle_feed(reader.own, reader.feed_message())
        self.assertAlmostEqual(1.0, stopped.named_at_s())


class ClaimTest(VersionTimesTest):
    def test_an_observed_time_that_comes_before_the_record_holds(self) -> None:
        """Guards against a bound seconds too early: a notice overtakes the records of the zone."""
        peer = self.peer_that_saw_it(FAR_PEER)
        self.at(0.0)
        own = Process(OWN)
        self.at(1.1)
        own.feed.handle_notice(peer.own, peer.notice())
        self.at(1.3)
        own.find_version()
        self.assertAlmostEqual(1.0, own.named_at_s())

    def test_a_claim_to_a_newer_version_outlives_the_record_of_an_older_one(self) -> None:
        """Guards against the loss of a claim where two versions are named in a row."""
        peer = self.peer_that_saw_it(FAR_PEER)
        self.at(1.5)
        peer.read_version(3)
        self.at(0.0)
        own = Process(OWN)
        self.at(2.0)
        own.feed.handle_notice(peer.own, peer.notice())
        for version in (2, 3):
            own.find_version(version, proven_ago_s=1.0)
        self.assertAlmostEqual(1.0, own.named_at_s(2))
        self.assertAlmostEqual(1.5, own.named_at_s(3))

    def test_a_proof_of_another_zone_raises_a_lower_bound(self) -> None:
        """Guards against engines without use: the proofs of one zone are older than need be."""
        peer, own = Process(FAR_PEER), Process(OWN, since_s=2.0)
        self.at(3.0)
        peer.find_version()
        own.find_version()
        self.assertAlmostEqual(-2.0, own.named_at_s())
        own.feed.handle_notice(peer.own, peer.notice())
        self.assertAlmostEqual(0.0, own.named_at_s())

    def test_claims_are_bounded(self) -> None:
        own = Process(OWN)
        models = {f"m-{number}": [[2, 1.0]] for number in range(state.MODELS_CLAIMED_MAX + 5)}
        versions = {"m-0": [[number, 1.0] for number in range(state.VERSIONS_KEPT + 5)]}
        for observed in (models, versions):
            own.feed.handle_feed(ZONE_PEER, own.feed_message(observed=observed))
        self.assertEqual(state.MODELS_CLAIMED_MAX, len(own.state.claims))
        self.assertEqual(state.VERSIONS_KEPT, len(own.state.claims["m-0"]))


class OutageTest(VersionTimesTest):
    def test_an_outage_is_refuted_by_a_proof_of_a_time_within_it(self) -> None:
        """Guards against a zone that trusts the return of one reader that alone was cut off."""
        own = Process(OWN)
        self.at(4.0)
        own.state.record_proof(START_S + 3.0)
        self.at(6.0)
        own.feed.handle_feed(ZONE_PEER, own.feed_message(outage_ago_s=0.0, outage_lasted_s=5.5))
        self.assertFalse(own.state.is_after_outage())
        own.find_version()
        self.assertAlmostEqual(6.0, own.named_at_s(), delta=3.0)
        self.assertLess(own.named_at_s(), 6.0)

    def test_a_proof_from_before_an_outage_does_not_replace_its_end(self) -> None:
        """Guards against requests refused: one entry stood still all through the outage."""
        returned, stopped = self.returned(9.0), Process(ZONE_PEER, since_s=9.5)
        stopped.find_version()
        returned.feed.handle_feed(stopped.own, stopped.feed_message())
        self.assertAlmostEqual(9.0, returned.named_at_s())

    def test_a_started_process_adopts_the_end_of_an_outage(self) -> None:
        """Guards against a version that is due at once in a process that starts later."""
        returned = self.returned(9.0)
        self.at(12.0)
        own = Process(ZONE_PEER, version_record(2))
        own.feed.handle_feed(returned.own, returned.feed_message())
        self.assertAlmostEqual(9.0, own.named_at_s())

    def test_the_time_of_an_outage_for_everyone_does_not_count(self) -> None:
        """A version is named while nobody can read the store; the first reads it again at 9 s."""
        first, second = Process(OWN), Process(ZONE_PEER)
        self.at(9.0)
        first.return_from_cut()
        message = first.feed_message()
        self.at(9.1)
        second.feed.handle_feed(first.own, message)
        second.return_from_cut()
        self.at(9.5)
        first.feed.handle_feed(second.own, second.feed_message())
        second.feed.handle_feed(first.own, first.feed_message())
        self.assertGreater(first.named_at_s(), 9.0 - 1e-6)
        self.assertGreater(second.named_at_s(), 9.0 - 1e-6)
