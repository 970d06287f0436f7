"""Fetches from the origin of weights, with limited concurrency and with retries."""

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
"""Concurrent calls to the origin; fewer already saturate its link."""
ORIGIN_ATTEMPTS: Final = 6
"""Attempts at the origin for one piece; its answers may be truncated or corrupt."""
ORIGIN_RETRY_PAUSE_S: Final = 0.1
"""Seconds between attempts at the origin."""

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
        return await self.with_retries(lambda origin: origin.piece_list(model, version))

    async def piece(self, model: str, version: int, number: int, digest: str) -> bytes:
        """Return one intact piece; raise GypsumpierError where all attempts fail."""

        async def fetch(origin: PieceOrigin) -> bytes:
            content = await origin.piece(model, version, number)
            if not is_intact(content, digest):
                raise GypsumpierError(
                    CHUNK_CORRUPT, f"piece {number} from the origin does not match its digest"
                )
            return content

        return await self.with_retries(fetch)

    async def with_retries(self, call: Callable[[PieceOrigin], Awaitable[T]]) -> T:
        """Return the call's result; raise GypsumpierError after ``ORIGIN_ATTEMPTS`` failures."""
        for number in range(ORIGIN_ATTEMPTS):
            try:
                async with self.slots:
                    return await call(self.origin())
            except GypsumpierError as error:
                decision(
                    "origin_failed", number=number, code=error.code.number, reason=error.detail
                )
            await asyncio.sleep(ORIGIN_RETRY_PAUSE_S)
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
