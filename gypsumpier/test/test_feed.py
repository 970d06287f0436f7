"""Tests of who reads the store, and of beliefs and proofs that peers pass on."""

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
    beliefs_of,
    configuration_record,
    engine_record,
    later,
    route_body,
)
from gypsumpier.test.fakes_piece import entry_peer


class PostingMesh:
    """A mesh that keeps what is posted."""

    def __init__(self, own: Peer, others: list[Peer]) -> None:
        self.own = own
        self.others = others
        self.listeners: dict[str, Any] = {}
        self.on_peer_connected: list[Any] = []
        self.posted: list[tuple[str, str, dict[str, Any]]] = []

    def peers(self, role: str = "entry", zone: str = "") -> list[Peer]:
        return sorted(p for p in self.others if p.role == role and (not zone or p.zone == zone))

    def post(self, name: str, kind: str, payload: dict[str, Any]) -> None:
        self.posted.append((name, kind, payload))

    def post_all(self, peers: list[Peer], kind: str, payload: dict[str, Any]) -> None:
        for peer in peers:
            self.post(peer.name, kind, payload)


NEAR = [entry_peer("front-bac-a-1", "bac-a"), entry_peer("front-bac-a-3", "bac-a")]
FAR = [entry_peer("front-nam-a-1", "nam-a"), entry_peer("front-nam-a-2", "nam-a")]


class FeedTest(unittest.TestCase):
    def build(self, others: list[Peer], age_s: float = 0.0) -> FleetStateFeed:
        """Return the feed of front-bac-a-2."""
        self.mesh = PostingMesh(entry_peer("front-bac-a-2", "bac-a"), others)
        beliefs = beliefs_of(configuration_record(5), proven_ago_s=age_s)
        return FleetStateFeed(self.mesh, beliefs)  # type: ignore[arg-type]

    def message(
        self, feed: FleetStateFeed, after: int, *records: Any, **fields: Any
    ) -> dict[str, Any]:
        """Return a batch as a peer would send it."""
        revision = max((found.revision for found in records), default=after)
        batch = Batch(after, revision, list(records), False, 0.0)
        return feed.feed_payload(batch, pack_records(batch.records)) | {"age_s": 0.0} | fields

    def test_the_first_entry_of_a_zone_watches_and_the_others_do_not(self) -> None:
        self.assertFalse(self.build(NEAR + FAR).should_read_store())
        self.assertTrue(self.build(NEAR[1:] + FAR).should_read_store())

    def test_in_a_single_zone_two_entries_watch(self) -> None:
        self.assertTrue(self.build(NEAR).should_read_store())

    def test_without_a_proof_for_long_an_entry_reads_for_itself(self) -> None:
        self.assertTrue(self.build(NEAR + FAR, age_s=module.TAKEOVER_S + 0.1).should_read_store())

    def test_a_revision_that_another_zone_knows_and_the_own_does_not_is_read(self) -> None:
        """Pattern: the watcher of a zone stands still as a configuration changes.

        The change must be in force within its bound, so nobody waits for the takeover.
        """
        feed = self.build(NEAR + FAR)
        feed.handle_notice(FAR[0], {"revision": 9, "age_s": 0.0})
        self.assertFalse(feed.should_read_store())
        later_s = time.monotonic() + module.RECORDS_DELAY_S + 0.01
        with mock.patch.object(time, "monotonic", lambda: later_s):
            self.assertTrue(feed.should_read_store())
            later(feed.fleet_state, engine_record(1, 9))
            self.assertFalse(feed.should_read_store())

    def test_records_go_to_the_own_zone_and_only_their_revision_to_others(self) -> None:
        feed = self.build(NEAR + FAR)
        feed.share(Batch(5, 6, [engine_record(1, 6)], False, 0.0))
        kinds = {name: kind for name, kind, _ in self.mesh.posted}
        self.assertEqual({FEED}, {kinds[peer.name] for peer in NEAR})
        self.assertEqual({NOTICE}, {kinds[peer.name] for peer in FAR})

    def test_a_proof_without_news_goes_to_one_entry_of_each_other_zone(self) -> None:
        feed = self.build(NEAR + FAR)
        feed.share(Batch(5, 5, [], False, 2.0))
        told = [name for name, kind, _ in self.mesh.posted if kind == NOTICE]
        self.assertEqual(1, len(told))

    def test_a_batch_of_a_peer_is_believed_with_the_age_of_its_proof(self) -> None:
        feed = self.build(NEAR, age_s=4.0)
        feed.handle_feed(NEAR[0], self.message(feed, 5, engine_record(1, 6), age_s=1.5))
        self.assertIn("i-1", feed.fleet_state.upstreams)
        self.assertAlmostEqual(1.5, feed.fleet_state.proof_age_s(), delta=0.3)

    def test_a_gap_is_not_believed_but_asked_for(self) -> None:
        feed = self.build(NEAR, age_s=4.0)
        feed.handle_feed(NEAR[0], self.message(feed, 8, engine_record(1, 9)))
        self.assertEqual((NEAR[0].name, FEED_ASK, {}), self.mesh.posted[-1])
        self.assertNotIn("i-1", feed.fleet_state.upstreams)
        self.assertGreater(feed.fleet_state.proof_age_s(), 3.5)

    def test_a_proof_of_another_zone_counts_only_at_the_same_revision(self) -> None:
        """Pattern: a whole zone has lost the store, and others have not."""
        feed = self.build(NEAR + FAR, age_s=4.0)
        feed.handle_notice(FAR[0], {"revision": 6, "age_s": 0.1})
        self.assertGreater(feed.fleet_state.proof_age_s(), 3.5)
        feed.handle_notice(FAR[0], {"revision": 5, "age_s": 0.1})
        self.assertLess(feed.fleet_state.proof_age_s(), 1.0)
        self.assertEqual({FEED}, {kind for _, kind, _ in self.mesh.posted})

    def test_a_new_connection_costs_no_more_than_an_offer(self) -> None:
        """Pattern: many connections of a zone break at once while a configuration is large."""
        feed = self.build(NEAR + FAR)
        for peer in NEAR + FAR:
            feed.send_offer(mock.Mock(peer=peer))
        told = {name: kind for name, kind, _ in self.mesh.posted}
        self.assertEqual({peer.name: FEED_OFFER for peer in NEAR}, told)

    def test_who_knows_less_asks_one_peer_for_everything(self) -> None:
        feed = self.build(NEAR + FAR, age_s=4.0)
        for peer in NEAR:
            feed.handle_offer(peer, {"revision": 9, "age_s": 0.1})
        self.assertEqual([(NEAR[0].name, FEED_ASK, {})], self.mesh.posted)
        self.assertGreater(feed.fleet_state.proof_age_s(), 3.5)
        later_s = time.monotonic() + module.SNAPSHOT_TIMEOUT_S + 0.01
        with mock.patch.object(time, "monotonic", lambda: later_s):
            feed.handle_offer(NEAR[1], {"revision": 9, "age_s": 0.1})
        self.assertEqual((NEAR[1].name, FEED_ASK, {}), self.mesh.posted[-1])

    def test_an_offer_of_the_same_revision_brings_its_proof(self) -> None:
        feed = self.build(NEAR, age_s=4.0)
        feed.handle_offer(NEAR[0], {"revision": 3, "age_s": 0.1})
        self.assertGreater(feed.fleet_state.proof_age_s(), 3.5)
        feed.handle_offer(NEAR[0], {"revision": 5, "age_s": 0.1})
        self.assertLess(feed.fleet_state.proof_age_s(), 1.0)
        self.assertEqual([], self.mesh.posted)

    def test_a_large_configuration_travels_in_a_tenth_of_its_size(self) -> None:
        """Pattern: the configuration grows by many routes and changes several times a second."""
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

    def test_an_outage_is_told_with_its_age(self) -> None:
        feed = self.build(NEAR)
        feed.handle_feed(NEAR[0], self.message(feed, 5, outage_ago_s=0.4))
        self.assertTrue(feed.fleet_state.is_after_outage())
