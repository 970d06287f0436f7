"""Draws from the origin of weights, a few at once, with further tries where an answer is bad."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final, TypeVar

from gypsumpier.codes.platform import PLATFORM_UNREACHABLE
from gypsumpier.codes.weight import CHUNK_CORRUPT
from gypsumpier.errors import GypsumpierError
from gypsumpier.fleet.state import FleetState
from gypsumpier.log import decision
from gypsumpier.piece.engine import PieceList, PieceOrigin, is_intact

ORIGIN_CONCURRENCY: Final = 4
"""Calls to the origin at once; its link is full with fewer."""
ORIGIN_ATTEMPTS: Final = 6
"""Tries at the origin for one piece, whose answers may be cut or corrupt."""
ORIGIN_RETRY_PAUSE_S: Final = 0.1
"""Seconds between two tries at the origin."""

T = TypeVar("T")


class OriginFetcher:
    """The origin that the configuration names."""

    def __init__(
        self, fleet_state: FleetState, dial_origin: Callable[[str, int], PieceOrigin]
    ) -> None:
        self.fleet_state = fleet_state
        self.dial_origin = dial_origin
        self.origins: dict[tuple[str, int], PieceOrigin] = {}
        self.slots = asyncio.Semaphore(ORIGIN_CONCURRENCY)

    async def piece_list(self, model: str, version: int) -> PieceList:
        """Return the digests of a version; raise GypsumpierError where there is no answer."""
        return await self.with_retries(lambda origin: origin.piece_list(model, version))

    async def piece(self, model: str, version: int, number: int, digest: str) -> bytes:
        """Return one intact piece; raise GypsumpierError where there is none."""

        async def fetch(origin: PieceOrigin) -> bytes:
            content = await origin.piece(model, version, number)
            if not is_intact(content, digest):
                raise GypsumpierError(CHUNK_CORRUPT, f"piece {number} from the origin")
            return content

        return await self.with_retries(fetch)

    async def with_retries(self, call: Callable[[PieceOrigin], Awaitable[T]]) -> T:
        """Return what the call returns; raise GypsumpierError after several failed tries."""
        for number in range(ORIGIN_ATTEMPTS):
            try:
                async with self.slots:
                    return await call(self.origin())
            except GypsumpierError as error:
                decision(
                    "origin_failed", number=number, code=error.code.number, reason=error.detail
                )
            await asyncio.sleep(ORIGIN_RETRY_PAUSE_S)
        raise GypsumpierError(PLATFORM_UNREACHABLE, "the origin of weights does not answer")

    def origin(self) -> PieceOrigin:
        """Return the client of the origin; raise GypsumpierError where none is configured."""
        configuration = self.fleet_state.configuration
        place = configuration.origin() if configuration else None
        if place is None:
            raise GypsumpierError(PLATFORM_UNREACHABLE, "no origin is configured")
        address = place.host, place.port
        if address not in self.origins:
            self.origins[address] = self.dial_origin(*address)
        return self.origins[address]

    def close(self) -> None:
        """Release the clients."""
        for origin in self.origins.values():
            origin.close()
