"""Tests of the last attempt of a request while engines switch to new weights.

An engine that switches cuts its streams; the last attempt can't be mended after that.
"""

import asyncio
import unittest
from typing import Final

from gypsumpier.fleet.upstream import LoadedLayers
from gypsumpier.gateway.request import GatewayRequest
from gypsumpier.test.builders_gateway import admission_of, engines, request_of
from gypsumpier.test.builders_platform import (
    LAYERS,
    MODEL,
    apply_records,
    engine_record,
    record,
)
from gypsumpier.upstream.enginestate import EngineState
from gypsumpier.upstream.peerloads import Load
from gypsumpier.upstream.selector import SWITCH_MAX_S

FULL: Final = 17
"""Requests in flight from which an engine of 16 slots takes no more."""
PASSES: Final = 10
PASS_INTERVAL_S: Final = 0.02


class LastAttemptTest(unittest.IsolatedAsyncioTestCase):
    """i-1 switches its weights before a request ends, and has places; i-2 has switched."""

    def setUp(self) -> None:
        self.fleet_state = engines(1)
        wanted = record(f"op/version/{MODEL}", {"model": MODEL, "version": 2}, 20)
        apply_records(self.fleet_state, wanted, engine_record(2, 21, version=2))
        self.admission = admission_of(self.fleet_state)
        self.steady = self.fleet_state.upstreams["i-2"]

    def fill_steady(self) -> None:
        """Fill the steady engine with requests of another entry."""
        self.admission.selector.record_peer_loads("front-nam-a-9", {"i-2": Load(FULL, 0)})

    def stream(self, attempts: int = 1) -> GatewayRequest:
        """Return a stream of which so many of two attempts may have run."""
        request = request_of(self.fleet_state, expected_answer_tokens=900)
        request.attempts, request.last_event_id = attempts, "3" if attempts else ""
        return request

    async def entered(self, request: GatewayRequest) -> str:
        """Return the engine that admits the request within some passes over the queue."""
        task = asyncio.create_task(self.admission.enter(request))
        for _ in range(PASSES):
            await asyncio.sleep(PASS_INTERVAL_S)
            self.admission.dispatch_all()
        if not task.done():
            task.cancel()
            return "waits"
        return (await task).id

    # Guards against a stream that is cut for good as its last attempt goes to an engine that
    # cuts it once more.
    async def test_it_waits_for_an_engine_that_does_not_switch(self) -> None:
        self.fill_steady()
        waiting = asyncio.create_task(self.admission.enter(self.stream()))
        await asyncio.sleep(0)
        self.assertFalse(waiting.done())
        self.admission.selector.peer_loads.clear()
        self.admission.dispatch_all()
        self.assertEqual("i-2", (await waiting).id)

    # Guards against a stream that is refused beside an engine that may still finish it.
    async def test_it_goes_to_a_switching_engine_where_there_is_no_other(self) -> None:
        self.fill_steady()
        apply_records(self.fleet_state, engine_record(2, 22, version=1))
        self.assertEqual("i-1", (await self.admission.enter(self.stream())).id)

    def begin_switch(self) -> None:
        """Let i-2 begin to switch its weights; i-1 does so later."""
        self.admission.selector.record_engine_state(self.switching_state(1, True))

    def switching_state(self, sequence: int, is_switching: bool) -> EngineState:
        """Return a report of i-2, which holds version 2 once it has switched."""
        layers = (LoadedLayers(MODEL, 1 if is_switching else 2, 0, LAYERS),)
        address = f"{self.steady.host}:{self.steady.port}"
        return EngineState(address, "run", sequence, is_switching, 0, 0, 1.0, layers)

    # Guards against a stream that is cut for good as no engine has switched yet, although the first
    # one is about to return.
    async def test_it_waits_for_the_first_engine_that_returns(self) -> None:
        self.begin_switch()
        waiting = asyncio.create_task(self.admission.enter(self.stream()))
        await asyncio.sleep(0.1)
        self.admission.dispatch_all()
        self.assertFalse(waiting.done())
        self.admission.selector.record_engine_state(self.switching_state(2, False))
        self.admission.dispatch_all()
        self.assertEqual("i-2", (await waiting).id)

    # Guards against a stream that is refused as it waits for an engine that does not return.
    async def test_it_does_not_wait_for_an_engine_that_is_overdue(self) -> None:
        self.begin_switch()
        address = f"{self.steady.host}:{self.steady.port}"
        self.admission.selector.switching_since_s[address] -= SWITCH_MAX_S
        self.assertEqual("i-1", await self.entered(self.stream()))

    # Guards against the same for an engine that the stream is not sent to again.
    async def test_it_does_not_wait_for_the_return_of_the_engine_that_cut_it(self) -> None:
        self.begin_switch()
        request = self.stream()
        request.tried.add(self.steady.run_key())
        self.assertEqual("i-1", await self.entered(request))

    # Guards against first attempts that wait although a cut could still be mended.
    async def test_an_attempt_that_may_be_repeated_goes_to_a_switching_engine(self) -> None:
        self.fill_steady()
        self.assertEqual("i-1", (await self.admission.enter(self.stream(attempts=0))).id)

    # Guards against the same cut for a stream that moves from a silent engine: that attempt counts.
    async def test_the_attempt_at_a_silent_engine_counts(self) -> None:
        self.fill_steady()
        request = self.stream(attempts=0)
        request.is_moving = True
        self.assertEqual("waits", await self.entered(request))

    # Guards against a stream that waits for, or goes back to, the engine that failed it just now.
    async def test_it_does_not_wait_for_the_engine_that_has_just_failed_it(self) -> None:
        request = self.stream()
        request.tried.add(self.steady.run_key())
        self.admission.selector.health.record_failure(self.steady.run_key())
        self.assertEqual("i-1", await self.entered(request))

    # Guards against the same where that engine is in no backoff.
    async def test_it_does_not_go_back_to_the_engine_that_has_just_failed_it(self) -> None:
        request = self.stream()
        request.tried.add(self.steady.run_key())
        self.assertEqual("i-1", await self.entered(request))

    # Guards against a stream that waits for a dead engine until it is cut.
    async def test_it_does_not_wait_for_an_engine_that_is_not_usable(self) -> None:
        self.admission.selector.health.record_replaced(self.steady.run_key())
        self.assertEqual("i-1", await self.entered(self.stream()))


if __name__ == "__main__":
    unittest.main()
