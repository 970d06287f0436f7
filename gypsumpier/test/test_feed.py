"""Tests of which process reads the store, and of batches and proofs that peers forward."""

import time
import unittest
import zlib
from typing import Any
from unittest import mock

from gypsumpier.fleet.change import Batch
from gypsumpier.mesh import feed as module
from gypsumpier.mesh.feed import (
    FEED,
    FEED_ASK,
    FEED_OFFER,
    NOTICE,
    FleetStateFeed,
    pack_records,
    unpack_records,
)
from gypsumpier.mesh.peer import Peer
from gypsumpier.test.builders_platform import (
    apply_records,
    configuration_record,
    engine_record,
    fleet_state_of,
    route_body,
)
from gypsumpier.test.fakes_mesh import RecordingMesh
from gypsumpier.test.fakes_piece import entry_peer

OWN_ZONE_PEERS = [entry_peer("front-bac-a-1", "bac-a"), entry_peer("front-bac-a-3", "bac-a")]
OTHER_ZONE_PEERS = [entry_peer("front-nam-a-1", "nam-a"), entry_peer("front-nam-a-2", "nam-a")]


class FeedTest(unittest.TestCase):
    def build(self, others: list[Peer], age_s: float = 0.0) -> FleetStateFeed:
        """Return the feed of front-bac-a-2."""
        self.mesh = RecordingMesh(entry_peer("front-bac-a-2", "bac-a"), others)
        fleet_state = fleet_state_of(configuration_record(5), proven_ago_s=age_s)
        return FleetStateFeed(self.mesh, fleet_state)  # type: ignore[arg-type]

    def payload_of(
        self, feed: FleetStateFeed, after: int, *records: Any, **fields: Any
    ) -> dict[str, Any]:
        """Return the payload of a batch as a peer would send it."""
        revision = max((found.revision for found in records), default=after)
        batch = Batch(after, revision, list(records), False, 0.0)
        return feed.feed_payload(batch, pack_records(batch.records)) | {"age_s": 0.0} | fields

    def test_the_first_entry_of_a_zone_watches_and_the_others_do_not(self) -> None:
        self.assertFalse(self.build(OWN_ZONE_PEERS + OTHER_ZONE_PEERS).should_read_store())
        self.assertTrue(self.build(OWN_ZONE_PEERS[1:] + OTHER_ZONE_PEERS).should_read_store())

    def test_in_a_single_zone_two_entries_watch(self) -> None:
        self.assertTrue(self.build(OWN_ZONE_PEERS).should_read_store())

    def test_without_a_proof_for_the_takeover_time_an_entry_reads_the_store(self) -> None:
        self.assertTrue(
            self.build(
                OWN_ZONE_PEERS + OTHER_ZONE_PEERS, age_s=module.TAKEOVER_S + 0.1
            ).should_read_store()
        )

    def test_an_entry_that_has_taken_over_reads_until_one_before_it_reads_again(self) -> None:
        """Guards against changes that are late by a take-over each: the watchers are cut off.

        A watcher that only passes on what it hears is still cut off itself.
        """
        others = OWN_ZONE_PEERS + OTHER_ZONE_PEERS
        feed = self.build(others, age_s=module.TAKEOVER_S + 0.1)
        self.assertTrue(feed.should_read_store())
        apply_records(feed.fleet_state, engine_record(1, 6))
        self.assertTrue(feed.should_read_store())
        watcher, follower = OWN_ZONE_PEERS
        feed.handle_feed(watcher, self.payload_of(feed, 6))
        feed.handle_feed(follower, self.payload_of(feed, 6, read=True))
        self.assertTrue(feed.should_read_store())
        feed.handle_feed(watcher, self.payload_of(feed, 6, read=True))
        self.assertFalse(feed.should_read_store())

    def test_a_revision_announced_by_another_zone_is_read_if_its_records_are_late(self) -> None:
        """The watcher of a zone hangs while a configuration changes.

        The change must be in force within its time limit, so entries must read it before the
        take-over time has passed.
        """
        feed = self.build(OWN_ZONE_PEERS + OTHER_ZONE_PEERS)
        feed.handle_notice(OTHER_ZONE_PEERS[0], {"revision": 9, "age_s": 0.0})
        self.assertFalse(feed.should_read_store())
        later_s = time.monotonic() + module.RECORDS_DELAY_S + 0.01
        with mock.patch.object(time, "monotonic", lambda: later_s):
            self.assertTrue(feed.should_read_store())
            apply_records(feed.fleet_state, engine_record(1, 9))
            self.assertFalse(feed.should_read_store())

    def test_records_go_to_the_own_zone_and_only_their_revision_to_others(self) -> None:
        feed = self.build(OWN_ZONE_PEERS + OTHER_ZONE_PEERS)
        feed.share(Batch(5, 6, [engine_record(1, 6)], False, 0.0))
        kinds = {name: kind for name, kind, _ in self.mesh.posted}
        self.assertEqual({FEED}, {kinds[peer.name] for peer in OWN_ZONE_PEERS})
        self.assertEqual({NOTICE}, {kinds[peer.name] for peer in OTHER_ZONE_PEERS})

    def test_a_proof_without_records_goes_to_one_entry_of_each_other_zone(self) -> None:
        feed = self.build(OWN_ZONE_PEERS + OTHER_ZONE_PEERS)
        feed.share(Batch(5, 5, [], False, 2.0))
        recipients = [name for name, kind, _ in self.mesh.posted if kind == NOTICE]
        self.assertEqual(1, len(recipients))

    def test_a_batch_of_a_peer_is_applied_with_the_age_of_its_proof(self) -> None:
        feed = self.build(OWN_ZONE_PEERS, age_s=4.0)
        feed.handle_feed(
            OWN_ZONE_PEERS[0], self.payload_of(feed, 5, engine_record(1, 6), age_s=1.5)
        )
        self.assertIn("i-1", feed.fleet_state.upstreams)
        self.assertAlmostEqual(1.5, feed.fleet_state.proof_age_s(), delta=0.3)

    def test_after_a_gap_a_snapshot_is_requested(self) -> None:
        feed = self.build(OWN_ZONE_PEERS, age_s=4.0)
        feed.handle_feed(OWN_ZONE_PEERS[0], self.payload_of(feed, 8, engine_record(1, 9)))
        self.assertEqual((OWN_ZONE_PEERS[0].name, FEED_ASK, {}), self.mesh.posted[-1])
        self.assertNotIn("i-1", feed.fleet_state.upstreams)
        self.assertGreater(feed.fleet_state.proof_age_s(), 3.5)

    def test_a_proof_of_another_zone_counts_only_at_the_same_revision(self) -> None:
        """All entries of a zone have lost the store while other zones still reach it.

        A proof for a revision that the zone does not have must not make its state seem fresh.
        """
        feed = self.build(OWN_ZONE_PEERS + OTHER_ZONE_PEERS, age_s=4.0)
        feed.handle_notice(OTHER_ZONE_PEERS[0], {"revision": 6, "age_s": 0.1})
        self.assertGreater(feed.fleet_state.proof_age_s(), 3.5)
        feed.handle_notice(OTHER_ZONE_PEERS[0], {"revision": 5, "age_s": 0.1})
        self.assertLess(feed.fleet_state.proof_age_s(), 1.0)
        self.assertEqual({FEED}, {kind for _, kind, _ in self.mesh.posted})

    def test_a_new_connection_sends_only_an_offer(self) -> None:
        """Many connections of a zone break at once while the configuration is large.

        Snapshots sent on every new connection would congest the links.
        """
        feed = self.build(OWN_ZONE_PEERS + OTHER_ZONE_PEERS)
        for peer in OWN_ZONE_PEERS + OTHER_ZONE_PEERS:
            feed.send_offer(mock.Mock(peer=peer))
        kinds_by_peer = {name: kind for name, kind, _ in self.mesh.posted}
        self.assertEqual({peer.name: FEED_OFFER for peer in OWN_ZONE_PEERS}, kinds_by_peer)

    def test_a_process_at_an_older_revision_requests_one_snapshot(self) -> None:
        feed = self.build(OWN_ZONE_PEERS + OTHER_ZONE_PEERS, age_s=4.0)
        for peer in OWN_ZONE_PEERS:
            feed.handle_offer(peer, {"revision": 9, "age_s": 0.1})
        self.assertEqual([(OWN_ZONE_PEERS[0].name, FEED_ASK, {})], self.mesh.posted)
        self.assertGreater(feed.fleet_state.proof_age_s(), 3.5)
        later_s = time.monotonic() + module.SNAPSHOT_TIMEOUT_S + 0.01
        with mock.patch.object(time, "monotonic", lambda: later_s):
            feed.handle_offer(OWN_ZONE_PEERS[1], {"revision": 9, "age_s": 0.1})
        self.assertEqual((OWN_ZONE_PEERS[1].name, FEED_ASK, {}), self.mesh.posted[-1])

    def test_an_offer_of_the_same_revision_brings_its_proof(self) -> None:
        feed = self.build(OWN_ZONE_PEERS, age_s=4.0)
        feed.handle_offer(OWN_ZONE_PEERS[0], {"revision": 3, "age_s": 0.1})
        self.assertGreater(feed.fleet_state.proof_age_s(), 3.5)
        feed.handle_offer(OWN_ZONE_PEERS[0], {"revision": 5, "age_s": 0.1})
        self.assertLess(feed.fleet_state.proof_age_s(), 1.0)
        self.assertEqual([], self.mesh.posted)

    def test_a_large_configuration_is_compressed_to_a_tenth(self) -> None:
        """A configuration with many routes changes several times a second."""
        routes = [route_body(f"r{number}", prefix=f"/r{number}/") for number in range(1900)]
        found = configuration_record(6, routes=routes)
        assert found.value is not None
        content = pack_records([found])
        self.assertLess(len(content), len(found.value) / 8)
        self.assertEqual([found], unpack_records(content))

    def test_records_that_cannot_be_read_are_a_bad_message(self) -> None:
        content = pack_records([configuration_record(6)])
        for bad in (b"", b"text", content[:-5], zlib.compress(b"text")):
            with self.assertRaises((ValueError, TypeError)):
                unpack_records(bad)
        with mock.patch.object(module, "RECORDS_BYTES_MAX", 100), self.assertRaises(ValueError):
            unpack_records(content)

    def test_an_outage_is_reported_with_its_age(self) -> None:
        feed = self.build(OWN_ZONE_PEERS)
        feed.handle_feed(OWN_ZONE_PEERS[0], self.payload_of(feed, 5, outage_ago_s=0.4))
        self.assertTrue(feed.fleet_state.is_after_outage())
