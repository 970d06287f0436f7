"""Tests of what an entry knows of limits: from answers, from other entries, and its own share."""

import time
import unittest
from typing import Any, Final
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from gypsumpier.ratelimit.bucket import TokenBucket
from gypsumpier.ratelimit.demand import DemandShares
from gypsumpier.ratelimit.limits import FORGOTTEN_S, LimitNews, WholeShare
from gypsumpier.statement.share import LIMITS, StatementShare
from gypsumpier.statement.statedlimit import NOT_STATED, StatedLimit
from gypsumpier.statement.statements import UpstreamStatements
from gypsumpier.test.builders_gateway import engines, selector_of
from gypsumpier.test.fakes_mesh import RecordingMesh
from gypsumpier.test.fakes_piece import entry_peer

PEERS: Final = [
    entry_peer("front-bac-a-2", "bac-a"),
    entry_peer("front-nam-a-1", "nam-a"),
]
BAD_LIMITS: Final = (
    [["i-1", 1001, "2", 0.1]], [["i-1", 1001, -1, 0.1]], [["i-1", 1001, float("nan"), 0.1]],
    [["i-1", 1001, float("inf"), 0.1]], [["i-1", 1001, 1e9, 0.1]], [["i-1", 1001, 2.0, -1.0]],
    [["i-1", 1001, 2.0, float("nan")]], [["i-1", 1001, 2.0]], [7], 7, None,
)  # fmt: skip


class KnownLimitsCase(unittest.TestCase):
    """An entry before two engines, at a time that the test sets."""

    def setUp(self) -> None:
        self.now_s = 1000.0
        patch = mock.patch.object(time, "monotonic", lambda: self.now_s)
        patch.start()
        self.addCleanup(patch.stop)
        self.state = engines(2)
        self.engine = self.state.upstreams["i-1"]
        self.statements = UpstreamStatements(WholeShare())
        self.limits = self.statements.limits
        self.mesh = RecordingMesh(entry_peer("front-bac-a-1", "bac-a"), PEERS)
        self.share = StatementShare(self.mesh, self.statements)  # type: ignore[arg-type]

    def answer(self, stated: StatedLimit, sent_ago_s: float = 0.05) -> None:
        """Record an answer to a request that was sent so many seconds ago."""
        self.limits.record_answer(self.engine, stated, self.now_s - sent_ago_s)

    def news(self, per_s: float | None, age_s: float, delay_s: float = 0.0) -> None:
        """Handle another entry's message of the engine's limit."""
        payload = {"limits": [[*self.engine.run_key(), per_s, age_s]]}
        self.share.handle_limits(PEERS[0], payload, delay_s)

    def known_per_s(self) -> float | None:
        """Return the known limit of the engine."""
        found = self.limits.known.get(self.engine.run_key())
        return found.per_s if found else None


class AnswersTest(KnownLimitsCase):
    def test_an_answer_that_was_overtaken_does_not_lift_a_limit(self) -> None:
        """Guards against a limit that an answer from before its statement lifts."""
        self.answer(StatedLimit(2.0))
        self.now_s += 1.0
        self.answer(NOT_STATED, sent_ago_s=1.5)
        self.assertEqual(2.0, self.known_per_s())
        self.answer(NOT_STATED, sent_ago_s=0.5)
        self.assertIsNone(self.known_per_s())

    def test_a_value_that_is_no_rate_changes_nothing_and_is_logged_once(self) -> None:
        """Guards against a limit that ends, or a log that is flooded, by an unreadable value."""
        self.answer(StatedLimit(2.0))
        with mock.patch("gypsumpier.ratelimit.limits.decision") as decision:
            for _ in range(3):
                self.now_s += 1.0
                self.answer(StatedLimit(None, "'soon'"))
        self.assertEqual(1, decision.call_count)
        self.assertEqual(2.0, self.known_per_s())

    def test_another_run_of_the_upstream_has_no_limit(self) -> None:
        """Guards against a restarted engine that is held to what it said before."""
        self.answer(StatedLimit(0.0))
        restarted = self.engine._replace(started_ms=self.engine.started_ms + 1)
        self.assertFalse(self.limits.is_limited(restarted))
        self.assertTrue(self.limits.is_limited(self.engine))

    def test_what_has_no_record_any_more_is_dropped_later(self) -> None:
        """Guards against memory that grows with each run of an upstream."""
        self.answer(StatedLimit(2.0))
        self.limits.retain(set())
        self.assertEqual(2.0, self.known_per_s())
        self.now_s += FORGOTTEN_S + 1.0
        self.limits.retain(set())
        self.assertEqual({}, self.limits.known)


class SharedLimitsTest(KnownLimitsCase):
    def test_the_newest_statement_holds_whichever_way_it_came(self) -> None:
        """Guards against an older limit, or an older end of one, that comes late."""
        self.answer(StatedLimit(2.0))
        self.news(5.0, age_s=0.5)
        self.assertEqual(2.0, self.known_per_s())
        self.now_s += 1.0
        self.news(None, age_s=0.5, delay_s=0.6)
        self.assertEqual(2.0, self.known_per_s())
        self.news(None, age_s=0.5, delay_s=0.1)
        self.assertIsNone(self.known_per_s())
        self.news(2.0, age_s=0.9)
        self.assertIsNone(self.known_per_s())

    def test_an_answer_that_is_read_late_does_not_lift_a_newer_limit_of_others(self) -> None:
        """Guards against a rush of all entries: one that stood still tells them an old end."""
        self.news(2.0, age_s=0.0)
        self.now_s += 3.0
        told: list[LimitNews] = []
        self.limits.listeners.append(told.append)
        self.answer(NOT_STATED, sent_ago_s=2.0)
        self.news(2.0, age_s=1.0)
        self.assertEqual(2.0, self.known_per_s())
        self.assertEqual([self.now_s - 2.0], [news.at_s for news in told])

    def test_an_entry_that_connects_gets_all_limits_and_sidecars_get_none(self) -> None:
        """Guards against a restarted entry that does not know what the others know."""
        self.answer(StatedLimit(2.0))
        self.now_s += 0.5
        self.share.send_known(mock.Mock(peer=PEERS[1]))
        (name, kind, payload) = self.mesh.posted[-1]
        self.assertEqual((PEERS[1].name, LIMITS), (name, kind))
        self.assertEqual([[*self.engine.run_key(), 2.0, 0.5]], payload["limits"])
        self.share.send_known(mock.Mock(peer=PEERS[1]._replace(role="sidecar")))
        self.assertEqual(1, len(self.mesh.posted))

    def test_malformed_limits_are_an_error_that_the_mesh_logs(self) -> None:
        for bad in BAD_LIMITS:
            with self.subTest(bad), self.assertRaises((ValueError, TypeError)):
                self.share.handle_limits(PEERS[0], {"limits": bad}, 0.0)
        self.assertIsNone(self.known_per_s())


class OwnShareTest(KnownLimitsCase):
    def shares(self, own_per_s: float) -> DemandShares:
        """Return the shares of an entry with this demand."""
        mesh: Any = self.mesh
        zones = frozenset(("bac-a", "nam-a", "trung-a"))
        return DemandShares(mesh, zones, lambda service: own_per_s)

    def test_who_has_not_reported_counts_as_much_as_this_entry(self) -> None:
        """Guards against a whole limit for an entry that has just started."""
        self.assertAlmostEqual(1 / 6, self.shares(10.0).share("engines"))

    def test_a_share_is_that_of_the_requests(self) -> None:
        shares = self.shares(10.0)
        shares.record(PEERS[0], "", {"engines": 30.0})
        for zone, per_s in (("nam-a", 60.0), ("trung-a", 0.0)):
            shares.record(PEERS[1], zone, {"engines": per_s})
        self.assertAlmostEqual(0.1, shares.share("engines"))

    def test_a_zone_that_is_not_heard_of_counts_for_a_while(self) -> None:
        """Guards against zones that each take the whole limit once they are cut off."""
        shares = self.shares(10.0)
        shares.record(PEERS[0], "", {"engines": 10.0})
        for zone in ("nam-a", "trung-a"):
            shares.record(PEERS[1], zone, {"engines": 40.0})
        self.now_s += 20.0
        self.assertAlmostEqual(0.1, shares.share("engines"))

    def test_a_request_that_finds_no_connection_costs_nothing(self) -> None:
        """Guards against a limit that unreachable upstreams use up."""
        self.answer(StatedLimit(1.0))
        self.assertTrue(self.limits.allows(self.engine))
        self.limits.take(self.engine)
        self.assertFalse(self.limits.allows(self.engine))
        self.limits.give_back(self.engine)
        self.assertTrue(self.limits.allows(self.engine))

    def test_an_upstream_at_its_limit_is_not_chosen_for_a_repeat_either(self) -> None:
        """Guards against repeats, and streams to be resumed, that pass by the limit."""
        selector = selector_of(self.state)
        records = list(self.state.upstreams.values())
        for record in records:
            news = LimitNews(record.run_key(), 1.0, self.now_s)
            selector.statements.limits.record_news(news, "test")
        chosen = set()
        while (record_or_none := selector.choose(records, set(), any_zone=True)) is not None:
            selector.begin(record_or_none, 0)
            chosen.add(record_or_none.id)
        self.assertEqual({"i-1", "i-2"}, chosen)
        self.now_s += 1.0
        self.assertIsNotNone(selector.choose(records, set(), any_zone=True))


class TokenBucketTest(unittest.TestCase):
    @given(
        st.integers(1, 40),
        st.floats(0.2, 50.0),
        st.lists(st.floats(0.0, 5.0), min_size=1, max_size=30),
    )
    def test_buckets_of_many_together_never_allow_more_than_rate_and_burst(
        self, count: int, per_s: float, pauses_s: list[float]
    ) -> None:
        """Guards against a token of each of many entries that is kept until a rush."""
        burst = 1.0 + 0.5 * per_s
        now_s = 100.0
        buckets = [
            TokenBucket(per_s / count, burst / count, (number + 0.5) / count, now_s)
            for number in range(count)
        ]
        taken = 0
        for pause_s in pauses_s:
            now_s += pause_s
            for bucket in buckets:
                while bucket.has_token(now_s):
                    bucket.take(now_s)
                    taken += 1
        # Before the first token a half of one of each, on average; a burst may be rounded up.
        allowed = per_s * (now_s - 100.0) + burst + count / 2 + 1
        self.assertLessEqual(taken, allowed)

    def test_what_many_have_not_used_is_not_kept_until_a_rush(self) -> None:
        """Guards against one unused turn of each of 40 entries at a limit of 1."""
        count, per_s = 40, 1.0
        burst = 1.0 + 0.5 * per_s
        buckets = [
            TokenBucket(per_s / count, burst / count, (number + 0.5) / count, 0.0)
            for number in range(count)
        ]
        for now_s in (50.0, 77.0, 200.0):
            usable = sum(bucket.has_token(now_s) for bucket in buckets)
            self.assertLessEqual(usable, burst + 1.0)


if __name__ == "__main__":
    unittest.main()
