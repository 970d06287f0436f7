"""Tests of requests that only upstreams in some regions may serve, without a network."""

import asyncio
import time
import unittest
from typing import Any, Final
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumpier.codes.result import Outcome
from gypsumpier.fleet.state import FleetState
from gypsumpier.gateway.admission import NO_UPSTREAM_WAIT_S, Admission
from gypsumpier.gateway.application import GatewayApplication
from gypsumpier.gateway.attempt import Attempt
from gypsumpier.gateway.refusal import Refusal
from gypsumpier.gateway.relay import Relay
from gypsumpier.gateway.request import GatewayRequest
from gypsumpier.gateway.requestqueue import OVERTAKING_SHARE, RATE_WINDOW_S, RequestQueue
from gypsumpier.gateway.retries import RetryBudget
from gypsumpier.gateway.sender import UpstreamSender
from gypsumpier.gateway.writer import AnswerWriter
from gypsumpier.log import LOGGER
from gypsumpier.metrics import REGISTRY
from gypsumpier.options import Options
from gypsumpier.platform.settings import Reader, node_settings
from gypsumpier.test.builders_gateway import request_of
from gypsumpier.test.builders_platform import (
    BOUNDS,
    ENGINES,
    DecodingSource,
    apply_records,
    configuration_record,
    engine_record,
    evacuation_record,
    fleet_state_of,
    record,
    settings_body,
)
from gypsumpier.test.builders_regions import (
    OPEN_PREFIX,
    REGIONS_BY_ZONE,
    regional_admission,
    regional_configuration,
    regional_engines,
    regional_fleet,
)
from gypsumpier.test.secondattemptcase import FakeSender, SecondAttemptCase
from gypsumpier.test.virtualtime import run_at_virtual_time
from gypsumpier.upstream.enginestate import EngineState
from gypsumpier.upstream.errors import NotRunError, OutcomeUnknownError
from gypsumpier.upstream.peerloads import Load
from gypsumpier.upstream.replacement import Replacement

FULL: Final = 17
"""Requests in flight from which an engine of 16 slots takes no more."""
AT_ONCE_S: Final = 0.2
"""Seconds within which a request is refused that does not wait."""


def fill(admission: Admission, *names: str) -> None:
    """Fill engines up to their limit with requests of another entry; the others have none."""
    admission.selector.record_peer_loads("other", {name: Load(FULL, 0) for name in names})


def open_request(fleet_state: FleetState, **fields: Any) -> GatewayRequest:
    """Return a request by a route without regions."""
    return request_of(fleet_state, target=OPEN_PREFIX, **fields)


def waiting_for(admission: Admission, request: GatewayRequest) -> "asyncio.Task[str]":
    """Start to wait for the admission of a request; the result is the name of its engine."""

    async def enter() -> str:
        return (await admission.enter(request)).id

    return asyncio.create_task(enter())


async def is_waiting(*calls: "asyncio.Task[str]") -> list[bool]:
    """Return which of the calls still wait."""
    await asyncio.sleep(0.01)
    return [not call.done() for call in calls]


async def cancel_all(*calls: "asyncio.Task[str]") -> None:
    """End the calls that still wait."""
    for call in calls:
        call.cancel()
    await asyncio.gather(*calls, return_exceptions=True)


class AllowedRegionsTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a request at an upstream that its route or its tenant does not allow."""

    async def entered(self, admission: Admission, **fields: Any) -> str:
        """Return the engine that a new request is admitted to at once."""
        async with asyncio.timeout(AT_ONCE_S):
            return (await admission.enter(request_of(admission.fleet_state, **fields))).id

    async def test_the_own_zone_is_passed_over_for_an_allowed_region(self) -> None:
        for limits in ({"route": ["nam"]}, {"tenant": ["nam"]}):
            with self.subTest(limits=limits):
                admission = regional_admission(regional_fleet(["bac-a", "nam-a"], **limits))
                self.assertEqual("i-2", await self.entered(admission))

    async def test_both_the_route_and_the_tenant_bind(self) -> None:
        fleet_state = regional_fleet(["bac-a", "nam-a", "sud-a"], ["bac", "nam"], ["nam", "sud"])
        request = request_of(fleet_state)
        self.assertEqual(frozenset({"nam"}), request.regions)
        self.assertEqual("i-2", await self.entered(regional_admission(fleet_state)))

    async def test_without_regions_any_upstream_may_serve(self) -> None:
        fleet_state = regional_fleet(["bac-a", "nam-a"], [], [])
        self.assertIsNone(request_of(fleet_state).regions)
        self.assertEqual("i-1", await self.entered(regional_admission(fleet_state)))

    async def test_an_empty_intersection_allows_no_upstream(self) -> None:
        fleet_state = regional_fleet(["bac-a", "nam-a"], ["bac"], ["nam"])
        with self.assertRaises(Refusal) as raised:
            await self.entered(regional_admission(fleet_state))
        self.assertEqual("no_upstream_in_regions", raised.exception.code.name)

    async def test_a_zone_without_a_region_is_not_allowed_where_regions_are_named(self) -> None:
        fleet_state = regional_fleet(["new-a", "nam-a"], ["bac", "nam"])
        admission = regional_admission(fleet_state)
        for _ in range(3):
            self.assertEqual("i-2", await self.entered(admission))
        fill(admission, "i-2")
        self.assertEqual("i-1", (await admission.enter(open_request(fleet_state))).id)

    async def test_without_any_known_region_a_limited_request_goes_nowhere(self) -> None:
        admission = regional_admission(regional_fleet(["bac-a"], ["bac"]))
        admission.selector.set_regions({})
        with self.assertRaises(Refusal):
            await self.entered(admission)

    async def test_changed_settings_of_zones_hold_for_known_candidates(self) -> None:
        admission = regional_admission(regional_fleet(["bac-a", "nam-a"], ["bac"]))
        self.assertEqual("i-1", await self.entered(admission))
        admission.selector.set_regions({"bac-a": "nam", "nam-a": "bac"})
        self.assertEqual("i-2", await self.entered(admission))

    async def test_an_entry_that_is_cut_off_from_the_store_keeps_to_the_regions(self) -> None:
        fleet_state = fleet_state_of(
            regional_configuration(["nam"], public=True),
            *regional_engines(["bac-a", "nam-a"]),
            proven_ago_s=600.0,
        )
        self.assertEqual("i-2", await self.entered(regional_admission(fleet_state)))


class RegionRefusalTest(unittest.IsolatedAsyncioTestCase):
    """Guards against requests that are held, or told too little, where no upstream may serve."""

    def setUp(self) -> None:
        self.fleet_state = regional_fleet(["bac-a", "sud-a"], ["nam"])
        self.admission = regional_admission(self.fleet_state)
        self.request = request_of(self.fleet_state)

    async def refusal(self, request: GatewayRequest) -> Refusal:
        """Return the refusal of a request, which must not be held."""
        with self.assertRaises(Refusal) as raised:
            async with asyncio.timeout(AT_ONCE_S):
                await self.admission.enter(request)
        return raised.exception

    async def test_it_is_refused_at_once_by_its_own_code(self) -> None:
        found = await self.refusal(self.request)
        self.assertEqual((503, "no_upstream_in_regions"), (found.status, found.code.name))
        self.assertIs(Outcome.NOT_RUN, found.code.outcome)
        assert found.retry_after_s is not None
        self.assertTrue(0.0 < found.retry_after_s <= self.request.left_s() / 3 + 0.01)

    async def test_without_any_upstream_the_code_is_the_same(self) -> None:
        for name in list(self.fleet_state.upstreams):
            del self.fleet_state.upstreams[name]
        found = await self.refusal(self.request)
        self.assertEqual("no_upstream_in_regions", found.code.name)
        other = await self.refusal(open_request(self.fleet_state))
        self.assertEqual("no_upstream", other.code.name)

    async def test_full_and_failed_upstreams_of_the_region_are_waited_for(self) -> None:
        apply_records(self.fleet_state, engine_record(3, 200, zone="nam-a"))
        apply_records(self.fleet_state, engine_record(4, 201, zone="nam-a"))
        fill(self.admission, "i-3")
        self.admission.selector.health.record_failure(self.fleet_state.upstreams["i-4"].run_key())
        call = waiting_for(self.admission, self.request)
        self.assertEqual([True], await is_waiting(call))
        await cancel_all(call)

    async def test_an_engine_of_the_region_that_switches_is_waited_for(self) -> None:
        apply_records(self.fleet_state, engine_record(3, 200, zone="nam-a"))
        self.switch("i-3")
        call = waiting_for(self.admission, self.request)
        self.assertEqual([True], await is_waiting(call))
        await cancel_all(call)

    async def test_only_engines_of_the_region_count_while_one_of_it_switches(self) -> None:
        """The request waits for the switch as long as one does that has no other upstream."""
        apply_records(self.fleet_state, engine_record(3, 200, zone="nam-a"))
        self.switch("i-3")
        latest_s = self.admission.latest_start_s(self.request)
        self.assertLessEqual(latest_s, time.monotonic() + NO_UPSTREAM_WAIT_S)
        self.assertEqual("no_upstream", self.admission.refusal(self.request, 1.0).code.name)

    async def test_an_engine_that_switches_in_another_region_is_not_waited_for(self) -> None:
        self.switch("i-2")
        self.assertEqual("no_upstream_in_regions", (await self.refusal(self.request)).code.name)

    # Guards against a refusal that promises the end of an evacuation which changes nothing.
    async def test_an_engine_that_switches_in_an_evacuated_zone_of_another_region(self) -> None:
        self.switch("i-2")
        apply_records(self.fleet_state, evacuation_record(200, "sud-a"))
        self.assertEqual("no_upstream_in_regions", (await self.refusal(self.request)).code.name)

    def switch(self, name: str) -> None:
        """Report an engine as switching its weights."""
        address = f"{self.fleet_state.upstreams[name].host}:8701"
        self.admission.selector.record_engine_state(
            EngineState(address, "run", 1, True, 0, 0, 1.0, ())
        )

    async def test_an_upstream_of_the_region_that_leaves_is_none(self) -> None:
        apply_records(self.fleet_state, engine_record(3, 200, zone="nam-a", state="draining"))
        self.assertEqual("no_upstream_in_regions", (await self.refusal(self.request)).code.name)

    async def test_a_request_that_may_have_run_is_not_refused(self) -> None:
        for event_id in ("", "3"):
            with self.subTest(event_id=event_id):
                request = request_of(self.fleet_state)
                request.attempts, request.last_event_id = 1, event_id
                call = waiting_for(self.admission, request)
                self.assertEqual([True], await is_waiting(call))
                self.admission.dispatch_all()
                self.assertEqual([True], await is_waiting(call))
                await cancel_all(call)

    async def test_a_queued_request_is_refused_once_its_region_has_no_upstream(self) -> None:
        """The upstream goes, or the configuration in force leaves no region."""
        gone = record("servers/i-3", None, 300)
        for change in (gone, regional_configuration(["bac"], None, 2, revision=300)):
            with self.subTest(key=change.key):
                self.setUp()
                apply_records(self.fleet_state, engine_record(3, 200, zone="nam-a"))
                fill(self.admission, "i-3")
                call = waiting_for(self.admission, self.request)
                self.assertEqual([True], await is_waiting(call))
                apply_records(self.fleet_state, change)
                self.admission.dispatch_all()
                self.assertEqual([False], await is_waiting(call))
                found = call.exception()
                assert isinstance(found, Refusal)
                self.assertEqual("no_upstream_in_regions", found.code.name)

    async def test_it_is_logged_with_the_regions_but_not_each_time(self) -> None:
        before = self.counted()
        with self.assertLogs(LOGGER, "INFO") as lines:
            for _ in range(5):
                await self.refusal(request_of(self.fleet_state))
        self.assertEqual(5, self.counted() - before)
        (fields,) = [found.fields for found in lines.records]  # type: ignore[attr-defined]
        self.assertEqual(["nam"], fields["regions"])
        self.assertEqual({"bac": 1, "sud": 1}, fields["known"])
        self.assertEqual(self.request.head.request_id, fields["request"])

    def counted(self) -> float:
        """Return the value of the metric."""
        name = "gypsumpier_requests_without_region_total"
        return REGISTRY.get_sample_value(name, {"service": ENGINES}) or 0.0


class RepeatedRequestTest(unittest.IsolatedAsyncioTestCase):
    """Guards against later attempts outside the regions of a request."""

    def setUp(self) -> None:
        self.fleet_state = regional_fleet(["bac-a", "bac-b", "nam-a", "sud-a"], ["bac"])
        self.admission = regional_admission(self.fleet_state)
        self.request = request_of(self.fleet_state)

    def tried(self, *names: str) -> None:
        """Note these engines as tried by the request."""
        self.request.tried |= {self.fleet_state.upstreams[name].run_key() for name in names}

    async def test_a_retry_stays_in_the_region(self) -> None:
        self.tried("i-1")
        self.assertEqual("i-2", (await self.admission.enter(self.request)).id)

    async def test_a_retry_after_all_of_the_region_tries_them_again(self) -> None:
        self.tried("i-1", "i-2")
        self.assertIn((await self.admission.enter(self.request)).id, {"i-1", "i-2"})

    async def test_a_resumed_stream_waits_for_the_region(self) -> None:
        self.request.attempts, self.request.last_event_id = 1, "3"
        fill(self.admission, "i-1", "i-2")
        call = waiting_for(self.admission, self.request)
        self.assertEqual([True], await is_waiting(call))
        fill(self.admission, "i-1")
        self.admission.dispatch_all()
        self.assertEqual("i-2", await call)

    async def test_the_last_attempt_does_not_wait_for_an_engine_of_another_region(self) -> None:
        """An engine elsewhere switches its weights; it will return, but not for this request."""
        self.request.attempts, self.request.last_event_id = 1, "3"
        address = f"{self.fleet_state.upstreams['i-3'].host}:8701"
        switching = EngineState(address, "run", 1, True, 0, 0, 1.0, ())
        self.admission.selector.record_engine_state(switching)
        selector = self.admission.selector
        self.assertTrue(selector.is_engine_returning(ENGINES, set()))
        self.assertFalse(selector.is_engine_returning(ENGINES, set(), frozenset({"bac"})))
        records = self.admission.candidates(self.request)
        with mock.patch.object(selector, "steady", return_value=[]):
            found = self.admission.last_attempt_candidates(self.request, records, set(), 1.0)
        self.assertEqual(records, found)

    async def test_a_rest_in_the_region_counts_although_others_do_not_rest(self) -> None:
        for name in ("i-1", "i-2"):
            self.admission.selector.statements.rests.begin_rest(
                self.fleet_state.upstreams[name], 30.0
            )
        with self.assertRaises(Refusal) as raised:
            await self.admission.enter(self.request)
        self.assertEqual("upstream_resting", raised.exception.code.name)
        other = await self.admission.enter(open_request(self.fleet_state))
        self.assertIn(other.id, {"i-3", "i-4"})


class RegionalSecondAttemptTest(SecondAttemptCase):
    """Guards against a second attempt outside the regions of a request at a silent upstream."""

    engine_count = 3

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for number, zone in enumerate(("bac-a", "nam-a", "bac-b"), 1):
            name = f"i-{number}"
            found = self.fleet_state.upstreams[name]
            self.fleet_state.upstreams[name] = found._replace(zone=zone)
        self.selector.set_regions(REGIONS_BY_ZONE)
        self.request.route = self.request.route._replace(allowed_regions=frozenset({"bac"}))
        self.silent = self.fleet_state.upstreams["i-1"]
        self.other.silent.record = self.silent

    async def test_it_goes_to_an_upstream_of_the_region(self) -> None:
        with self.other:
            self.assertTrue(await self.other.take())
            assert self.other.attempt is not None
            self.assertEqual("i-3", self.other.attempt.record.id)

    async def test_without_another_upstream_in_the_region_there_is_none(self) -> None:
        del self.fleet_state.upstreams["i-3"]
        with self.other:
            self.assertFalse(self.other.may_move())
            self.assertFalse(await self.other.take())
            self.assertFalse(await self.other.wait())

    async def test_a_place_in_another_region_is_none(self) -> None:
        fill(self.admission, "i-3")
        self.assertFalse(self.admission.has_place(self.request, self.other.all_tried(frozenset())))
        fill(self.admission)
        self.assertTrue(self.admission.has_place(self.request, self.other.all_tried(frozenset())))


class FailingSender(FakeSender):
    """Notes the engines that it sends to, each of which cuts the stream behind an event."""

    def __init__(self, admission: Admission) -> None:
        super().__init__(admission, admission.selector, mock.Mock(), mock.Mock(), mock.Mock())
        self.engines: list[str] = []

    async def begin(
        self, attempt: Attempt, writer: AnswerWriter, replacement: Replacement, silent: str = ""
    ) -> None:
        self.engines.append(attempt.record.id)
        attempt.request.last_event_id = "3"
        raise OutcomeUnknownError("cut", is_answered=True)


class RelayedStreamTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a stream that leaves its regions, or is told not to have run, as it is cut."""

    def relay(self, admission: Admission) -> Relay:
        """Return the relay of an entry whose engines cut every stream."""
        retries = RetryBudget(BOUNDS, 1)
        parts = (mock.Mock(), retries, mock.Mock(), mock.Mock(), mock.Mock())
        relay = Relay(admission, admission.selector, *parts)
        relay.sender = FailingSender(admission)
        return relay

    async def cut(self, admission: Admission, relay: Relay) -> Refusal:
        """Relay a stream until it is given up; return the refusal."""
        request = request_of(admission.fleet_state, time_limit_s=0.4)
        request.route = request.route._replace(max_attempts=5)
        with self.assertRaises(Refusal) as raised:
            await relay.run(request, mock.Mock(status=200))
        return raised.exception

    async def test_every_resumption_stays_in_the_region(self) -> None:
        zones = ["bac-a", "bac-b", "nam-a", "sud-a", "bac-a", "bac-b", "bac-a"]
        admission = regional_admission(regional_fleet(zones, ["bac"]))
        relay = self.relay(admission)
        found = await self.cut(admission, relay)
        assert isinstance(relay.sender, FailingSender)
        self.assertEqual(5, len(relay.sender.engines))
        self.assertEqual({"i-1", "i-2", "i-5", "i-6", "i-7"}, set(relay.sender.engines))
        self.assertIs(Outcome.UNKNOWN, found.code.outcome)

    async def test_a_stream_whose_region_has_gone_is_not_told_that_it_has_not_run(self) -> None:
        admission = regional_admission(regional_fleet(["bac-a", "nam-a"], ["bac"]))
        relay = self.relay(admission)
        begin = relay.sender.begin

        async def begin_last(*args: Any) -> None:
            apply_records(admission.fleet_state, record("servers/i-1", None, 300))
            await begin(*args)

        with mock.patch.object(relay.sender, "begin", begin_last):
            dispatching = asyncio.create_task(admission.run())
            found = await self.cut(admission, relay)
            dispatching.cancel()
        self.assertEqual("answer_lost", found.code.name)


class RegionSettingsTest(unittest.IsolatedAsyncioTestCase):
    """Guards against an entry whose constraint does not know the zones of its settings."""

    async def test_the_regions_of_the_settings_hold_from_the_start_and_after_a_reload(self) -> None:
        own = node_settings(Reader(settings_body()))
        application = GatewayApplication(
            own, Options(incarnation="run-1"), DecodingSource(), mock.Mock()
        )
        regions = application.selector.regions
        self.assertEqual({"bac-a": "bac", "nam-a": "nam"}, regions.regions_by_zone)
        application.reload(own._replace(regions_by_zone={"bac-a": "bac", "sud-a": "sud"}))
        self.assertEqual({"bac-a": "bac", "sud-a": "sud"}, regions.regions_by_zone)


class MixedQueueTest(unittest.IsolatedAsyncioTestCase):
    """Guards against requests that keep others of the queue from places that they can't use."""

    def setUp(self) -> None:
        self.fleet_state = regional_fleet(["bac-a", "nam-a"], ["nam"])
        self.admission = regional_admission(self.fleet_state)

    async def test_a_limited_request_does_not_block_those_behind_it(self) -> None:
        fill(self.admission, "i-1", "i-2")
        limited = waiting_for(self.admission, request_of(self.fleet_state))
        behind = waiting_for(self.admission, open_request(self.fleet_state))
        self.assertEqual([True, True], await is_waiting(limited, behind))
        fill(self.admission, "i-2")
        self.admission.dispatch_all()
        self.assertEqual([True, False], await is_waiting(limited, behind))
        self.assertEqual("i-1", await behind)
        await cancel_all(limited)

    async def test_a_request_without_regions_does_not_block_limited_ones_behind_it(self) -> None:
        """The first one takes the place that it can, and the limited one the other."""
        fill(self.admission, "i-1", "i-2")
        first = waiting_for(self.admission, open_request(self.fleet_state))
        limited = waiting_for(self.admission, request_of(self.fleet_state))
        self.assertEqual([True, True], await is_waiting(first, limited))
        fill(self.admission)
        self.admission.dispatch_all()
        self.assertEqual(["i-1", "i-2"], [await first, await limited])

    async def test_a_pass_over_a_full_queue_tries_each_set_of_regions_once(self) -> None:
        """Guards against passes whose cost grows with the number of limited requests."""
        fill(self.admission, "i-1", "i-2")
        limited = [waiting_for(self.admission, request_of(self.fleet_state)) for _ in range(8)]
        self.assertEqual([True] * 8, await is_waiting(*limited))
        with mock.patch.object(self.admission, "try_admit", return_value=None) as tried:
            self.admission.dispatch_all()
        self.assertEqual(1, tried.call_count)
        await cancel_all(*limited)

    async def test_a_new_request_passes_a_queue_for_other_regions(self) -> None:
        fill(self.admission, "i-2")
        limited = waiting_for(self.admission, request_of(self.fleet_state))
        self.assertEqual([True], await is_waiting(limited))
        found = self.admission.try_enter(open_request(self.fleet_state))
        self.assertEqual("i-1", found.id if found else "")
        self.assertTrue(self.admission.has_place(open_request(self.fleet_state), set()))
        await cancel_all(limited)

    async def test_a_new_request_does_not_take_the_place_that_a_limited_one_awaits(self) -> None:
        fill(self.admission, "i-1", "i-2")
        limited = waiting_for(self.admission, request_of(self.fleet_state))
        self.assertEqual([True], await is_waiting(limited))
        fill(self.admission, "i-1")
        self.assertIsNone(self.admission.try_enter(open_request(self.fleet_state)))
        self.assertFalse(self.admission.has_place(open_request(self.fleet_state), set()))
        self.admission.dispatch_all()
        self.assertEqual("i-2", await limited)

    async def test_a_new_request_waits_behind_one_that_any_place_serves(self) -> None:
        fill(self.admission, "i-1", "i-2")
        first = waiting_for(self.admission, open_request(self.fleet_state))
        self.assertEqual([True], await is_waiting(first))
        fill(self.admission, "i-1")
        self.assertIsNone(self.admission.try_enter(request_of(self.fleet_state)))
        self.assertFalse(self.admission.has_place(request_of(self.fleet_state), set()))
        await cancel_all(first)


class RegionalWaitTest(unittest.TestCase):
    """Guards against waits that are estimated from places that the requests can't use.

    In virtual time no request becomes late while the others of its burst are queued.
    """

    def test_requests_beyond_what_their_region_serves_are_refused_at_once(self) -> None:
        """The other engines admit many requests a second, which a region that is full does not."""
        run_at_virtual_time(self.check_region_beyond_capacity())

    async def check_region_beyond_capacity(self) -> None:
        """Queue a burst for a full region beside engines that admit requests of others."""
        fleet_state = regional_fleet(["nam-a", *["bac-a"] * 9], ["nam"])
        admission = regional_admission(fleet_state)
        fill(admission, "i-1")
        for _ in range(200):
            admission.queue(ENGINES).record_granted()
        calls = [waiting_for(admission, request_of(fleet_state)) for _ in range(100)]
        still = sum(await is_waiting(*calls))
        # 16 slots with requests of 0.8 s admit 19 a second; callers wait about two seconds.
        self.assertTrue(30 <= still <= 50, still)
        await cancel_all(*calls)

    def test_limited_requests_do_not_lengthen_the_wait_of_others(self) -> None:
        run_at_virtual_time(self.check_wait_of_others())

    async def check_wait_of_others(self) -> None:
        """Queue requests without regions behind more limited ones than their region serves."""
        fleet_state = regional_fleet(["bac-a", "nam-a"], ["nam"])
        admission = regional_admission(fleet_state)
        fill(admission, "i-1", "i-2")
        limited = [waiting_for(admission, request_of(fleet_state)) for _ in range(100)]
        others = [waiting_for(admission, open_request(fleet_state)) for _ in range(30)]
        self.assertEqual(30, sum(await is_waiting(*others)))
        await cancel_all(*limited, *others)


class RegionalRatesTest(unittest.TestCase):
    """Guards against rates of requests without regions that count what others were admitted to."""

    def test_limited_requests_count_for_their_regions_alone(self) -> None:
        queue, nam = RequestQueue(), frozenset({"nam"})
        queue.formed_at_s = time.monotonic() - RATE_WINDOW_S
        for _ in range(8):
            queue.record_arrived()
            queue.record_granted()
        for _ in range(40):
            queue.record_arrived(nam)
            queue.record_granted(nam)
        self.assertAlmostEqual(8 / RATE_WINDOW_S, queue.rate_per_s(0.0))
        self.assertAlmostEqual(8 / RATE_WINDOW_S, queue.flow(0.0).per_s)
        self.assertAlmostEqual((1 - OVERTAKING_SHARE) * 4.0, queue.flow(0.0).late_per_s)
        self.assertAlmostEqual(40 / RATE_WINDOW_S, queue.flow_in(nam, 0.0).per_s)
        self.assertAlmostEqual(48 / RATE_WINDOW_S, queue.arrivals_per_s())


class ChangedConfigurationTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a request that is sent where only one of two configurations allows it.

    It was admitted under the first and is sent under the second.
    """

    def start(self, route: list[str] | None, tenant: list[str] | None = None) -> None:
        """Admit a request under a configuration with these regions."""
        self.fleet_state = regional_fleet(["bac-a", "nam-a"], route, tenant)
        self.admission = regional_admission(self.fleet_state)
        self.request = request_of(self.fleet_state)

    def change(
        self, route: list[str] | None, tenant: list[str] | None = None, **fields: Any
    ) -> None:
        """Put the second configuration in force."""
        apply_records(
            self.fleet_state, regional_configuration(route, tenant, 2, revision=200, **fields)
        )

    def sendable(self) -> list[str]:
        """Return the engines to which the request may be written now."""
        sender = UpstreamSender(
            self.admission, self.admission.selector, mock.Mock(), mock.Mock(), mock.Mock()
        )
        sender.crashes.refused_for_s = mock.Mock(return_value=0.0)  # type: ignore[method-assign]
        writer = mock.Mock()
        writer.has_caller_departed.return_value = False
        found = []
        for upstream in self.fleet_state.upstreams.values():
            try:
                sender.check_sendable(self.request, upstream, writer)
                found.append(upstream.id)
            except NotRunError as error:
                self.assertTrue(error.is_recalled)
        return found

    def test_regions_that_are_named_meanwhile_bind(self) -> None:
        for limits in ({"route": ["nam"]}, {"route": None, "tenant": ["nam"]}):
            with self.subTest(limits=limits):
                self.start(None)
                self.assertEqual(["i-1", "i-2"], self.sendable())
                self.change(**limits)
                self.assertEqual(["i-2"], self.sendable())

    def test_both_configurations_bind(self) -> None:
        self.start(["bac"])
        self.change(["nam"])
        self.assertEqual([], self.sendable())

    def test_regions_that_are_lifted_still_bind_those_admitted_under_them(self) -> None:
        self.start(["nam"])
        self.change(None)
        self.assertEqual(["i-2"], self.sendable())
        self.assertIsNone(request_of(self.fleet_state).regions)

    def test_a_route_that_has_gone_binds_as_admitted(self) -> None:
        self.start(["nam"])
        apply_records(self.fleet_state, configuration_record(200, version=2, routes=[]))
        self.assertEqual(["i-2"], self.sendable())

    def test_a_route_that_has_moved_binds_by_its_name(self) -> None:
        self.start(None)
        self.change(["nam"], host="other.example")
        self.assertEqual(["i-2"], self.sendable())

    def test_a_tenant_whose_key_has_changed_binds_by_its_name(self) -> None:
        self.start(None)
        owner = {"name": "lab", "api_keys": ["another"], "allowed_regions": ["nam"]}
        apply_records(self.fleet_state, configuration_record(200, version=2, tenants=[owner]))
        self.assertEqual(["i-2"], self.sendable())

    def test_the_tenant_of_a_key_that_a_public_route_ignores_does_not_bind(self) -> None:
        self.fleet_state = fleet_state_of(
            regional_configuration(public=True), *regional_engines(["bac-a", "nam-a"])
        )
        self.admission = regional_admission(self.fleet_state)
        self.request = request_of(self.fleet_state)
        self.change(None, ["nam"], public=True)
        self.assertEqual(["i-1", "i-2"], self.sendable())
        apply_records(self.fleet_state, regional_configuration(None, ["nam"], 3, revision=300))
        self.assertEqual(["i-2"], self.sendable())

    def test_a_configuration_that_was_replaced_meanwhile_does_not_bind(self) -> None:
        self.start(None)
        self.change(["nam"])
        self.assertEqual(["i-2"], self.sendable())
        apply_records(self.fleet_state, regional_configuration(["bac"], None, 3, revision=300))
        self.assertEqual(["i-1"], self.sendable())

    async def test_a_queued_request_is_admitted_by_the_regions_in_force(self) -> None:
        self.start(None)
        fill(self.admission, "i-1", "i-2")
        call = waiting_for(self.admission, self.request)
        self.assertEqual([True], await is_waiting(call))
        self.change(["nam"])
        fill(self.admission, "i-2")
        self.admission.dispatch_all()
        self.assertEqual([True], await is_waiting(call))
        fill(self.admission)
        self.admission.dispatch_all()
        self.assertEqual("i-2", await call)


class EveryPathTest(unittest.TestCase):
    """Guards against any path by which a request reaches an upstream outside its regions."""

    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(st.data())
    def test_no_path_yields_an_upstream_outside(self, data: st.DataObject) -> None:
        zones = data.draw(st.lists(ZONES, min_size=1, max_size=6))
        first = data.draw(st.tuples(REGION_LISTS, REGION_LISTS))
        fleet_state = regional_fleet(zones, *first)
        admission = regional_admission(fleet_state)
        request = request_of(fleet_state)
        allowed = common(*first)
        if data.draw(st.booleans()):
            second = data.draw(st.tuples(REGION_LISTS, REGION_LISTS))
            apply_records(fleet_state, regional_configuration(*second, 2, revision=200))
            allowed = common(allowed, *second)
        self.disturb(data, admission, request)
        for _ in range(3):
            found = admission.try_enter(request)
            if found is None:
                break
            self.assertIn(found, allowed_upstreams(fleet_state, allowed))
            admission.leave(request, found)
            self.disturb(data, admission, request)
        self.check_counts(admission, request, allowed)

    def disturb(self, data: st.DataObject, admission: Admission, request: GatewayRequest) -> None:
        """Change the load and health of upstreams, and how far the request has come."""
        records = list(admission.fleet_state.upstreams.values())
        chosen = data.draw(st.lists(st.sampled_from(records), max_size=4))
        request.tried |= {found.run_key() for found in chosen}
        full = data.draw(st.lists(st.sampled_from(records), max_size=3))
        fill(admission, *(found.id for found in full))
        for found in data.draw(st.lists(st.sampled_from(records), max_size=2)):
            admission.selector.health.record_failure(found.run_key())
        request.attempts = data.draw(st.integers(0, 2))
        request.is_moving = data.draw(st.booleans())
        request.last_event_id = data.draw(st.sampled_from(["", "3"]))

    def check_counts(
        self, admission: Admission, request: GatewayRequest, allowed: list[str] | None
    ) -> None:
        """Check that upstreams outside don't count either, and that the last check holds."""
        fleet_state = admission.fleet_state
        inside = allowed_upstreams(fleet_state, allowed)
        for found in fleet_state.upstreams.values():
            self.assertEqual(found in inside, admission.may_serve(request, found))
        self.assertEqual(bool(inside), admission.is_upstream_expected(request))
        if not inside:
            self.assertFalse(admission.has_place(request, set()))
            self.assertFalse(admission.has_other_upstream(request, set()))


ZONES: Final = st.sampled_from([*REGIONS_BY_ZONE, "new-a"])
REGION_LISTS: Final = st.none() | st.lists(
    st.sampled_from(["bac", "nam", "sud", "else"]), min_size=1, max_size=3
)


def common(*lists: list[str] | None) -> list[str] | None:
    """Return what is in all of the lists that are not None; None where there is no such list."""
    named = [set(names) for names in lists if names is not None]
    return sorted(set.intersection(*named)) if named else None


def allowed_upstreams(fleet_state: FleetState, allowed: list[str] | None) -> list[Any]:
    """Return the upstreams in the regions, worked out from the zones alone."""
    records = list(fleet_state.upstreams.values())
    if allowed is None:
        return records
    return [found for found in records if REGIONS_BY_ZONE.get(found.zone) in allowed]
