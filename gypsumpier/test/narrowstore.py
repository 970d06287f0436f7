"""A store in one region, which entries of all regions read over narrow links."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, Final

from gypsumpier.codes.platform import PLATFORM_UNREACHABLE
from gypsumpier.errors import GypsumpierError
from gypsumpier.fleet.change import Batch
from gypsumpier.fleet.position import Position
from gypsumpier.fleet.record import Record
from gypsumpier.platform.store import READ_TIMEOUT_S, REVISION_TIMEOUT_S, WATCH_MARGIN_S
from gypsumpier.test.builders_platform import DecodingSource, record
from gypsumpier.test.narrownetwork import NarrowNetwork

STORE_HOST: Final = "store"
ITEM_BYTES: Final = 90
"""Bytes of an item beside its value, which is in base64."""
HEAD_BYTES: Final = 200


class NarrowStore:
    """Records with a history; ``answered_bytes`` counts what each entry was sent."""

    def __init__(self, network: NarrowNetwork) -> None:
        self.network = network
        self.revision = 1
        self.records: dict[str, Record] = {}
        self.events: list[Record] = []
        self.calls: list[tuple[float, str, str, int]] = []
        self.changed = asyncio.Event()

    def put(self, key: str, body: dict[str, Any]) -> None:
        """Write a record."""
        self.revision += 1
        self.records[key] = record(key, body, self.revision)
        self.events.append(self.records[key])
        self.changed.set()
        self.changed = asyncio.Event()


class NarrowSource(DecodingSource):
    """One process's client of the store, with the timeouts of the real one."""

    def __init__(self, store: NarrowStore, host: str) -> None:
        self.store = store
        self.host = host

    async def watch(self, revision: int, wait_s: float) -> Batch:
        async with call_timeout(wait_s + WATCH_MARGIN_S):
            await self.transfer(self.host, STORE_HOST, HEAD_BYTES)
            store = self.store
            if store.revision == revision:
                try:
                    async with asyncio.timeout(wait_s):
                        await store.changed.wait()
                except TimeoutError:
                    pass
            found = [event for event in store.events if event.revision > revision]
            answer = Batch(revision, store.revision, found, False, 0.0 if found else wait_s)
            await self.answer("watch", found)
            return answer

    async def snapshot(self) -> Batch:
        async with call_timeout(READ_TIMEOUT_S):
            await self.transfer(self.host, STORE_HOST, HEAD_BYTES)
            found = list(self.store.records.values())
            answer = Batch(0, self.store.revision, found, True, 0.0)
            await self.answer("snapshot", found)
            return answer

    async def current_position(self) -> Position:
        async with call_timeout(REVISION_TIMEOUT_S):
            await self.transfer(self.host, STORE_HOST, HEAD_BYTES)
            position = Position(0, self.store.revision)
            await self.answer("revision", [])
            return position

    async def answer(self, kind: str, records: list[Record]) -> None:
        """Send an answer with those records."""
        size = HEAD_BYTES + sum(item_bytes(found) for found in records)
        now_s = asyncio.get_running_loop().time()
        self.store.calls.append((now_s, self.host, kind, size))
        await self.transfer(STORE_HOST, self.host, size)

    async def transfer(self, source: str, target: str, size: int) -> None:
        """Send that many bytes and wait until the last one has arrived."""
        left, done = size, asyncio.Event()

        def deliver(segment: bytes) -> None:
            nonlocal left
            left -= len(segment)
            if not left:
                done.set()

        flow = self.store.network.flow(source, target, deliver)
        flow.send(bytes(size))
        try:
            await done.wait()
        finally:
            flow.unsent.clear()


def item_bytes(found: Record) -> int:
    """Return the bytes of an item with the record."""
    return ITEM_BYTES + len(found.value or b"") * 4 // 3


@asynccontextmanager
async def call_timeout(timeout_s: float) -> AsyncIterator[None]:
    """Raise GypsumpierError if the call takes longer."""
    try:
        async with asyncio.timeout(timeout_s):
            yield
    except TimeoutError as error:
        raise GypsumpierError(PLATFORM_UNREACHABLE, "Timeout during request") from error
