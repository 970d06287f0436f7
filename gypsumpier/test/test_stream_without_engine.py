"""Tests of streams that have begun and for which no engine can serve at the moment.

A refusal ends them for good, while their callers go on waiting for the next event for a time.
"""

import asyncio
import time
import unittest
from typing import Final

from gypsumpier.gateway.refusal import Refusal
from gypsumpier.gateway.request import GatewayRequest
from gypsumpier.gateway.requestqueue import RATE_WINDOW_S
from gypsumpier.test.builders_gateway import admission_of, engines, request_of
from gypsumpier.test.builders_platform import ENGINES, apply_records, engine_record
from gypsumpier.upstream.peerloads import Load

AWAY_S: Final = 0.8
"""Seconds for which no engine can serve: longer than a new request waits, shorter than a caller
waits for the next event."""
TIME_LIMIT_S: Final = 2.0
STREAMS: Final = 3
FULL: Final = 17
"""Requests in flight from which an engine of 16 slots takes no more."""


class StreamWithoutEngineTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.fleet_state = engines(1, version=0)
        self.admission = admission_of(self.fleet_state)

    def begun_stream(self) -> GatewayRequest:
        """Return a stream of which the caller has the first events."""
        request = request_of(self.fleet_state)
        request.attempts, request.last_event_id = 1, "3"
        request.record_event()
        return request

    # Guards against a stream that is cut at once as its only engine loads its weights again.
    async def test_begun_streams_wait_for_an_engine_to_return(self) -> None:
        dispatching = asyncio.create_task(self.admission.run())
        self.addCleanup(dispatching.cancel)
        waiting = [
            asyncio.create_task(self.admission.enter(self.begun_stream())) for _ in range(STREAMS)
        ]
        await asyncio.sleep(AWAY_S)
        apply_records(self.fleet_state, engine_record(1, 9, version=1))
        async with asyncio.timeout(1.0):
            found = await asyncio.gather(*waiting)
        self.assertEqual(["i-1"] * STREAMS, [record.id for record in found])

    # Guards against streams that are cut as the queue seems too long for their callers, because no
    # place has become free lately.
    async def test_begun_streams_wait_for_places(self) -> None:
        apply_records(self.fleet_state, engine_record(1, 9, version=1))
        full = {"i-1": Load(FULL, 0)}
        self.admission.selector.record_peer_loads("other", full)
        dispatching = asyncio.create_task(self.admission.run())
        self.addCleanup(dispatching.cancel)
        waiting = [
            asyncio.create_task(self.admission.enter(self.begun_stream())) for _ in range(STREAMS)
        ]
        await asyncio.sleep(0)
        self.admission.queue(ENGINES).formed_at_s -= RATE_WINDOW_S
        await asyncio.sleep(AWAY_S)
        self.admission.selector.peer_loads.clear()
        async with asyncio.timeout(1.0):
            found = await asyncio.gather(*waiting)
        self.assertEqual(["i-1"] * STREAMS, [record.id for record in found])

    # Guards against a wait in vain: nothing that the caller has is lost by a refusal.
    async def test_a_new_request_is_refused_at_once(self) -> None:
        async with asyncio.timeout(0.2):
            with self.assertRaises(Refusal):
                await self.admission.enter(request_of(self.fleet_state))

    # Guards against a stream that waits for good: only a caller that leaves ends its wait itself.
    async def test_a_begun_stream_is_refused_as_its_time_limit_leaves_no_time_for_an_event(
        self,
    ) -> None:
        dispatching = asyncio.create_task(self.admission.run())
        self.addCleanup(dispatching.cancel)
        request = self.begun_stream()
        request.ends_at_s = time.monotonic() + TIME_LIMIT_S
        async with asyncio.timeout(TIME_LIMIT_S):
            with self.assertRaises(Refusal):
                await self.admission.enter(request)


if __name__ == "__main__":
    unittest.main()
