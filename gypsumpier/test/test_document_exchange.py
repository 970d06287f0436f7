"""Tests of parts of document replication: fetch requests, digests, read intervals and limits."""

import asyncio
import random
import unittest

from gypsumpier.document.record import Rank
from gypsumpier.document.spread import DocumentSpread
from gypsumpier.document.table import DocumentTable
from gypsumpier.spread import message
from gypsumpier.spread.asks import ANSWER_TIMEOUT_S, FETCH_REQUESTS_LIMIT, FetchRequests
from gypsumpier.spread.identity import Identity
from gypsumpier.spread.message import Holding
from gypsumpier.test.builders_document import revised
from gypsumpier.test.builders_member import agent, entry_options
from gypsumpier.test.builders_spread import Fleet
from gypsumpier.test.test_member_table import ManualClock
from gypsumpier.test.virtual import run

HOLDING = Holding("gypsum-llm", Rank(1, b"digest"))


class AsksTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.fetch_requests = FetchRequests(self.clock)

    def test_a_content_is_requested_from_one_peer_at_a_time(self) -> None:
        self.assertTrue(self.fetch_requests.record_announcement("one", HOLDING))
        self.assertFalse(self.fetch_requests.record_announcement("other", HOLDING))
        self.assertEqual([], self.fetch_requests.reassign_overdue())

    def test_a_late_answer_or_a_lost_peer_moves_the_request_to_the_next_peer(self) -> None:
        for peer in ("one", "two", "three"):
            self.fetch_requests.record_announcement(peer, HOLDING)
        self.clock.now_s += ANSWER_TIMEOUT_S
        self.assertEqual([("two", HOLDING)], self.fetch_requests.reassign_overdue())
        self.assertEqual([("three", HOLDING)], self.fetch_requests.lost("two"))
        self.assertEqual([], self.fetch_requests.lost("three"))
        self.assertEqual({}, self.fetch_requests.open)

    def test_open_asks_are_bounded(self) -> None:
        for number in range(FETCH_REQUESTS_LIMIT):
            self.assertTrue(
                self.fetch_requests.record_announcement("one", Holding("name", Rank(number, b"")))
            )
        self.assertFalse(self.fetch_requests.record_announcement("one", HOLDING))


class DigestTest(unittest.TestCase):
    def test_a_lost_announcement_is_repaired_by_the_digests(self) -> None:
        one, other = spread_of("entry/bac-a/0"), spread_of("entry/bac-a/1")
        to_other = one.attach(Identity("entry/bac-a/1", "entry"), lambda: None)
        to_one = other.attach(Identity("entry/bac-a/0", "entry"), lambda: None)
        to_other.subscription = to_one.subscription = None
        one.table.offer(revised(revision=1), "test")
        to_other.record_known(Holding("gypsum-llm", one.table.ranks("gypsum-llm")[0]))
        to_other.to_announce.clear()
        to_one.listed = to_other.listed = True
        to_one.digest_due_at_s = to_other.digest_due_at_s = 0.0
        other.handle_frame(to_one, message.DOCUMENT_DIGEST, {"digest": one.due_digest(to_other)})
        one.handle_frame(to_other, message.DOCUMENT_DIGEST, {"digest": other.due_digest(to_one)})
        self.assertEqual({"gypsum-llm"}, to_other.to_announce)
        self.assertIsNone(one.due_digest(to_other))
        self.assertFalse(to_other.knows(Holding("gypsum-llm", Rank(0, b""))))

    def test_equal_tables_have_equal_digests_and_announce_nothing(self) -> None:
        one, other = spread_of("entry/bac-a/0"), spread_of("entry/bac-a/1")
        to_one = other.attach(Identity("entry/bac-a/0", "entry"), lambda: None)
        to_one.subscription = None
        for spread in (one, other):
            spread.table.offer(revised(revision=1), "test")
        to_one.to_announce.clear()
        other.handle_frame(to_one, message.DOCUMENT_DIGEST, {"digest": one.digest(None)})
        self.assertEqual(set(), to_one.to_announce)


class ReadIntervalTest(unittest.TestCase):
    def test_agents_take_turns_by_the_size_of_the_whole_fleet(self) -> None:
        async def scenario() -> None:
            fleet = Fleet()
            await fleet.start({"bac-a": 2}, {"bac-a": 1}, "gypsum-llm")
            for number in range(2000):
                member = agent(number, service="table-ops")._replace(zone="nam-a")
                fleet.platform.members[member.name] = member
            await asyncio.sleep(5.0)
            reads = fleet.instances["gypsum-llm/bac-a/0"].spread.document_reads
            self.assertAlmostEqual(2003 / 500, reads.read_interval_s(), delta=0.1)
            await fleet.stop()

        run(scenario())

    def test_agents_read_the_service_only_without_any_entry(self) -> None:
        async def scenario() -> None:
            fleet = Fleet()
            await fleet.start({"bac-a": 2}, {"bac-a": 3}, "gypsum-llm")
            fleet.platform.put(revised(revision=1))
            await fleet.settle("gypsum-llm", 1, 6.0)
            agents = [one for one in fleet.instances.values() if one.options.role == "agent"]
            self.assertEqual([0, 0, 0], [one.document_keeper.calls for one in agents])
            for name in ("entry/bac-a/0", "entry/bac-a/1"):
                await fleet.instances.pop(name).stop()
            fleet.platform.put(revised(revision=2))
            await fleet.settle("gypsum-llm", 2, 4.0)
            await asyncio.sleep(20.0)
            # Each agent reads once every one to three seconds and holds no watch in between.
            self.assertTrue(all(one.document_keeper.calls <= 20 for one in agents))
            await fleet.stop()

        run(scenario())


def spread_of(name: str) -> DocumentSpread:
    """Return the document replication of an entry without any session."""
    clock = ManualClock()
    return DocumentSpread(entry_options(name), clock, random.Random(1), DocumentTable(clock))
