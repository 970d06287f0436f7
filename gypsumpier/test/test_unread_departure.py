"""Tests of an entry whose caller has left before the event loop came to read its request."""

import asyncio
import socket
import unittest
from typing import Final

from gypsumpier.test.builders_platform import ENGINES, KEY
from gypsumpier.test.gatewayfleet import GatewayFleet

REQUEST: Final = (
    "POST /reports/x HTTP/1.1\r\n"
    "Host: lab.example\r\n"
    "X-Request-Id: r1\r\n"
    f"X-Key: {KEY}\r\n"
    "Content-Length: 2\r\n"
    "\r\n"
    "{}"
).encode()
CLOSED_TIMEOUT_S: Final = 1.0


class UnreadDepartureTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet = GatewayFleet()
        self.fleet.configure()
        self.engine = self.fleet.add("i-1", ENGINES)
        await self.fleet.start()
        await self.fleet.settle()
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.call("/reports/x", "r0")

    def leave(self, extra: bytes) -> None:
        """Send a request with bytes behind it and leave, while the event loop does nothing."""
        with socket.create_connection(("127.0.0.1", self.fleet.port)) as caller:
            caller.sendall(REQUEST + extra)

    # Guards against connections that stay open for good, as nothing reads on to their close.
    async def test_the_connection_is_closed_and_nothing_is_sent(self) -> None:
        open_before = len(self.fleet.entry.front.connections)
        for extra in (b"", b"\r\n", REQUEST):
            with self.subTest(extra=extra[:4]):
                self.leave(extra)
                await asyncio.sleep(0.1)
                async with asyncio.timeout(CLOSED_TIMEOUT_S):
                    while len(self.fleet.entry.front.connections) > open_before:
                        await asyncio.sleep(0.01)
        self.assertEqual(["r0"], self.engine.run_ids)
        self.assertEqual(set(), self.fleet.entry.front.active)


if __name__ == "__main__":
    unittest.main()
