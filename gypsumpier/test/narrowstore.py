"""A store in one region, which entries of all regions read over narrow links."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any, Final, NamedTuple

from gypsumpier.codes.platform import PLATFORM_UNREACHABLE
from gypsumpier.errors import GypsumpierError
from gypsumpier.fleet.change import Batch
from gypsumpier.fleet.position import Position
from gypsumpier.fleet.record import Record
from gypsumpier.platform.store import (
    EXTENSION_MAX_S,
    LARGE_BYTES,
    PART_TIMEOUT_S,
    READ_TIMEOUT_S,
    REVISION_TIMEOUT_S,
    WATCH_MARGIN_S,
    ignore_progress,
)
from gypsumpier.test.builders_platform import DecodingSource, record
from gypsumpier.test.narrownetwork import NarrowNetwork

STORE_HOST: Final = "store"
ITEM_BYTES: Final = 90
"""Bytes of an item beside its value, which is in base64."""
HEAD_BYTES: Final = 200


class StoreCall(NamedTuple):
    """An answer of the store: when, to which host, of which kind and with how many bytes."""

    at_s: float
    host: str
    kind: str
    size: int


class NarrowStore:
    """Records with a history; ``calls`` holds what was answered."""

    def __init__(self, network: NarrowNetwork) -> None:
        self.network = network
        self.revision = 1
        self.records: dict[str, Record] = {}
        self.events: list[Record] = []
        self.calls: list[StoreCall] = []
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
        self.on_progress = ignore_progress

    async def watch(self, revision: int, wait_s: float) -> Batch:
        async with call_timeout(wait_s + WATCH_MARGIN_S) as timeout:
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
            await self.answer("watch", found, timeout)
            return answer

    async def snapshot(self) -> Batch:
        async with call_timeout(READ_TIMEOUT_S) as timeout:
            await self.transfer(self.host, STORE_HOST, HEAD_BYTES)
            found = list(self.store.records.values())
            answer = Batch(0, self.store.revision, found, True, 0.0)
            await self.answer("snapshot", found, timeout)
            return answer

    async def current_position(self) -> Position:
        async with call_timeout(REVISION_TIMEOUT_S) as timeout:
            await self.transfer(self.host, STORE_HOST, HEAD_BYTES)
            position = Position(0, self.store.revision)
            await self.answer("revision", [], timeout)
            return position

    async def answer(self, kind: str, records: list[Record], timeout: asyncio.Timeout) -> None:
        """Send an answer with those records, whose parts extend the timeout."""
        size = HEAD_BYTES + sum(item_bytes(found) for found in records)
        loop = asyncio.get_running_loop()
        self.store.calls.append(StoreCall(loop.time(), self.host, kind, size))
        first_end_s = timeout.when() or 0.0

        def extend(received: int) -> None:
            if received > LARGE_BYTES:
                self.on_progress()
            wanted_s = min(loop.time() + PART_TIMEOUT_S, first_end_s + EXTENSION_MAX_S)
            if not timeout.expired() and wanted_s > (timeout.when() or 0.0):
                timeout.reschedule(wanted_s)

        await self.transfer(STORE_HOST, self.host, size, extend)

    async def transfer(
        self, source: str, target: str, size: int, on_part: Callable[[int], None] | None = None
    ) -> None:
        """Send that many bytes and wait until the last one has arrived."""
        received, done = 0, asyncio.Event()

        def deliver(segment: bytes) -> None:
            nonlocal received
            received += len(segment)
            if on_part is not None and not is_ended:
                on_part(received)
            if received == size:
                done.set()

        is_ended = False
        flow = self.store.network.flow(source, target, deliver)
        flow.send(bytes(size))
        try:
            await done.wait()
        finally:
            # A connection that is closed sends nothing further.
            is_ended = True
            flow.close()


def item_bytes(found: Record) -> int:
    """Return the bytes of an item with the record."""
    return ITEM_BYTES + len(found.value or b"") * 4 // 3


@asynccontextmanager
async def call_timeout(timeout_s: float) -> AsyncIterator[asyncio.Timeout]:
    """Raise GypsumpierError if the call takes longer."""
    try:
        async with asyncio.timeout(timeout_s) as timeout:
            yield timeout
    except TimeoutError as error:
        raise GypsumpierError(PLATFORM_UNREACHABLE, "Timeout during request") from error
