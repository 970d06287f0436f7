"""The engine stand-in's staged and live weights, and its fencing.

It verifies nothing.  What it reports live is the digest of the bytes that it was really handed,
so a partial or mixed load shows: the digest differs from that of the order, and the load is
counted in ``partial_or_mixed_loads``.
"""

import asyncio
from typing import Any

from blake3 import blake3

from gypsumpier.external.store import WeightFile, version_digest


class Weights:
    """Files staged by digest, and the versions that are live."""

    def __init__(self, memory_bytes: int, load_s: float, fencing: bool) -> None:
        self.memory_bytes = memory_bytes
        self.load_s = load_s
        self.fencing = fencing
        self.highest_fence = 0
        self.staged: dict[str, dict[str, bytearray]] = {}
        self.live: list[dict[str, str]] = []
        self.loads = 0
        self.stale_orders = 0
        self.partial_or_mixed_loads = 0

    @property
    def free_bytes(self) -> int:
        """Memory that is left for weights."""
        files = [file for version in self.staged.values() for file in version.values()]
        return self.memory_bytes - sum(len(file) for file in files)

    def stage(self, digest: str, path: str, offset: int, content: bytes) -> bool:
        """Take a part of a file; return False where memory is short."""
        if len(content) > self.free_bytes:
            return False
        file = self.staged.setdefault(digest, {}).setdefault(path, bytearray())
        file.extend(bytes(max(0, offset - len(file))))
        file[offset : offset + len(content)] = content
        return True

    def refuses_fence(self, fence: int) -> bool:
        """Return whether an order with this number is refused as old."""
        if fence < self.highest_fence:
            self.stale_orders += 1
            return self.fencing
        self.highest_fence = fence
        return False

    async def load(self, order: dict[str, Any]) -> None:
        """Make live what is staged under the order's digest when the load ends."""
        await asyncio.sleep(self.load_s)
        actual = staged_digest(self.staged.get(order["digest"], {}))
        self.loads += 1
        self.partial_or_mixed_loads += actual != order["digest"]
        self.remove(order["model"], order["version"])
        entry = {"model": order["model"], "version": order["version"], "digest": actual}
        self.live.append(entry)

    def unload(self, order: dict[str, Any]) -> None:
        """Take the version out of service and free its memory."""
        self.remove(order["model"], order["version"])
        self.staged.pop(order["digest"], None)

    def remove(self, model: str, version: str) -> None:
        """Take the version from the live ones."""
        self.live = [e for e in self.live if (e["model"], e["version"]) != (model, version)]


def staged_digest(files: dict[str, bytearray]) -> str:
    """Return the digest of what was handed over."""
    listed = [
        WeightFile(path, len(content), blake3(content).hexdigest(), 0, ())
        for path, content in files.items()
    ]
    return version_digest(listed)
