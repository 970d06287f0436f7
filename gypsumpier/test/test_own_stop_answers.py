"""Tests of what an entry of the own interface answers while it stops, on open connections."""

import asyncio
import json
import os
import socket
import time
import unittest
from typing import Any, Final

from gypsumpier.codes.request import (
    COPY_REFUSED,
    ENTRY_STOPPING,
    KEY_NOT_SEEN,
    OUTCOME_UNKNOWN,
    OUTCOME_UNKNOWN_WITHOUT_KEY,
)
from gypsumpier.entry.application import DRAIN_IDLE_S, LISTEN_AFTER_STOP_S
from gypsumpier.log import record_fields
from gypsumpier.test.builders import MODEL, SERVICE
from gypsumpier.test.ownfleet import DRAIN_S, PART_BYTES, POLL_S, OwnFleet
from gypsumpier.test.slowcaller import BODY, Received, SlowCaller
from gypsumpier.wire.connection import Connection
from gypsumpier.wire.frame import Frame

LATE_S: Final = LISTEN_AFTER_STOP_S + 0.4
"""Seconds from the beginning of a stop at which an idle entry would have ended."""
ENDS_S: Final = LISTEN_AFTER_STOP_S + DRAIN_S
MARGIN_S: Final = 0.4
"""Seconds by which a busy machine may be late."""
COMMAND: Final = "/services/table-ops/commands"
LONG_LIMIT_S: Final = 15.0
SHORT_LIMIT_S: Final = 0.3
LARGE_PARTS: Final = 80
"""Parts of an answer that doesn't fit into the buffers of a connection."""
RECEIVE_BUFFER_BYTES: Final = 4096
STALL_S: Final = 0.12
"""Seconds for which the event loop stands still."""


def head_of(
    path: str, limit_s: float, body_bytes: int, headers: str = "", method: str = "POST"
) -> bytes:
    """Return the head of a request that its caller waits for so many seconds."""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: lab\r\nRequest-Timeout: {limit_s}\r\n{headers}"
        f"Content-Length: {body_bytes}\r\n\r\n"
    ).encode()


def code_of(received: Received) -> tuple[int, int, str | None]:
    """Return status, result code and Connection of an answer; zeros where there is none."""
    headers = received.headers
    return received.status, int(headers.get("Gypsumpier-Code", "0")), headers.get("Connection")


class OwnStopCase(unittest.IsolatedAsyncioTestCase):
    """A fleet whose entry is stopped."""

    async def start(self, **settings: Any) -> None:
        """Start the fleet."""
        self.fleet = OwnFleet(**settings)
        await self.fleet.start()
        self.addAsyncCleanup(self.fleet.stop)
        self.stop_began_s = 0.0

    async def caller(self) -> SlowCaller:
        """Return a caller with an open connection."""
        found = SlowCaller(self.fleet.port)
        await found.connect()
        self.addCleanup(found.close)
        return found

    async def send(self, caller: SlowCaller, headers: str = "") -> None:
        """Send a whole command and wait until it has arrived at the entry."""
        caller.writer.write(head_of(COMMAND, LONG_LIMIT_S, len(BODY), headers) + BODY)
        before = self.fleet.entry.in_flight
        while self.fleet.entry.in_flight == before:
            await asyncio.sleep(POLL_S)

    async def until_run(self, count: int) -> None:
        """Wait until so many requests have begun to run."""
        while self.fleet.run_count() < count:
            await asyncio.sleep(POLL_S)

    def begin_stop(self) -> asyncio.Task[None]:
        """Begin to stop the entry."""
        self.stop_began_s = time.monotonic()
        stop = asyncio.create_task(self.fleet.entry.stop())
        self.addCleanup(stop.cancel)
        return stop

    async def until(self, stop_age_s: float) -> None:
        """Wait until the stop is so many seconds old."""
        await asyncio.sleep(self.stop_began_s + stop_age_s - time.monotonic())


class OwnStopAnswersTest(OwnStopCase):
    # Guards against a caller that uses its connection again because the answer to a request from
    # before the stop did not announce the close.
    async def test_an_answer_that_begins_in_a_stop_announces_the_close(self) -> None:
        await self.start()
        self.fleet.upstream.release.clear()
        caller = await self.caller()
        await self.send(caller)
        await self.until_run(1)
        stop = self.begin_stop()
        await asyncio.sleep(0.1)
        self.fleet.upstream.release.set()
        self.assertEqual((200, 0, "close"), code_of(await caller.receive()))
        await stop

    # Guards against a request whose body arrives during the drain and whose connection is closed.
    async def test_a_body_that_ends_in_the_drain_is_served(self) -> None:
        await self.start()
        caller = await self.caller()
        caller.writer.write(head_of(COMMAND, SHORT_LIMIT_S, len(BODY)) + BODY[:1000])
        await asyncio.sleep(0.1)
        stop = self.begin_stop()
        await self.until(LATE_S)
        caller.writer.write(BODY[1000:])
        self.assertEqual((200, 0, "close"), code_of(await caller.receive()))
        await stop

    # Guards against a query of an outcome that a stop cuts, as it did not count as in flight.
    async def test_a_query_of_an_outcome_is_answered_in_the_drain(self) -> None:
        await self.start()
        listener = self.fleet.agent.listener
        handle_frame = listener.handle_frame

        async def handle_late(frame: Frame, connection: Connection) -> None:
            await self.until(LATE_S)
            await handle_frame(frame, connection)

        listener.handle_frame = handle_late  # type: ignore[method-assign]
        caller = await self.caller()
        stop = self.begin_stop()
        key = "Idempotency-Key: k-1\r\n"
        caller.writer.write(head_of("/outcomes/table-ops", 1.0, 0, key, "GET"))
        expected = (KEY_NOT_SEEN.http_status, KEY_NOT_SEEN.number, "close")
        self.assertEqual(expected, code_of(await caller.receive()))
        await stop

    # Guards against a large answer that is cut because its caller reads it slowly.
    async def test_an_answer_that_a_caller_reads_slowly_is_whole(self) -> None:
        await self.start()
        self.fleet.upstream.answer_parts = LARGE_PARTS
        sock = socket.socket()
        self.addCleanup(sock.close)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, ("127.0.0.1", self.fleet.port))
        await loop.sock_sendall(sock, head_of(COMMAND, LONG_LIMIT_S, len(BODY)) + BODY)
        await self.until_run(1)
        stop = self.begin_stop()
        await self.until(LATE_S)
        received = 0
        async with asyncio.timeout(ENDS_S):
            while content := await loop.sock_recv(sock, PART_BYTES):
                received += len(content)
        self.assertGreater(received, LARGE_PARTS * PART_BYTES)
        await stop

    # Guards against the close of a connection whose caller has sent a request at the same moment.
    async def test_a_connection_with_unread_bytes_is_not_closed_as_idle(self) -> None:
        requests = (
            head_of(COMMAND, SHORT_LIMIT_S, len(BODY)) + BODY,
            head_of(COMMAND, SHORT_LIMIT_S, 0, method="GET"),
        )
        for content in requests:
            with self.subTest(content[:4]):
                await self.start()
                caller = await self.caller()
                caller.writer.write(content)
                self.assertEqual(200, (await caller.receive()).status)
                stop = self.begin_stop()
                file_number = caller.writer.get_extra_info("socket").fileno()
                await self.until(LISTEN_AFTER_STOP_S + DRAIN_IDLE_S - STALL_S / 2)
                # The event loop, which is the entry's as well, stands still as it would close.
                os.write(file_number, content)
                time.sleep(STALL_S)
                self.assertEqual((200, 0, "close"), code_of(await caller.receive()))
                await stop

    # Guards against requests that run when the drain ends and whose callers get no answer at all.
    async def test_a_request_that_outlasts_the_drain_is_told_that_it_may_have_run(self) -> None:
        await self.start()
        self.fleet.upstream.release.clear()
        callers = [await self.caller() for _ in range(2)]
        await self.send(callers[0])
        await self.send(callers[1], "Idempotency-Key: k-1\r\n")
        await self.until_run(2)
        stop = self.begin_stop()
        answers = await asyncio.gather(*(caller.receive() for caller in callers))
        took_s = time.monotonic() - self.stop_began_s
        codes = (OUTCOME_UNKNOWN_WITHOUT_KEY.number, OUTCOME_UNKNOWN.number)
        self.assertEqual([(502, code, "close") for code in codes], [*map(code_of, answers)])
        self.assertGreater(took_s, ENDS_S - MARGIN_S)
        self.assertLess(took_s, ENDS_S + MARGIN_S)
        with self.assertLogs("gypsumpier", "INFO") as logs:
            await stop
        cut = [record_fields(record) for record in logs.records if record.msg == "drain_cut"]
        self.assertEqual([0], [fields["in_flight"] for fields in cut])

    # Guards against a stream that the end of the drain cuts without its error event.
    async def test_a_stream_that_outlasts_the_drain_ends_with_an_error_event(self) -> None:
        await self.start(service=SERVICE)
        self.fleet.upstream.release.clear()
        caller = await self.caller()
        body = json.dumps({"model": MODEL, "messages": [], "stream": True}).encode()
        caller.writer.write(head_of("/v1/chat/completions", LONG_LIMIT_S, len(body)) + body)
        await self.until_run(1)
        await asyncio.sleep(0.1)
        stop = self.begin_stop()
        content = await caller.reader.read()
        self.assertIn(b"event: error", content)
        self.assertIn(f'"code": {OUTCOME_UNKNOWN.number}'.encode(), content)
        self.assertFalse(content.endswith(b"0\r\n\r\n"))
        await stop

    # Guards against a request that waits for a place until the process ends, without an answer.
    async def test_a_queued_request_that_outlasts_the_drain_is_told_that_it_has_not_run(
        self,
    ) -> None:
        await self.start(in_flight_max=1)
        self.fleet.upstream.release.clear()
        callers = [await self.caller() for _ in range(3)]
        await self.send(callers[0])
        await self.until_run(1)
        await self.send(callers[1])
        await self.send(callers[2], "Idempotency-Key: k-1\r\n")
        stop = self.begin_stop()
        answers = await asyncio.gather(*(caller.receive() for caller in callers[1:]))
        codes = (ENTRY_STOPPING.number, COPY_REFUSED.number)
        self.assertEqual([(503, code, "close") for code in codes], [*map(code_of, answers)])
        self.assertEqual(1, self.fleet.run_count())
        await stop

    # Guards against a request that is passed on late in a drain and then cut without an answer.
    async def test_a_request_that_may_outlast_the_drain_is_refused_at_once(self) -> None:
        await self.start()
        callers = [await self.caller() for _ in range(2)]
        for caller, headers in zip(callers, ("", "Idempotency-Key: k-1\r\n"), strict=True):
            head = head_of(COMMAND, LONG_LIMIT_S, len(BODY), headers)
            caller.writer.write(head + BODY[:1000])
        await asyncio.sleep(0.1)
        self.fleet.upstream.release.clear()
        stop = self.begin_stop()
        await self.until(LATE_S)
        for caller in callers:
            caller.writer.write(BODY[1000:])
        answers = await asyncio.gather(*(caller.receive() for caller in callers))
        codes = (ENTRY_STOPPING.number, COPY_REFUSED.number)
        self.assertEqual([(503, code, "close") for code in codes], [*map(code_of, answers)])
        self.assertLess(time.monotonic() - self.stop_began_s, LATE_S + MARGIN_S)
        self.assertEqual(0, self.fleet.run_count())
        await stop

    # Guards against a caller that is still sending its body at the end and gets no answer.
    async def test_a_body_that_never_ends_is_refused_at_the_end_of_the_drain(self) -> None:
        await self.start()
        caller = await self.caller()
        caller.writer.write(head_of(COMMAND, LONG_LIMIT_S, len(BODY)) + BODY[:1000])
        await asyncio.sleep(0.1)
        stop = self.begin_stop()
        expected = (503, ENTRY_STOPPING.number, "close")
        self.assertEqual(expected, code_of(await caller.receive()))
        await stop


if __name__ == "__main__":
    unittest.main()
