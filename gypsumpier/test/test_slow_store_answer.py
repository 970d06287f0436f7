"""Tests of the store's large answers over narrow links: how long a call waits for them."""

import asyncio
import base64
import json
import time
import unittest
from typing import Final

from gypsumpier.codes.platform import PLATFORM_UNREACHABLE
from gypsumpier.errors import GypsumpierError
from gypsumpier.fleet.node import Address
from gypsumpier.platform.store import (
    EXTENSION_MAX_S,
    PART_TIMEOUT_S,
    READ_TIMEOUT_S,
    PlatformStore,
)
from gypsumpier.test.standin.trickling import TricklingServer

VALUE_BYTES: Final = 490_000
PAUSE_S: Final = 0.15
PARTS: Final = 17
"""Parts of an answer that takes 2.6 s: longer than the timeout of its call, and never silent."""
MARGIN_S: Final = 0.3


def answer_body() -> bytes:
    """Return the answer to a read of all items: one configuration."""
    value = base64.b64encode(bytes(VALUE_BYTES)).decode()
    item = {"key": "op/config", "value": value, "rev": 7}
    return json.dumps({"items": [item], "current_rev": 7}).encode()


class SlowStoreAnswerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.progress = 0

    async def store(self, server: TricklingServer) -> PlatformStore:
        """Return a client of the server, which it starts."""
        await server.start()
        self.addAsyncCleanup(server.stop)
        host, _, port = server.address.partition(":")
        store = PlatformStore(Address(host, int(port)))
        self.addCleanup(store.close)
        store.on_progress = self.count_progress
        return store

    def count_progress(self) -> None:
        """Count a call of the listener."""
        self.progress += 1

    async def test_an_answer_whose_parts_go_on_arriving_is_read_to_its_end(self) -> None:
        """Guards against a large configuration that times out on its way and is read anew."""
        body = answer_body()
        store = await self.store(TricklingServer(body, len(body) // PARTS, PAUSE_S))
        began_s = time.monotonic()
        batch = await store.snapshot()
        self.assertGreater(time.monotonic() - began_s, READ_TIMEOUT_S + MARGIN_S)
        self.assertEqual(VALUE_BYTES, len(batch.records[0].value or b""))
        self.assertGreater(self.progress, PARTS // 2)

    async def test_an_answer_that_stops_on_its_way_fails_soon(self) -> None:
        """Guards against a connection gone silent that keeps its reader for the longest time."""
        body = answer_body()
        store = await self.store(TricklingServer(body, len(body) // 2, 60.0))
        await self.assert_fails_within(store, READ_TIMEOUT_S + PART_TIMEOUT_S)

    async def test_an_answer_that_never_ends_fails_in_a_bounded_time(self) -> None:
        """Guards against a reader that one byte at a time keeps busy without end."""
        store = await self.store(TricklingServer(answer_body(), 100, PAUSE_S))
        await self.assert_fails_within(store, READ_TIMEOUT_S + EXTENSION_MAX_S)
        self.assertEqual(0, self.progress)

    async def assert_fails_within(self, store: PlatformStore, seconds: float) -> None:
        """Check that a read of all items fails by then."""
        began_s = time.monotonic()
        with self.assertRaises(GypsumpierError) as caught:
            async with asyncio.timeout(seconds + MARGIN_S):
                await store.snapshot()
        self.assertEqual(PLATFORM_UNREACHABLE, caught.exception.code)
        self.assertGreater(time.monotonic() - began_s, READ_TIMEOUT_S - MARGIN_S)


if __name__ == "__main__":
    unittest.main()
