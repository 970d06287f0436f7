"""Tests of the streams of an engine that stands still while there are few places elsewhere.

A stream stays with its engine until it has a place at another one.
"""

import asyncio
import unittest
from typing import Final

from tornado.httpclient import HTTPResponse

from gypsumpier.test.builders_platform import ENGINES, engine_body
from gypsumpier.test.silentcase import EVENT_PAUSE_S, OTHER_ZONE, SILENCE_S, SilentUpstreamCase

STREAMS: Final = 8
QUEUED: Final = 3
QUEUED_ELSEWHERE: Final = 600
"""Requests that another entry reports to be queued, which leaves this one few of the places."""
REPORT_INTERVAL_S: Final = 0.1
OTHER_PLACES: Final = 2
"""Places of an engine with one slot: one more request may wait there."""
HELD_EVENT_PAUSE_S: Final = 0.5
"""Seconds between the events of the silent engine, whose streams so last until all is set up."""
OTHER_EVENT_PAUSE_S: Final = 0.14
"""Seconds between the events of the other engine, which so has places again before streams of the
silent one are given up."""


class SilentEngineStreamsTest(SilentUpstreamCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.fleet.store.put(
            "servers/i-1", engine_body(address=self.silent.standin.address, slots=STREAMS)
        )
        await self.start()
        self.calls: list[asyncio.Task[HTTPResponse]] = []

    def send(self, count: int, path: str = "/reports/x") -> list[asyncio.Task[HTTPResponse]]:
        """Send so many requests; return their answers to be."""
        calls = [
            asyncio.create_task(self.fleet.call(path, f"r{len(self.calls) + number}"))
            for number in range(count)
        ]
        self.calls += calls
        return calls

    async def report_queue(self) -> None:
        """Report the queue of another entry periodically."""
        while True:
            selector = self.fleet.entry.selector
            selector.record_peer_loads("front-nam-a-9", {}, {ENGINES: QUEUED_ELSEWHERE})
            await asyncio.sleep(REPORT_INTERVAL_S)

    # Guards against a stream that is cut because its silent engine was given up for a place that
    # goes to requests queued here or at other entries.
    async def test_streams_without_a_place_elsewhere_wait_for_their_engine(self) -> None:
        engine = self.silent.standin
        engine.event_pause_s = HELD_EVENT_PAUSE_S
        streams = self.send(STREAMS)
        await self.wait_until(lambda: len(engine.run_ids) == STREAMS)
        other = self.fleet.add("i-2", ENGINES, zone=OTHER_ZONE, slots=1)
        other.event_pause_s = OTHER_EVENT_PAUSE_S
        await self.fleet.settle()
        reports = asyncio.create_task(self.report_queue())
        self.send(OTHER_PLACES + 1)
        await self.wait_until(lambda: len(other.run_ids) == OTHER_PLACES)
        self.send(QUEUED)
        await asyncio.sleep(EVENT_PAUSE_S)
        self.silent.pause(SILENCE_S)
        for answer in await asyncio.gather(*streams):
            self.assert_whole(answer)
        reports.cancel()
        for call in self.calls:
            self.assertIn((await call).code, (200, 503))
        self.assert_no_place_held()

    # Guards against a cut stream whose events have no ids, as it can't be resumed elsewhere.
    async def test_a_stream_without_event_ids_waits_for_its_engine(self) -> None:
        other = self.fleet.add("i-2", ENGINES, zone=OTHER_ZONE)
        await self.fleet.settle()
        self.silent.standin.has_event_ids = False
        answer = await self.stream_with_silence(before_first=False)
        events = "".join(f"data: event {number}\n\n" for number in range(1, 6))
        self.assertEqual((200, events), (answer.code, answer.body.decode()))
        self.assertEqual([], other.run_ids)
        self.assert_no_place_held()

    # Guards against places that are never given back where a silent engine goes on while its
    # streams wait for others, so that fewer and fewer requests are served.
    async def test_places_are_given_back_where_the_engine_goes_on_first(self) -> None:
        other = self.fleet.add("i-2", ENGINES, zone=OTHER_ZONE, slots=1)
        other.event_pause_s = SILENCE_S
        self.silent.standin.event_pause_s = HELD_EVENT_PAUSE_S
        streams = self.send(STREAMS)
        await self.wait_until(lambda: len(self.silent.standin.run_ids) == STREAMS)
        await self.fleet.settle()
        self.send(OTHER_PLACES + 1)
        await self.wait_until(lambda: len(other.run_ids) == OTHER_PLACES)
        self.silent.pause(SILENCE_S)
        for answer in await asyncio.gather(*streams):
            self.assert_whole(answer)
        self.assertEqual(OTHER_PLACES, len(other.run_ids))
        await asyncio.gather(*self.calls)
        self.assert_no_place_held()

    def assert_no_place_held(self) -> None:
        """Check that no request counts as waiting or as in flight."""
        self.assertEqual({}, self.fleet.entry.selector.own_loads)
        self.assertEqual([], self.fleet.entry.admission.queue(ENGINES).waiting)


if __name__ == "__main__":
    unittest.main()
