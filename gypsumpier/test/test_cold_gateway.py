"""Tests of the paths on which a request reaches a cold upstream, with one entry and stand-ins."""

import asyncio
import time
import unittest
from collections import defaultdict
from typing import Any, Final
from unittest import mock

from gypsumpier.coldstart.stalls import STALL_MIN_S
from gypsumpier.coldstart.upstreams import FRESH_S
from gypsumpier.fleet.clock import boot_time_s
from gypsumpier.fleet.node import Address
from gypsumpier.fleet.state import FleetState
from gypsumpier.fleet.upstream import UpstreamRecord
from gypsumpier.gateway.refusal import Refusal
from gypsumpier.test.builders_gateway import admission_of, engines_in, request_of, selector_of
from gypsumpier.test.builders_platform import (
    ENGINES,
    PLAIN,
    ZONE,
    apply_records,
    configuration_record,
    engine_record,
    engine_service_body,
    fleet_state_of,
    route_body,
)
from gypsumpier.test.gatewayfleet import GatewayFleet
from gypsumpier.test.secondattemptcase import SecondAttemptCase
from gypsumpier.test.simulated_cold import most_in_second
from gypsumpier.test.simulated_entries import simulate
from gypsumpier.upstream.errors import NotRunError
from gypsumpier.upstream.exchange import Exchange
from gypsumpier.upstream.http import UpstreamStream

SLOW_CONNECT_S: Final = 0.25
COLD: Final[dict[str, Any]] = {"cold_s": 30.0, "cold_per_s": 26.0}


class FixedShares:
    """Shares by the id of the upstream."""

    def __init__(self, **by_upstream: int) -> None:
        self.by_upstream = by_upstream

    def share(self, run: tuple[str, int], allowance: float) -> int:
        return self.by_upstream.get(run[0], 0)


class ColdGatewayTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet = GatewayFleet()
        services = [engine_service_body(**COLD), {"name": PLAIN, "max_conns": 110, **COLD}]
        self.fleet.configure(services=services)
        self.cold = self.fleet.entry.selector.cold
        self.written_s: dict[str, list[float]] = defaultdict(list)
        write = Exchange.send

        def record_write(exchange: Exchange, start: Any, headers: Any, body: bytes) -> None:
            write(exchange, start, headers, body)
            self.written_s[headers["X-Expect-Instance"]].append(time.monotonic())

        patched = mock.patch.object(Exchange, "send", record_write)
        patched.start()
        self.addCleanup(patched.stop)

    async def asyncTearDown(self) -> None:
        await self.fleet.stop()

    async def start(self, service: str, **shares: int) -> None:
        """Start upstreams, which are cold, and the entry with these shares."""
        for name in shares:
            self.fleet.add(name.replace("_", "-"), service)
        await self.fleet.start()
        await self.fleet.settle()
        fixed = {name.replace("_", "-"): share for name, share in shares.items()}
        self.cold.shares = FixedShares(**fixed)

    def sent_s(self, name: str) -> list[float]:
        """Return when requests were sent to an upstream.

        The stand-ins share the event loop with the entry, and handle requests late when it is busy.
        """
        return self.written_s[name]

    # Guards against a request that is sent although its permit is gone once it is connected, and
    # against one that costs the retry budget or the health of the upstream.
    async def test_a_request_without_a_permit_at_the_last_moment_goes_elsewhere(self) -> None:
        await self.start(PLAIN, i_1=1, i_2=1)
        pool = self.fleet.entry.pool
        connect = pool.connect
        chosen: list[str] = []

        async def connect_slowly(address: Address) -> UpstreamStream:
            if not chosen:
                chosen.extend(self.fleet.entry.selector.own_loads)
                assert isinstance(self.cold.shares, FixedShares)
                self.cold.shares.by_upstream[chosen[0]] = 0
            await asyncio.sleep(SLOW_CONNECT_S)
            return await connect(address)

        with mock.patch.object(pool, "connect", connect_slowly):
            answer = await self.fleet.call("/commands/x")
        self.assertEqual(200, answer.code)
        other = ({"i-1", "i-2"} - {chosen[0]}).pop()
        self.assertEqual([0, 1], [len(self.sent_s(name)) for name in (chosen[0], other)])
        entry = self.fleet.entry
        self.assertEqual([], [at_s for times in entry.retries.repeats.values() for at_s in times])
        self.assertEqual({}, entry.selector.health.health_by_run)
        rates = entry.selector.health.failure_rates.values()
        self.assertEqual([0.0], [rate.value for rate in rates])
        self.assertEqual(0, self.cold.permits.window(chosen[0]).used(time.monotonic()))

    # Guards against requests that come back to the same upstream for ever, or never again.
    async def test_the_same_upstream_serves_a_recalled_request_later(self) -> None:
        await self.start(PLAIN, i_1=1)
        with mock.patch.object(self.cold, "take", side_effect=[False]) as take:
            take.side_effect = lambda record: take.call_count > 1
            answer = await self.fleet.call("/commands/x")
        self.assertEqual((200, 2), (answer.code, take.call_count))

    # Guards against a burst that the queue lets through, or that is never served.
    async def test_a_burst_is_served_by_the_share_in_each_second(self) -> None:
        await self.start(ENGINES, i_1=3, i_2=3)
        calls = [self.fleet.call("/reports/x", f"r{number}") for number in range(24)]
        answers = await asyncio.gather(*calls)
        for name in ("i-1", "i-2"):
            self.assertLessEqual(most_in_second(self.sent_s(name)), 3)
        served = sum(answer.code == 200 for answer in answers)
        # 6 go at once.  The queue keeps few of the others, which later ones would overtake.
        self.assertGreaterEqual(served, 6)
        self.assertEqual({200, 503}, {answer.code for answer in answers})

    # Guards against a second attempt, or a resumed stream, beside the allowance.
    async def test_a_request_of_a_silent_upstream_moves_within_the_share(self) -> None:
        await self.start(ENGINES, i_1=1, i_2=0)
        self.fleet.upstreams["i-1"].plan = ["mute"]
        call = asyncio.ensure_future(
            self.fleet.call("/reports/x", headers={"X-Deadline-Ms": "2500"})
        )
        await call
        self.assertEqual([], self.sent_s("i-2"))

    async def test_a_cut_stream_resumes_within_the_share(self) -> None:
        await self.start(ENGINES, i_1=1, i_2=1)
        for upstream in self.fleet.upstreams.values():
            upstream.plan = ["cut"]
        await asyncio.gather(*(self.fleet.call("/reports/x", f"r{n}") for n in range(2)))
        for name in ("i-1", "i-2"):
            self.assertLessEqual(most_in_second(self.sent_s(name)), 1)

    # Guards against permits that are lost with requests that fail or whose callers leave.
    async def test_no_permit_is_lost(self) -> None:
        await self.start(ENGINES, i_1=2, i_2=2)
        self.fleet.upstreams["i-1"].plan = ["full", "error"]
        self.fleet.upstreams["i-2"].server.stop()
        calls = [
            asyncio.ensure_future(self.fleet.call("/reports/x", f"r{n}", connect_timeout=0.3))
            for n in range(4)
        ]
        await asyncio.wait(calls, timeout=0.2)
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)
        await asyncio.sleep(2.5)
        for name in ("i-1", "i-2"):
            self.assertEqual(0, self.cold.permits.window(name).reserved)


class ColdSecondAttemptTest(SecondAttemptCase):
    # Guards against a second attempt that costs a retry, or rules its upstream out, unsent.
    async def test_a_second_attempt_without_a_permit_costs_nothing(self) -> None:
        reason = "is cold"
        self.sender.error = NotRunError(reason, False, is_recalled=True, may_return=True)
        self.assertFalse(await self.other.take())
        self.assertEqual([], list(self.retries.repeats[self.request.service]))
        self.assertEqual({self.silent.run_key()}, self.request.tried)
        self.assertEqual(set(), set(self.selector.health.health_by_run) - {self.silent.run_key()})
        self.sender.error = None
        self.other.refused.clear()
        self.assertTrue(await self.other.take())


class ColdAdmissionTest(unittest.TestCase):
    # Guards against requests that are held until their time limit although nothing may be sent.
    def test_a_request_is_refused_at_once_where_no_upstream_is_warm_in_time(self) -> None:
        async def scenario() -> None:
            service = engine_service_body(cold_s=30.0, cold_per_s=26.0)
            state = fleet_state_of(configuration_record(services=[service]), engine_record(1, 2))
            admission = admission_of(state)
            request = request_of(state)
            began_s = time.monotonic()
            with self.assertRaises(Refusal) as refused:
                await admission.enter(request)
            self.assertEqual(began_s, time.monotonic())
            found = refused.exception
            self.assertEqual((503, "queue_too_long"), (found.status, found.code.name.lower()))
            assert found.retry_after_s is not None
            self.assertLessEqual(found.retry_after_s, request.left_s() / 3)

        simulate(scenario())

    # Guards against the same for a request that was queued while its upstreams were warm.
    def test_a_queued_request_is_refused_when_all_upstreams_become_cold(self) -> None:
        async def scenario() -> None:
            service = engine_service_body(cold_s=30.0, cold_per_s=26.0)
            state = fleet_state_of(
                configuration_record(services=[service]), engine_record(1, 2, cold_left_ms=0)
            )
            admission = admission_of(state)
            admission.selector.own_loads.clear()
            request = request_of(state)
            with mock.patch.object(admission.selector, "choose", return_value=None):
                waiting = asyncio.ensure_future(admission.enter(request))
                await asyncio.sleep(0.01)
                self.assertFalse(waiting.done())
                apply_records(state, engine_record(1, 3, cold_left_ms=30_000))
                admission.dispatch_all()
                with self.assertRaises(Refusal):
                    await waiting
            self.assertLess(request.age_s(), 0.1)

        simulate(scenario())

    # Guards against refusing everything after a stall of the process, until the next proof.
    def test_a_request_waits_for_the_proof_that_follows_a_stall(self) -> None:
        async def scenario() -> None:
            service = engine_service_body(**COLD)
            engine = {"zone": "nam-a", "cold_left_ms": 0}
            state = fleet_state_of(
                configuration_record(services=[service]), engine_record(1, 2, **engine)
            )
            admission = admission_of(state)
            running = asyncio.ensure_future(admission.run())
            for revision in (3, 4):
                await asyncio.sleep(0.2)
                apply_records(state, engine_record(1, revision, **engine))
            await asyncio.sleep(0.01)
            admission.selector.cold.upstreams.stalls.ticked_at_s -= STALL_MIN_S
            calls = [asyncio.ensure_future(admission.enter(request_of(state))) for _ in range(3)]
            await asyncio.sleep(0.3)
            self.assertEqual([False] * 3, [call.done() for call in calls])
            state.record_proof(boot_time_s())
            async with asyncio.timeout(0.1):
                self.assertEqual(["i-1"] * 3, [(await call).id for call in calls])
            # Without any further proof, as in an outage of the store, requests are not held.
            await asyncio.sleep(FRESH_S + 0.1)
            with self.assertRaises(Refusal):
                await admission.enter(request_of(state))
            running.cancel()

        simulate(scenario())

    # Guards against requests that are refused although an upstream is warm in a moment.
    def test_a_request_waits_for_the_end_of_a_cold_time(self) -> None:
        async def scenario() -> None:
            service = engine_service_body(cold_s=30.0, cold_per_s=26.0)
            state = fleet_state_of(
                configuration_record(services=[service]), engine_record(1, 2, cold_left_ms=1000)
            )
            admission = admission_of(state)
            running = asyncio.ensure_future(admission.run())
            request = request_of(state)
            record = await admission.enter(request)
            self.assertEqual("i-1", record.id)
            self.assertAlmostEqual(1.25, request.age_s(), delta=0.06)
            running.cancel()

        simulate(scenario())

    def two_engines(self, **fields: Any) -> FleetState:
        """Return a state with a warm engine, and one that this entry has no share of."""
        return fleet_state_of(
            configuration_record(services=[engine_service_body(**COLD)], **fields),
            engine_record(1, 2, cold_left_ms=0),
            engine_record(2, 3, zone="nam-a", cold_left_ms=2000),
        )

    # Guards against a wait for a cold upstream beside a warm one that has refused the request once.
    def test_the_warm_upstream_is_asked_again_where_no_other_may_be_used(self) -> None:
        async def scenario() -> None:
            state = self.two_engines()
            admission, request = admission_of(state), request_of(state)
            request.tried.add(state.upstreams["i-1"].run_key())
            record = await admission.enter(request)
            self.assertEqual(("i-1", 0.0), (record.id, request.age_s()))

        simulate(scenario())

    # Guards against the same wait of a last attempt, for an engine that does not switch weights.
    def test_the_last_attempt_does_not_wait_for_a_cold_upstream(self) -> None:
        async def scenario() -> None:
            state = self.two_engines(routes=[route_body(resumable=True, attempts=2)])
            admission, request = admission_of(state), request_of(state)
            request.attempts = 1

            def switches(record: UpstreamRecord, needed_s: float) -> bool:
                return record.id == "i-1"

            with mock.patch.object(admission.selector, "switches_within", switches):
                record = await admission.enter(request)
            self.assertEqual(("i-1", 0.0), (record.id, request.age_s()))

        simulate(scenario())

    # Guards against a queue of one request while an upstream will be warm for many in a moment.
    def test_several_requests_wait_for_the_end_of_a_cold_time(self) -> None:
        async def scenario() -> None:
            state = fleet_state_of(
                configuration_record(services=[engine_service_body(**COLD)]),
                engine_record(1, 2, cold_left_ms=300),
            )
            admission = admission_of(state)
            running = asyncio.ensure_future(admission.run())
            requests = [request_of(state, prompt_tokens=10) for _ in range(5)]
            calls = [asyncio.ensure_future(admission.enter(request)) for request in requests]
            self.assertEqual(["i-1"] * 5, [(await call).id for call in calls])
            running.cancel()

        simulate(scenario())

    # Guards against a queue that is far too long, as cold upstreams count with all their slots.
    def test_a_cold_upstream_counts_with_its_share(self) -> None:
        service = engine_service_body(**COLD)
        state = fleet_state_of(
            configuration_record(services=[service]),
            *(engine_record(number, 1 + number) for number in (1, 2, 3)),
        )
        admission = admission_of(state)
        admission.selector.cold.shares = FixedShares(**{"i-1": 2, "i-2": 3})
        self.assertEqual(5.0, admission.capacity_share_per_s(ENGINES))

    # Guards against a cold upstream that is passed over beside warm ones, although it has permits.
    def test_cold_upstreams_with_permits_are_as_good_as_warm_ones(self) -> None:
        service = engine_service_body(**COLD)
        state = fleet_state_of(
            configuration_record(services=[service]),
            engine_record(1, 2, cold_left_ms=0),
            engine_record(2, 3),
        )
        admission = admission_of(state)
        admission.selector.cold.shares = FixedShares(**{"i-2": 2})
        chosen = [admission.try_admit(request_of(state)) for _ in range(6)]
        names = [record.id if record else "" for record in chosen]
        self.assertEqual(2, names.count("i-2"))
        self.assertEqual(4, names.count("i-1"))

    # Guards against work per pass that grows with the queue times the upstreams.
    def test_a_pass_over_the_queue_asks_once_for_the_wait_for_a_warm_upstream(self) -> None:
        async def scenario() -> None:
            service = engine_service_body(**COLD)
            state = fleet_state_of(
                configuration_record(services=[service]),
                *(engine_record(number, 1 + number, cold_left_ms=1000) for number in (1, 2, 3)),
            )
            admission = admission_of(state)
            calls = [asyncio.ensure_future(admission.enter(request_of(state))) for _ in range(9)]
            await asyncio.sleep(0.01)
            cold = admission.selector.cold
            with mock.patch.object(cold, "wait_s", wraps=cold.wait_s) as wait_s:
                admission.dispatch_all()
            self.assertEqual(1, wait_s.call_count)
            for call in calls:
                call.cancel()
            await asyncio.gather(*calls, return_exceptions=True)

        simulate(scenario())

    # Guards against asking twice whether an upstream is cold.
    def test_a_choice_asks_once_for_each_upstream(self) -> None:
        state = fleet_state_of(
            configuration_record(services=[engine_service_body(**COLD)]),
            *(engine_record(number, 1 + number, cold_left_ms=0) for number in (1, 2, 3)),
            engine_record(4, 5, zone="nam-a"),
        )
        admission = admission_of(state)
        cold = admission.selector.cold
        with mock.patch.object(cold, "cold_share", wraps=cold.cold_share) as cold_share:
            self.assertIsNotNone(admission.try_admit(request_of(state)))
        self.assertEqual(3, cold_share.call_count)

    # Guards against costs in deployments whose services don't limit cold upstreams.
    def test_nothing_is_asked_or_counted_without_a_limit(self) -> None:
        state = engines_in((ZONE,), 3)
        selector = selector_of(state)
        admission = admission_of(state, selector)
        with (
            mock.patch.object(selector.cold.upstreams, "period", side_effect=AssertionError),
            mock.patch.object(selector.cold, "permitted", side_effect=AssertionError),
            mock.patch.object(selector.cold, "has_permit", side_effect=AssertionError),
        ):
            record = admission.try_admit(request_of(state))
            assert record is not None
            self.assertTrue(selector.cold.take(record))
        self.assertEqual({}, selector.cold.permits.windows)


if __name__ == "__main__":
    unittest.main()
