"""Tests of upstreams that stop in the middle of an answer's head and close the connection."""

import asyncio
import itertools
import unittest
from typing import Final, NamedTuple

from tornado.simple_httpclient import HTTPStreamClosedError

from gypsumpier.platform.headers import EVENT_STREAM
from gypsumpier.test.builders_platform import (
    ENGINES,
    PLAIN,
    command_route_body,
    engine_body,
    plain_body,
    route_body,
)
from gypsumpier.test.gatewayfleet import GatewayFleet
from gypsumpier.test.standin.cuthead import CutServer

RESET_AFTER_S: Final = 0.005
"""Seconds before a reset, in which the entry can read what was sent before."""
ROUTE_TIMEOUT_MS: Final = 6000
"""Milliseconds for a request that is sent twice, so that a busy machine ends none."""
SLOW_S: Final = 0.7
"""Seconds that a slow upstream takes: twice the silence after which a second one is tried."""
PAUSE_S: Final = 0.02
ENDS: Final = ((False, 0.0), (True, 0.0), (False, PAUSE_S), (True, PAUSE_S))
"""How connections end: whether by a reset, and after how many seconds."""
BODY: Final = "whole"
EVENTS: Final = "".join(f"id: {number}\ndata: event {number}\n\n" for number in range(1, 6))
RELAYED: Final = "id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\n"
"""What the first engine sends of a stream before it breaks off."""
REST: Final = EVENTS.removeprefix(RELAYED)
INTERIM: Final = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
OWN: Final = "X-Request-Id: {id}\r\nX-Server-Seal: seal\r\n"
STREAM: Final = f"Content-Type: {EVENT_STREAM}\r\n"
LENGTH: Final = f"Content-Length: {len(BODY)}\r\n"
CHUNKED: Final = "Transfer-Encoding: chunked\r\n"


class Case(NamedTuple):
    """An answer and how many of its bytes belong to its head."""

    content: bytes
    head_bytes: int

    def offsets(self) -> range:
        """Return the numbers of bytes that are less than a whole answer."""
        is_framed = b"Content-Length" in self.content or b"Transfer-Encoding" in self.content
        return range(len(self.content) if is_framed else self.head_bytes)

    def line_offsets(self) -> list[int]:
        """Return the offsets around the ends of the lines of the head."""
        ends = [at for at in range(self.head_bytes) if self.content[at : at + 1] == b"\n"]
        return sorted({at for end in ends for at in (end, end + 1)} & set(self.offsets()))


def case(head: str, body: str = BODY) -> Case:
    """Return the answer with this head, without its last empty line, and body."""
    whole_head = head + ("\n" if "\r\n" not in head else "\r\n")
    return Case((whole_head + body).encode(), len(whole_head.encode()))


def chunks(body: str) -> str:
    """Return the body in one chunk."""
    return f"{len(body):x}\r\n{body}\r\n0\r\n\r\n"


PLAIN_ANSWERS: Final = {
    "the length last": case(f"HTTP/1.1 200 OK\r\n{OWN}{LENGTH}"),
    "the length first": case(f"HTTP/1.1 200 OK\r\n{LENGTH}{OWN}"),
    "chunks": case(f"HTTP/1.1 200 OK\r\n{OWN}{CHUNKED}", chunks(BODY)),
    "neither": case(f"HTTP/1.1 200 OK\r\n{OWN}"),
    "HTTP/1.0": case(f"HTTP/1.0 200 OK\r\n{OWN}"),
    "bare line feeds": case(f"HTTP/1.1 200 OK\r\n{OWN}{LENGTH}".replace("\r", "")),
    "an interim answer": case(f"{INTERIM}HTTP/1.1 200 OK\r\n{OWN}{LENGTH}"),
    "two interim answers": case(f"{INTERIM}{INTERIM}HTTP/1.1 200 OK\r\n{OWN}"),
}
STREAM_ANSWERS: Final = {
    "the type last": case(f"HTTP/1.1 200 OK\r\n{OWN}{STREAM}", ""),
    "chunks": case(f"HTTP/1.1 200 OK\r\n{OWN}{STREAM}{CHUNKED}", ""),
    "a length": case(f"HTTP/1.1 200 OK\r\n{OWN}{STREAM}Content-Length: {len(REST)}\r\n", ""),
    "an interim answer": case(f"{INTERIM}HTTP/1.1 200 OK\r\n{OWN}{STREAM}", ""),
}
"""Heads of streams; the connection closes before the first event."""
START: Final = f"HTTP/1.1 200 OK\r\n{OWN}"
BROKEN_HEADS: Final = {
    "HTTP/1.0 without headers": "HTTP/1.0 200 OK",
    "HTTP/1.0 without headers, one line": "HTTP/1.0 200 OK\r\n",
    "HTTP/1.0 without headers, whole": "HTTP/1.0 200 OK\r\n\r\n",
    "HTTP/1.0 without headers, with a body": "HTTP/1.0 200 OK\r\n\r\nwhole",
    "one bare line feed": f"{START}{LENGTH}".removesuffix("\r\n") + "\nwhole",
    "no empty line": f"{START}{LENGTH}whole",
    "a carriage return for the empty line": f"{START}{LENGTH}\rwhole",
    "a length that is too long": f"{START}Content-Length: 6\r\n\r\nwhole",
    "two lengths": f"{START}{LENGTH}Content-Length: 3\r\n\r\nwhole",
    "two lengths in one": f"{START}Content-Length: 3, 5\r\n\r\nwhole",
    "a length and chunks": f"{START}{LENGTH}{CHUNKED}\r\nwhole",
    "an empty length": f"{START}Content-Length:\r\n\r\nwhole",
    "a negative length": f"{START}Content-Length: -1\r\n\r\nwhole",
    "a length with a sign": f"{START}Content-Length: +5\r\n\r\nwhole",
    "a length in hex": f"{START}Content-Length: 0x5\r\n\r\nwhole",
    "a coding that is cut": f"{START}Transfer-Encoding: chun\r\n\r\nwhole",
    "chunks without a last one": f"{START}{CHUNKED}\r\n5\r\nwhole\r\n",
    "a cut head and another answer": f"{START}X-Cu{START}{LENGTH}\r\nwhole",
    "an interim answer alone": INTERIM,
}


class CutCase(unittest.IsolatedAsyncioTestCase):
    """An entry with an upstream that cuts its answers, and routes of every kind to it.

    ``other`` is in another zone, so that only requests that were sent before are sent to it.
    """

    service = PLAIN

    async def asyncSetUp(self) -> None:
        # The debug mode of unittest's loop takes more time than the hundreds of requests.
        asyncio.get_running_loop().set_debug(False)
        self.fleet = GatewayFleet()
        self.addAsyncCleanup(self.fleet.stop)
        self.server = CutServer(b"")
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        lookups = command_route_body(
            name="lookups",
            prefix="/lookups/",
            kind="idempotent",
            attempts=2,
            timeout_ms=ROUTE_TIMEOUT_MS,
        )
        once = route_body("once", prefix="/once/reports/", resumable=False)
        self.fleet.configure(routes=[route_body(), command_route_body(), lookups, once])
        build = engine_body if self.service == ENGINES else plain_body
        self.fleet.store.put("servers/cut", build(address=self.server.address))
        self.other = self.fleet.add("other", self.service, zone="nam-a")
        self.other.event_pause_s = 0.0
        await self.fleet.start()
        self.number = 0

    def answer(self, content: bytes) -> None:
        """Let ``cut`` send the whole content and keep its connections open."""
        self.cut(content, 0)
        self.server.cut_at = None

    async def replace_other_by_slow(self) -> None:
        """Put ``cut`` in the other zone, beside a slow upstream in this one.

        The routes are replaced by one to ``/jobs/``, whose requests may be repeated.
        """
        self.fleet.store.remove("servers/other")
        jobs = command_route_body(
            name="jobs", prefix="/jobs/", kind="idempotent", attempts=2, timeout_ms=ROUTE_TIMEOUT_MS
        )
        self.fleet.configure(version=2, routes=[jobs])
        self.fleet.add("slow", PLAIN)
        address = self.server.address
        self.fleet.store.put("servers/cut", plain_body(2, address=address, zone="nam-a"))
        await self.fleet.settle()

    def next_id(self) -> str:
        """Return a new request id of as many bytes as its place in a scripted answer has."""
        self.number += 1
        return f"{self.number:04x}"

    def forget_failures(self) -> None:
        """Let the entry use every upstream as if none had failed."""
        self.fleet.entry.retries.repeats.clear()
        selector = self.fleet.entry.selector
        for health in (selector.health, selector.zone_health):
            health.health_by_run.clear()
            health.failure_rates.clear()
        # A new connection that takes too long on a busy machine counts as a crash of the upstream.
        self.fleet.entry.crashes.quarantine.suspects.clear()

    def cut(self, content: bytes, at: int, is_reset: bool = False, pause_s: float = 0.0) -> None:
        """Let the upstream cut the next answers so."""
        self.forget_failures()
        self.server.content, self.server.cut_at = content, at
        self.server.is_reset = is_reset
        self.server.pause_s = max(pause_s, RESET_AFTER_S) if is_reset else pause_s

    async def check_lost(self, path: str) -> None:
        """Assert that a request is answered 502, and that one upstream got it, once."""
        before = self.server.requests
        found = await self.fleet.call(path, self.next_id())
        self.assertEqual(502, found.code)
        self.assertEqual(1, self.server.requests - before)
        self.assertEqual([], self.other.run_ids)


class PlainCutTest(CutCase):
    # Guards against a success, whole to its caller, for an answer whose head or body was cut.
    async def test_an_answer_that_is_cut_at_any_byte_is_lost(self) -> None:
        for label, answer in PLAIN_ANSWERS.items():
            for at in answer.offsets():
                with self.subTest(label, at=at):
                    self.cut(answer.content, at)
                    await self.check_lost("/commands/x")

    # Guards against a close, a late one or a reset being taken for the end of a head, whatever the
    # headers before it are.
    async def test_an_answer_that_is_cut_between_two_lines_is_lost(self) -> None:
        for label, answer in PLAIN_ANSWERS.items():
            for at, end in zip(answer.line_offsets(), itertools.cycle(ENDS)):
                with self.subTest(label, at=at, end=end):
                    self.cut(answer.content, at, *end)
                    await self.check_lost("/commands/x")

    # Guards against a request that runs again, or gets the bytes of an earlier answer, as the head
    # of a kept connection's next answer is cut.
    async def test_the_second_answer_on_a_connection_is_lost_if_it_is_cut(self) -> None:
        answer = PLAIN_ANSWERS["the length last"]
        for at in answer.offsets():
            with self.subTest(at=at):
                self.answer(answer.content)
                found = await self.fleet.call("/commands/x", self.next_id())
                self.assertEqual((200, BODY), (found.code, found.body.decode()))
                kept = self.server.kept_requests
                self.cut(answer.content, at, is_reset=bool(at % 2))
                await self.check_lost("/commands/x")
                self.assertEqual(1, self.server.kept_requests - kept)

    # Guards against a part of a cut answer in front of the whole answer of a second upstream.
    async def test_a_repeatable_request_gets_the_whole_answer_of_another_upstream(self) -> None:
        for label, answer in PLAIN_ANSWERS.items():
            for at in answer.line_offsets():
                with self.subTest(label, at=at):
                    self.cut(answer.content, at, is_reset=bool(at % 2))
                    before = self.server.requests
                    request_id = self.next_id()
                    found = await self.fleet.call("/lookups/x", request_id)
                    whole = f"answer to {request_id} by other"
                    self.assertEqual((200, whole), (found.code, found.body.decode()))
                    self.assertEqual(1, self.server.requests - before)

    # Guards against a request that is sent elsewhere, though it may have run, as a refusal was read
    # from a head that was cut.
    async def test_a_refusal_whose_head_is_cut_is_no_refusal(self) -> None:
        refusal = case(f"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n{OWN}{LENGTH}")
        for at in range(refusal.head_bytes):
            with self.subTest(at=at):
                self.cut(refusal.content, at)
                await self.check_lost("/commands/x")
        self.cut(refusal.content, len(refusal.content))
        request_id = self.next_id()
        found = await self.fleet.call("/commands/x", request_id)
        whole = f"answer to {request_id} by other"
        self.assertEqual((200, whole), (found.code, found.body.decode()))

    # Guards against heads that a lenient reader takes for whole, and lengths that say nothing.
    async def test_a_broken_head_is_lost(self) -> None:
        for label, content in BROKEN_HEADS.items():
            for is_reset in (False, True):
                with self.subTest(label, is_reset=is_reset):
                    self.cut(content.encode(), len(content), is_reset)
                    await self.check_lost("/commands/x")

    # Guards against checks that refuse every answer: each one is a success if it is not cut.
    async def test_the_same_answers_are_relayed_if_they_are_whole(self) -> None:
        twice = case(f"HTTP/1.1 200 OK\r\n{OWN}{LENGTH}{LENGTH}")
        for label, answer in (PLAIN_ANSWERS | {"the same length twice": twice}).items():
            with self.subTest(label):
                self.cut(answer.content, len(answer.content))
                found = await self.fleet.call("/commands/x", self.next_id())
                self.assertEqual((200, BODY), (found.code, found.body.decode()))


class StreamCutTest(CutCase):
    service = ENGINES

    # Guards against a stream without events that ends as whole, for a head that was cut.
    async def test_a_stream_that_is_cut_before_its_first_event_is_lost(self) -> None:
        for label, answer in STREAM_ANSWERS.items():
            for at in range(len(answer.content) + 1):
                with self.subTest(label, at=at):
                    self.cut(answer.content, at)
                    await self.check_lost("/once/reports/x")

    # Guards against a close, a late one or a reset being taken for the end of a stream.
    async def test_a_stream_that_is_cut_between_two_lines_is_lost(self) -> None:
        for label, answer in STREAM_ANSWERS.items():
            for end in ENDS:
                for at in (answer.line_offsets()[-1], len(answer.content)):
                    with self.subTest(label, at=at, end=end):
                        self.cut(answer.content, at, *end)
                        await self.check_lost("/once/reports/x")

    # Guards against a stream that isn't begun again at another engine, or is joined from two runs.
    async def test_a_stream_that_may_be_repeated_comes_whole_from_another_engine(self) -> None:
        for label, answer in STREAM_ANSWERS.items():
            for at in (*answer.line_offsets(), len(answer.content)):
                with self.subTest(label, at=at):
                    self.cut(answer.content, at, is_reset=bool(at % 2))
                    before = self.server.requests
                    found = await self.fleet.call("/reports/x", self.next_id())
                    self.assertEqual((200, EVENTS), (found.code, found.body.decode()))
                    self.assertEqual(1, self.server.requests - before)


class ResumptionCutTest(CutCase):
    service = ENGINES

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.fleet.store.remove("servers/other")
        self.engine = self.fleet.add("i-1", ENGINES)
        self.engine.event_pause_s = 0.0
        self.fleet.store.put(
            "servers/cut", engine_body(2, address=self.server.address, zone="nam-a")
        )
        await self.fleet.settle()

    # Guards against a stream that ends as whole, or gets bytes that are no events of it, as the
    # answer that was to continue it is cut in its head.
    async def test_a_resumed_stream_does_not_look_whole_if_the_next_head_is_cut(self) -> None:
        received: list[bytes] = []
        for label, answer in STREAM_ANSWERS.items():
            for at in range(len(answer.content)):
                with self.subTest(label, at=at):
                    self.cut(answer.content, at, is_reset=bool(at % 2))
                    self.engine.plan = ["cut"]
                    received.clear()
                    before = self.server.requests
                    with self.assertRaises(HTTPStreamClosedError):
                        await self.fleet.call(
                            "/reports/x", self.next_id(), streaming_callback=received.append
                        )
                    self.assertEqual(RELAYED, b"".join(received).decode())
                    self.assertEqual(1, self.server.requests - before)


if __name__ == "__main__":
    unittest.main()
