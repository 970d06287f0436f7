"""Tests of the memory that many answers without end take together."""

import asyncio
import tracemalloc
import unittest
from typing import Final

from tornado.httputil import HTTPHeaders, RequestStartLine

from gypsumpier.fleet.node import Address
from gypsumpier.gateway.relay import ANSWER_MAX_BYTES
from gypsumpier.test.endlesscase import FILLER, EndlessTest, head
from gypsumpier.test.standin.endless import EndlessServer
from gypsumpier.upstream.errors import OutcomeUnknownError
from gypsumpier.upstream.pool import UpstreamCall, UpstreamPool
from gypsumpier.upstream.replacement import NoReplacement

CALLS: Final = 160
PIECE: Final = FILLER[: 32 * 1024]
PIECES_EACH: Final = ANSWER_MAX_BYTES // len(PIECE) - 1
"""Pieces of an answer that is just within the limit on one answer, and never ends."""
TIMEOUT_S: Final = 40.0
CALLS_MAX_BYTES: Final = 100 * 1024 * 1024
"""Bytes that the calls and the server of the test may take together; an entry has 300 MB."""
CONNECTING_MAX: Final = 20
"""Connections that are opened at a time; a server's queue of new ones holds a hundred."""


class GrowingServer(EndlessServer):
    """Sends nearly as many bytes as one answer may have, and then a byte now and then.

    ``large`` counts the answers that have become so large.
    """

    large = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one request without end."""
        self.open += 1
        try:
            request_id = await self.read_request(reader)
            writer.write(self.begin(request_id))
            for _ in range(PIECES_EACH):
                writer.write(self.piece)
                await writer.drain()
                await asyncio.sleep(0)
            self.large += 1
            while True:
                writer.write(b"x")
                await writer.drain()
                await asyncio.sleep(0.2)
        except (ConnectionError, asyncio.CancelledError):
            # The caller or the test closed the connection.
            return
        finally:
            self.open -= 1
            writer.close()


class ManyEndlessAnswersTest(EndlessTest):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.pool = UpstreamPool()
        self.addCleanup(self.pool.close)
        self.failures: list[str] = []
        self.connecting = asyncio.Semaphore(CONNECTING_MAX)

    async def read_answer(self, address: Address, number: int) -> None:
        """Read one answer; keep the reason why it is not complete."""
        headers = HTTPHeaders({"X-Request-Id": f"r{number}"})
        start = RequestStartLine("GET", "/lookups/x", "HTTP/1.1")
        call = UpstreamCall(start, headers, b"", TIMEOUT_S)
        try:
            async with self.connecting:
                exchange = await self.pool.open(address, True, lambda: call, NoReplacement())
                await exchange.answer(f"r{number}")
            try:
                await exchange.whole_body(ANSWER_MAX_BYTES)
            finally:
                self.pool.release(address, exchange)
        except OutcomeUnknownError as error:
            self.failures.append(error.reason)

    # Guards against a process over its memory, which ends the requests of all callers: each of
    # many answers may be as large as any answer.
    async def test_many_answers_without_end_take_bounded_memory(self) -> None:
        server = GrowingServer(head(), PIECE)
        self.servers.append(server)
        await server.start()
        host, port = server.address.split(":")
        tracemalloc.start()
        try:
            reads = [
                asyncio.create_task(self.read_answer(Address(host, int(port)), number))
                for number in range(CALLS)
            ]
            async with asyncio.timeout(TIMEOUT_S):
                while server.large + len(self.failures) < CALLS:
                    await asyncio.sleep(0.05)
            _, peak_bytes = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        for read in reads:
            read.cancel()
        await asyncio.wait(reads)
        self.assertLess(peak_bytes, CALLS_MAX_BYTES)
        self.assertLess(len(self.failures), CALLS, "only the largest are given up")
        self.assertTrue(any("incomplete answers" in reason for reason in self.failures))
        self.assertEqual(0, self.pool.buffers.total_bytes)


if __name__ == "__main__":
    unittest.main()
