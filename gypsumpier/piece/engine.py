"""Protocols of the model engine beside a sidecar and of the origin of weights."""

import hashlib
from typing import NamedTuple, Protocol, TypeGuard

from gypsumpier.fleet.upstream import LoadedLayers


class EngineReport(NamedTuple):
    """An engine's report of its state.

    ``orders`` counts the switch orders accepted since its start.  ``started_ms`` is different for
    each run of the engine; 0 where it is not reported.  ``pace`` is the engine's slowdown, the time
    that it takes as a multiple of the usual time; 1 where it is not reported.
    """

    layers: tuple[LoadedLayers, ...]
    is_busy: bool
    orders: int
    queued: int
    active: int
    started_ms: int
    pace: float


class PieceList(NamedTuple):
    """The SHA-256 digests of one version's pieces, in hexadecimal."""

    model: str
    version: int
    digests: tuple[str, ...]


class Engine(Protocol):
    """Client that stages pieces at the engine on the same machine and orders it to load them.

    Raises GypsumpierError with PLATFORM_UNREACHABLE, PLATFORM_REFUSED or PLATFORM_BAD_ANSWER.
    """

    async def report(self) -> EngineReport:
        """Return the engine's current report, read on the same machine without network delay."""

    async def stage(self, model: str, number: int, content: bytes) -> None:
        """Stage one piece, replacing the staged piece of that number."""

    async def staged(self, model: str, number: int) -> bytes | None:
        """Return the staged piece of that number; None where there is none."""

    async def start(self, model: str, version: int, preempt: bool) -> bool:
        """Order the engine to load the staged pieces.

        Return whether it has begun or serves the version already.
        """

    def close(self) -> None:
        """Release the client."""


class PieceOrigin(Protocol):
    """Client of the origin of weights, whose one slow link is shared by all clients.

    Raises GypsumpierError with PLATFORM_UNREACHABLE, PLATFORM_REFUSED or PLATFORM_BAD_ANSWER.
    """

    async def piece_list(self, model: str, version: int) -> PieceList:
        """Return the digests of a version's pieces."""

    async def piece(self, model: str, version: int, number: int) -> bytes:
        """Return one piece, which may be corrupt."""

    def close(self) -> None:
        """Release the client."""


def is_intact(content: object, digest: str) -> TypeGuard[bytes]:
    """Return whether the content is bytes with that SHA-256 digest in hexadecimal."""
    return isinstance(content, bytes) and hashlib.sha256(content).hexdigest() == digest.lower()
