"""Tests of the selection of an upstream: candidates, load, health, and weight switches."""

import unittest
from collections import Counter

from gypsumpier.fleet.upstream import LoadedLayers
from gypsumpier.test.builders_gateway import engines, selector_of
from gypsumpier.test.builders_platform import (
    ENGINES,
    LAYERS,
    MODEL,
    apply_records,
    engine_record,
    record,
)
from gypsumpier.upstream.enginestate import EngineState
from gypsumpier.upstream.peerloads import Load
from gypsumpier.upstream.selector import UpstreamSelector


def state_of(
    number: int, version: int, sequence: int, is_switching: bool = False, pace: float = 1.0
) -> EngineState:
    """Return a state as reported by the sidecar of an engine."""
    layers = (LoadedLayers(MODEL, version, 0, LAYERS),) if version else ()
    return EngineState(f"127.0.0.{number}:8701", "run", sequence, is_switching, 0, 0, pace, layers)


def candidates(selector: UpstreamSelector, least_version: int = 0) -> set[str]:
    """Return the ids of the engines that can serve."""
    return {found.id for found in selector.candidates(ENGINES, least_version)}


class CandidatesTest(unittest.TestCase):
    def test_an_engine_without_layers_gets_no_requests(self) -> None:
        fleet_state = engines(2)
        apply_records(fleet_state, engine_record(3, 9, version=0))
        self.assertEqual({"i-1", "i-2"}, candidates(selector_of(fleet_state)))

    def test_a_leaving_engine_gets_no_requests(self) -> None:
        fleet_state = engines(2)
        apply_records(fleet_state, engine_record(1, 9, state="draining"))
        self.assertEqual({"i-2"}, candidates(selector_of(fleet_state)))

    def test_a_sidecar_report_overrides_the_record(self) -> None:
        selector = selector_of(engines(2))
        selector.record_engine_state(state_of(1, 0, 1))
        self.assertEqual({"i-2"}, candidates(selector))
        selector.record_engine_state(state_of(1, 2, 3))
        selector.record_engine_state(state_of(1, 0, 2))
        self.assertEqual({"i-1", "i-2"}, candidates(selector))

    def test_a_switching_engine_gets_no_requests(self) -> None:
        selector = selector_of(engines(2))
        selector.record_engine_state(state_of(1, 1, 1, is_switching=True))
        self.assertEqual({"i-2"}, candidates(selector))

    def test_a_version_that_is_due_rules_out_older_weights(self) -> None:
        selector = selector_of(engines(2))
        selector.record_engine_state(state_of(2, 2, 1))
        self.assertEqual({"i-2"}, candidates(selector, least_version=2))


class ChoiceTest(unittest.TestCase):
    def choose(self, selector: UpstreamSelector, needed_s: float = 0.0) -> str | None:
        """Return the id of the chosen engine."""
        found = selector.choose(selector.candidates(ENGINES), set(), needed_s)
        return found.id if found else None

    def test_the_own_zone_goes_first_while_it_has_slots(self) -> None:
        fleet_state = engines(1)
        apply_records(fleet_state, engine_record(2, 9, zone="nam-a"))
        selector = selector_of(fleet_state)
        selector.record_peer_loads("other", {"i-1": Load(15, 0)})
        self.assertEqual("i-1", self.choose(selector))
        selector.record_peer_loads("other", {"i-1": Load(16, 0)})
        self.assertEqual("i-2", self.choose(selector))

    def test_what_other_entries_have_sent_counts(self) -> None:
        selector = selector_of(engines(2))
        selector.record_peer_loads("other", {"i-1": Load(3, 0)})
        self.assertEqual("i-2", self.choose(selector))

    def test_a_full_fleet_has_no_capacity(self) -> None:
        selector = selector_of(engines(2))
        selector.record_peer_loads("other", {"i-1": Load(17, 0), "i-2": Load(17, 0)})
        self.assertIsNone(self.choose(selector))

    def test_prompts_that_are_not_read_yet_count_more_than_running_requests(self) -> None:
        selector = selector_of(engines(2))
        selector.record_peer_loads("other", {"i-1": Load(1, 3000), "i-2": Load(9, 0)})
        self.assertEqual("i-2", self.choose(selector))

    def test_a_burst_after_a_switch_is_spread(self) -> None:
        """Guards against sending all queued requests to one engine at once.

        Every engine but one is full, and that one has just returned empty.  It reads prompts one
        after another, so the last request would be late.
        """
        selector = selector_of(engines(2))
        selector.record_peer_loads("other", {"i-2": Load(17, 0)})
        sent = 0
        while self.choose(selector) is not None:
            selector.begin(selector.fleet_state.upstreams["i-1"], 1300)
            sent += 1
        self.assertLessEqual(sent, 5)

    def test_streams_that_are_cut_together_resume_at_several_engines(self) -> None:
        """Guards against resuming all streams of a switching engine at one other engine."""
        selector = selector_of(engines(6))
        chosen: Counter[str] = Counter()
        for _ in range(12):
            found = selector.choose(selector.candidates(ENGINES), set(), 0.5, any_zone=True)
            assert found is not None
            selector.begin(found, 1000)
            chosen[found.id] += 1
        self.assertLessEqual(max(chosen.values()), 4)
        self.assertGreaterEqual(len(chosen), 5)

    def test_a_long_stream_avoids_an_engine_that_switches_soon(self) -> None:
        wanted = record(f"op/version/{MODEL}", {"model": MODEL, "version": 2}, 20)
        fleet_state = engines(4)
        apply_records(fleet_state, wanted)
        selector = selector_of(fleet_state)
        turns = selector.schedule.turns(ENGINES)
        last = max(turns, key=lambda address: turns[address].at_s)
        self.assertEqual(4, len(turns))
        for address in turns:
            number = int(address.split(":")[0].rsplit(".", 1)[1])
            if address != last:
                selector.record_peer_loads(f"load on {number}", {f"i-{number}": Load(2, 0)})
        # Every engine but the last switches within the time of the stream.
        first_s = min(turn.at_s for turn in turns.values())
        spare_s = turns[last].at_s - first_s
        self.assertEqual(f"i-{last.split(':')[0].rsplit('.', 1)[1]}", self.choose(selector, 4.4))
        self.assertGreater(spare_s, 1.0)

    def test_a_failed_upstream_backs_off_and_is_then_probed_once(self) -> None:
        selector = selector_of(engines(1))
        run = selector.fleet_state.upstreams["i-1"].run_key()
        selector.health.record_failure(run)
        self.assertIsNone(self.choose(selector))
        selector.health.health_by_run[run].retry_at_s = 0.0
        self.assertEqual("i-1", self.choose(selector))
        selector.begin(selector.fleet_state.upstreams["i-1"], 0)
        self.assertIsNone(self.choose(selector))
        selector.health.record_success(run)
        self.assertEqual("i-1", self.choose(selector))

    def test_an_upstream_that_fails_part_of_its_requests_is_chosen_last(self) -> None:
        """Guards against sending all requests back to a failing upstream after one success.

        It fails every other request while its health check is good.  Without another upstream it
        still serves.
        """
        fleet_state = engines(1)
        apply_records(fleet_state, engine_record(2, 9, zone="nam-a"))
        selector = selector_of(fleet_state)
        run = fleet_state.upstreams["i-1"].run_key()
        for failed in (True, False, True, False, True, False):
            selector.health.record_outcome(run, failed)
            if not failed:
                selector.health.record_success(run)
        self.assertEqual("i-2", self.choose(selector))
        apply_records(fleet_state, record("servers/i-2", None, 10))
        self.assertEqual("i-1", self.choose(selector))

    def test_a_slow_engine_is_used_where_the_others_are_full(self) -> None:
        selector = selector_of(engines(2))
        selector.record_engine_state(state_of(1, 1, 1, pace=4.0))
        selector.record_peer_loads("other", {"i-2": Load(10, 0)})
        self.assertEqual("i-2", self.choose(selector))
        selector.record_peer_loads("other", {"i-2": Load(17, 0)})
        self.assertEqual("i-1", self.choose(selector))

    def test_an_unreachable_zone_goes_into_backoff_after_two_failures(self) -> None:
        """Guards against trying every upstream of an unreachable zone while the own zone is full.

        Each of them would delay a request by the time of a connection attempt.
        """
        selector = self.selector_beside_other_zone()
        upstreams = selector.fleet_state.upstreams
        selector.record_unreachable(upstreams["i-2"])
        selector.record_unreachable(upstreams["i-3"])
        self.assertIsNone(self.choose(selector))
        selector.record_success(upstreams["i-3"])
        self.assertIn(self.choose(selector), {"i-3", "i-4"})

    # Guards against refusing requests for which another upstream of the same zone has a place.
    def test_an_unreachable_upstream_does_not_rule_out_its_zone(self) -> None:
        selector = self.selector_beside_other_zone()
        upstreams = selector.fleet_state.upstreams
        for _ in range(3):
            selector.record_unreachable(upstreams["i-2"])
        self.assertIn(self.choose(selector), {"i-3", "i-4"})
        # An answer in between shows that each of the two failures was the upstream's own.
        selector.record_heard(upstreams["i-4"])
        selector.record_unreachable(upstreams["i-3"])
        self.assertEqual("i-4", self.choose(selector))

    # Guards against counting a failure of an upstream that is gone against its zone.
    def test_the_failure_of_an_upstream_that_is_gone_does_not_count(self) -> None:
        selector = self.selector_beside_other_zone()
        selector.record_unreachable(selector.fleet_state.upstreams["i-2"])
        apply_records(selector.fleet_state, record("servers/i-2", None, 20))
        selector.drop_expired()
        selector.record_unreachable(selector.fleet_state.upstreams["i-3"])
        self.assertEqual("i-4", self.choose(selector))

    def selector_beside_other_zone(self) -> UpstreamSelector:
        """Return a selector whose own zone is full, beside a zone of three free engines."""
        fleet_state = engines(1)
        for number in (2, 3, 4):
            apply_records(fleet_state, engine_record(number, 8 + number, zone="nam-a"))
        selector = selector_of(fleet_state)
        selector.record_peer_loads("other", {"i-1": Load(17, 0)})
        return selector

    def test_a_failed_upstream_of_the_own_zone_does_not_rule_out_that_zone(self) -> None:
        selector = selector_of(engines(2))
        selector.record_unreachable(selector.fleet_state.upstreams["i-1"])
        self.assertEqual("i-2", self.choose(selector))

    def test_requests_that_fail_together_count_as_one_failure(self) -> None:
        selector = selector_of(engines(1))
        run = selector.fleet_state.upstreams["i-1"].run_key()
        for _ in range(16):
            selector.health.record_failure(run)
        self.assertEqual(1, selector.health.health_by_run[run].failures)

    def test_the_load_of_an_upstream_returns_to_zero(self) -> None:
        selector = selector_of(engines(1))
        found = selector.fleet_state.upstreams["i-1"]
        selector.begin(found, 700)
        selector.record_prompt_read(found, 700)
        selector.end(found, 0)
        self.assertEqual({}, selector.own_loads)
