"""Tests of heads that are whole but no head of an answer, on calls of the own interfaces."""

import asyncio
import time
import unittest
from typing import Final

from gypsumpier.codes.platform import PLATFORM_BAD_ANSWER
from gypsumpier.errors import GypsumpierError
from gypsumpier.external.engine import Completion, LoadOrder
from gypsumpier.external.engine_http import HttpEngine
from gypsumpier.external.service import ServiceCall
from gypsumpier.external.service_http import HttpService
from gypsumpier.fleet.node import Address
from gypsumpier.platform.store import PlatformStore
from gypsumpier.test.standin.scripted import ScriptedServer

CALL_TIMEOUT_S: Final = 10.0
FAILURE_MAX_S: Final = 1.0
"""Seconds in which a call fails whose answer is malformed: a part of every call's timeout."""
HEADS: Final = {
    "no status line": b"garbage\r\n\r\n",
    "empty lines": b"\r\n\r\n",
    "a status that is cut": b"HTTP/1.1 2\r\n\r\n",
    "a status line that is cut": b"HTTP/1.0\r\n\r\n",
    "a name that is cut": b"HTTP/1.1 200 OK\r\nContent-Len\r\n\r\n",
    "a continued first line": b"HTTP/1.1 200 OK\r\n folded\r\n\r\n",
    "a name that is cut behind an interim answer": (
        b"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Len\r\n\r\n"
    ),
}


class MalformedHeadTest(unittest.IsolatedAsyncioTestCase):
    # Guards against calls that wait for their whole timeout, up to ten minutes for a stream of an
    # engine, although their answer is known to be malformed and the connection is closed.
    async def test_a_malformed_head_fails_the_call_at_once(self) -> None:
        for label, content in HEADS.items():
            for closes in (True, False):
                server = ScriptedServer(content, closes)
                await server.start()
                self.addAsyncCleanup(server.stop)
                for name in ("service", "order", "stream", "store"):
                    with self.subTest(label, closes=closes, call=name):
                        before, began_s = server.requests, time.monotonic()
                        with self.assertRaises(GypsumpierError) as caught:
                            async with asyncio.timeout(FAILURE_MAX_S):
                                await call(name, server.address)
                        self.assertLess(time.monotonic() - began_s, FAILURE_MAX_S)
                        self.assertEqual(PLATFORM_BAD_ANSWER, caught.exception.code)
                        self.assertEqual(1, server.requests - before)


async def call(name: str, address: str) -> None:
    """Make one call to the server."""
    url = f"http://{address}"
    if name == "service":
        service = HttpService(url)
        await service.call(ServiceCall("POST", "/commands", {}, b"{}"), CALL_TIMEOUT_S)
    elif name == "order":
        await HttpEngine(url).load(LoadOrder("gypsum", "v1", "digest", 1))
    elif name == "stream":
        events = HttpEngine(url).complete(Completion("one", "gypsum", "v1", 1, {}))
        async for _ in events:
            raise AssertionError("an event in a malformed answer")
    else:
        host, _, port = address.partition(":")
        await PlatformStore(Address(host, int(port))).snapshot()


if __name__ == "__main__":
    unittest.main()
