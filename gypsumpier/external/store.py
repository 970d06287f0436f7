"""Protocol of sources of weights: the regional weight store and the origin."""

from collections.abc import Iterable
from typing import NamedTuple, Protocol

from blake3 import blake3


class WeightFile(NamedTuple):
    """One file of a version, as described by its publisher.

    ``digest`` is the BLAKE3 of the whole content in hexadecimal.  The content is split into chunks
    of ``chunk_bytes``, the last of which may be shorter; ``chunk_digests`` holds the BLAKE3 of
    each in order.  The publisher computes both while it writes the file, so that no reader has to
    fetch a copy only to compute the digests.
    """

    path: str
    size_bytes: int
    digest: str
    chunk_bytes: int
    chunk_digests: tuple[str, ...]


class Store(Protocol):
    """Reads published weights by range.

    Raises GypsumpierError with PLATFORM_REFUSED (and the time to retry after) if the rate is
    exceeded, PLATFORM_UNREACHABLE or PLATFORM_BAD_ANSWER.
    """

    async def files(self, model: str, version: str) -> list[WeightFile]:
        """Return the currently published files of the version; its content may change."""

    async def read(self, model: str, version: str, path: str, offset: int, length: int) -> bytes:
        """Return ``length`` bytes of the file from ``offset``."""


def version_digest(files: Iterable[WeightFile]) -> str:
    """Return the digest that identifies the whole version: BLAKE3 over its sorted file list."""
    digest = blake3()
    for file in sorted(files):
        digest.update(f"{file.path}\0{file.size_bytes}\0{file.digest}\n".encode())
    return str(digest.hexdigest())
