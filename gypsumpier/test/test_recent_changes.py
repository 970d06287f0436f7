"""Tests of the changes that a process sends to a peer of another zone that lacks them."""

import time
import unittest
from typing import Final
from unittest import mock

from gypsumpier.fleet.change import Batch
from gypsumpier.fleet.clock import boot_time_s
from gypsumpier.fleet.position import Position
from gypsumpier.fleet.record import Record
from gypsumpier.mesh import feed as module
from gypsumpier.mesh.feed import FEED, FEED_ASK, READING, STORE_FAILED, FleetStateFeed
from gypsumpier.mesh.peer import Peer
from gypsumpier.mesh.recentchanges import BATCHES_MAX, BYTES_MAX, RecentChanges
from gypsumpier.mesh.zonereads import INTERVAL_S, VALID_S
from gypsumpier.test.builders_platform import configuration_record, engine_record, fleet_state_of
from gypsumpier.test.fakes_mesh import RecordingMesh
from gypsumpier.test.fakes_piece import entry_peer

ZONE_NAMES: Final = [f"front-nam-a-{number}" for number in range(1, 6)]
ANNOUNCER: Final = entry_peer("front-bac-a-1", "bac-a")


def batch_of(after: int, *records: Record, era: int = 0, is_snapshot: bool = False) -> Batch:
    """Return a batch with the records."""
    revision = max((found.revision for found in records), default=after)
    return Batch(after, revision, list(records), is_snapshot, 0.0, era)


class RecentChangesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.changes = RecentChanges()
        self.changes.add(batch_of(0, configuration_record(5), is_snapshot=True))

    def since(self, revision: int, era: int = 0) -> list[int] | None:
        """Return the revisions of the records after that position; None where unknown."""
        found = self.changes.since(Position(era, revision))
        return None if found is None else [record.revision for record in found.records]

    def test_only_the_newest_record_of_each_key_is_sent(self) -> None:
        self.changes.add(batch_of(5, engine_record(1, 6), engine_record(2, 7)))
        self.changes.add(batch_of(7, engine_record(1, 8)))
        self.assertEqual([7, 8], self.since(5))
        self.assertEqual([8], self.since(7))
        self.assertEqual([], self.since(8))

    def test_a_removal_is_a_change(self) -> None:
        """Guards against a peer that keeps an upstream whose record was removed."""
        self.changes.add(batch_of(5, Record("servers/i-1", None, 6)))
        found = self.changes.since(Position(0, 5))
        assert found is not None
        self.assertEqual([Record("servers/i-1", None, 6)], found.records)

    def test_changes_that_are_not_all_known_are_not_sent(self) -> None:
        """Guards against a proof for a state that lacks a change, such as a revoked key."""
        self.changes.add(batch_of(5, engine_record(1, 6)))
        self.assertIsNone(self.since(4))
        self.assertIsNone(self.since(7))
        self.changes.add(batch_of(8, engine_record(1, 9)))
        self.assertIsNone(self.since(6))
        self.assertEqual([], self.since(9))

    def test_revisions_of_another_era_are_not_compared(self) -> None:
        self.changes.add(batch_of(0, engine_record(1, 6)._replace(era=2), era=2, is_snapshot=True))
        self.assertIsNone(self.since(6))
        self.assertEqual([], self.since(6, era=2))

    def test_the_number_of_changes_that_are_kept_is_bounded(self) -> None:
        for revision in range(6, 6 + 2 * BATCHES_MAX):
            self.changes.add(batch_of(revision - 1, engine_record(1, revision)))
        self.assertEqual(BATCHES_MAX, len(self.changes.batches))
        self.assertIsNone(self.since(5))
        self.assertEqual([5 + 2 * BATCHES_MAX], self.since(5 + BATCHES_MAX))

    def test_the_newest_record_of_a_key_is_sent_whatever_the_order(self) -> None:
        """Guards against an older record under the proof of a newer one."""
        self.changes.add(batch_of(5, engine_record(1, 7), engine_record(1, 6)))
        self.assertEqual([7], self.since(5))

    def test_the_memory_for_removals_is_bounded(self) -> None:
        """Guards against removals without end, which have no value but long keys."""
        key_bytes = BYTES_MAX // 1024
        for revision in range(6, 6 + 400):
            removals = [Record(f"{number:0{key_bytes}}", None, revision) for number in range(8)]
            self.changes.add(batch_of(revision - 1, *removals))
        kept = [record for batch in self.changes.batches for record in batch.records]
        self.assertLessEqual(sum(len(record.key) for record in kept), BYTES_MAX)
        self.assertIsNone(self.since(5))
        self.assertEqual([], self.since(405))


class OverdueChangesTest(unittest.TestCase):
    """The entries of a zone without a delivering watcher, and an announcement of revision 6."""

    def setUp(self) -> None:
        self.now_s = time.monotonic()
        patch = mock.patch.object(time, "monotonic", lambda: self.now_s)
        patch.start()
        self.addCleanup(patch.stop)
        zone = [entry_peer(name, "nam-a") for name in ZONE_NAMES]
        self.feeds = [self.feed_of(own.name, [*zone, ANNOUNCER]) for own in zone]
        for feed in self.feeds:
            feed.handle_notice(ANNOUNCER, {"revision": 6, "age_s": 0.0})

    def feed_of(self, name: str, peers: list[Peer]) -> FleetStateFeed:
        """Return the feed of an entry that knows revision 5."""
        own = next(peer for peer in peers if peer.name == name)
        mesh = RecordingMesh(own, [peer for peer in peers if peer != own])
        return FleetStateFeed(mesh, fleet_state_of(configuration_record(5)))  # type: ignore[arg-type]

    def posted(self, feed: FleetStateFeed, kind: str) -> list[tuple[str, dict[str, object]]]:
        """Return recipients and payloads of the messages of a kind that were posted."""
        mesh = feed.mesh
        assert isinstance(mesh, RecordingMesh)
        return [(name, payload) for name, found, payload in mesh.posted if found == kind]

    def pass_time(self, seconds: float) -> list[str]:
        """Let time pass; return the entries that then want to read the store."""
        self.now_s += seconds
        return [feed.mesh.own.name for feed in self.feeds[1:] if feed.should_read_store()]

    def test_the_first_entry_behind_the_watcher_requests_the_changes(self) -> None:
        """Guards against a reading of the whole configuration where its changes are at hand."""
        self.assertEqual([], self.pass_time(module.CHANGES_DELAY_S + 0.01))
        requests = [self.posted(feed, FEED_ASK) for feed in self.feeds]
        self.assertEqual([(ANNOUNCER.name, {"after": [0, 5]})], requests[1])
        self.assertEqual([[], [], [], []], requests[:1] + requests[2:])

    def test_a_few_entries_request_the_changes_one_after_the_other(self) -> None:
        """Guards against a copy of the changes for each entry over the narrow link."""
        began_at_s = self.now_s
        for rank in range(module.STAGGERED_READERS):
            delay_s = module.CHANGES_DELAY_S + rank * module.READER_STAGGER_S
            for late_s, count in ((-0.01, rank), (0.01, rank + 1)):
                self.now_s = began_at_s + delay_s + late_s
                self.pass_time(0.0)
                requesters = [feed for feed in self.feeds if self.posted(feed, FEED_ASK)]
                self.assertEqual(self.feeds[1 : 1 + count], requesters)
        self.now_s = began_at_s + module.CHANGES_DELAY_S + module.SNAPSHOT_TIMEOUT_S
        self.pass_time(0.0)
        requests = [len(self.posted(feed, FEED_ASK)) for feed in self.feeds]
        self.assertEqual([0, 1, 1, 1, 0], requests)
        self.pass_time(2 * module.READER_STAGGER_S)
        self.assertEqual([], self.posted(self.feeds[-1], FEED_ASK))

    def test_a_zone_that_does_not_reach_the_store_requests_the_changes(self) -> None:
        """Guards against changes that never arrive where all entries count as watchers."""
        for failed in self.feeds:
            failed.share_failure()
            for feed in self.feeds:
                feed.handle_store_failed(failed.mesh.own, {})
        self.now_s += module.CHANGES_DELAY_S + 0.01
        for feed in self.feeds:
            self.assertTrue(feed.should_read_store())
        requesters = [feed for feed in self.feeds if self.posted(feed, FEED_ASK)]
        self.assertEqual(self.feeds[:1], requesters)
        self.now_s += module.STAGGERED_READERS * module.READER_STAGGER_S
        for feed in self.feeds:
            feed.should_read_store()
        requesters = [feed for feed in self.feeds if self.posted(feed, FEED_ASK)]
        self.assertEqual(self.feeds[: module.STAGGERED_READERS], requesters)

    def test_the_announcer_of_the_newest_position_is_asked(self) -> None:
        """Guards against a request to one that lacks the changes, as its older notice came last."""
        other = entry_peer("front-cad-a-1", "cad-a")
        requester = self.feeds[1]
        requester.handle_notice(ANNOUNCER, {"revision": 7, "age_s": 0.0})
        requester.handle_notice(other, {"revision": 6, "age_s": 0.0})
        self.pass_time(module.CHANGES_DELAY_S + 0.01)
        recipients = [name for name, _ in self.posted(requester, FEED_ASK)]
        self.assertEqual([ANNOUNCER.name], recipients)

    def test_a_process_without_newer_changes_sends_no_snapshot(self) -> None:
        """Guards against a configuration over a narrow link that its receiver drops as older."""
        sender = self.feed_of(ANNOUNCER.name, [ANNOUNCER, *(f.mesh.own for f in self.feeds)])
        sender.send_snapshot(self.feeds[1].mesh.own, {"after": [0, 6]})
        self.assertEqual([], self.posted(sender, FEED))
        sender.send_snapshot(self.feeds[1].mesh.own, {"after": [0, 4]})
        self.assertEqual([True], [feed["whole"] for _, feed in self.posted(sender, FEED)])

    def test_requested_changes_are_passed_on_to_the_zone(self) -> None:
        """Guards against a zone of which only one entry learns of the changes."""
        sender = self.feed_of(ANNOUNCER.name, [ANNOUNCER, *(f.mesh.own for f in self.feeds)])
        sender.share(batch_of(5, engine_record(1, 6)))
        sender.fleet_state.apply(batch_of(5, engine_record(1, 6)), self.now_s, "store")
        self.pass_time(module.CHANGES_DELAY_S + 0.01)
        requester = self.feeds[1]
        _, payload = self.posted(requester, FEED_ASK)[0]
        sender.send_snapshot(requester.mesh.own, payload)
        recipient, answer = self.posted(sender, FEED)[-1]
        self.assertEqual(requester.mesh.own.name, recipient)
        self.assertEqual((5, False), (answer["after"], answer["whole"]))
        requester.handle_feed(ANNOUNCER, answer)
        self.assertEqual(6, requester.fleet_state.revision)
        recipients = {name for name, _ in self.posted(requester, FEED)}
        self.assertEqual(set(ZONE_NAMES) - {requester.mesh.own.name}, recipients)

    def test_entries_leave_the_store_to_one_that_reads_it(self) -> None:
        """Guards against entries whose readings in full make each other time out."""
        late_s = module.RECORDS_DELAY_S + module.STAGGERED_READERS * module.READER_STAGGER_S
        self.assertEqual([ZONE_NAMES[1]], self.pass_time(module.RECORDS_DELAY_S + 0.01))
        reader = self.feeds[1]
        reader.share_reading()
        self.assertEqual(set(ZONE_NAMES), {ZONE_NAMES[1], *dict(self.posted(reader, READING))})
        for feed in self.feeds[2:]:
            feed.handle_reading(reader.mesh.own, {})
        wanting = self.pass_time(late_s - module.RECORDS_DELAY_S)
        self.assertEqual([ZONE_NAMES[1]], wanting)

    def test_a_reading_that_follows_a_failed_one_at_once_is_told(self) -> None:
        """Guards against entries that all read, as they heard of the failure last."""
        for end in (self.feeds[1].share_failure, lambda: self.feeds[1].share(batch_of(5))):
            self.feeds[1].share_reading()
            end()
            told = len(self.posted(self.feeds[1], READING))
            self.feeds[1].share_reading()
            self.assertEqual(told + len(ZONE_NAMES) - 1, len(self.posted(self.feeds[1], READING)))
            self.now_s += INTERVAL_S

    def test_an_entry_that_delivers_changes_goes_on_beside_a_reading(self) -> None:
        """Guards against a zone without a reader where a watcher is silent and an entry starts."""
        reader = self.feeds[1]
        reader.has_taken_over = True
        self.assertTrue(reader.should_read_store())
        reader.fleet_state.apply(batch_of(5, engine_record(1, 6)), boot_time_s(), "store")
        reader.share(batch_of(5, engine_record(1, 6)))
        reader.handle_reading(self.feeds[2].mesh.own, {})
        self.assertTrue(reader.should_read_store())
        reader.share_failure()
        self.assertFalse(reader.should_read_store())

    def test_a_reading_that_ends_or_goes_silent_is_replaced(self) -> None:
        """Guards against a change past its time for the failure of the one that reads it."""
        self.pass_time(module.RECORDS_DELAY_S + 0.01)
        for feed in self.feeds[2:]:
            feed.handle_reading(self.feeds[1].mesh.own, {})
        late_s = VALID_S + module.READER_STAGGER_S + 0.01
        self.assertEqual(ZONE_NAMES[1:3], self.pass_time(late_s))
        for feed in self.feeds[3:]:
            feed.handle_reading(self.feeds[2].mesh.own, {})
        self.assertEqual(ZONE_NAMES[1:3], self.pass_time(0.1))
        for feed in self.feeds[2:]:
            feed.handle_store_failed(self.feeds[1].mesh.own, {})
        for feed in self.feeds[3:]:
            feed.handle_store_failed(self.feeds[2].mesh.own, {})
        self.assertEqual(ZONE_NAMES[1:], self.pass_time(0.01))

    def test_a_slow_reading_is_joined_by_one_more_and_not_by_all(self) -> None:
        """Guards against a zone that waits for a slow reading, and one whose entries all read."""
        self.now_s += module.LEFT_TO_ONE_S + module.READER_STAGGER_S
        for feed in self.feeds[2:]:
            feed.handle_reading(self.feeds[1].mesh.own, {})
        self.assertEqual(ZONE_NAMES[1:3], self.pass_time(0.01))
        for feed in self.feeds[3:]:
            feed.handle_reading(self.feeds[2].mesh.own, {})
        self.now_s += module.READER_STAGGER_S * module.STAGGERED_READERS
        for feed in self.feeds[3:]:
            feed.handle_reading(self.feeds[1].mesh.own, {})
        self.assertEqual(ZONE_NAMES[1:3], self.pass_time(0.01))

    def test_a_watcher_that_has_failed_leaves_the_store_to_the_next(self) -> None:
        """Guards against two copies where the reading of a watcher has failed on its way."""
        watcher = self.feeds[0]
        watcher.share_failure()
        self.assertEqual(set(ZONE_NAMES[1:]), set(dict(self.posted(watcher, STORE_FAILED))))
        self.assertTrue(watcher.should_read_store())
        watcher.handle_reading(self.feeds[1].mesh.own, {})
        self.assertFalse(watcher.should_read_store())
        self.now_s += VALID_S + 0.01
        self.assertTrue(watcher.should_read_store())


if __name__ == "__main__":
    unittest.main()
