"""Tests of what a process knows of the rests that upstreams ask for, at a time that is set."""

import time
import unittest
from unittest import mock

from gypsumpier.statement.rests import PERMIT_INTERVAL_S, Rests
from gypsumpier.statement.statedrest import NO_REST, StatedRest
from gypsumpier.test.builders_gateway import engines, selector_of


class KnownRestsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now_s = 1000.0
        patch = mock.patch.object(time, "monotonic", lambda: self.now_s)
        patch.start()
        self.addCleanup(patch.stop)
        self.state = engines(2)
        self.engine = self.state.upstreams["i-1"]
        self.rests = Rests()

    def answer(self, stated: StatedRest, sent_ago_s: float = 0.05) -> None:
        """Record an answer to a request that was sent so many seconds ago."""
        self.rests.record_answer(self.engine, stated, self.now_s - sent_ago_s)

    def send_all(self) -> int:
        """Send as many requests as may be sent now; return how many."""
        count = 0
        while self.rests.allows(self.engine) and count < 100:
            self.rests.take(self.engine)
            count += 1
        return count

    # Guards against a rest that a success or a shorter one, under way meanwhile, ends early.
    def test_only_time_ends_a_rest(self) -> None:
        self.answer(StatedRest(3.0))
        self.answer(StatedRest(1.0))
        self.answer(NO_REST)
        self.now_s += 2.9
        self.assertTrue(self.rests.is_resting(self.engine))
        self.assertAlmostEqual(0.1, self.rests.left_s(self.engine))
        self.assertFalse(self.rests.allows(self.engine))
        self.now_s += 0.2
        self.assertFalse(self.rests.is_resting(self.engine))

    def test_a_longer_rest_extends_it(self) -> None:
        self.answer(StatedRest(1.0))
        self.answer(StatedRest(3.0))
        self.assertAlmostEqual(3.0, self.rests.left_s(self.engine))

    # Guards against a rush after a rest, and against an upstream that gets one request a second.
    def test_after_a_rest_each_answer_lets_two_requests_follow(self) -> None:
        self.answer(StatedRest(1.0))
        self.now_s += 1.0
        sent = []
        for _ in range(4):
            sent.append(self.send_all())
            self.now_s += 0.1
            for _ in range(sent[-1]):
                self.answer(NO_REST)
        self.assertEqual([1, 2, 4, 8], sent)
        self.assertEqual(100, self.send_all())
        self.assertEqual({}, self.rests.known)

    # Guards against an upstream that stays unused as the first request after its rest is lost.
    def test_without_an_answer_another_request_follows_after_a_while(self) -> None:
        self.answer(StatedRest(1.0))
        self.now_s += 1.0
        self.assertEqual(1, self.send_all())
        self.now_s += PERMIT_INTERVAL_S
        self.assertEqual(1, self.send_all())

    # Guards against a rush made of requests that found no connection during the rest.
    def test_a_request_that_was_not_sent_is_given_back_only_after_the_rest(self) -> None:
        self.answer(StatedRest(1.0))
        for _ in range(5):
            self.rests.give_back(self.engine)
        self.now_s += 1.0
        self.assertEqual(1, self.send_all())
        self.rests.give_back(self.engine)
        self.assertEqual(1, self.send_all())

    # Guards against an answer to a request from before the rest that opens the way after it.
    def test_an_answer_to_a_request_from_before_the_rest_counts_for_nothing(self) -> None:
        self.answer(StatedRest(1.0))
        self.now_s += 1.0
        self.assertEqual(1, self.send_all())
        self.answer(NO_REST, sent_ago_s=1.5)
        self.assertEqual(0, self.send_all())

    # Guards against a rest of an earlier run, and against what is kept of runs for good.
    def test_another_run_does_not_rest_and_the_old_one_is_forgotten(self) -> None:
        self.answer(StatedRest(5.0))
        self.assertFalse(self.rests.is_resting(self.engine._replace(started_ms=9)))
        self.rests.retain(set())
        self.assertTrue(self.rests.is_resting(self.engine))
        self.now_s += 5.0
        self.rests.retain(set())
        self.assertEqual({}, self.rests.known)

    # Guards against a log that is flooded, and against a rest made of a value that is none.
    def test_a_value_that_is_no_time_changes_nothing_and_is_logged_once(self) -> None:
        self.answer(StatedRest(1.0))
        self.now_s += 20.0
        self.rests.retain(set())
        with mock.patch("gypsumpier.statement.rests.decision") as decision:
            for _ in range(3):
                self.answer(StatedRest(0.0, "'soon'"))
        self.assertEqual(1, decision.call_count)
        self.assertTrue(self.rests.allows(self.engine))

    # Guards against a resumed stream or a repeat, which prefer no zone, at an engine that rests.
    def test_no_request_of_any_kind_is_given_an_upstream_that_rests(self) -> None:
        selector = selector_of(self.state)
        records = list(self.state.upstreams.values())
        selector.statements.rests.record_answer(self.engine, StatedRest(5.0), self.now_s)
        for any_zone in (False, True):
            chosen = {
                record.id
                for _ in range(20)
                if (record := selector.choose(records, set(), any_zone=any_zone)) is not None
            }
            self.assertEqual({"i-2"}, chosen)
        self.assertFalse(selector.may_still_serve(self.engine, 0))


if __name__ == "__main__":
    unittest.main()
