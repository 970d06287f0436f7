"""Fetches from the origin of weights, with limited concurrency and with retries.

Pieces and lists of digests may arrive corrupt.  A piece that differs from its digest is read again;
where it arrives with the same content once more, the digest is doubted and the list is read again.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final, TypeVar

from gypsumpier.codes.platform import PLATFORM_BAD_ANSWER, PLATFORM_UNREACHABLE
from gypsumpier.codes.weight import CHUNK_CORRUPT
from gypsumpier.errors import GypsumpierError
from gypsumpier.fleet.state import FleetState
from gypsumpier.log import decision
from gypsumpier.piece.engine import PieceList, PieceOrigin, VerifiedPiece, digest_of, is_intact

ORIGIN_CONCURRENCY: Final = 4
"""Concurrent calls to the origin; fewer already saturate its link."""
ORIGIN_ATTEMPTS: Final = 6
"""Attempts at the origin for one piece; its answers may be truncated or corrupt."""
ORIGIN_RETRY_PAUSE_S: Final = 0.1
"""Seconds between attempts at the origin; twice as many after each corrupt piece."""
ORIGIN_RETRY_PAUSE_MAX_S: Final = 0.8

T = TypeVar("T")


class OriginFetcher:
    """Fetches from the origin that the configuration names."""

    def __init__(
        self, fleet_state: FleetState, dial_origin: Callable[[str, int], PieceOrigin]
    ) -> None:
        self.fleet_state = fleet_state
        self.dial_origin = dial_origin
        self.origins: dict[tuple[str, int], PieceOrigin] = {}
        self.slots = asyncio.Semaphore(ORIGIN_CONCURRENCY)

    async def piece_list(self, model: str, version: int) -> PieceList:
        """Return the digests of a version; raise GypsumpierError where all attempts fail."""
        return await self.with_retries(lambda origin: self.read_list(origin, model, version))

    async def read_list(self, origin: PieceOrigin, model: str, version: int) -> PieceList:
        """Read the digests of a version; raise GypsumpierError if they are no list for it."""
        found = await origin.piece_list(model, version)
        configuration = self.fleet_state.configuration
        service = configuration.service_of_model(model) if configuration else None
        count = service.model.piece_count if service and service.model else 0
        is_asked = (found.model, found.version) == (model, version)
        if (
            not is_asked
            or not found.is_well_formed()
            or len(found.digests) != (count or len(found.digests))
        ):
            raise GypsumpierError(
                PLATFORM_BAD_ANSWER,
                f"{len(found.digests)} digests of {found.model} {found.version},"
                f" expected {count or 'any number'} of {model} {version}",
            )
        return found

    async def piece(self, model: str, version: int, number: int, digest: str) -> VerifiedPiece:
        """Return one piece that matches its digest, in the known list or in one read again.

        Raises GypsumpierError where all attempts fail.
        """
        mismatched: set[str] = set()

        async def fetch(origin: PieceOrigin) -> VerifiedPiece:
            content = await origin.piece(model, version, number)
            if is_intact(content, digest):
                return VerifiedPiece(content, False)
            found = digest_of(content)
            if found in mismatched:
                # Corruption would hardly produce the same content twice.
                decision("piece_list_doubted", model=model, version=version, number=number)
                listed = await self.read_list(origin, model, version)
                if listed.matches(number, content):
                    return VerifiedPiece(content, True)
            mismatched.add(found)
            raise GypsumpierError(
                CHUNK_CORRUPT, f"piece {number} from the origin does not match its digest"
            )

        return await self.with_retries(fetch)

    async def with_retries(self, call: Callable[[PieceOrigin], Awaitable[T]]) -> T:
        """Return the call's result; raise GypsumpierError after ``ORIGIN_ATTEMPTS`` failures."""
        pause_s = ORIGIN_RETRY_PAUSE_S
        for number in range(ORIGIN_ATTEMPTS):
            try:
                async with self.slots:
                    return await call(self.origin())
            except GypsumpierError as error:
                decision(
                    "origin_failed", number=number, code=error.code.number, reason=error.detail
                )
                if error.code is CHUNK_CORRUPT:
                    pause_s = min(2 * pause_s, ORIGIN_RETRY_PAUSE_MAX_S)
            await asyncio.sleep(pause_s)
        raise GypsumpierError(PLATFORM_UNREACHABLE, "every attempt at the origin of weights failed")

    def origin(self) -> PieceOrigin:
        """Return the client of the origin; raise GypsumpierError where none is configured."""
        configuration = self.fleet_state.configuration
        origin_config = configuration.origin() if configuration else None
        if origin_config is None:
            raise GypsumpierError(PLATFORM_UNREACHABLE, "no origin is configured")
        address = origin_config.host, origin_config.port
        if address not in self.origins:
            self.origins[address] = self.dial_origin(*address)
        return self.origins[address]

    def close(self) -> None:
        """Release the clients."""
        for origin in self.origins.values():
            origin.close()
