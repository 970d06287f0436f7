"""Tests of the last attempt of a stream where the steady engine is of no use to it."""

import asyncio
import unittest

from gypsumpier.gateway.request import GatewayRequest
from gypsumpier.test.builders_gateway import admission_of, engines, request_of
from gypsumpier.test.builders_platform import MODEL, apply_records, engine_record, record


class LastAttemptElsewhereTest(unittest.IsolatedAsyncioTestCase):
    """i-1 switches its weights before the request ends and has places; i-2 does not switch."""

    def setUp(self) -> None:
        self.fleet_state = engines(1)
        wanted = record(f"op/version/{MODEL}", {"model": MODEL, "version": 2}, 20)
        apply_records(self.fleet_state, wanted, engine_record(2, 21, version=2))
        self.admission = admission_of(self.fleet_state)
        self.steady = self.fleet_state.upstreams["i-2"]

    def stream(self) -> GatewayRequest:
        """Return a stream that has one attempt left."""
        request = request_of(self.fleet_state, expected_answer_tokens=900)
        request.attempts, request.last_event_id = 1, "3"
        return request

    async def entered(self, request: GatewayRequest) -> str:
        """Return the engine that the request gets within some passes over the queue."""
        task = asyncio.create_task(self.admission.enter(request))
        for _ in range(10):
            await asyncio.sleep(0.02)
            self.admission.dispatch_all()
        if not task.done():
            task.cancel()
            return "waits"
        return task.exception() and repr(task.exception()) or task.result().id

    # Guards against a stream that waits for, or goes back to, the engine that failed it just now.
    async def test_it_does_not_wait_for_the_engine_that_has_just_failed_it(self) -> None:
        request = self.stream()
        request.tried.add(self.steady.run_key())
        self.admission.selector.health.record_failure(self.steady.run_key())
        self.assertEqual("i-1", await self.entered(request))

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
