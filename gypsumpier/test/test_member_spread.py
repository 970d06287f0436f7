"""Tests of the replication of the member list."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumpier.external.membership import Member
from gypsumpier.member.journal import DROPS_LIMIT, Journal
from gypsumpier.member.poller import MemberPoller
from gypsumpier.member.spread import MemberExchange, MemberSpread
from gypsumpier.member.table import MemberTable
from gypsumpier.spread.freshness import MAX_DISTANCE, Freshness
from gypsumpier.spread.identity import Identity
from gypsumpier.spread.message import packed_changes, unpacked_changes
from gypsumpier.test.builders_member import agent, entry_options
from gypsumpier.test.test_member_table import ManualClock

steps = st.lists(
    st.tuples(st.sampled_from(["put", "drop", "pull"]), st.integers(0, 4), st.integers(1, 3)),
    max_size=30,
)


class MemberSpreadTest(unittest.TestCase):
    @given(steps)
    @settings(derandomize=True, deadline=None, max_examples=200)
    def test_replicated_changes_give_the_same_list_as_the_table(
        self, drawn: list[tuple[str, int, int]]
    ) -> None:
        clock = ManualClock()
        table = MemberTable(entry_options(), clock)
        spread = MemberSpread(entry_options(), clock, table)
        exchange = MemberExchange(Identity("entry/bac-a/1", "entry"))
        exchange.is_subscribed = True
        copy: dict[str, Member] = {}
        for step, number, run in [*drawn, ("pull", 0, 0)]:
            member = agent(number, run)
            if step == "put":
                table.put(member)
            elif step == "drop" and member.name in table.members:
                table.missing_since_s[member.name] = clock.now_s
                table.drop(member.name)
            elif step == "pull":
                apply(spread, exchange, copy)
        self.assertEqual(table.members, copy)

    def test_a_peer_that_is_far_behind_needs_the_full_list(self) -> None:
        journal = Journal()
        for number in range(DROPS_LIMIT + 5):
            journal.record_change(f"name-{number}")
            journal.record_drop(f"name-{number}")
        self.assertTrue(journal.needs_full_list(1))
        self.assertFalse(journal.needs_full_list(journal.number - 2))
        self.assertEqual(DROPS_LIMIT, len(journal.dropped_at))

    def test_distances_count_up_when_the_path_to_the_platform_is_lost(self) -> None:
        clock = ManualClock()
        near, far = Freshness(clock, 5.0), Freshness(clock, 5.0)
        near.record_read()
        for _ in range(3):
            far.set_peer_distance("near", near.distance())
            near.set_peer_distance("far", far.distance())
        self.assertEqual((0, 1), (near.distance(), far.distance()))
        clock.now_s += 5.0
        for _ in range(MAX_DISTANCE):
            far.set_peer_distance("near", near.distance())
            near.set_peer_distance("far", far.distance())
        self.assertEqual((MAX_DISTANCE, MAX_DISTANCE), (near.distance(), far.distance()))
        self.assertFalse(near.has_source() or far.has_source())


def apply(spread: MemberSpread, exchange: MemberExchange, copy: dict[str, Member]) -> None:
    """Apply the due changes to the copy, after encoding and decoding them."""
    due = spread.due_changes(exchange)
    if due is None:
        return
    changes = unpacked_changes(packed_changes(due))
    if changes.whole:
        copy.clear()
    copy.update({member.name: member for member in changes.put})
    for name in changes.gone:
        copy.pop(name, None)


class MemberPollerTest(unittest.TestCase):
    def test_a_long_list_that_changes_is_polled_less_often(self) -> None:
        clock = ManualClock()
        options = entry_options()
        poller = MemberPoller(options, clock, SilentMembership(), MemberTable(options, clock))
        few, many = [agent(0)], [agent(number) for number in range(1000)]
        self.assertEqual(options.membership_interval_s, poller.next_poll_wait_s(few))
        self.assertEqual(16.0, poller.next_poll_wait_s(many))
        poller.apply(many)
        self.assertEqual(options.membership_interval_s, poller.next_poll_wait_s(list(many)))


class SilentMembership:
    """A member list that must not be read."""

    async def members(self) -> list[Member]:
        raise AssertionError
