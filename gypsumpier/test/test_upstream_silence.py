"""Tests of what a silence of an upstream does to the selection, on a clock of the test."""

import unittest
from typing import Final
from unittest import mock

from gypsumpier.gateway.attempt import Attempt
from gypsumpier.gateway.failures import FailureRecorder
from gypsumpier.test.builders_gateway import engines, request_of, selector_of
from gypsumpier.test.builders_platform import ENGINES, apply_records, engine_record
from gypsumpier.upstream.errors import OutcomeUnknownError

TOGETHER: Final = 8
"""Requests in flight at an upstream as it falls silent."""
GIVEN_UP_S: Final = 0.7
"""Seconds without an answer after which a request is given up."""
STEP_S: Final = 0.05


class SilenceCase(unittest.TestCase):
    """An engine of the own zone, i-1, and one of another, i-2, at a time that the test sets."""

    def setUp(self) -> None:
        self.now_s = 100.0
        clock = mock.patch("time.monotonic", lambda: self.now_s)
        clock.start()
        self.addCleanup(clock.stop)
        self.start_anew()

    def start_anew(self) -> None:
        """Forget what the engines have done."""
        self.fleet_state = engines(1)
        apply_records(self.fleet_state, engine_record(2, 9, zone="nam-a"))
        self.selector = selector_of(self.fleet_state)
        self.silent = self.fleet_state.upstreams["i-1"]
        self.distant = self.fleet_state.upstreams["i-2"]

    def chosen(self) -> str:
        """Return the id of the engine that gets the next request; empty if none does."""
        found = self.selector.choose(self.selector.candidates(ENGINES), set())
        return found.id if found else ""

    def fail_together(self, apart_s: float = 0.0) -> None:
        """Give up requests that were in flight together, one after the other."""
        sent_at_s = self.now_s
        self.now_s += GIVEN_UP_S
        for number in range(TOGETHER):
            self.now_s += apart_s if number else 0.0
            self.selector.record_silence(self.silent, sent_at_s)


class SilentUpstreamTest(SilenceCase):
    # Guards against leaving a sound upstream out for seconds, as each request of a silence counts.
    def test_requests_that_fail_in_one_silence_count_once(self) -> None:
        for apart_s in (0.0, 0.1, 0.3):
            with self.subTest(apart_s=apart_s):
                self.start_anew()
                self.fail_together(apart_s)
                self.assertEqual("i-2", self.chosen())
                self.now_s += 0.5
                self.assertEqual("i-1", self.chosen())

    # Guards against the same where an upstream goes on before another one answers a request of it.
    def test_a_silence_that_has_ended_does_not_count_again_as_its_request_moves(self) -> None:
        failures = FailureRecorder(self.selector, mock.Mock(), mock.Mock())
        attempt = Attempt(request_of(self.fleet_state), self.silent)
        failures.record_silent(attempt)
        self.assertEqual("i-2", self.chosen())
        self.now_s += 0.5
        self.selector.record_success(self.silent)
        failures.record_unknown(attempt, OutcomeUnknownError("silent for 1 s", is_silent=True))
        self.assertEqual("i-1", self.chosen())

    # Guards against the same for requests that reach their time limit in the silence.
    def test_requests_that_end_at_their_time_limit_in_one_silence_count_once(self) -> None:
        failures = FailureRecorder(self.selector, mock.Mock(), mock.Mock())
        attempts = [Attempt(request_of(self.fleet_state), self.silent) for _ in range(TOGETHER)]
        self.now_s = attempts[0].request.ends_at_s
        for attempt in attempts:
            failures.record_cancelled(attempt)
        self.assertEqual("i-2", self.chosen())
        self.now_s += 0.5
        self.assertEqual("i-1", self.chosen())

    # Guards against delaying request after request at an upstream that stays silent.
    def test_an_upstream_that_stays_silent_gets_few_requests_one_at_a_time(self) -> None:
        self.fail_together()
        waiting_since_s = 0.0
        sent_at_s: list[float] = []
        for _ in range(int(12.0 / STEP_S)):
            self.now_s += STEP_S
            if waiting_since_s and self.now_s >= waiting_since_s + GIVEN_UP_S:
                self.selector.record_silence(self.silent, waiting_since_s)
                self.selector.end(self.silent, 0)
                waiting_since_s = 0.0
            if self.chosen() == "i-1":
                self.assertFalse(waiting_since_s)
                self.selector.begin(self.silent, 0)
                waiting_since_s = self.now_s
                sent_at_s.append(round(self.now_s - 100.0, 2))
        self.assertLessEqual(len(sent_at_s), 4, sent_at_s)

    # Guards against taking an upstream for sound that answers a part of its requests only.
    def test_an_upstream_that_answers_between_its_failures_is_chosen_last(self) -> None:
        for _ in range(3):
            self.selector.record_silence(self.silent, self.now_s - GIVEN_UP_S)
            self.selector.record_prompt_read(self.silent, 0)
            self.selector.record_success(self.silent)
            self.selector.health.record_outcome(self.silent.run_key(), failed=False)
        self.selector.record_silence(self.silent, self.now_s - GIVEN_UP_S)
        self.now_s += 1.0
        self.assertTrue(self.selector.is_usable(self.silent))
        self.assertEqual("i-2", self.chosen())

    # Guards against taking an upstream for sound that falls silent again and again.
    def test_an_upstream_that_falls_silent_twice_is_chosen_last(self) -> None:
        self.fail_together()
        self.now_s += 0.5
        self.selector.record_success(self.silent)
        self.selector.health.record_outcome(self.silent.run_key(), failed=False)
        self.assertEqual("i-1", self.chosen())
        self.fail_together()
        self.now_s += 0.5
        self.assertTrue(self.selector.is_usable(self.silent))
        self.assertEqual("i-2", self.chosen())


class SilentZoneTest(SilenceCase):
    # Guards against trying each upstream of a zone that is cut off while the own zone is full.
    def test_a_silent_zone_is_left_alone_for_longer_and_longer(self) -> None:
        apply_records(self.fleet_state, engine_record(3, 10, zone="nam-a"))
        self.selector.health.record_replaced(self.silent.run_key())
        sent_at_s = self.now_s - GIVEN_UP_S
        for _ in range(TOGETHER):
            self.selector.record_silence(self.distant, sent_at_s)
        for backoff_s in (0.5, 1.0, 2.0, 4.0, 4.0):
            with self.subTest(backoff_s=backoff_s):
                self.now_s += backoff_s - STEP_S
                self.assertEqual("", self.chosen())
                self.now_s += 2 * STEP_S
                self.assertIn(self.chosen(), {"i-2", "i-3"})
                sent_at_s = self.now_s
                self.now_s += GIVEN_UP_S
                self.selector.record_silence(self.distant, sent_at_s)
        self.selector.record_success(self.fleet_state.upstreams["i-3"])
        self.assertEqual("i-3", self.chosen())

    # Guards against ruling out a zone that answers, because one of its upstreams is silent.
    def test_a_silent_upstream_does_not_rule_out_a_zone_that_answers(self) -> None:
        apply_records(self.fleet_state, engine_record(3, 10, zone="nam-a"))
        self.selector.health.record_replaced(self.silent.run_key())
        sent_at_s = self.now_s - GIVEN_UP_S
        self.selector.record_heard(self.fleet_state.upstreams["i-3"])
        self.now_s += STEP_S
        self.selector.record_silence(self.distant, sent_at_s)
        self.assertEqual("i-3", self.chosen())

    # Guards against ruling out a zone for seconds after it has answered again.
    def test_the_beginning_of_an_answer_ends_the_backoff_of_a_silent_zone(self) -> None:
        apply_records(self.fleet_state, engine_record(3, 10, zone="nam-a"))
        self.selector.health.record_replaced(self.silent.run_key())
        self.selector.record_silence(self.distant, self.now_s - GIVEN_UP_S)
        self.assertEqual("", self.chosen())
        self.selector.record_heard(self.fleet_state.upstreams["i-3"])
        self.assertEqual("i-3", self.chosen())


if __name__ == "__main__":
    unittest.main()
