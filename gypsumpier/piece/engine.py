"""The model engine beside a sidecar and the origin of weights, as protocols."""

import hashlib
from typing import NamedTuple, Protocol, TypeGuard

from gypsumpier.fleet.upstream import LoadedLayers


class EngineReport(NamedTuple):
    """What an engine says of itself.  ``orders`` counts those it accepted since its start.

    ``started_ms`` differs for each run of the engine; 0 where it doesn't say.  ``pace`` is how many
    times as long as usual it works; 1 where it doesn't say.
    """

    layers: tuple[LoadedLayers, ...]
    is_busy: bool
    orders: int
    queued: int
    active: int
    started_ms: int
    pace: float


class PieceList(NamedTuple):
    """The digests of one version's pieces, as SHA-256 in hexadecimal."""

    model: str
    version: int
    digests: tuple[str, ...]


class Engine(Protocol):
    """Stages pieces at the engine on the same machine and orders it to load them.

    Raises GypsumpierError with PLATFORM_UNREACHABLE, PLATFORM_REFUSED or PLATFORM_BAD_ANSWER.
    """

    async def report(self) -> EngineReport:
        """Return the engine's report; fresh, as it comes from the same machine."""

    async def stage(self, model: str, number: int, content: bytes) -> None:
        """Stage one piece, over what lay there."""

    async def staged(self, model: str, number: int) -> bytes | None:
        """Return the piece that lies there; None where there is none."""

    async def start(self, model: str, version: int, preempt: bool) -> bool:
        """Order what is staged live; True where the engine has begun or serves it already."""

    def close(self) -> None:
        """Release the client."""


class PieceOrigin(Protocol):
    """The origin of weights, which has one slow link for everyone.

    Raises GypsumpierError with PLATFORM_UNREACHABLE, PLATFORM_REFUSED or PLATFORM_BAD_ANSWER.
    """

    async def piece_list(self, model: str, version: int) -> PieceList:
        """Return the digests of a version's pieces."""

    async def piece(self, model: str, version: int, number: int) -> bytes:
        """Return one piece, which may be corrupt."""

    def close(self) -> None:
        """Release the client."""


def is_intact(content: object, digest: str) -> TypeGuard[bytes]:
    """Tell whether the content is bytes of that SHA-256 digest."""
    return isinstance(content, bytes) and hashlib.sha256(content).hexdigest() == digest.lower()
