"""Protocols of the model engine beside a sidecar and of the origin of weights."""

import hashlib
import re
from typing import Final, NamedTuple, Protocol, TypeGuard

from gypsumpier.errors import GypsumpierError
from gypsumpier.fleet.upstream import LoadedLayers

DIGEST: Final = re.compile("[0-9A-Fa-f]{64}")


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


class SwitchOrder(NamedTuple):
    """An order to load the staged pieces.

    The engine accepts it only while ``after_orders`` is the number of orders that it has accepted.
    It is not sent after ``send_until_s``, a time of ``boot_time_s``.
    """

    model: str
    version: int
    preempt: bool
    after_orders: int
    send_until_s: float


class OrderRefusedError(GypsumpierError):
    """The engine answered the order with an error, and will not accept it later."""


class PieceList(NamedTuple):
    """The SHA-256 digests of one version's pieces, in hexadecimal.

    A digest may be corrupt.  One that a piece matches is certainly right.
    """

    model: str
    version: int
    digests: tuple[str, ...]

    def is_well_formed(self) -> bool:
        """Return whether each digest can be one."""
        return all(DIGEST.fullmatch(digest) for digest in self.digests)

    def matches(self, number: int, content: object) -> bool:
        """Return whether the list has that number and the content is the piece of it."""
        return number < len(self.digests) and is_intact(content, self.digests[number])

    def with_digest_of(self, number: int, content: bytes) -> "PieceList":
        """Return the list with the digest of that number replaced by that of the content."""
        digests = (*self.digests[:number], digest_of(content), *self.digests[number + 1 :])
        return self._replace(digests=digests)


class VerifiedPiece(NamedTuple):
    """A piece that matches its digest in a list; ``is_corrected`` if that is a list read later."""

    content: bytes
    is_corrected: bool


class Engine(Protocol):
    """Client that stages pieces at the engine on the same machine and orders it to load them.

    Raises GypsumpierError with PLATFORM_UNREACHABLE, PLATFORM_REFUSED or PLATFORM_BAD_ANSWER.
    """

    async def report(self) -> EngineReport:
        """Return the engine's current report, read on the same machine without network delay."""

    async def stage(self, model: str, number: int, content: bytes) -> None:
        """Stage one piece, replacing the staged piece of that number.

        The call ends when the engine has answered or the connection has failed, or after a time in
        which that was to be expected: a write that is given up could replace a later one.
        """

    async def staged(self, model: str, number: int) -> bytes | None:
        """Return the staged piece of that number; None where there is none."""

    async def start(self, order: SwitchOrder) -> bool:
        """Order the engine to load the staged pieces.

        Return whether it has begun or serves the version already.  Raises NotSentError or
        OrderRefusedError where it never will; after any other error it may accept the order later.
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


def digest_of(content: bytes) -> str:
    """Return the SHA-256 digest of a piece in hexadecimal."""
    return hashlib.sha256(content).hexdigest()


def is_intact(content: object, digest: str) -> TypeGuard[bytes]:
    """Return whether the content is bytes with that SHA-256 digest in hexadecimal."""
    return isinstance(content, bytes) and digest_of(content) == digest.lower()
