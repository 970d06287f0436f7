"""Fakes for the distribution of weights: a store, an engine, documents and members."""

import asyncio
from collections.abc import Callable
from typing import Final

from blake3 import blake3

from gypsumpier.codes.platform import ORDER_FENCED, PLATFORM_REFUSED, PLATFORM_UNREACHABLE
from gypsumpier.document.service import Accepted
from gypsumpier.errors import GypsumpierError
from gypsumpier.external.engine import EngineStatus, LiveModel, LoadOrder
from gypsumpier.external.membership import Member
from gypsumpier.external.store import WeightFile, version_digest
from gypsumpier.weight.publication import published_file

UNLIMITED: Final = float("inf")


class FakeStore:
    """A store whose readers share one link; ``reads`` counts them by range."""

    def __init__(self, chunk_bytes: int, bytes_per_s: float = UNLIMITED) -> None:
        self.chunk_bytes = chunk_bytes
        self.bytes_per_s = bytes_per_s
        self.contents: dict[tuple[str, str], dict[str, bytes]] = {}
        self.reads: dict[tuple[str, str, int], int] = {}
        self.bytes_read = 0
        self.file_list_reads = 0
        self.link_free_at_s = 0.0
        self.down = False
        self.stalled = False
        self.refusal_retry_after_s = 0.0
        self.corrupt_reads = 0

    async def files(self, model: str, version: str) -> list[WeightFile]:
        self.raise_if_unavailable()
        self.file_list_reads += 1
        content = self.contents.get((model, version), {})
        return [published_file(path, body, self.chunk_bytes) for path, body in content.items()]

    async def read(self, model: str, version: str, path: str, offset: int, length: int) -> bytes:
        self.raise_if_unavailable()
        if self.stalled:
            await asyncio.sleep(3600)
        await self.wait_for_link(length)
        self.raise_if_unavailable()
        key = (version, path, offset)
        self.reads[key] = self.reads.get(key, 0) + 1
        self.bytes_read += length
        content = self.contents[(model, version)][path][offset : offset + length]
        if self.corrupt_reads > 0:
            self.corrupt_reads -= 1
            return bytes([content[0] ^ 1]) + content[1:]
        return content

    async def wait_for_link(self, length: int) -> None:
        """Wait until the bytes have crossed the link, after those of earlier reads."""
        now_s = asyncio.get_running_loop().time()
        self.link_free_at_s = max(now_s, self.link_free_at_s) + length / self.bytes_per_s
        await asyncio.sleep(self.link_free_at_s - now_s)

    def raise_if_unavailable(self) -> None:
        """Raise GypsumpierError if the store is down or refuses calls over its rate limit."""
        if self.down:
            raise GypsumpierError(PLATFORM_UNREACHABLE, "store down")
        if self.refusal_retry_after_s > 0:
            raise GypsumpierError(
                PLATFORM_REFUSED, "rate", retry_after_s=self.refusal_retry_after_s
            )


class FakeEngine:
    """An engine that loads whatever was staged, and reports the digest of the actual bytes.

    ``bad_loads`` counts loads of anything but the complete content that was ordered.
    """

    def __init__(self, memory_bytes: int = 1 << 40, fencing: bool = True) -> None:
        self.memory_bytes = memory_bytes
        self.fencing = fencing
        self.load_s = 0.2
        self.staged: dict[str, dict[str, bytearray]] = {}
        self.live: list[LiveModel] = []
        self.highest_fence = 0
        self.stale_orders = 0
        self.orders: list[tuple[str, LoadOrder]] = []
        self.bad_loads = 0
        self.down = False
        self.stage_error: GypsumpierError | None = None
        self.restarts = 0
        self.staged_bytes = 0

    async def status(self) -> EngineStatus:
        if self.down:
            raise GypsumpierError(PLATFORM_UNREACHABLE, "engine down")
        return EngineStatus(list(self.live), 0, 0, 8, self.free_bytes(), str(self.restarts))

    def free_bytes(self) -> int:
        """Return the free memory in bytes."""
        parts = [part for files in self.staged.values() for part in files.values()]
        return self.memory_bytes - sum(len(part) for part in parts)

    async def stage(self, digest: str, path: str, offset: int, content: bytes) -> None:
        if self.down:
            raise GypsumpierError(PLATFORM_UNREACHABLE, "engine down")
        if self.stage_error is not None:
            raise self.stage_error
        if len(content) > self.free_bytes():
            raise GypsumpierError(PLATFORM_REFUSED, "memory")
        part = self.staged.setdefault(digest, {}).setdefault(path, bytearray())
        part.extend(bytes(max(0, offset - len(part))))
        part[offset : offset + len(content)] = content
        self.staged_bytes += len(content)

    async def load(self, order: LoadOrder) -> None:
        self.accept_order("load", order)
        run = self.restarts
        await asyncio.sleep(self.load_s)
        if run != self.restarts:
            raise GypsumpierError(PLATFORM_UNREACHABLE, "engine restarted")
        actual = content_digest(self.staged.get(order.digest, {}))
        self.bad_loads += actual != order.digest
        self.remove(order)
        self.live.append(LiveModel(order.model, order.version, actual))

    async def unload(self, order: LoadOrder) -> None:
        self.accept_order("unload", order)
        named = LiveModel(order.model, order.version, order.digest)
        self.live = [live for live in self.live if live != named]
        self.staged.pop(order.digest, None)

    def accept_order(self, action: str, order: LoadOrder) -> None:
        """Record the order.

        Raises GypsumpierError with ORDER_FENCED instead if the order is older than another one and
        the engine honours fencing, or if the engine is down.
        """
        if self.down:
            raise GypsumpierError(PLATFORM_UNREACHABLE, "engine down")
        if order.fence < self.highest_fence:
            self.stale_orders += 1
            if self.fencing:
                raise GypsumpierError(ORDER_FENCED, "a newer order was accepted before")
        self.highest_fence = max(self.highest_fence, order.fence)
        self.orders.append((action, order))

    def remove(self, order: LoadOrder) -> None:
        """Take the version out of service."""
        key = (order.model, order.version)
        self.live = [live for live in self.live if (live.model, live.version) != key]

    def restart(self) -> None:
        """Drop all staged and live weights, as a restart of the engine does."""
        self.restarts += 1
        self.staged.clear()
        self.live.clear()

    def versions(self) -> list[str]:
        """Return the names of the live versions."""
        return [live.version for live in self.live]


class FakeDocuments:
    """Documents that a test sets."""

    def __init__(self) -> None:
        self.accepted: dict[str, Accepted] = {}
        self.callbacks: list[Callable[[Accepted], None]] = []

    def subscribe(self, callback: Callable[[Accepted], None]) -> None:
        self.callbacks.append(callback)

    def put(self, accepted: Accepted) -> None:
        """Accept a document."""
        self.accepted[accepted.name] = accepted
        for callback in self.callbacks:
            callback(accepted)


class FakeMembers:
    """A member list that a test sets."""

    def __init__(self) -> None:
        self.listed: list[Member] = []

    def agents(self, service: str) -> list[Member]:
        return [member for member in self.listed if member.service == service]


def content_digest(files: dict[str, bytearray]) -> str:
    """Return the version digest of the staged files."""
    listed = [
        WeightFile(path, len(body), blake3(body).hexdigest(), 1, ()) for path, body in files.items()
    ]
    return version_digest(listed)
