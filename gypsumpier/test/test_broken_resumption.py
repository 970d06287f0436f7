"""Tests of streams that broke off and whose next upstream answers with something else.

Nothing of that answer may reach the caller's stream, and the stream must not look whole.
"""

import unittest
from typing import Final

from tornado.simple_httpclient import HTTPStreamClosedError

from gypsumpier.platform.headers import EVENT_STREAM
from gypsumpier.test.builders_platform import ENGINES, engine_body
from gypsumpier.test.gatewayfleet import GatewayFleet
from gypsumpier.test.standin.platform import UpstreamStandin
from gypsumpier.test.standin.scripted import ScriptedServer

TEXT: Final = "upstream failure\n\nplease try again\n\n"
"""The text of an error, which holds what ends an event."""
RELAYED: Final = "id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\n"


def head(status: int, kind: str, framing: str = "") -> bytes:
    """Return the head of an answer of that type."""
    return (
        f"HTTP/1.1 {status} Status\r\nX-Request-Id: {{id}}\r\nX-Server-Seal: seal\r\n"
        f"Content-Type: {kind}\r\n{framing}\r\n"
    ).encode()


def with_length(status: int, kind: str, body: str = TEXT) -> bytes:
    """Return an answer with a length."""
    return head(status, kind, f"Content-Length: {len(body)}\r\n") + body.encode()


def in_chunks(status: int, kind: str, body: str = TEXT) -> bytes:
    """Return an answer in one chunk."""
    chunks = f"{len(body):x}\r\n{body}\r\n0\r\n\r\n"
    return head(status, kind, "Transfer-Encoding: chunked\r\n") + chunks.encode()


def broken_resumptions() -> dict[str, bytes]:
    """Return answers that don't continue a stream after its event 2, by what they are."""
    found: dict[str, bytes] = {}
    for status in (400, 404, 408, 429, 500, 502, 503, 504, 200, 201, 206):
        for kind in ("text/plain", "application/json"):
            found[f"{status} {kind} with a length"] = with_length(status, kind)
            found[f"{status} {kind} in chunks"] = in_chunks(status, kind)
            found[f"{status} {kind} until the close"] = head(status, kind) + TEXT.encode()
    for status in (500, 503, 201, 206):
        found[f"{status} as a stream"] = in_chunks(status, EVENT_STREAM, "id: 3\ndata: x\n\n")
    stream = {
        "an error as an event": "event: error\ndata: failed\n\n",
        "an error as an event with an old id": "id: 1\nevent: error\ndata: failed\n\n",
        "the stream from its beginning": RELAYED,
        "a text as a stream": TEXT,
        "an event that comes twice": "id: 3\ndata: x\n\nid: 3\ndata: x\n\n",
    }
    for label, body in stream.items():
        found[label] = in_chunks(200, EVENT_STREAM, body)
    found["204"] = b"HTTP/1.1 204 No Content\r\nX-Request-Id: {id}\r\nX-Server-Seal: seal\r\n\r\n"
    found["a head that is cut"] = with_length(500, "text/plain")[:40]
    found["a stream's head alone"] = head(200, EVENT_STREAM)
    found["no answer in the protocol"] = TEXT.encode()
    return found


class BrokenResumptionTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet = GatewayFleet()
        self.fleet.configure()
        self.engine = self.fleet.add("i-1", ENGINES)
        await self.fleet.start()
        await self.fleet.settle()
        self.addAsyncCleanup(self.fleet.stop)
        self.received: list[bytes] = []

    async def replace_second(self, content: bytes) -> ScriptedServer:
        """Let the second engine, which gets only resumed streams, answer with these bytes."""
        server = ScriptedServer(content, closes=True)
        await server.start()
        self.addAsyncCleanup(server.stop)
        self.fleet.store.put("servers/i-2", engine_body(2, address=server.address, zone="nam-a"))
        await self.fleet.settle()
        return server

    def forget_failures(self, engine: UpstreamStandin) -> None:
        """Let the first engine break its next stream off, and be used as if it never failed."""
        engine.plan = ["cut"]
        self.fleet.entry.retries.repeats.clear()
        selector = self.fleet.entry.selector
        for health in (selector.health, selector.zone_health):
            health.health_by_run.clear()
            health.failure_rates.clear()

    async def test_nothing_of_another_answer_reaches_the_caller(self) -> None:
        for label, content in broken_resumptions().items():
            with self.subTest(label):
                server = await self.replace_second(content)
                self.forget_failures(self.engine)
                self.received.clear()
                with self.assertRaises(HTTPStreamClosedError):
                    await self.fleet.call("/reports/x", streaming_callback=self.received.append)
                self.assertEqual(RELAYED, b"".join(self.received).decode())
                self.assertEqual(1, server.requests)

    async def test_a_stream_that_is_continued_is_whole(self) -> None:
        rest = "id: 3\nx-weight-versions: 2\ndata: x\n\nid: 5\ndata: y\n\n"
        for content in (
            in_chunks(200, f"{EVENT_STREAM}; charset=utf-8", rest),
            head(200, EVENT_STREAM) + rest.encode(),
        ):
            await self.replace_second(content)
            self.forget_failures(self.engine)
            found = await self.fleet.call("/reports/x")
            self.assertEqual((200, RELAYED + rest), (found.code, found.body.decode()))

    async def test_a_stream_that_broke_off_behind_its_last_event_is_whole(self) -> None:
        await self.replace_second(in_chunks(200, EVENT_STREAM, "")[:-5])
        self.forget_failures(self.engine)
        found = await self.fleet.call("/reports/x")
        self.assertEqual((200, RELAYED), (found.code, found.body.decode()))


if __name__ == "__main__":
    unittest.main()
