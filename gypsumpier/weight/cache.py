"""The chunks that an agent keeps in memory for its peers.

Chunks are keyed by digest, so versions share equal chunks.  The limit is hard: ``put`` makes room
by evicting chunks, oldest first, and refuses the chunk where not enough of them may be evicted.
A pinned chunk is never evicted; a transfer pins the chunks that it has yet to hash.  Retained
chunks, which this agent keeps for the region because of its rank, are evicted last.
"""


class ChunkCache:
    """Verified chunks by digest, within ``limit_bytes``."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self.contents: dict[str, bytes] = {}
        self.pins: dict[str, int] = {}
        self.retained: set[str] = set()

    def get(self, digest: str) -> bytes | None:
        """Return the chunk, or None where it isn't held."""
        return self.contents.get(digest)

    def put(self, digest: str, content: bytes) -> bool:
        """Store a verified chunk; return whether it is in the cache."""
        if digest in self.contents:
            return True
        if not self.make_room(len(content)):
            return False
        self.contents[digest] = content
        self.used_bytes += len(content)
        return True

    def make_room(self, length: int) -> bool:
        """Evict chunks until ``length`` more bytes fit; return whether they do."""
        for keep_retained in (True, False):
            for digest in list(self.contents):
                if self.used_bytes + length <= self.limit_bytes:
                    return True
                if digest in self.pins or (keep_retained and digest in self.retained):
                    continue
                self.evict(digest)
        return self.used_bytes + length <= self.limit_bytes

    def evict(self, digest: str) -> None:
        """Remove one chunk."""
        self.used_bytes -= len(self.contents.pop(digest))

    def pin(self, digest: str) -> None:
        """Protect the chunk from eviction until ``unpin`` was called as often as ``pin``.

        The chunk need not be in the cache yet.
        """
        self.pins[digest] = self.pins.get(digest, 0) + 1

    def unpin(self, digest: str) -> None:
        """Undo one ``pin``."""
        count = self.pins.get(digest, 0) - 1
        if count > 0:
            self.pins[digest] = count
        else:
            self.pins.pop(digest, None)
