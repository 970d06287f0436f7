"""Sources of weights: the regional weight store and the origin."""

from typing import NamedTuple, Protocol


class WeightFile(NamedTuple):
    """One file of a version; ``digest`` is the BLAKE3 of its content in hexadecimal."""

    path: str
    size_bytes: int
    digest: str


class Store(Protocol):
    """Reads published weights by range.

    Raises GypsumpierError with PLATFORM_REFUSED (and when to come back) where the rate is
    exceeded, PLATFORM_UNREACHABLE or PLATFORM_BAD_ANSWER.
    """

    async def files(self, model: str, version: str) -> list[WeightFile]:
        """Return the files of the version as published now; a version's content may change."""

    async def read(self, model: str, version: str, path: str, offset: int, length: int) -> bytes:
        """Return ``length`` bytes of the file from ``offset``."""
