"""Tests of the own interface's entry whose callers leave before they are answered."""

import asyncio
import json
import unittest
from collections.abc import AsyncIterator
from typing import Any, Final

from tornado.netutil import bind_sockets

from gypsumpier.document.service import ServiceDocument
from gypsumpier.entry.application import EntryApplication
from gypsumpier.entry.request import CallerRequest
from gypsumpier.external.configuration import DocumentRevision
from gypsumpier.settings import build
from gypsumpier.test.builders_frame import DOCUMENT, ENTRY_TEXTS
from gypsumpier.test.test_caller import CHAT, GOOD_CHAT, MODEL_DOCUMENT
from gypsumpier.wire.frame import Frame

ENDED_TIMEOUT_S: Final = 1.0
"""Seconds within which the attempt of a caller that has left must be cancelled."""


class SilentRelay:
    """A relay whose attempts get no answer; ``began`` and ``ended`` name their requests."""

    def __init__(self) -> None:
        self.began: list[str] = []
        self.ended: list[str] = []

    async def run(self, request: CallerRequest, document: ServiceDocument) -> AsyncIterator[Frame]:
        """Wait for good; the attempt ends only if it is cancelled."""
        self.began.append(request.request_id)
        try:
            await asyncio.Event().wait()
            yield  # type: ignore[misc]
        finally:
            self.ended.append(request.request_id)


class DepartedOwnCallerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.entry = EntryApplication(build(ENTRY_TEXTS))
        for number, document in enumerate((DOCUMENT, MODEL_DOCUMENT), 1):
            body = json.dumps(document).encode()
            revision = DocumentRevision(str(document["service"]), number, body)
            self.assertTrue(self.entry.documents.offer(revision, "test"))
        self.relay = SilentRelay()
        self.entry.relay = self.relay  # type: ignore[assignment]
        sockets = bind_sockets(0, "127.0.0.1")
        self.port = sockets[0].getsockname()[1]
        self.entry.server.add_sockets(sockets)
        self.addCleanup(self.entry.server.stop)

    async def leave(self, path: str, body: dict[str, Any], headers: str = "") -> None:
        """Send a request and leave once it is under way."""
        content = json.dumps(body).encode()
        _, writer = await asyncio.open_connection("127.0.0.1", self.port)
        head = f"POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(content)}\r\n{headers}\r\n"
        writer.write(head.encode() + content)
        began = len(self.relay.began)
        while len(self.relay.began) == began:
            await asyncio.sleep(0.005)
        writer.close()

    # Guards against runs that go on for callers that have left before the first part of an answer.
    async def test_a_caller_that_leaves_ends_its_attempt(self) -> None:
        streamed = GOOD_CHAT | {"stream": True}
        cases: tuple[tuple[str, dict[str, Any]], ...] = (
            (CHAT, GOOD_CHAT),
            (CHAT, streamed),
            ("/services/table-ops/readings", {}),
        )
        for path, body in cases:
            with self.subTest(path=path, body=body):
                await self.leave(path, body)
                async with asyncio.timeout(ENDED_TIMEOUT_S):
                    while self.relay.ended != self.relay.began:
                        await asyncio.sleep(0.005)
        self.assertEqual(0, self.entry.in_flight)

    # Guards against a stop that waits for the rest of a body whose caller has left.
    async def test_a_caller_that_leaves_within_its_body_is_not_counted_any_longer(self) -> None:
        _, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(f"POST {CHAT} HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n{{".encode())
        await self.wait_in_flight(1)
        writer.close()
        await self.wait_in_flight(0)

    async def wait_in_flight(self, count: int) -> None:
        """Wait until so many requests are active."""
        async with asyncio.timeout(ENDED_TIMEOUT_S):
            while self.entry.in_flight != count:
                await asyncio.sleep(0.005)

    # Guards against an outcome that is lost as the caller that may ask for it has left.
    async def test_a_request_under_a_key_goes_on(self) -> None:
        await self.leave("/services/table-ops/commands", {}, "Idempotency-Key: k1\r\n")
        await asyncio.sleep(0.2)
        self.assertEqual([], self.relay.ended)


if __name__ == "__main__":
    unittest.main()
