"""Tests of the explanation where a request would go: it tells the truth and changes nothing."""

import asyncio
import copy
import json
import random
import time
import unittest
from collections import Counter
from typing import Any, Final
from unittest import mock

from gypsumpier.eligibility import explanation
from gypsumpier.eligibility.obstacle import Reason
from gypsumpier.fleet.state import FleetState
from gypsumpier.fleet.upstream import UpstreamRecord
from gypsumpier.gateway.admission import Admission
from gypsumpier.gateway.destination import UPSTREAMS_AT_ONCE, UPSTREAMS_SHOWN, Destinations
from gypsumpier.gateway.destinationview import ServiceView
from gypsumpier.gateway.refusal import Refusal
from gypsumpier.gateway.request import GatewayRequest
from gypsumpier.gateway.requestqueue import QueuedRequest
from gypsumpier.quarantine.trait import PART_PREFIX
from gypsumpier.ratelimit.limits import LimitNews
from gypsumpier.stopschedule import StopSchedule
from gypsumpier.test.builders_destination import REPORTS, destinations_of
from gypsumpier.test.builders_gateway import request_of
from gypsumpier.test.builders_platform import (
    ENGINES,
    PLAIN,
    apply_records,
    configuration_record,
    engine_record,
    engine_service_body,
    evacuation_record,
    fleet_state_of,
    route_body,
)
from gypsumpier.test.builders_regions import (
    regional_configuration,
    regional_engines,
    regional_fleet,
)
from gypsumpier.test.test_cold_gateway import FixedShares
from gypsumpier.upstream.enginestate import EngineState
from gypsumpier.upstream.peerloads import Load
from gypsumpier.upstream.silences import SilenceReport

FULL: Final = 17
UNREAD: Final = 30_000
"""Tokens of prompts that an engine takes most of a second to read."""
COLD: Final[dict[str, Any]] = {"cold_s": 30.0, "cold_per_s": 26.0}
MANY: Final = 600


class DestinationTest(unittest.IsolatedAsyncioTestCase):
    def use(self, fleet_state: FleetState) -> None:
        """Set up an entry with this fleet state."""
        self.fleet_state = fleet_state
        self.destinations: Destinations = destinations_of(fleet_state)
        self.admission: Admission = self.destinations.admission
        self.selector = self.destinations.selector

    def use_engines(self, *zones: str, **limits: Any) -> None:
        """Set up an entry with one engine in each of the zones."""
        self.use(regional_fleet(list(zones), **limits))

    def record(self, number: int) -> UpstreamRecord:
        """Return the record of an engine."""
        return self.fleet_state.upstreams[f"i-{number}"]

    async def service(self, **fields: Any) -> ServiceView:
        """Return where a request to the engines would go."""
        view = await self.destinations.explain(REPORTS._replace(**fields))
        self.assertIsNone(view["refusal"])
        return view["services"][0]

    def switch(self, number: int) -> None:
        """Let an engine switch its weights."""
        record = self.record(number)
        address = f"{record.host}:{record.port}"
        state = EngineState(address, "run", 1, True, 0, 0, 1.0, record.layers)
        self.selector.record_engine_state(state)

    def use_each_reason(self) -> dict[str, str | None]:
        """Set up engines of which each is passed over for another reason; return the reasons."""
        zones = ["bac-a", "bac-a", *["bac-b"] * 9, "nam-a", "sud-a"]
        records = regional_engines(zones)
        records[4] = engine_record(5, 105, zone="bac-b", state="draining")
        records[5] = engine_record(6, 106, version=0, zone="bac-b")
        service = engine_service_body(**COLD)
        configuration = regional_configuration(["bac", "sud"])
        body = json.loads(configuration.value or b"")
        body["services"][0] = service
        configuration = configuration._replace(value=json.dumps(body).encode())
        self.use(fleet_state_of(configuration, *records))
        # Engines of the first start are cold; all but two are warm again.
        cold = self.selector.cold
        for number in range(3, 14):
            cold.upstreams.periods.pop(f"i-{number}", None)
        cold.shares = FixedShares(**{"i-1": 1, "i-2": 1})
        cold.reserve(self.record(2))
        cold.take(self.record(2))
        apply_records(self.fleet_state, evacuation_record(200, "sud-a"))
        self.switch(3)
        self.selector.health.record_failure(self.record(4).run_key())
        limits = self.selector.statements.limits
        run = self.record(7).run_key()
        limits.record_news(LimitNews(run, 0.5, time.monotonic()), "test")
        self.selector.statements.take(self.record(7))
        self.selector.statements.take(self.record(7))
        self.selector.statements.rests.begin_rest(self.record(8), 30.0)
        self.selector.record_peer_loads(
            "other", {"i-9": Load(FULL, 0), "i-10": Load(1, UNREAD), "i-11": Load(1, 0)}
        )
        silent = SilenceReport(frozenset({self.record(11).run_key()}), time.monotonic())
        self.selector.silences.zones["bac-b"] = silent
        self.selector.silences.update(frozenset(), [])
        return {
            "i-1": None,
            "i-2": "cold",
            "i-3": "switching",
            "i-4": "backoff",
            "i-5": "leaving",
            "i-6": "weights",
            "i-7": "limit",
            "i-8": "rest",
            "i-9": "full",
            "i-10": "prompts",
            "i-11": "silent",
            "i-12": "region",
            "i-13": "evacuated",
        }

    # Guards against an upstream that is left out, or that has the reason of another one.
    async def test_each_upstream_has_its_reason_and_its_end(self) -> None:
        expected = self.use_each_reason()
        found = await self.service()
        rows = {row["upstream"]: row for row in found["upstreams"]}
        self.assertEqual(expected, {name: rows[name]["reason"] for name in expected})
        self.assertEqual({reason.value for reason in Reason} | {None}, set(expected.values()))
        self.assertEqual(("i-1", 0), (found["chosen"], found["drawn"]))
        with_end = {name for name, row in rows.items() if row["ends_in_s"] is not None}
        self.assertEqual({"i-2", "i-4", "i-7", "i-8"}, with_end)
        self.assertAlmostEqual(30.0, rows["i-8"]["ends_in_s"] or 0.0, delta=1.0)

    def state(self) -> list[object]:
        """Return a copy of all that decides what becomes of later requests."""
        selector, admission = self.selector, self.admission
        statements, crashes = selector.statements, self.destinations.crashes
        queues = {
            name: [list(queue.waiting), *(vars(queue)[it] for it in QUEUE_FIELDS)]
            for name, queue in admission.queues.items()
        }
        found = copy.deepcopy(
            [
                selector.own_loads,
                selector.own_waiting,
                vars(selector.peer_loads),
                selector.known_candidates,
                selector.known_state,
                vars(selector.claims),
                [vars(tracker) for tracker in (selector.health, selector.zone_health)],
                [selector.silences.found, selector.silences.known],
                statements.rests.known,
                [
                    (run, it.per_s, it.at_s, vars(it.bucket) if it.bucket else None)
                    for run, it in statements.limits.known.items()
                ],
                {name: it.used(0.0) for name, it in selector.cold.permits.windows.items()},
                selector.cold.upstreams.periods,
                {name: vars(it) for name, it in crashes.quarantine.suspects.items()},
                admission.headroom.late_shares,
                admission.headroom.urgent_at_s,
                admission.times.first_event_estimates_s,
            ]
        )
        drawn = random.getstate(), admission.random.getstate()
        return [found, queues, drawn, self.destinations.intake.random.getstate()]

    # Guards against a question that costs a later request its token, permit, claim or turn.
    async def test_nothing_changes(self) -> None:
        self.use_each_reason()
        self.destinations.crashes.quarantine.record_crash([PART_PREFIX + "a"], "x/1", 0.0)
        before = [repr(it) for it in self.state()]
        with (
            mock.patch.object(self.selector, "begin") as begin,
            mock.patch.object(self.admission.region_report, "record") as report,
        ):
            await self.destinations.explain(REPORTS._replace(parts=("a",), prompt_tokens=900))
            await self.destinations.explain(REPORTS._replace(zone="nam-a"))
        begin.assert_not_called()
        report.assert_not_called()
        self.assertEqual(before, [repr(it) for it in self.state()])

    async def test_nothing_changes_while_requests_wait(self) -> None:
        self.use_engines("bac-a", "nam-a", tenant=["bac"])
        self.fill(1)
        self.queue_request()
        before = [repr(it) for it in self.state()]
        found = await self.service()
        self.assertEqual(1, found["wait"] and found["wait"]["ahead"])
        self.assertEqual(before, [repr(it) for it in self.state()])

    def fill(self, *numbers: int) -> None:
        """Let other entries fill these engines."""
        loads = {f"i-{number}": Load(FULL, 0) for number in numbers}
        self.selector.record_peer_loads("other", loads)

    def queue_request(self) -> QueuedRequest:
        """Let a request to the engines wait."""
        request, now_s = request_of(self.fleet_state), time.monotonic()
        return self.admission.queue(ENGINES).add(request, now_s + 3.0, now_s + 0.3)

    def use_random(self, draw: random.Random) -> None:
        """Set up some engines, of which some are passed over for different reasons."""
        zones = draw.choices(["bac-a", "bac-b", "nam-a"], k=draw.randint(1, 5))
        cold = COLD if draw.random() < 0.5 else {}
        configuration = regional_configuration(draw.choice([None, None, ["bac"], ["nam"]]))
        body = json.loads(configuration.value or b"")
        body["services"][0] = engine_service_body(**cold)
        configuration = configuration._replace(value=json.dumps(body).encode())
        warm = {"cold_left_ms": 0} if draw.random() < 0.5 else {}
        self.use(fleet_state_of(configuration, *regional_engines(zones, **warm)))
        records = list(self.fleet_state.upstreams.values())
        self.selector.cold.shares = FixedShares(**{it.id: draw.randint(0, 2) for it in records})
        loads = {it.id: Load(draw.choice([0, 2, 5, FULL, FULL]), 0) for it in records}
        self.selector.record_peer_loads("other", loads)
        for record in records:
            match draw.randint(0, 7):
                case 0:
                    self.selector.health.record_failure(record.run_key())
                case 1:
                    self.selector.statements.rests.begin_rest(record, 30.0)
                case 2:
                    self.selector.health.record_outcome(record.run_key(), failed=True)
                    self.selector.health.record_outcome(record.run_key(), failed=True)
                case 3:
                    self.switch(int(record.id.removeprefix("i-")))
        if draw.random() < 0.2:
            apply_records(self.fleet_state, evacuation_record(300, draw.choice(zones)))
        if draw.random() < 0.2:
            self.queue_request()

    # Guards against an explanation that differs from what becomes of the next request.
    async def test_it_tells_what_becomes_of_the_next_request(self) -> None:
        seen: Counter[str] = Counter()
        for seed in range(300):
            self.use_random(random.Random(seed))
            found = await self.service()
            with self.subTest(seed=seed):
                request = request_of(self.fleet_state)
                record = self.admission.try_enter(request)
                self.assertEqual(record.id if record else None, found["chosen"])
                code = None if record else await self.refusal_code(request)
                self.assertEqual(code, found["refusal"] and found["refusal"]["code"])
                if code is None:
                    # A request that is refused for its wait has both.
                    self.assertEqual(record is None, found["wait"] is not None)
                seen.update([f"refused {code}" if code else "sent" if record else "queued"])
        self.assertGreaterEqual(len(seen), 6, seen)

    async def refusal_code(self, request: GatewayRequest) -> int | None:
        """Let the request wait; return the code if it is refused at once."""
        waiting = asyncio.create_task(
            self.admission.wait(request, self.admission.queue(request.service))
        )
        await asyncio.sleep(0)
        if not waiting.done():
            waiting.cancel()
        try:
            await waiting
        except Refusal as refusal:
            return refusal.code.number
        except asyncio.CancelledError:
            pass
        return None

    async def test_a_request_waits_where_all_places_are_taken(self) -> None:
        self.use_engines("bac-a", "bac-b")
        self.fill(1, 2)
        found = await self.service()
        assert found["wait"] is not None
        self.assertEqual(
            (None, None, 0), (found["chosen"], found["refusal"], found["wait"]["ahead"])
        )
        for _ in range(400):
            self.queue_request()
        found = await self.service()
        assert found["wait"] is not None and found["refusal"] is not None
        self.assertEqual("queue_too_long", found["refusal"]["name"])
        self.assertGreater(found["wait"]["wait_s"], 1.0)

    # Guards against the promise of a place that a queued request will get.
    async def test_a_free_place_belongs_to_those_that_wait(self) -> None:
        self.use_engines("bac-a")
        self.queue_request()
        found = await self.service()
        self.assertEqual((None, {"free": 1}), (found["chosen"], found["counts"]))

    async def test_each_cause_of_a_refusal_by_all_upstreams(self) -> None:
        self.use_engines("bac-a", route=["nam"])
        self.assertEqual("no_upstream_in_regions", await self.refusal_name())
        self.use_engines("bac-a")
        apply_records(self.fleet_state, evacuation_record(300))
        self.assertEqual("zone_evacuated", await self.refusal_name())
        self.use_engines("bac-a")
        self.selector.statements.rests.begin_rest(self.record(1), 30.0)
        self.assertEqual("upstream_resting", await self.refusal_name())
        self.use(fleet_state_of(configuration_record()))
        self.assertEqual("no_upstream", await self.refusal_name())
        cold = configuration_record(services=[engine_service_body(**COLD)])
        self.use(fleet_state_of(cold, engine_record(1, 2, cold_left_ms=20_000)))
        self.assertEqual("queue_too_long", await self.refusal_name())

    async def refusal_name(self) -> str:
        """Return the name of the refusal of a request to the engines."""
        found = (await self.service())["refusal"]
        assert found is not None
        return found["name"]

    async def test_refusals_before_an_upstream_is_looked_at(self) -> None:
        self.use(FleetState(mock.Mock()))
        view = await self.destinations.explain(REPORTS)
        self.assertEqual("entry_uninformed", view["refusal"] and view["refusal"]["name"])
        self.assertIsNone(view["proof_age_s"])
        self.use_engines("bac-a")
        view = await self.destinations.explain(REPORTS._replace(path="/none"))
        self.assertEqual("no_route", view["refusal"] and view["refusal"]["name"])
        self.use(
            fleet_state_of(regional_configuration(), *regional_engines(["bac-a"]), proven_ago_s=9.0)
        )
        view = await self.destinations.explain(REPORTS)
        self.assertEqual("stale_configuration", view["refusal"] and view["refusal"]["name"])
        self.assertAlmostEqual(9.0, view["proof_age_s"] or 0.0, delta=1.0)
        self.use_engines("bac-a")
        now_s = time.monotonic()
        schedule = StopSchedule(now_s - 1.0, now_s + 0.1)
        self.destinations = destinations_of(self.fleet_state, None, lambda: schedule)
        view = await self.destinations.explain(REPORTS)
        self.assertEqual("entry_stopping", view["refusal"] and view["refusal"]["name"])

    # Guards against parts of prompts in answers, which are kept in terminals and tickets.
    async def test_suspected_parts_are_numbered_and_not_shown(self) -> None:
        self.use_engines("bac-a")
        quarantine = self.destinations.crashes.quarantine
        now_s = time.monotonic()
        for crash in ("i-7/1", "i-8/1", "i-9/1"):
            now_s += 0.2
            quarantine.record_crash([PART_PREFIX + "secret-part"], crash, now_s)
        view = await self.destinations.explain(REPORTS._replace(parts=("other", "secret-part")))
        assert view["refusal"] is not None
        self.assertEqual("suspected_of_crashes", view["refusal"]["name"])
        self.assertEqual([2], view["refusal"]["positions"])
        self.assertGreater(view["refusal"]["ends_in_s"] or 0.0, 1.0)
        self.assertNotIn("secret-part", json.dumps(view))

    async def test_each_service_of_a_route_has_its_share(self) -> None:
        backends = [{"service": ENGINES, "weight": 3}, {"service": PLAIN, "weight": 1}]
        route = route_body(backends=backends)
        del route["service"]
        self.use(fleet_state_of(configuration_record(routes=[route]), engine_record(1, 2)))
        view = await self.destinations.explain(REPORTS)
        found = [(it["service"], it["share"], it["chosen"]) for it in view["services"]]
        self.assertEqual([(ENGINES, 0.75, "i-1"), (PLAIN, 0.25, None)], found)

    async def test_a_route_by_its_name_and_the_ages_of_loads(self) -> None:
        self.use_engines("bac-a", "nam-a", tenant=["nam"])
        self.selector.record_peer_loads("front-bac-a-2", {}, age_s=0.5)
        query = REPORTS._replace(host="", path="", route="reports")
        view = await self.destinations.explain(query)
        self.assertEqual(("reports", ["nam"]), (view["route"], view["regions"]))
        self.assertAlmostEqual(0.5, view["loads_age_s"]["front-bac-a-2"], delta=0.3)
        self.assertEqual("i-2", view["services"][0]["chosen"])
        view = await self.destinations.explain(query._replace(workspace=""))
        self.assertEqual((None, "i-1"), (view["regions"], view["services"][0]["chosen"]))
        self.assertEqual(1, len(view["notes"]))

    # Guards against a question that holds up the event loop, or an answer of megabytes.
    async def test_a_large_service_is_judged_in_parts(self) -> None:
        engines = [
            engine_record(
                number,
                100 + number,
                zone="bac-b" if number <= MANY else "bac-a",
                address=f"127.0.{number // 250}.{number % 250}:8701",
            )
            for number in range(1, MANY + 2)
        ]
        self.use(fleet_state_of(regional_configuration(), *engines))
        for name in ("a", "b", "c", "d", "e"):
            self.selector.record_peer_loads(name, {})
        turns = 0

        async def count_turns() -> None:
            nonlocal turns
            while True:
                turns += 1
                await asyncio.sleep(0)

        counting = asyncio.create_task(count_turns())
        with mock.patch(
            "gypsumpier.gateway.destination.assess", wraps=explanation.assess
        ) as assess:
            found = await self.service()
        counting.cancel()
        self.assertGreaterEqual(turns, MANY // UPSTREAMS_AT_ONCE)
        self.assertLessEqual(max(len(it.args[1]) for it in assess.mock_calls), UPSTREAMS_AT_ONCE)
        self.assertEqual(f"i-{MANY + 1}", found["chosen"])
        self.assertEqual(f"i-{MANY + 1}", found["upstreams"][0]["upstream"])
        self.assertEqual(UPSTREAMS_SHOWN, len(found["upstreams"]))
        self.assertEqual(MANY + 1 - UPSTREAMS_SHOWN, found["omitted"])
        self.assertEqual({"free": MANY + 1}, found["counts"])
        self.assertEqual((1, 0), (found["comparable"], found["drawn"]))
        self.fill(MANY + 1)
        found = await self.service()
        self.assertEqual((MANY, 2), (found["comparable"], found["drawn"]))


QUEUE_FIELDS: Final = (
    "regional",
    "finish_tags",
    "recent_grants",
    "virtual_time",
    "arrivals",
    "granted_at_s",
    "arrived_at_s",
    "formed_at_s",
    "limited",
)
