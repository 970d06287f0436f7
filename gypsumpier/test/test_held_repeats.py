"""Tests of how long requests that may have run wait for an upstream.

They can't be told that they have not run, so that a refusal ends them with a 502.
"""

import asyncio
import unittest
from typing import Final

from gypsumpier.gateway.admission import NO_UPSTREAM_WAIT_S, REST_WAIT_S
from gypsumpier.gateway.refusal import Refusal
from gypsumpier.gateway.request import GatewayRequest
from gypsumpier.gateway.requestqueue import RATE_WINDOW_S
from gypsumpier.test.builders_gateway import admission_of, engines, request_of
from gypsumpier.test.builders_platform import ENGINES
from gypsumpier.upstream.enginestate import EngineState
from gypsumpier.upstream.peerloads import Load

FULL: Final = 17
"""Requests in flight from which an engine of 16 slots takes no more."""
ABANDONED_S: Final = 2.4
"""Seconds after which a caller is taken to abandon a stream that has sent no event."""
TIME_LIMIT_S: Final = 6.0


class HeldRepeatsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.fleet_state = engines(1)
        self.engine = self.fleet_state.upstreams["i-1"]
        self.admission = admission_of(self.fleet_state)
        self.selector = self.admission.selector
        self.fill(FULL)
        self.calls: list[asyncio.Task[str]] = []

    async def asyncTearDown(self) -> None:
        for call in self.calls:
            call.cancel()
        await asyncio.gather(*self.calls, return_exceptions=True)

    def fill(self, in_flight: int) -> None:
        """Set how many requests of another entry the engine has."""
        self.selector.record_peer_loads("front-nam-a-9", {"i-1": Load(in_flight, 0)})

    def request(self, age_s: float, attempts: int = 1) -> GatewayRequest:
        """Return a stream without events, of which so many attempts may have run."""
        request = request_of(self.fleet_state, age_s)
        request.attempts = attempts
        return request

    def enter(self, request: GatewayRequest) -> "asyncio.Task[str]":
        """Start to wait for the admission of a request; the result is where it goes."""

        async def enter() -> str:
            try:
                return (await self.admission.enter(request)).id
            except Refusal:
                return "refused"

        call = asyncio.create_task(enter())
        self.calls.append(call)
        return call

    async def dispatch(self) -> None:
        """Run a pass over the queues, and let its results arrive."""
        await asyncio.sleep(0)
        self.admission.dispatch_all()
        await asyncio.sleep(0)

    def has_admitted(self, call: "asyncio.Task[str]") -> bool:
        """Return whether the call has a place at the engine."""
        return call.done() and call.result() == "i-1"

    # Guards against a 502 seconds before the time limit, by an estimate of the wait (soak seed 17).
    async def test_an_estimated_wait_is_no_reason_to_give_it_up(self) -> None:
        repeated = self.enter(self.request(age_s=1.8))
        new = self.enter(self.request(age_s=1.8, attempts=0))
        await asyncio.sleep(0)
        self.admission.queue(ENGINES).formed_at_s -= RATE_WINDOW_S
        await self.dispatch()
        self.assertEqual("refused", new.result())
        self.assertFalse(repeated.done())
        self.fill(0)
        await self.dispatch()
        self.assertTrue(self.has_admitted(repeated))

    # Guards against the same for a caller that is still there after a time in which others leave.
    async def test_it_waits_while_its_caller_does(self) -> None:
        repeated = self.enter(self.request(age_s=ABANDONED_S + 0.1))
        new = self.enter(self.request(age_s=ABANDONED_S + 0.1, attempts=0))
        await self.dispatch()
        self.assertEqual("refused", new.result())
        self.assertFalse(repeated.done())

    # Guards against holding it until its time limit cuts it in the middle of an attempt.
    async def test_it_is_given_up_once_no_attempt_would_end_in_time(self) -> None:
        repeated = self.enter(self.request(age_s=TIME_LIMIT_S - 0.3))
        await self.dispatch()
        self.assertFalse(repeated.done())
        await asyncio.sleep(0.1)
        await self.dispatch()
        self.assertEqual("refused", repeated.result())

    # Guards against a wait that never ends, as newer late requests get every place before it.
    async def test_it_goes_before_late_requests_that_can_be_refused(self) -> None:
        new = self.enter(self.request(age_s=1.0, attempts=0))
        repeated = self.enter(self.request(age_s=1.0))
        await asyncio.sleep(0)
        self.fill(FULL - 1)
        await self.dispatch()
        self.assertEqual((True, False), (self.has_admitted(repeated), self.has_admitted(new)))

    # Guards against answers that are late for it, as it could be answered in time.
    async def test_a_request_that_can_be_in_time_goes_before_it(self) -> None:
        repeated = self.enter(self.request(age_s=1.0))
        timely = self.enter(self.request(age_s=0.0, attempts=0))
        await asyncio.sleep(0)
        self.fill(FULL - 1)
        await self.dispatch()
        self.assertEqual((False, True), (self.has_admitted(repeated), self.has_admitted(timely)))

    # Guards against a 502 while the only engine loads the weights that are due.
    async def test_it_waits_for_an_engine_that_loads(self) -> None:
        address = f"{self.engine.host}:{self.engine.port}"
        state = EngineState(address, "run", 1, True, 0, 0, 1.0, ())
        self.selector.record_engine_state(state)
        repeated = self.enter(self.request(age_s=1.0))
        new = self.enter(self.request(age_s=1.0, attempts=0))
        await asyncio.sleep(NO_UPSTREAM_WAIT_S + 0.1)
        await self.dispatch()
        self.assertEqual("refused", new.result())
        self.assertFalse(repeated.done())

    # Guards against a 502 while every engine rests for less time than the caller waits.
    async def test_it_waits_for_the_end_of_a_rest(self) -> None:
        self.fill(0)
        self.selector.statements.rests.begin_rest(self.engine, 3 * REST_WAIT_S)
        repeated = self.enter(self.request(age_s=1.0))
        new = self.enter(self.request(age_s=1.0, attempts=0))
        await self.dispatch()
        self.assertEqual("refused", new.result())
        await asyncio.sleep(3 * REST_WAIT_S + 0.1)
        await self.dispatch()
        self.assertTrue(self.has_admitted(repeated))

    # Guards against a place in the queue for a stream that may as well go on where it is.
    async def test_one_that_is_to_move_is_refused_as_before(self) -> None:
        request = self.request(age_s=ABANDONED_S + 0.1)
        request.is_moving = True
        moving = self.enter(request)
        await self.dispatch()
        self.assertEqual("refused", moving.result())


if __name__ == "__main__":
    unittest.main()
