"""Tests of admission control: which requests are admitted, queued or refused under load."""

import asyncio
import time
import unittest
from collections import Counter
from unittest import mock

from gypsumpier.fleet.configuration import Workspace
from gypsumpier.fleet.upstream import UpstreamRecord
from gypsumpier.gateway.admission import Admission
from gypsumpier.gateway.refusal import Refusal
from gypsumpier.gateway.request import GatewayRequest
from gypsumpier.gateway.requestqueue import RATE_WINDOW_S, QueuedRequest, RequestQueue
from gypsumpier.log import LOGGER
from gypsumpier.test.builders_gateway import admission_of, engines, request_of
from gypsumpier.test.builders_platform import (
    ENGINES,
    apply_records,
    configuration_record,
    engine_record,
    fleet_state_of,
)
from gypsumpier.test.virtualtime import run_at_virtual_time
from gypsumpier.upstream.peerloads import Load

FULL = 17


def fill(admission: Admission, engine: str = "i-1") -> None:
    """Fill an engine up to its limit with requests of another entry."""
    admission.selector.record_peer_loads(f"fills {engine}", {engine: Load(FULL, 0)})


class AdmissionTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_request_is_admitted_at_once_if_there_is_capacity(self) -> None:
        fleet_state = engines(1)
        admission = admission_of(fleet_state)
        request = request_of(fleet_state)
        record = await admission.enter(request)
        self.assertEqual(1, admission.selector.load(record))
        admission.leave(request, record)
        self.assertEqual(0, admission.selector.load(record))

    async def test_without_any_upstream_the_request_is_refused_at_once(self) -> None:
        fleet_state = fleet_state_of(configuration_record())
        admission = admission_of(fleet_state)
        with self.assertRaises(Refusal) as raised:
            async with asyncio.timeout(1.0):
                await admission.enter(request_of(fleet_state))
        self.assertEqual((503, "no_upstream"), status_and_name(raised.exception))
        self.assertGreater(raised.exception.retry_after_s or 0.0, 0.0)

    async def test_capacity_that_becomes_free_goes_to_a_queued_request(self) -> None:
        fleet_state = engines(1)
        admission = admission_of(fleet_state)
        fill(admission)
        waiting = asyncio.create_task(admission.enter(request_of(fleet_state)))
        await asyncio.sleep(0)
        self.assertFalse(waiting.done())
        admission.selector.peer_loads.clear()
        admission.dispatch_all()
        self.assertEqual("i-1", (await waiting).id)

    def test_a_burst_is_refused_at_once_where_its_wait_is_known_to_be_too_long(self) -> None:
        """Guards against queueing requests that can't be served before their callers leave.

        Many times the capacity arrives at once.  The excess is refused immediately, with a
        Retry-After that grows with the queue; the other requests stay queued.
        """
        run_at_virtual_time(self.check_burst())

    async def check_burst(self) -> None:
        """Queue many times the capacity at once."""
        fleet_state = engines(1)
        admission = admission_of(fleet_state)
        fill(admission)
        calls = [asyncio.create_task(admission.enter(request_of(fleet_state))) for _ in range(100)]
        await asyncio.sleep(0.02)
        refused = [call.exception() for call in calls if call.done()]
        # 16 slots with requests of 0.8 s admit 19 a second; callers wait about two seconds.
        self.assertTrue(30 <= 100 - len(refused) <= 50, len(refused))
        for found in refused:
            assert isinstance(found, Refusal)
            self.assertEqual((503, "queue_too_long"), status_and_name(found))
            self.assertGreater(found.retry_after_s or 0.0, 1.0)
        await cancel_all(calls)

    async def test_in_a_lasting_overload_late_requests_are_refused_at_once_with_retry_after(
        self,
    ) -> None:
        """Guards against queueing late requests that are never served.

        For seconds more requests arrive than can be served, as after a restart of everything.  New
        requests that can still meet their goal take all capacity, so most late requests would wait
        in vain; a few may wait for capacity that is left.
        """
        fleet_state = engines(1)
        admission = admission_of(fleet_state)
        fill(admission)
        queue = admission.queue("engines")
        for _ in range(40):
            queue.record_granted()
            queue.record_arrived()
            queue.record_arrived()
        calls = [waiting_for(admission, request_of(fleet_state, age_s=0.6)) for _ in range(20)]
        timely = waiting_for(admission, request_of(fleet_state))
        await asyncio.sleep(0.02)
        admission.dispatch_all()
        await asyncio.sleep(0)
        refused = sum(call.done() for call in calls)
        self.assertTrue(14 <= refused <= 18, refused)
        self.assertFalse(timely.done())
        await cancel_all([*calls, timely])

    async def test_the_observed_time_to_the_first_event_sets_the_goal_start(self) -> None:
        fleet_state = engines(1)
        admission = admission_of(fleet_state)
        request = request_of(fleet_state)
        before_s = admission.goal_start_s(request)
        for _ in range(50):
            admission.record_first_event("engines", 0.1)
        self.assertAlmostEqual(before_s + 0.195, admission.goal_start_s(request), delta=0.01)

    async def test_a_queue_that_has_not_moved_for_a_window_is_shed(self) -> None:
        """Guards against estimating waits from a capacity that is not there.

        Engines are listed but serve nothing, as in a partition or a stall.  Once the queue has not
        moved for a window, their nominal capacity must not keep requests queued.
        """
        fleet_state = engines(1)
        admission = admission_of(fleet_state)
        fill(admission)
        calls = [waiting_for(admission, request_of(fleet_state)) for _ in range(10)]
        await asyncio.sleep(0.02)
        self.assertEqual(0, sum(call.done() for call in calls))
        admission.queue("engines").formed_at_s -= RATE_WINDOW_S
        admission.dispatch_all()
        await asyncio.sleep(0)
        self.assertGreaterEqual(sum(call.done() for call in calls), 8)
        await cancel_all(calls)

    async def test_upstreams_of_a_zone_that_is_cut_off_are_no_capacity(self) -> None:
        fleet_state = engines(1)
        for number in (2, 3, 4):
            apply_records(fleet_state, engine_record(number, 8 + number, zone="nam-a"))
        admission = admission_of(fleet_state)
        full_share = admission.capacity_share_per_s("engines")
        for name in ("i-2", "i-3"):
            admission.selector.record_unreachable(fleet_state.upstreams[name])
        self.assertAlmostEqual(full_share / 4, admission.capacity_share_per_s("engines"), delta=0.1)

    async def test_a_stream_that_has_begun_goes_before_new_requests(self) -> None:
        fleet_state = engines(1)
        admission = admission_of(fleet_state)
        fill(admission)
        new = waiting_for(admission, request_of(fleet_state))
        begun_request = request_of(fleet_state, age_s=1.5)
        begun_request.last_event_id = "7"
        begun = waiting_for(admission, begun_request)
        await asyncio.sleep(0)
        free_capacity(admission, 1)
        await asyncio.sleep(0)
        self.assertEqual((False, True), (new.done(), begun.done()))
        await cancel_all([new, begun])

    # Guards against a request that stays with a silent engine until its caller leaves, as requests
    # that have just arrived take every place elsewhere.
    async def test_a_request_of_a_silent_engine_goes_before_new_requests(self) -> None:
        fleet_state = engines(1)
        admission = admission_of(fleet_state)
        fill(admission)
        queue = admission.queue("engines")
        for _ in range(40):
            queue.record_granted()
            queue.record_arrived()
            queue.record_arrived()
        new = [waiting_for(admission, request_of(fleet_state)) for _ in range(30)]
        moving_request = request_of(fleet_state, age_s=1.1)
        moving_request.is_moving = True
        moving = waiting_for(admission, moving_request)
        await asyncio.sleep(0)
        self.assertFalse(moving.done())
        free_capacity(admission, 1)
        await asyncio.sleep(0)
        self.assertEqual(fleet_state.upstreams["i-1"], moving.result())
        await cancel_all(new)

    async def test_on_time_requests_go_before_late_ones(self) -> None:
        fleet_state = engines(1)
        admission = admission_of(fleet_state)
        fill(admission)
        late = waiting_for(admission, request_of(fleet_state, age_s=1.0))
        timely = waiting_for(admission, request_of(fleet_state))
        await asyncio.sleep(0)
        free_capacity(admission, 1)
        await asyncio.sleep(0)
        self.assertEqual((False, True), (late.done(), timely.done()))
        free_capacity(admission, 2)
        await asyncio.sleep(0)
        self.assertTrue(late.done())
        await cancel_all([late, timely])

    async def test_a_caller_that_disconnects_leaves_the_queue(self) -> None:
        fleet_state = engines(1)
        admission = admission_of(fleet_state)
        fill(admission)
        call = waiting_for(admission, request_of(fleet_state))
        await asyncio.sleep(0)
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)
        self.assertEqual([], admission.queue("engines").waiting)

    async def test_an_admission_is_released_if_the_caller_disconnects_meanwhile(self) -> None:
        fleet_state = engines(1)
        admission = admission_of(fleet_state)
        fill(admission)
        call = waiting_for(admission, request_of(fleet_state))
        await asyncio.sleep(0)
        free_capacity(admission, 1)
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)
        self.assertEqual({}, admission.selector.own_loads)


class CandidatesLogTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_change_in_the_number_of_candidates_is_logged_once(self) -> None:
        fleet_state = engines(2)
        admission = admission_of(fleet_state)
        with self.assertLogs(LOGGER, "INFO") as first:
            admission.log_candidates()
        found = [record.fields for record in first.records]  # type: ignore[attr-defined]
        of_engines = [fields for fields in found if fields["service"] == ENGINES]
        self.assertEqual([(2, 2)], [(it["ready"], it["usable"]) for it in of_engines])
        with self.assertNoLogs(LOGGER, "INFO"):
            admission.log_candidates()
        del fleet_state.upstreams["i-1"]
        with self.assertLogs(LOGGER, "INFO") as second:
            admission.log_candidates()
        self.assertEqual(1, len(second.records))


class StandingQueueTest(unittest.IsolatedAsyncioTestCase):
    def serve(
        self, workspaces: list[str], queue_class: type[RequestQueue]
    ) -> tuple[int, dict[str, int]]:
        """Simulate four seconds of arrivals at 1.25 times the capacity of ten requests a second.

        Return how many requests were admitted in time, and how many were admitted per workspace.
        """
        fleet_state = engines(1)
        clock = 1000.0
        queue = queue_class()
        timely, admitted = 0, Counter[str]()
        with mock.patch.object(time, "monotonic", lambda: clock):
            for tick in range(200):
                clock += 0.02
                if tick % 4 == 0:
                    request = request_of(fleet_state)
                    name = workspaces[(tick // 4) % len(workspaces)]
                    request.workspace = Workspace(name, None)
                    queue.add(request, clock + 1.8, clock + 0.15)
                if tick % 5 == 0 and queue.waiting:
                    first = queue.ordered()[0]
                    timely += clock <= first.goal_start_s
                    admitted[first.request.workspace_name] += 1
                    queue.grant(first, fleet_state.upstreams["i-1"])
                queue.shed_excess(0.0)
        return timely, dict(admitted)

    async def test_a_standing_queue_serves_most_requests_in_time(self) -> None:
        """Compares it with a queue in order of arrival, under a lasting overload of a quarter."""
        adaptive, _ = self.serve(["lab"], RequestQueue)
        naive, _ = self.serve(["lab"], ArrivalOrderQueue)
        self.assertGreaterEqual(adaptive, 32)
        self.assertLess(naive, adaptive / 2)

    async def test_a_small_workspace_gets_its_share_of_a_standing_queue(self) -> None:
        """One workspace sends nine in ten requests of a lasting overload."""
        _, admitted = self.serve(["large"] * 9 + ["small"], RequestQueue)
        self.assertGreaterEqual(admitted.get("small", 0), 4)


class ArrivalOrderQueue(RequestQueue):
    """A queue that serves requests in order of arrival."""

    def ordered(self) -> list[QueuedRequest]:
        return sorted(self.waiting, key=lambda waiting: waiting.arrival)


def status_and_name(refusal: Refusal) -> tuple[int, str]:
    """Return the HTTP status and the code name of a refusal."""
    return refusal.status, refusal.code.name


def waiting_for(admission: Admission, request: GatewayRequest) -> "asyncio.Task[object]":
    """Start to wait for the admission of a request."""

    async def enter() -> object:
        return await admission.enter(request)

    return asyncio.create_task(enter())


def free_capacity(admission: Admission, count: int) -> None:
    """Free ``count`` requests of the other entry; some of that capacity may be in use already."""
    admission.selector.record_peer_loads("fills i-1", {"i-1": Load(FULL - count, 0)})
    admission.dispatch_all()


async def cancel_all(
    calls: "list[asyncio.Task[object]] | list[asyncio.Task[UpstreamRecord]]",
) -> None:
    """Cancel the calls that still wait."""
    for call in calls:
        call.cancel()
    await asyncio.gather(*calls, return_exceptions=True)
