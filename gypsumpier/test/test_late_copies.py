"""Tests of second copies of answers that arrive as the next request is sent on the connection."""

import asyncio
import unittest
from typing import Final

from tornado.httputil import HTTPHeaders, RequestStartLine

from gypsumpier.fleet.node import Address
from gypsumpier.upstream.caller import UpstreamCaller
from gypsumpier.upstream.errors import OutcomeUnknownError
from gypsumpier.upstream.pool import UpstreamCall, UpstreamPool
from gypsumpier.upstream.replacement import NoReplacement

TIMEOUT_S: Final = 2.0


class CopyingServer:
    """Answers each request by its number, and sends the last answer again before the next.

    Answers hold the request's id if it ``is_echoing``, and its target in place of its number if it
    ``names_targets``.
    """

    def __init__(self) -> None:
        self.answers: list[bytes] = []
        self.is_echoing = True
        self.names_targets = False
        self.server: asyncio.Server | None = None

    async def start(self) -> Address:
        """Listen on a free port; return the address."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return Address("127.0.0.1", self.server.sockets[0].getsockname()[1])

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it closes."""
        last = b""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                request_id = request_id_of(head)
                body = f"answer {len(self.answers)}".encode()
                if self.names_targets:
                    body = b"answer to " + head.split()[1]
                echo = f"X-Request-Id: {request_id}\r\n" if self.is_echoing else ""
                answer = (
                    f"HTTP/1.1 200 OK\r\n{echo}Content-Length: {len(body)}\r\n\r\n"
                ).encode() + body
                self.answers.append(body)
                writer.write(last + answer)
                last = answer
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            writer.close()


def request_id_of(head: bytes) -> str:
    """Return the id in a request's head; empty where there is none."""
    for line in head.decode().split("\r\n"):
        name, _, value = line.partition(": ")
        if name.lower() == "x-request-id":
            return value
    return ""


class LateCopyTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.server = CopyingServer()
        self.address = await self.server.start()
        assert self.server.server is not None
        self.addCleanup(self.server.server.close)

    # Guards against a caller that gets the answer to the request before.
    async def test_a_copy_of_an_answer_does_not_reach_the_next_caller(self) -> None:
        pool = UpstreamPool()
        self.addCleanup(pool.close)

        async def call(request_id: str) -> bytes:
            headers = HTTPHeaders({"Host": "x", "X-Request-Id": request_id})
            made = UpstreamCall(RequestStartLine("GET", "/", "HTTP/1.1"), headers, b"", TIMEOUT_S)
            async with pool.exchange(self.address, True, lambda: made, NoReplacement()) as exchange:
                await exchange.answer(request_id)
                return await exchange.whole_body(1024)

        self.assertEqual(b"answer 0", await call("r0"))
        with self.assertRaises(OutcomeUnknownError):
            await call("r1")
        self.assertEqual(b"answer 2", await call("r2"))

    # Guards against an order to an engine that seems to be answered by the answer of a call before.
    async def test_a_copy_of_an_answer_is_not_taken_for_that_of_the_next_internal_call(
        self,
    ) -> None:
        caller = UpstreamCaller(self.address)
        self.addCleanup(caller.close)
        self.server.names_targets = True
        first = await caller.call("GET", "/one", TIMEOUT_S)
        second = await caller.call("GET", "/two", TIMEOUT_S)
        self.assertEqual((b"answer to /one", b"answer to /two"), (first.body, second.body))

    # Guards against the same where the upstream answers internal calls without an id.
    async def test_a_call_with_a_connection_of_its_own_gets_its_own_answer(self) -> None:
        self.server.is_echoing = False
        caller = UpstreamCaller(self.address)
        self.addCleanup(caller.close)
        first = await caller.call("GET", "/one", TIMEOUT_S)
        second = await caller.call("POST", "/two", TIMEOUT_S, is_new=True)
        self.assertEqual((b"answer 0", b"answer 1"), (first.body, second.body))


if __name__ == "__main__":
    unittest.main()
