"""The chunks an agent keeps in memory for its peers.

Chunks are known by digest, so versions share what is equal.  The bound is hard: ``put`` makes
room by dropping chunks that may go, in the order in which they came to be droppable, and refuses
the chunk where there is no room.  A pinned chunk is never dropped; a transfer pins what it has
still to hash.  Retained chunks, those that rank makes this agent keep for the region, go last.
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
        """Keep a verified chunk; tell whether there was room."""
        if digest in self.contents:
            return True
        if not self.make_room(len(content)):
            return False
        self.contents[digest] = content
        self.used_bytes += len(content)
        return True

    def make_room(self, length: int) -> bool:
        """Drop chunks until ``length`` more bytes fit; tell whether they do."""
        for keep_retained in (True, False):
            for digest in list(self.contents):
                if self.used_bytes + length <= self.limit_bytes:
                    return True
                if digest in self.pins or (keep_retained and digest in self.retained):
                    continue
                self.evict(digest)
        return self.used_bytes + length <= self.limit_bytes

    def evict(self, digest: str) -> None:
        """Forget one chunk."""
        self.used_bytes -= len(self.contents.pop(digest))

    def pin(self, digest: str) -> None:
        """Keep the chunk, once it is held, until ``unpin`` was called as often as ``pin``."""
        self.pins[digest] = self.pins.get(digest, 0) + 1

    def unpin(self, digest: str) -> None:
        """Take back one ``pin``."""
        count = self.pins.get(digest, 0) - 1
        if count > 0:
            self.pins[digest] = count
        else:
            self.pins.pop(digest, None)
