"""Tests that a change of a large configuration is sent as one, and that it arrives as the whole."""

import random
import unittest
import zlib
from typing import Any, Final
from unittest import mock

import msgpack
from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumpier.fleet.change import Batch
from gypsumpier.fleet.record import Record
from gypsumpier.mesh.feed import DELTAS, FEED, FEED_ASK, FleetStateFeed, pack_records
from gypsumpier.mesh.peer import Peer
from gypsumpier.test.builders_platform import engine_record, fleet_state_of
from gypsumpier.test.fakes_mesh import RecordingMesh
from gypsumpier.test.fakes_piece import entry_peer
from gypsumpier.test.test_record_delta import KEY, large_configuration
from gypsumpier.wire.frame import pack_payload

SIZES: Final = (1400, 6000)
"""Routes of a large configuration."""
CHANGE_BYTES_MAX: Final = 2000
"""Bytes of a message with one changed route, ages of versions and all."""
STORM: Final = 10
"""Changes 0.4 s after each other."""

WATCHER: Final = entry_peer("front-bac-a-1", "bac-a")
FOLLOWER: Final = entry_peer("front-bac-a-2", "bac-a")
OTHER: Final = entry_peer("front-bac-a-3", "bac-a")
PEERS: Final = {peer.name: peer for peer in (WATCHER, FOLLOWER, OTHER)}


class SharingEntries:
    """A watcher of the store and two entries of its zone; ``pending`` are messages on their way."""

    def __init__(self, first: Record) -> None:
        self.feeds: dict[str, FleetStateFeed] = {}
        self.meshes: dict[str, RecordingMesh] = {}
        for own in PEERS.values():
            mesh = RecordingMesh(own, [peer for peer in PEERS.values() if peer != own])
            self.meshes[own.name] = mesh
            state = fleet_state_of(first)
            self.feeds[own.name] = FleetStateFeed(mesh, state)  # type: ignore[arg-type]
            self.feeds[own.name].record_bases(state.snapshot())
        self.sent_bytes = 0

    def change(self, *records: Record) -> None:
        """Let the watcher read the records and share them."""
        feed = self.feeds[WATCHER.name]
        after = feed.fleet_state.revision
        batch = Batch(after, records[-1].revision, list(records), False, 0.0)
        feed.fleet_state.apply(batch, 0.0, "store")
        feed.share(batch)

    def taken(self, sender: Peer) -> list[tuple[str, str, Any]]:
        """Return the messages that an entry has posted, and count their bytes."""
        mesh = self.meshes[sender.name]
        found, mesh.posted = mesh.posted, []
        self.sent_bytes += sum(len(pack_payload(payload)) for _, _, payload in found)
        return found

    def deliver(self, sender: Peer, name: str, kind: str, payload: Any) -> None:
        """Let a message arrive, as a connection would pass it on."""
        mesh = self.meshes[name]
        if kind in mesh.aged_listeners:
            mesh.aged_listeners[kind](sender, payload, 0.0)
        else:
            mesh.listeners[kind](sender, payload)

    def settle(self) -> None:
        """Deliver all messages, and the answers to them, in order."""
        while any(mesh.posted for mesh in self.meshes.values()):
            for sender in PEERS.values():
                for message in self.taken(sender):
                    self.deliver(sender, *message)

    def value(self, peer: Peer) -> bytes | None:
        """Return the configuration that the entry knows."""
        return self.feeds[peer.name].fleet_state.records[KEY].value


class ChangeTest(unittest.TestCase):
    def check_same(self, entries: SharingEntries, record: Record) -> None:
        """Check that all entries have the record's very bytes, and its version in force."""
        for peer in PEERS.values():
            state = entries.feeds[peer.name].fleet_state
            self.assertEqual(record.value, entries.value(peer))
            assert state.configuration is not None
            self.assertEqual(record.revision, state.configuration.version)

    # Guards against a configuration that goes over a link as a whole at each change.
    def test_one_changed_route_is_sent_as_one(self) -> None:
        for routes in SIZES:
            for changed in (0, routes // 2, routes - 1):
                with self.subTest(routes=routes, changed=changed):
                    entries = SharingEntries(large_configuration(1, routes))
                    found = large_configuration(2, routes, changed)
                    entries.change(found)
                    entries.settle()
                    self.check_same(entries, found)
                    self.assertLess(entries.sent_bytes, 2 * CHANGE_BYTES_MAX)

    def test_a_storm_of_changes_stays_small(self) -> None:
        for routes in SIZES:
            with self.subTest(routes=routes):
                entries = SharingEntries(large_configuration(1, routes))
                for revision in range(2, 2 + STORM):
                    found = large_configuration(revision, routes, changed=revision * 100)
                    entries.change(found)
                    entries.settle()
                    self.check_same(entries, found)
                self.assertLess(entries.sent_bytes, 2 * STORM * CHANGE_BYTES_MAX)

    def test_several_changes_in_one_answer_of_the_store(self) -> None:
        entries = SharingEntries(large_configuration(1, SIZES[0]))
        records = [large_configuration(revision, SIZES[0], revision) for revision in range(2, 6)]
        entries.change(*records[:2], engine_record(1, 4), *records[3:])
        entries.settle()
        self.check_same(entries, records[-1])
        self.assertIn("i-1", entries.feeds[OTHER.name].fleet_state.upstreams)
        self.assertLess(entries.sent_bytes, 2 * 4 * CHANGE_BYTES_MAX)

    def test_a_snapshot_that_repeats_what_is_known(self) -> None:
        entries = SharingEntries(large_configuration(1, SIZES[0]))
        batch = entries.feeds[WATCHER.name].fleet_state.snapshot()
        entries.feeds[WATCHER.name].share(batch._replace(revision=2))
        entries.settle()
        self.assertEqual(2, entries.feeds[FOLLOWER.name].fleet_state.revision)
        self.check_same(entries, large_configuration(1, SIZES[0]))
        self.assertLess(entries.sent_bytes, 2 * CHANGE_BYTES_MAX)


class LostBaseTest(unittest.TestCase):
    def setUp(self) -> None:
        self.entries = SharingEntries(large_configuration(1, 200))

    def posted(self, sender: Peer, name: str) -> tuple[str, str, Any]:
        """Return the only message that an entry has posted to another."""
        (found,) = [message for message in self.entries.taken(sender) if message[0] == name]
        return found

    def check_healed(self, revision: int) -> None:
        """Check that the follower asks, is sent the whole and takes part in the next change."""
        follower = self.entries.feeds[FOLLOWER.name]
        self.assertEqual(1, follower.fleet_state.revision)
        self.assertEqual(revision, follower.announced[-1][0])
        self.entries.meshes[WATCHER.name].posted.clear()
        ask = self.posted(FOLLOWER, WATCHER.name)
        self.assertEqual((WATCHER.name, FEED_ASK, {}), ask)
        self.entries.deliver(FOLLOWER, *ask)
        answer = self.posted(WATCHER, FOLLOWER.name)
        self.assertNotIn(DELTAS, answer[2])
        self.entries.deliver(WATCHER, *answer)
        self.assertEqual(revision, follower.fleet_state.revision)
        self.entries.change(large_configuration(revision + 1, 200, changed=6))
        message = self.posted(WATCHER, FOLLOWER.name)
        self.assertIn(DELTAS, message[2])
        self.entries.deliver(WATCHER, *message)
        self.assertEqual(revision + 1, follower.fleet_state.revision)

    def change(self) -> tuple[str, str, Any]:
        """Return the message to the follower about a first change."""
        self.entries.change(large_configuration(2, 200, changed=5))
        return self.posted(WATCHER, FOLLOWER.name)

    def test_an_entry_with_another_base_asks_for_the_whole(self) -> None:
        follower = self.entries.feeds[FOLLOWER.name].fleet_state
        follower.records[KEY] = large_configuration(1, 199)
        self.entries.deliver(WATCHER, *self.change())
        self.check_healed(2)

    def test_an_entry_without_a_base_asks_for_the_whole(self) -> None:
        del self.entries.feeds[FOLLOWER.name].fleet_state.records[KEY]
        self.entries.deliver(WATCHER, *self.change())
        self.check_healed(2)

    def test_an_entry_that_gets_a_corrupt_delta_asks_for_the_whole(self) -> None:
        name, kind, payload = self.change()
        (fields,) = msgpack.unpackb(zlib.decompress(payload[DELTAS]))
        place = next(place for place, part in enumerate(fields[-1]) if isinstance(part, bytes))
        fields[-1][place] = fields[-1][place][:-1] + b"!"
        for bad in (zlib.compress(msgpack.packb([fields])), payload[DELTAS][:-3], b"", 7):
            with self.subTest(bad):
                self.entries.deliver(WATCHER, name, kind, payload | {DELTAS: bad})
                self.assertEqual(1, self.entries.feeds[FOLLOWER.name].fleet_state.revision)
        self.check_healed(2)

    # Guards against a whole copy for each change that is on its way as the base is found lost.
    def test_one_whole_copy_is_asked_for(self) -> None:
        del self.entries.feeds[FOLLOWER.name].fleet_state.records[KEY]
        self.entries.deliver(WATCHER, *self.change())
        for revision in range(3, 6):
            self.entries.change(large_configuration(revision, 200, changed=5))
            self.entries.deliver(WATCHER, *self.posted(WATCHER, FOLLOWER.name))
        self.check_healed(5)

    def test_a_lost_message_is_a_gap(self) -> None:
        self.change()
        self.entries.change(large_configuration(3, 200, changed=5))
        self.entries.deliver(WATCHER, *self.posted(WATCHER, FOLLOWER.name))
        self.assertEqual((WATCHER.name, FEED_ASK, {}), self.posted(FOLLOWER, WATCHER.name))

    def test_an_older_build_is_sent_the_whole(self) -> None:
        self.entries.meshes[WATCHER.name].older_builds.add(FOLLOWER.name)
        self.entries.change(large_configuration(2, 200, changed=5))
        payloads = {name: payload for name, _, payload in self.entries.taken(WATCHER)}
        self.assertNotIn(DELTAS, payloads[FOLLOWER.name])
        self.assertIn(DELTAS, payloads[OTHER.name])
        self.entries.deliver(WATCHER, FOLLOWER.name, FEED, payloads[FOLLOWER.name])
        self.assertEqual(2, self.entries.feeds[FOLLOWER.name].fleet_state.revision)

    def test_a_changed_configuration_that_shares_nothing_is_sent_whole(self) -> None:
        text = random.Random(1).randbytes(20_000)
        feed = self.entries.feeds[WATCHER.name]
        packed = feed.packed_batch(Batch(1, 2, [Record(KEY, text, 2)], False, 0.0), True)
        self.assertLessEqual(packed.size(), len(pack_records([Record(KEY, text, 2)])))

    # Guards against a base that is older than what the peers of a new reader know.
    def test_an_entry_that_takes_over_sends_deltas(self) -> None:
        self.entries.deliver(WATCHER, *self.change())
        follower = self.entries.feeds[FOLLOWER.name]
        found = large_configuration(3, 200, changed=8)
        batch = Batch(2, 3, [found], False, 0.0)
        follower.fleet_state.apply(batch, 0.0, "store")
        follower.share(batch)
        message = self.posted(FOLLOWER, WATCHER.name)
        self.assertIn(DELTAS, message[2])
        self.entries.deliver(FOLLOWER, *message)
        self.assertEqual(found.value, self.entries.value(WATCHER))

    def test_an_announcing_entry_that_restarts_sends_the_whole_first(self) -> None:
        """It knows no base; the changes behind its first snapshot are deltas again."""
        feed = self.entries.feeds[WATCHER.name]
        feed.bases.clear()
        snapshot = Batch(0, 2, [large_configuration(2, 200, changed=5)], True, 0.0)
        feed.fleet_state.apply(snapshot, 0.0, "store")
        feed.share(snapshot)
        message = self.posted(WATCHER, FOLLOWER.name)
        self.assertNotIn(DELTAS, message[2])
        self.entries.deliver(WATCHER, *message)
        self.entries.change(large_configuration(3, 200, changed=5))
        self.entries.settle()
        self.assertEqual(3, self.entries.feeds[FOLLOWER.name].fleet_state.revision)


class MixedOrderTest(unittest.TestCase):
    @settings(deadline=None, max_examples=60)
    @given(
        st.lists(
            st.tuples(st.integers(0, 19), st.sampled_from(("arrives", "lost", "twice", "late"))),
            min_size=1,
            max_size=8,
        )
    )
    def test_lost_repeated_and_late_messages(self, changes: list[tuple[int, str]]) -> None:
        """What an entry holds is at each moment the very configuration of its revision."""
        entries = SharingEntries(large_configuration(1, 20))
        follower = entries.feeds[FOLLOWER.name]
        written = {1: large_configuration(1, 20).value}
        late: list[tuple[str, str, Any]] = []
        with mock.patch("gypsumpier.mesh.feed.SNAPSHOT_TIMEOUT_S", 0.0):
            for revision, (changed, fate) in enumerate(changes, start=2):
                found = large_configuration(revision, 20, changed)
                written[revision] = found.value
                entries.change(found)
                messages = [one for one in entries.taken(WATCHER) if one[0] == FOLLOWER.name]
                arriving = [] if fate in ("lost", "late") else messages
                for message in arriving * (2 if fate == "twice" else 1) + late:
                    before = follower.fleet_state.revision
                    entries.deliver(WATCHER, *message)
                    self.assertGreaterEqual(follower.fleet_state.revision, before)
                    known = follower.fleet_state.records[KEY]
                    self.assertEqual(written[known.revision], known.value)
                late = messages if fate == "late" else []
                entries.settle()
            # The next proof of the watcher shows whether anything is missing.
            newest = len(changes) + 1
            entries.feeds[WATCHER.name].share(Batch(newest, newest, [], False, 0.0))
            entries.settle()
        self.assertEqual(newest, follower.fleet_state.revision)
        self.assertEqual(written[newest], entries.value(FOLLOWER))


if __name__ == "__main__":
    unittest.main()
