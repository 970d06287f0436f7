"""Tests of the evidence by which an upstream counts as cold, one kind after the other."""

import time
import unittest
from typing import Any
from unittest import mock

from gypsumpier.coldstart.coldstart import ColdStart
from gypsumpier.coldstart.evidence import Evidence
from gypsumpier.coldstart.stalls import STALL_MIN_S
from gypsumpier.coldstart.upstreams import FRESH_S, HEARTBEATS_S, MARGIN_S
from gypsumpier.coldstart.window import WINDOW_S
from gypsumpier.fleet.clock import boot_time_s
from gypsumpier.fleet.upstream import UpstreamRecord
from gypsumpier.log import LOGGER, record_fields
from gypsumpier.test.builders_platform import (
    BOUNDS,
    ZONE,
    apply_records,
    configuration_record,
    engine_record,
    engine_service_body,
    fleet_state_of,
)

COLD_S = 3.0
SHARE = 2


class ColdUpstreamsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now_s = 1000.0
        self.enterContext(mock.patch.object(time, "clock_gettime", lambda _: self.now_s))
        self.enterContext(mock.patch.object(time, "monotonic", lambda: self.now_s))
        service = engine_service_body(cold_s=COLD_S, cold_per_s=26.0)
        self.state = fleet_state_of(
            configuration_record(services=[service]), engine_record(1, 2, cold_left_ms=0)
        )
        self.cold = ColdStart(self.state, ZONE)
        self.cold.set_bounds(BOUNDS)
        self.cold.shares = mock.Mock(share=lambda run, allowance: SHARE)
        self.revision = 2

    def pass_time(self, seconds: float, is_proven: bool = True) -> None:
        """Let time pass in an entry that runs, by default with fresh proofs."""
        until_s = self.now_s + seconds
        while self.now_s < until_s:
            self.now_s = min(until_s, self.now_s + 0.1)
            if is_proven:
                self.state.record_proof(boot_time_s())
            self.cold.tick()

    def write(self, number: int = 1, **fields: Any) -> None:
        """Write the record of an engine."""
        self.revision += 1
        apply_records(self.state, engine_record(number, self.revision, **fields))

    def record(self, number: int = 1) -> UpstreamRecord:
        """Return the record of an engine."""
        return self.state.upstreams[f"i-{number}"]

    def evidence(self, number: int = 1, is_used_here: bool = True) -> Evidence | None:
        """Return why an engine counts as cold."""
        found = self.cold.upstreams.period(self.record(number), is_used_here)
        return found.evidence if found else None

    # Guards against limits on upstreams that have run for long.
    def test_an_upstream_whose_record_says_0_is_warm(self) -> None:
        self.assertIsNone(self.evidence())

    # Guards against an upstream that becomes cold as it runs, or at the end of its time.
    def test_a_record_says_for_how_long(self) -> None:
        self.write(cold_left_ms=1500)
        self.assertIs(Evidence.RECORD, self.evidence())
        self.pass_time(1.5 + MARGIN_S - 0.05)
        self.assertIs(Evidence.RECORD, self.evidence())
        self.pass_time(0.1)
        self.assertIsNone(self.evidence())

    # Guards against an end that a record from before the begin moves forward.
    def test_a_record_shortens_nothing(self) -> None:
        self.write(cold_left_ms=2000)
        self.write(cold_left_ms=100)
        self.pass_time(1.9)
        self.assertIs(Evidence.RECORD, self.evidence())

    # Guards against a new upstream that gets everything as its record says nothing.
    def test_a_new_run_is_cold_for_as_long_as_its_service_says(self) -> None:
        self.write(2)
        self.assertIs(Evidence.NEW_RUN, self.evidence(2))
        self.pass_time(COLD_S - 0.05)
        self.write(2, born=9999)
        self.assertIs(Evidence.NEW_RUN, self.evidence(2))
        self.pass_time(COLD_S + MARGIN_S + 0.05)
        self.assertIsNone(self.evidence(2))
        self.write(2, born=9999, state="draining")
        self.assertIsNone(self.evidence(2))
        self.write(2, born=10_000, cold_left_ms=0)
        self.assertIsNone(self.evidence(2))

    # Guards against records that arrive before the configuration that limits their service.
    def test_a_configuration_that_arrives_later_limits_known_upstreams(self) -> None:
        state = fleet_state_of(configuration_record(), engine_record(1, 2))
        cold = ColdStart(state, ZONE)
        self.assertEqual({}, cold.rules)
        self.assertEqual({}, cold.upstreams.runs)
        service = engine_service_body(cold_s=COLD_S, cold_per_s=26.0)
        apply_records(state, configuration_record(3, version=2, services=[service]))
        self.assertIsNotNone(cold.upstreams.period(state.upstreams["i-1"], True))
        apply_records(state, configuration_record(4, version=3))
        self.assertEqual({}, cold.rules)
        self.assertTrue(cold.has_permit(state.upstreams["i-1"]))
        cold.tick()
        self.assertEqual({}, cold.upstreams.periods)

    # Guards against a restart that no record has told of yet.
    def test_a_failed_upstream_is_cold_until_a_while_after_its_next_answer(self) -> None:
        self.cold.record_failure(self.record())
        self.pass_time(60.0)
        self.assertIs(Evidence.FAILURE, self.evidence())
        sent_at_s = self.now_s
        self.pass_time(0.1)
        self.cold.record_answered(self.record(), sent_at_s)
        self.pass_time(COLD_S + MARGIN_S - 0.05)
        self.assertIs(Evidence.FAILURE, self.evidence())
        self.pass_time(0.1)
        self.assertIsNone(self.evidence())

    # Guards against an answer of the run before, which arrives after the failure.
    def test_an_answer_to_a_request_from_before_the_failure_ends_nothing(self) -> None:
        sent_at_s = self.now_s
        self.pass_time(0.1)
        self.cold.record_failure(self.record())
        self.cold.record_answered(self.record(), sent_at_s)
        self.pass_time(60.0)
        self.assertIs(Evidence.FAILURE, self.evidence())

    # Guards against an upstream that an entry never uses again, as it may not try it while cold.
    def test_a_failure_ends_by_itself_where_nothing_is_sent(self) -> None:
        self.cold.record_failure(self.record())
        self.pass_time(COLD_S + HEARTBEATS_S - 0.05)
        self.assertIs(Evidence.FAILURE, self.evidence(is_used_here=False))
        self.pass_time(0.1)
        self.assertIsNone(self.evidence(is_used_here=False))

    # Guards against a failure of the run before that counts against a new one.
    def test_the_record_of_a_new_start_replaces_a_failure(self) -> None:
        self.cold.record_failure(self.record())
        self.write(born=9999, cold_left_ms=500)
        self.assertIs(Evidence.RECORD, self.evidence())
        self.pass_time(0.5 + MARGIN_S + 0.05)
        self.assertIsNone(self.evidence())

    # Guards against upstreams that have become cold while no entry sent them anything.
    def test_the_upstreams_of_a_zone_are_cold_after_its_evacuation(self) -> None:
        ended = {ZONE: boot_time_s()}
        self.cold.upstreams.ended_evacuations = lambda: ended
        self.assertIs(Evidence.EVACUATION, self.evidence())
        self.assertTrue(self.cold.upstreams.has_cold())
        self.pass_time(COLD_S + MARGIN_S + 0.05)
        self.assertIsNone(self.evidence())
        self.assertFalse(self.cold.upstreams.has_cold())

    # Guards against an entry that is cut off from the store and can't learn of a cold start.
    def test_every_upstream_is_cold_without_a_fresh_proof(self) -> None:
        self.pass_time(FRESH_S - 0.05, is_proven=False)
        self.assertIsNone(self.evidence())
        self.pass_time(0.1, is_proven=False)
        self.assertIs(Evidence.STALE, self.evidence())
        self.pass_time(0.1)
        self.assertIsNone(self.evidence())

    # Guards against a process that wakes up and sends before it has read the news.
    def test_every_upstream_is_cold_after_a_stall_until_the_next_proof(self) -> None:
        self.pass_time(0.1)
        self.now_s += STALL_MIN_S
        self.assertIs(Evidence.STALE, self.evidence())
        self.cold.tick()
        self.assertIs(Evidence.STALE, self.evidence())
        self.state.record_proof(boot_time_s() + 0.01)
        self.assertIsNone(self.evidence())

    # Guards against requests from other zones, whose entries have no share.
    def test_an_entry_of_another_zone_sends_nothing_to_a_cold_upstream(self) -> None:
        self.write(zone="nam-a", cold_left_ms=1000)
        self.assertFalse(self.cold.has_permit(self.record()))
        self.cold.reserve(self.record())
        self.assertFalse(self.cold.take(self.record()))
        self.pass_time(1.0 + MARGIN_S + 0.05)
        self.assertTrue(self.cold.has_permit(self.record()))
        self.assertTrue(self.cold.take(self.record()))

    # Guards against a cold time whose first second adds to what was sent just before it.
    def test_what_was_sent_to_a_warm_upstream_counts_when_it_becomes_cold(self) -> None:
        for _ in range(SHARE):
            self.cold.reserve(self.record())
            self.assertTrue(self.cold.take(self.record()))
        self.write(cold_left_ms=3000)
        self.assertFalse(self.cold.has_permit(self.record()))
        self.pass_time(1.1)
        self.assertTrue(self.cold.has_permit(self.record()))

    # Guards against permits that are lost with requests that connect while the limit is lifted.
    def test_a_limit_that_is_lifted_for_a_while_costs_no_permit(self) -> None:
        for _ in range(SHARE):
            self.cold.reserve(self.record())
        apply_records(self.state, configuration_record(50, version=2))
        self.cold.give_back(self.record())
        self.assertTrue(self.cold.take(self.record()))
        service = engine_service_body(cold_s=COLD_S, cold_per_s=26.0)
        apply_records(self.state, configuration_record(51, version=3, services=[service]))
        self.write(cold_left_ms=60_000)
        self.pass_time(WINDOW_S + 0.05)
        self.assertEqual(0, self.cold.permits.window("i-1").used(self.now_s))

    # Guards against a wait, or a refusal, that names a wrong end.
    def test_the_wait_is_known(self) -> None:
        self.write(2, zone="nam-a", cold_left_ms=2000)
        self.assertEqual(0.0, self.cold.wait_s([self.record(1), self.record(2)]))
        self.assertAlmostEqual(2.0 + MARGIN_S, self.cold.wait_s([self.record(2)]))
        ends_at_s = self.cold.free_at_s(self.record(2))
        assert ends_at_s is not None
        self.assertAlmostEqual(self.now_s + 2.0 + MARGIN_S, ends_at_s)
        self.pass_time(FRESH_S + 1.0, is_proven=False)
        self.assertEqual(float("inf"), self.cold.wait_s([self.record(2)]))
        self.assertIsNone(self.cold.free_at_s(self.record(2)))

    # Guards against a cold time that the log does not tell, or a log of thousands of upstreams.
    def test_begin_and_end_are_logged_with_the_evidence(self) -> None:
        with self.assertLogs(LOGGER) as logged:
            self.write(cold_left_ms=500)
            self.pass_time(2.0)
            for number in range(2, 40):
                self.write(number)
            self.pass_time(0.1)
        found = [record_fields(record) for record in logged.records]
        lines = [line for line in found if line["event"] in ("upstream_cold", "upstream_warm")]
        self.assertEqual(
            [("upstream_cold", "record"), ("upstream_warm", "record"), ("upstream_cold", None)],
            [(line["event"], line.get("evidence")) for line in lines],
        )
        self.assertEqual(38, lines[-1]["upstreams"])

    # Guards against a cold time whose end is never told, and against state that is kept for good.
    def test_failures_that_lapse_are_logged_and_dropped(self) -> None:
        self.write(2, zone="nam-a", cold_left_ms=0)
        with self.assertLogs(LOGGER) as logged:
            self.cold.record_failure(self.record(1))
            self.cold.record_failure(self.record(2))
            self.pass_time(COLD_S + HEARTBEATS_S + 0.1)
            self.cold.retain(self.state.upstreams)
            self.write(1, born=9999, cold_left_ms=0)
            self.pass_time(0.1)
        lines = [record_fields(record) for record in logged.records]
        found = [(line["event"], line["upstream"]) for line in lines if "evidence" in line]
        self.assertEqual({("upstream_cold", "i-1"), ("upstream_cold", "i-2")}, set(found[:2]))
        self.assertEqual({("upstream_warm", "i-1"), ("upstream_warm", "i-2")}, set(found[2:]))
        self.assertEqual({}, self.cold.upstreams.failures)
        self.assertFalse(self.cold.upstreams.has_cold())

    # Guards against a process that takes its start for a stall and sends next to nothing.
    def test_a_late_first_tick_is_no_stall(self) -> None:
        cold = ColdStart(self.state, ZONE)
        self.now_s += STALL_MIN_S + 0.1
        cold.tick()
        self.assertFalse(cold.upstreams.is_stale())

    # Guards against state of upstreams that no longer exist.
    def test_gone_upstreams_are_dropped(self) -> None:
        self.cold.record_failure(self.record())
        self.cold.retain({})
        self.assertEqual(({}, {}), (self.cold.upstreams.runs, self.cold.upstreams.failures))


if __name__ == "__main__":
    unittest.main()
