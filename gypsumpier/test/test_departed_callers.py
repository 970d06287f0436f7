"""Tests of entries as processes whose callers leave before they are answered."""

import asyncio
import signal
import time
import unittest
from typing import Final

from gypsumpier.test.builders_platform import KEY
from gypsumpier.test.enginefleet import EngineFleetCase
from gypsumpier.test.standin.crashingengine import CrashingEngine

CALLERS: Final = 24
STANDSTILL_S: Final = 0.9
LEFT_MAX_S: Final = 0.5
"""Seconds after a caller has left within which its request may still reach an engine or run."""
SETTLE_S: Final = 0.6
SLOW_EVENT_PAUSE_S: Final = 0.4
"""Seconds between the events of a slow stream; its five events take two seconds."""
SILENCE_S: Final = 1.4
"""Seconds of silence after which an entry has resumed a stream at another engine."""


def request_bytes(request_id: str) -> bytes:
    """Return a request for a stream."""
    lines = (
        "POST /reports/x HTTP/1.1",
        "Host: lab.example",
        f"X-Request-Id: {request_id}",
        f"X-Key: {KEY}",
        "X-Deadline-Ms: 6000",
        "Content-Length: 2",
        "",
        "{}",
    )
    return "\r\n".join(lines).encode()


class DepartedCallerCase(EngineFleetCase):
    """One entry and callers whose connections are at hand."""

    entries = 1

    async def connect(self) -> asyncio.StreamWriter:
        """Return a new connection of a caller."""
        front: str = self.fleet.nodes[0].body["listen"]["front"]
        _, writer = await asyncio.open_connection("127.0.0.1", int(front.rpartition(":")[2]))
        return writer

    async def send(self, request_id: str, extra: bytes = b"") -> asyncio.StreamWriter:
        """Send a request with bytes behind it on a connection of its own."""
        writer = await self.connect()
        writer.write(request_bytes(request_id) + extra)
        return writer

    def reached_at_s(self, request_id: str) -> list[float]:
        """Return the times at which the request reached an engine."""
        return [
            arrival.at_s
            for engine in self.fleet.engines
            for arrival in engine.arrivals
            if arrival.request_id == request_id
        ]

    async def until_running(self, request_id: str) -> CrashingEngine:
        """Return the engine that runs the request as soon as there is one."""
        async with asyncio.timeout(SETTLE_S):
            while True:
                for engine in self.fleet.engines:
                    if request_id in engine.run_ids:
                        return engine
                await asyncio.sleep(0.005)

    async def assert_ends(self, engine: CrashingEngine, request_id: str) -> None:
        """Check that the engine sees soon that the request's caller has left."""
        async with asyncio.timeout(LEFT_MAX_S):
            while request_id not in engine.closed_ids:
                await asyncio.sleep(0.005)


class StandstillTest(DepartedCallerCase):
    async def keep_connections(self) -> None:
        """Let the entry keep many open connections to engines."""
        node = self.fleet.nodes[0]
        calls = [self.fleet.call(node, self.fleet.sound_parts()) for _ in range(CALLERS)]
        await asyncio.gather(*calls)

    # Guards against an entry that reads requests late and sends those whose callers have left.
    async def test_requests_whose_callers_left_while_the_entry_stood_still_are_not_sent(
        self,
    ) -> None:
        await self.keep_connections()
        writers = [await self.connect() for _ in range(CALLERS)]
        self.fleet.nodes[0].send(signal.SIGSTOP)
        goes_on_at_s = time.monotonic() + STANDSTILL_S
        for number, writer in enumerate(writers):
            writer.write(request_bytes(f"left-{number}"))
        await asyncio.sleep(0.1)
        for writer in writers:
            writer.close()
        left_at_s = time.monotonic()
        await asyncio.sleep(goes_on_at_s - time.monotonic())
        self.fleet.nodes[0].send(signal.SIGCONT)
        await asyncio.sleep(SETTLE_S)
        late = [
            number
            for number in range(CALLERS)
            for at_s in self.reached_at_s(f"left-{number}")
            if at_s > left_at_s + LEFT_MAX_S
        ]
        self.assertEqual([], late)

    # Guards against answers that are refused to callers who have waited for an entry that is late.
    async def test_requests_whose_callers_stayed_are_answered(self) -> None:
        await self.keep_connections()
        self.fleet.nodes[0].send(signal.SIGSTOP)
        node = self.fleet.nodes[0]
        calls = [
            asyncio.create_task(self.fleet.call(node, self.fleet.sound_parts())) for _ in range(8)
        ]
        await asyncio.sleep(STANDSTILL_S)
        node.send(signal.SIGCONT)
        self.assertEqual([200] * 8, [(await call).status for call in calls])


class UnderWayTest(DepartedCallerCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for engine in self.fleet.engines:
            engine.event_pause_s = SLOW_EVENT_PAUSE_S

    # Guards against a run that goes on as bytes behind the request keep the entry from the close.
    async def test_a_caller_that_leaves_behind_more_bytes_ends_its_run(self) -> None:
        for number, extra in enumerate((b"", b"\r\n", request_bytes("next"))):
            with self.subTest(extra=extra[:4]):
                request_id = f"more-{number}"
                writer = await self.send(request_id, extra)
                engine = await self.until_running(request_id)
                engine.event_pause_s = 10.0
                await asyncio.sleep(0.1)
                writer.close()
                await self.assert_ends(engine, request_id)
                engine.event_pause_s = SLOW_EVENT_PAUSE_S

    # Guards against a run that goes on before its first event, when nothing is being written.
    async def test_a_caller_that_leaves_before_the_first_event_ends_its_run(self) -> None:
        for engine in self.fleet.engines:
            engine.plan = ["mute"]
        writer = await self.send("early")
        engine = await self.until_running("early")
        writer.close()
        await self.assert_ends(engine, "early")

    # Guards against a run that goes on where its stream was resumed, or at the engine before it.
    async def test_a_caller_that_leaves_a_resumed_stream_ends_both_runs(self) -> None:
        for engine in self.fleet.engines:
            engine.event_pause_s = 10.0
        writer = await self.send("resumed")
        first = await self.until_running("resumed")
        async with asyncio.timeout(2 * SILENCE_S):
            while len(self.reached_at_s("resumed")) < 2:
                await asyncio.sleep(0.01)
        (second,) = [
            engine
            for engine in self.fleet.engines
            if engine is not first and any(a.request_id == "resumed" for a in engine.arrivals)
        ]
        await asyncio.sleep(0.1)
        writer.close()
        for engine in (first, second):
            await self.assert_ends(engine, "resumed")

    # Guards against requests that are sent as a place is free, although their callers have left.
    async def test_a_caller_that_leaves_while_its_request_waits_has_it_dropped(self) -> None:
        self.fleet.write_slots(1)
        await asyncio.sleep(SETTLE_S)
        running = [await self.send(f"first-{number}") for number in range(CALLERS)]
        await asyncio.sleep(0.2)
        waiting = [await self.send(f"waits-{number}") for number in range(CALLERS)]
        await asyncio.sleep(0.1)
        for writer in waiting:
            writer.close()
        left_at_s = time.monotonic()
        await asyncio.sleep(0.1)
        for writer in running:
            writer.close()
        await asyncio.sleep(SETTLE_S)
        late = [
            number
            for number in range(CALLERS)
            for at_s in self.reached_at_s(f"waits-{number}")
            if at_s > left_at_s
        ]
        self.assertEqual([], late)


if __name__ == "__main__":
    unittest.main()
