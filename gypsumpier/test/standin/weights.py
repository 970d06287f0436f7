"""The engine stand-in's staged and live weights, and its fencing.

It verifies nothing.  It reports as live the digest of the bytes that it actually received, so that
a partial or mixed load can be detected: the digest differs from that of the order, and the load
is counted in ``partial_or_mixed_loads``.
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
        """Free memory for weights, in bytes."""
        files = [file for version in self.staged.values() for file in version.values()]
        return self.memory_bytes - sum(len(file) for file in files)

    def stage(self, digest: str, path: str, offset: int, content: bytes) -> bool:
        """Store a part of a file; return False if there is not enough memory."""
        if len(content) > self.free_bytes:
            return False
        file = self.staged.setdefault(digest, {}).setdefault(path, bytearray())
        file.extend(bytes(max(0, offset - len(file))))
        file[offset : offset + len(content)] = content
        return True

    def refuses_fence(self, fence: int) -> bool:
        """Record an order's fence number; return whether the order is refused as stale."""
        if fence < self.highest_fence:
            self.stale_orders += 1
            return self.fencing
        self.highest_fence = fence
        return False

    async def load(self, order: dict[str, Any]) -> None:
        """Wait for the load time, then make live what is staged under the order's digest."""
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
        """Remove the version from the live ones."""
        self.live = [e for e in self.live if (e["model"], e["version"]) != (model, version)]


def staged_digest(files: dict[str, bytearray]) -> str:
    """Return the version digest of the staged files."""
    listed = [
        WeightFile(path, len(content), blake3(content).hexdigest(), 0, ())
        for path, content in files.items()
    ]
    return version_digest(listed)
