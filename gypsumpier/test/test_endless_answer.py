"""Tests of an entry beside servers whose bytes never end, in a head, a body or a stream."""

import asyncio
import socket
import time
import unittest
from collections.abc import Callable
from typing import Any, Final

from tornado.httpclient import HTTPResponse
from tornado.httputil import HTTPHeaders, RequestStartLine
from tornado.simple_httpclient import HTTPStreamClosedError

from gypsumpier.codes.platform import PLATFORM_UNREACHABLE
from gypsumpier.errors import GypsumpierError
from gypsumpier.fleet.node import Address
from gypsumpier.platform import engine, origin, store
from gypsumpier.platform.engine import PlatformEngine
from gypsumpier.platform.origin import PlatformOrigin
from gypsumpier.platform.store import PlatformStore
from gypsumpier.test.builders_platform import (
    ENGINES,
    PLAIN,
    command_route_body,
    engine_body,
    plain_body,
    route_body,
)
from gypsumpier.test.endlesscase import (
    CALLS_MAX,
    CLOSE_TIMEOUT_S,
    COMMAND_LIMIT_S,
    ENDLESS,
    EVENTS,
    FILLER,
    GARBAGE,
    HEADER_LINES,
    INTERIM,
    LAG_MAX_S,
    READ_TIMEOUT_S,
    SENT_MAX_BYTES,
    TINY_CHUNK_COUNT,
    TINY_CHUNKS,
    EndlessTest,
    begun_stream,
    head,
    nothing,
    whole_answer,
    whole_answer_after_interim,
)
from gypsumpier.test.gatewayfleet import GatewayFleet
from gypsumpier.test.standin.endless import SLOW_PAUSE_S, EndlessServer
from gypsumpier.upstream.exchange import WHOLE_PARTS_MAX, Exchange
from gypsumpier.upstream.http import UpstreamStream
from gypsumpier.upstream.replacement import NoReplacement


class EndlessAnswerTest(EndlessTest):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.fleet = GatewayFleet()
        lookups = route_body("lookups", prefix="/lookups/", kind="idempotent", service=PLAIN)
        commands = command_route_body(timeout_ms=round(COMMAND_LIMIT_S * 1000))
        self.fleet.configure(routes=[route_body(), commands, lookups])
        # An entry without any upstream is not ready.
        self.fleet.store.put("servers/i-8", plain_body(service="spare", slots=1))
        await self.fleet.start()

    async def asyncTearDown(self) -> None:
        await self.fleet.stop()
        await super().asyncTearDown()

    async def add_endless(
        self, service: str, begin: Callable[[str], bytes], piece: bytes, pause_s: float = 0.0
    ) -> EndlessServer:
        """Start an upstream whose bytes never end and write its record to the store."""
        server = await self.serve(begin, piece, pause_s)
        build = engine_body if service == ENGINES else plain_body
        self.fleet.store.put(f"servers/{ENDLESS}", build(address=server.address))
        await self.fleet.settle()
        return server

    def assert_counts_as_failing(self) -> None:
        """Assert that the upstream without end has a failure on record."""
        run = self.fleet.entry.fleet_state.upstreams[ENDLESS].run_key()
        rate = self.fleet.entry.selector.health.failure_rates.get(run)
        self.assertGreater(rate.value if rate else 0.0, 0.0)

    async def call_until_asked(self, path: str, server: EndlessServer) -> list[HTTPResponse]:
        """Call until the upstream without end was asked; return the answers."""
        answers = []
        for number in range(CALLS_MAX):
            answers.append(await self.fleet.call(path, request_id=f"r{number}"))
            if server.requests:
                return answers
        raise AssertionError(f"{path} never reached the upstream")

    async def check_command(
        self, begin: Callable[[str], bytes], piece: bytes, pause_s: float = 0.0
    ) -> None:
        """Assert that a command to the upstream ends with an answer that it may have run."""
        server = await self.add_endless(PLAIN, begin, piece, pause_s)
        answer = await self.fleet.call("/commands/x")
        self.assertIn(answer.code, (502, 504))
        self.assertIn(b'"outcome": "unknown"', answer.body)
        self.assertEqual(1, server.requests)
        self.assert_counts_as_failing()
        await self.check_end(server)

    async def check_lookup(
        self, begin: Callable[[str], bytes], piece: bytes, pause_s: float = 0.0
    ) -> None:
        """Assert that a repeatable request gets another upstream's answer."""
        server = await self.add_endless(PLAIN, begin, piece, pause_s)
        self.fleet.add("i-3", PLAIN)
        await self.fleet.settle()
        answers = await self.call_until_asked("/lookups/x", server)
        self.assertEqual({200}, {answer.code for answer in answers})
        self.assertTrue(all(b"by i-3" in answer.body for answer in answers))
        self.assert_counts_as_failing()
        await self.check_end(server)

    async def check_stream(
        self, begin: Callable[[str], bytes], piece: bytes, pause_s: float = 0.0
    ) -> None:
        """Assert that a stream is resumed elsewhere, and cut where there is no other engine."""
        server = await self.add_endless(ENGINES, begin, piece, pause_s)
        other = self.fleet.add("i-1", ENGINES)
        await self.fleet.settle()
        answers = await self.call_until_asked("/reports/x", server)
        self.assertEqual({EVENTS}, {answer.body.decode() for answer in answers})
        self.assert_counts_as_failing()
        await self.check_end(server)
        self.fleet.store.remove("servers/i-1")
        await self.fleet.settle()
        self.fleet.entry.selector.health.health_by_run.clear()
        asked, runs = server.requests, len(other.run_ids)
        with self.assertRaises(HTTPStreamClosedError):
            await self.fleet.call("/reports/x", headers={"X-Deadline-Ms": "2000"})
        # The route allows two attempts, and the second one may go to the same upstream.
        self.assertIn(server.requests, (asked + 1, asked + 2))
        self.assertEqual(runs, len(other.run_ids))
        await self.check_end(server)

    async def test_garbage_without_a_line_end(self) -> None:
        await self.check_command(nothing, GARBAGE)

    async def test_slow_garbage_without_a_line_end(self) -> None:
        await self.check_command(nothing, b"garbage", SLOW_PAUSE_S)

    async def test_garbage_is_answered_by_another_upstream(self) -> None:
        await self.check_lookup(nothing, GARBAGE)

    async def test_slow_garbage_is_answered_by_another_upstream(self) -> None:
        await self.check_lookup(nothing, b"garbage", SLOW_PAUSE_S)

    async def test_header_lines_without_end(self) -> None:
        await self.check_command(lambda _: b"HTTP/1.1 200 OK\r\n", HEADER_LINES)

    async def test_slow_header_lines_without_end(self) -> None:
        begin: Callable[[str], bytes] = lambda _: b"HTTP/1.1 200 OK\r\n"  # noqa: E731
        await self.check_lookup(begin, b"X-Filler: filler\r\n", SLOW_PAUSE_S)

    async def test_interim_answers_without_end(self) -> None:
        await self.check_command(nothing, INTERIM * 4096)

    async def test_slow_interim_answers_without_end(self) -> None:
        await self.check_lookup(nothing, INTERIM, SLOW_PAUSE_S)

    async def test_bytes_after_an_answer_with_an_interim_one_are_no_part_of_it(self) -> None:
        """Guards against a body until the close being read after an interim answer."""
        server = await self.add_endless(PLAIN, whole_answer_after_interim, FILLER)
        answer = await self.fleet.call("/commands/x")
        self.assertEqual((200, b"whole"), (answer.code, answer.body))
        await self.check_end(server)

    async def test_bytes_after_an_answer_without_end(self) -> None:
        for number, pause_s in enumerate((0.0, SLOW_PAUSE_S)):
            with self.subTest(pause_s=pause_s):
                server = await self.add_endless(PLAIN, whole_answer, FILLER, pause_s)
                for call in range(3):
                    answer = await self.fleet.call("/commands/x", request_id=f"r{number}-{call}")
                    self.assertEqual((200, b"whole"), (answer.code, answer.body))
                await self.check_end(server)

    # Guards against bytes without end on many idle connections, which nobody reads.
    async def test_bytes_without_end_on_many_idle_connections(self) -> None:
        server = await self.serve(whole_answer, FILLER)
        server.first_pause_s = 0.3
        self.fleet.store.put(f"servers/{ENDLESS}", plain_body(address=server.address, slots=40))
        await self.fleet.settle()
        calls = [self.fleet.call("/lookups/x", f"r{number}") for number in range(30)]
        self.assertEqual({200}, {answer.code for answer in await asyncio.gather(*calls)})
        async with asyncio.timeout(CLOSE_TIMEOUT_S):
            while server.open:
                await asyncio.sleep(0.01)
        self.assertLess(server.sent_bytes, SENT_MAX_BYTES)
        self.assertEqual([], self.unhandled)

    # Guards against a process without time for other requests: a body of a million tiny parts.
    async def test_a_whole_body_in_very_many_parts_ends_early(self) -> None:
        server = await self.add_endless(PLAIN, head("Transfer-Encoding: chunked"), TINY_CHUNKS)
        answer = await self.fleet.call("/commands/x")
        self.assertEqual(502, answer.code)
        self.assertIn(f"more than {WHOLE_PARTS_MAX} parts".encode(), answer.body)
        await self.check_end(server)

    async def test_bytes_on_an_idle_connection_close_it(self) -> None:
        """Guards against an idle connection that stays open with bytes of no answer."""

        def begin(request_id: str) -> bytes:
            return head("Content-Length: 5", "Keep-Alive: timeout=60")(request_id) + b"whole"

        server = await self.add_endless(PLAIN, begin, FILLER)
        server.first_pause_s = 0.2
        answer = await self.fleet.call("/commands/x")
        self.assertEqual((200, b"whole"), (answer.code, answer.body))
        await self.check_end(server)

    async def test_a_length_that_is_too_long(self) -> None:
        await self.check_command(head("Content-Length: 99999999999"), FILLER)

    async def test_a_length_that_is_long(self) -> None:
        """Guards against holding an answer of 64 MiB for each request in flight."""
        await self.check_command(head(f"Content-Length: {64 * 1024 * 1024}"), FILLER)

    async def test_a_length_that_is_reached_slowly(self) -> None:
        """Guards against waiting until the time limit for an answer that another could give."""
        await self.check_lookup(head("Content-Length: 60000"), b"x", SLOW_PAUSE_S)

    async def test_a_chunked_body_without_end(self) -> None:
        """Guards against holding an answer of 64 MiB for each request in flight."""
        piece = b"10000\r\n" + FILLER + b"\r\n"
        await self.check_command(head("Transfer-Encoding: chunked"), piece)

    async def test_a_body_of_tiny_chunks_without_end(self) -> None:
        await self.check_command(head("Transfer-Encoding: chunked"), TINY_CHUNKS)

    async def test_a_slow_chunked_body_without_end(self) -> None:
        await self.check_command(head("Transfer-Encoding: chunked"), b"1\r\nx\r\n", SLOW_PAUSE_S)

    async def test_a_body_without_a_length_or_an_end(self) -> None:
        """Guards against holding a body without a length in memory, whatever its size."""
        await self.check_command(head(), FILLER)

    async def test_a_body_without_end_is_answered_by_another_upstream(self) -> None:
        await self.check_lookup(head(), FILLER)

    async def test_a_slow_body_without_end_is_answered_by_another_upstream(self) -> None:
        """Guards against waiting until the time limit for an answer that another could give."""
        await self.check_lookup(head(), b"x", SLOW_PAUSE_S)

    async def test_an_event_without_end(self) -> None:
        """Guards against holding an event in memory, whatever its size."""
        await self.check_stream(begun_stream, FILLER)

    async def test_a_slow_event_without_end(self) -> None:
        """Guards against taking the bytes of an event that never ends for progress."""
        await self.check_stream(begun_stream, b"x", SLOW_PAUSE_S)

    async def test_comment_lines_without_end(self) -> None:
        """Guards against holding comment lines in memory, however many there are."""
        await self.check_stream(begun_stream, b": comment\n" * 4096)

    async def test_slow_comment_lines_without_end(self) -> None:
        await self.check_stream(begun_stream, b": comment\n", SLOW_PAUSE_S)


class TinyPartsTest(unittest.IsolatedAsyncioTestCase):
    async def test_other_tasks_run_while_tiny_chunks_are_read(self) -> None:
        """Guards against holding up the event loop with a buffer full of tiny chunks."""
        # The debug mode of the test case takes many times as long for each future.
        asyncio.get_running_loop().set_debug(False)
        ours, theirs = socket.socketpair()
        self.addCleanup(theirs.close)
        body = b"1\r\nx\r\n" * TINY_CHUNK_COUNT + b"0\r\n\r\n"
        theirs.sendall(head("Transfer-Encoding: chunked")("r1") + body)
        exchange = Exchange(UpstreamStream(ours), READ_TIMEOUT_S, NoReplacement())
        exchange.send(RequestStartLine("GET", "/", "HTTP/1.1"), HTTPHeaders(), b"")
        turns = taken = 0
        async with asyncio.timeout(READ_TIMEOUT_S):
            while not exchange.finished:
                await asyncio.sleep(0)
                turns += 1
                taken += len(exchange.take_buffered())
        exchange.abandon()
        self.assertEqual(TINY_CHUNK_COUNT, taken)
        self.assertGreaterEqual(turns, TINY_CHUNK_COUNT // 500)


class EndlessPlatformTest(EndlessTest):
    """Calls to the engine, the store and the origin."""

    ANSWERS: Final = (
        ("garbage", nothing, GARBAGE),
        ("header lines", lambda _: b"HTTP/1.1 200 OK\r\n", HEADER_LINES),
        ("interim answers", nothing, INTERIM * 4096),
        ("long", head("Content-Length: 99999999999"), FILLER),
        ("chunked", head("Transfer-Encoding: chunked"), b"10000\r\n" + FILLER + b"\r\n"),
        ("tiny chunks", head("Transfer-Encoding: chunked"), TINY_CHUNKS),
        ("bad chunks", head("Transfer-Encoding: chunked"), b"1\r\nxyz\r\n"),
        ("no length", head(), FILLER),
    )
    SLOW_ANSWERS: Final = (
        ("garbage", nothing, b"garbage"),
        ("interim answers", nothing, INTERIM),
        ("chunked", head("Transfer-Encoding: chunked"), b"1\r\nx\r\n"),
        ("no length", head(), b"x"),
    )

    async def check_calls(self, call: Callable[[Address], Any], timeout_s: float) -> None:
        """Assert that each call ends within its time limit and with the code of a lost call."""
        cases = [(*answer, 0.0) for answer in self.ANSWERS]
        cases += [(*answer, SLOW_PAUSE_S) for answer in self.SLOW_ANSWERS]
        for name, begin, piece, pause_s in cases:
            with self.subTest(name=name, pause_s=pause_s):
                self.lag_s = 0.0
                self.unhandled.clear()
                server = await self.serve(begin, piece, pause_s)
                host, _, port = server.address.partition(":")
                began_s = time.monotonic()
                with self.assertRaises(GypsumpierError) as caught:
                    await call(Address(host, int(port)))
                self.assertEqual(PLATFORM_UNREACHABLE, caught.exception.code)
                self.assertLess(time.monotonic() - began_s, timeout_s + LAG_MAX_S)
                await self.check_end(server)

    async def test_an_engines_report_without_end(self) -> None:
        """Guards against holding an engine's report in memory, whatever its size."""

        async def report(address: Address) -> None:
            caller = PlatformEngine(address)
            try:
                await caller.report()
            finally:
                caller.caller.close()

        await self.check_calls(report, engine.CALL_TIMEOUT_S)

    async def test_a_stores_answer_without_end(self) -> None:
        """Guards against errors of the HTTP client that no caller of the store expects."""

        async def snapshot(address: Address) -> None:
            source = PlatformStore(address)
            try:
                await source.snapshot()
            finally:
                source.close()

        await self.check_calls(snapshot, store.READ_TIMEOUT_S)

    async def test_an_origins_answer_without_end(self) -> None:
        """Guards against errors of the HTTP client that no caller of the origin expects."""

        async def piece(address: Address) -> None:
            source = PlatformOrigin(address)
            try:
                await source.piece("seismic", 1, 0)
            finally:
                source.close()

        await self.check_calls(piece, origin.CALL_TIMEOUT_S)
