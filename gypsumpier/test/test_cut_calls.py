"""Tests of the system's own calls whose answers are cut in their heads or bodies.

They are those to engines, stores and origins of the platform, and to the engines, services, stores
and member lists of the own interface.
"""

import asyncio
import itertools
import json
import unittest
from collections.abc import Awaitable, Callable
from typing import Any, Final

from gypsumpier.codes.platform import PLATFORM_BAD_ANSWER, PLATFORM_UNREACHABLE
from gypsumpier.errors import GypsumpierError
from gypsumpier.external.configuration_http import HttpConfiguration
from gypsumpier.external.engine import Completion, LoadOrder
from gypsumpier.external.engine_http import HttpEngine
from gypsumpier.external.membership_http import HttpMembership
from gypsumpier.external.service import ServiceCall
from gypsumpier.external.service_http import HttpService
from gypsumpier.external.store_http import HttpStore
from gypsumpier.fleet.node import Address
from gypsumpier.piece.engine import SwitchOrder
from gypsumpier.platform.engine import PlatformEngine
from gypsumpier.platform.origin import PlatformOrigin
from gypsumpier.platform.store import PlatformStore
from gypsumpier.statement.statement import Statement
from gypsumpier.test.standin.cuthead import CutServer
from gypsumpier.upstream.caller import UpstreamCaller

TIMEOUT_S: Final = 10.0
RESET_AFTER_S: Final = 0.002
"""Seconds before a reset, in which the call can read what was sent before."""
INTERIM: Final = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
EVENT: Final = {"position": 0, "text": "a", "finish_reason": "stop", "version": "v1"}
PIECE: Final = "bytes"
CHANGES: Final = json.dumps({"position": 1, "documents": []})
REPORT: Final = json.dumps(
    {"models": [], "busy": False, "seq": 1, "queued": 0, "active": 0, "born": 1}
)


def whole(body: str, headers: str = "") -> bytes:
    """Return an answer in which the length stands last."""
    return f"HTTP/1.1 200 OK\r\n{headers}Content-Length: {len(body)}\r\n\r\n{body}".encode()


def in_chunks(body: str) -> bytes:
    """Return an answer in two chunks."""
    content = f"1\r\n{body[:1]}\r\n{len(body) - 1:x}\r\n{body[1:]}\r\n0\r\n\r\n"
    return f"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{content}".encode()


class Calls:
    """Every call of both interfaces to one address."""

    def __init__(self, address: str) -> None:
        url = f"http://{address}"
        host, _, port = address.partition(":")
        place = Address(host, int(port))
        self.service = HttpService(url)
        self.engine = HttpEngine(url)
        self.store = HttpStore(url)
        self.members = HttpMembership(url)
        self.configuration = HttpConfiguration(url)
        self.platform_engine = PlatformEngine(place)
        self.platform_store = PlatformStore(place)
        self.platform_origin = PlatformOrigin(place)
        self.statements: list[Statement] = []
        self.service.on_statement = self.engine.on_statement = self.record_statement

    def record_statement(self, statement: Statement, sent_at_s: float) -> None:
        """Record what an answer states of its upstream."""
        self.statements.append(statement)

    async def complete(self) -> list[Any]:
        """Return the events of a generation."""
        completion = Completion("one", "gypsum", "v1", 1, {})
        return [event async for event in self.engine.complete(completion)]

    def table(self) -> dict[str, tuple[Callable[[], Awaitable[object]], str]]:
        """Return each call and the body of a good answer by its name."""
        order = LoadOrder("gypsum", "v1", "digest", 1)
        switch = SwitchOrder("gypsum", 1, False, 0, float("inf"))
        command = ServiceCall("POST", "/commands", {}, b"{}")
        items = json.dumps({"items": [], "events": [], "current_rev": 1})
        pieces = json.dumps({"model": "gypsum", "version": 1, "digests": []})
        status = {"live": [], "running": 0, "waiting": 0, "capacity": 1, "free_memory_bytes": 1}
        store, engine = self.store, self.engine
        platform = self.platform_engine
        return {
            "service": (lambda: self.service.call(command, TIMEOUT_S), "done"),
            "status": (engine.status, json.dumps(status)),
            "stage": (lambda: engine.stage("digest", "a", 0, b"content"), ""),
            "load": (lambda: engine.load(order), ""),
            "unload": (lambda: engine.unload(order), ""),
            "cancel": (lambda: engine.cancel("one"), ""),
            "complete": (self.complete, json.dumps(EVENT) + "\n"),
            "cache events": (lambda: engine.cache_events(0), '{"events": []}'),
            "files": (lambda: store.files("gypsum", "v1"), '{"files": []}'),
            "read": (lambda: store.read("gypsum", "v1", "a", 0, len(PIECE)), PIECE),
            "members": (self.members.members, '{"members": []}'),
            "documents": (self.configuration.read_all, CHANGES),
            "changes": (lambda: self.configuration.watch(1, TIMEOUT_S), CHANGES),
            "platform's report": (platform.report, REPORT),
            "platform's stage": (lambda: platform.stage("gypsum", 0, b"content"), ""),
            "platform's staged": (lambda: platform.staged("gypsum", 0), PIECE),
            "platform's order": (lambda: platform.start(switch), ""),
            "platform's snapshot": (self.platform_store.snapshot, items),
            "platform's watch": (lambda: self.platform_store.watch(1, TIMEOUT_S), items),
            "platform's pieces": (lambda: self.platform_origin.piece_list("gypsum", 1), pieces),
            "platform's piece": (lambda: self.platform_origin.piece("gypsum", 1, 0), PIECE),
        }

    def close(self) -> None:
        """Close every client."""
        for client in (
            self.service,
            self.engine,
            self.store,
            self.members,
            self.configuration,
            self.platform_engine,
            self.platform_store,
            self.platform_origin,
        ):
            client.close()


class CutCallTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        # The debug mode of unittest's loop takes more time than the hundreds of calls.
        asyncio.get_running_loop().set_debug(False)
        self.server = CutServer(b"")
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.calls = Calls(self.server.address)
        self.addCleanup(self.calls.close)

    def cut(self, content: bytes, at: int | None, is_reset: bool = False) -> None:
        """Let the server cut the next answers so."""
        self.server.content, self.server.cut_at = content, at
        self.server.is_reset = is_reset
        self.server.pause_s = RESET_AFTER_S if is_reset else 0.0

    async def check_lost(self, name: str, call: Callable[[], Awaitable[object]]) -> None:
        """Assert that the call fails as one that may have run, and was sent once."""
        before = self.server.requests
        with self.assertRaises(GypsumpierError) as caught:
            await call()
        # A service's caller may send a call again that was not sent.
        code = PLATFORM_BAD_ANSWER if name == "service" else PLATFORM_UNREACHABLE
        self.assertEqual(code, caught.exception.code)
        self.assertEqual(1, self.server.requests - before)

    # Guards against an empty success, of an order too, for an answer that was cut in its head.
    async def test_a_call_fails_whose_head_is_cut_at_any_byte(self) -> None:
        content = whole("", "Server-Leaving: 1\r\n")
        head_bytes = len(content)
        for number, (name, (call, _)) in enumerate(self.calls.table().items()):
            for at in range(head_bytes):
                with self.subTest(name, at=at):
                    self.cut(content, at, is_reset=(at + number) % 4 == 0)
                    await self.check_lost(name, call)
        self.assertEqual([], self.calls.statements)

    # Guards against an answer with a part of its body, whatever its framing, and against the end of
    # an interim answer being taken for that of the final one.
    async def test_a_call_fails_whose_body_or_interim_answer_is_cut(self) -> None:
        for name, (call, body) in self.calls.table().items():
            answers = {"a length": whole(body)}
            if body:
                answers["chunks"] = in_chunks(body)
            for label, content in answers.items():
                head_bytes = content.index(b"\r\n\r\n") + 4
                offsets = {head_bytes - 1, head_bytes, len(content) - 1} - {len(content)}
                if name == "complete":
                    # The last event ends a generation, whatever comes after it.
                    offsets = {head_bytes - 1, head_bytes}
                for at, interim in itertools.product(offsets, (b"", INTERIM.encode())):
                    with self.subTest(name, framing=label, at=at, interim=bool(interim)):
                        self.cut(interim + content, len(interim) + at)
                        await self.check_lost(name, call)
            with self.subTest(name, framing="an interim answer alone"):
                self.cut(INTERIM.encode(), len(INTERIM))
                await self.check_lost(name, call)

    # Guards against checks that fail for every answer: each call succeeds if it is not cut.
    async def test_the_same_calls_succeed_if_their_answer_is_whole(self) -> None:
        for name, (call, body) in self.calls.table().items():
            for content in (whole(body), INTERIM.encode() + whole(body)):
                with self.subTest(name):
                    self.cut(content, None)
                    await call()

    # Guards against a stream of an engine that ends as whole, as its connection closed behind an
    # event that was not the last.
    async def test_a_generation_without_its_last_event_fails(self) -> None:
        first = json.dumps(EVENT | {"finish_reason": None}) + "\n"
        head = b"HTTP/1.1 200 OK\r\n\r\n"
        for body in ("", first, first + first[:9]):
            for content in (head + body.encode(), whole(body)):
                with self.subTest(body=body):
                    self.cut(content, len(content))
                    with self.assertRaises(GypsumpierError) as caught:
                        await self.calls.complete()
                    self.assertEqual(PLATFORM_BAD_ANSWER, caught.exception.code)

    # Guards against a success, or the bytes of an earlier answer, for an internal call whose answer
    # is cut on a kept connection.
    async def test_the_second_answer_on_a_connection_is_lost_if_it_is_cut(self) -> None:
        content = whole("whole", "X-Request-Id: {id}\r\n")
        caller = UpstreamCaller(self.calls.platform_engine.caller.address)
        self.addCleanup(caller.close)
        for at in range(len(whole("whole", "X-Request-Id: 12345678-0\r\n"))):
            with self.subTest(at=at):
                self.cut(content, None)
                answer = await caller.call("GET", "/", TIMEOUT_S)
                self.assertEqual((200, b"whole"), answer)
                kept = self.server.kept_requests
                self.cut(content, at, is_reset=at % 4 == 0)
                await self.check_lost("internal", lambda: caller.call("GET", "/", TIMEOUT_S))
                self.assertEqual(1, self.server.kept_requests - kept)


if __name__ == "__main__":
    unittest.main()
