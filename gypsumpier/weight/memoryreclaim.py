"""Frees memory at an engine that can't hold the old and the new content together.

The agent waits for its turn in the zone, announces that it leaves service, waits until the
announcement has reached the zone's other agents and checks again, so that two agents that decide
at the same time don't both leave service.  Then it retires the contents that the document no
longer names, so that running requests can finish, and unloads them.
"""

from typing import Final

from gypsumpier.codes.weight import ENGINE_FULL
from gypsumpier.errors import GypsumpierError
from gypsumpier.external.engine import LiveModel
from gypsumpier.weight.context import RolloutContext
from gypsumpier.weight.decider import Decider
from gypsumpier.weight.manifest import Manifest
from gypsumpier.weight.standings import Standings
from gypsumpier.weight.transfer import Transfer

PROPAGATION_WAIT_S: Final = 1.0
"""Time that an announcement needs to reach the other agents of the zone."""
POLL_INTERVAL_S: Final = 0.5


class MemoryReclaim:
    """Frees the engine memory that one transfer needs."""

    def __init__(
        self, context: RolloutContext, decider: Decider, standings: Standings, transfer: Transfer
    ) -> None:
        self.context = context
        self.decider = decider
        self.standings = standings
        self.transfer = transfer

    @property
    def manifest(self) -> Manifest:
        """The manifest of the transfer."""
        return self.transfer.manifest

    def is_memory_short(self) -> bool:
        """Return whether the missing chunks exceed the engine's free memory, or this is unknown."""
        status = self.context.monitor.status
        chunks = self.manifest.chunks
        needed = sum(chunks[index].length for index in self.transfer.missing)
        return status is None or status.free_memory_bytes < needed

    def replaceable(self) -> list[LiveModel]:
        """Return live contents of versions that the document no longer names or of this version."""
        named = self.context.named()
        key = (self.manifest.model, self.manifest.version)
        return [
            live
            for live in self.context.unloads.live()
            if (live.model, live.version) not in named or (live.model, live.version) == key
        ]

    async def wait_turn(self) -> None:
        """Wait until this agent may take its engine out of service.

        Raises GypsumpierError with ENGINE_FULL where nothing can be unloaded.
        """
        if not self.replaceable():
            raise GypsumpierError(
                ENGINE_FULL,
                f"{self.manifest.size_bytes} bytes don't fit and nothing can be unloaded",
            )
        while True:
            while not self.may_leave_service():
                await self.context.clock.sleep(POLL_INTERVAL_S)
            self.standings.out = True
            self.standings.post()
            await self.context.clock.sleep(PROPAGATION_WAIT_S)
            if self.may_leave_service():
                return
            self.standings.out = False
            await self.context.clock.sleep(POLL_INTERVAL_S * self.context.random.random())

    def may_leave_service(self) -> bool:
        """Return whether the zone's ``max_unavailable`` allows this engine to leave service."""
        document = self.context.document()
        bound = document.max_unavailable if document is not None else 0
        return self.standings.may_leave_service(self.manifest.digest, bound)

    async def free_memory(self) -> None:
        """Retire and unload replaceable contents; wait until the engine reports enough memory."""
        async with self.context.unloads.turn:
            await self.unload_replaceable()
        await self.wait_unloaded()

    async def unload_replaceable(self) -> None:
        """Retire and unload the contents that the new one may replace."""
        retired = self.replaceable()
        try:
            for live in retired:
                await self.context.unloads.retire(live)
            for live in retired:
                # The document may have changed while earlier contents were retired or unloaded.
                if live in self.replaceable():
                    decided = self.decider.decide(f"{self.manifest.version} needs the memory")
                    await self.context.unloads.unload(decided, live)
        finally:
            self.restore(retired)

    async def wait_unloaded(self) -> None:
        """Wait for the unloads that may still free memory, as long as it is short."""
        while self.is_memory_short() and self.context.unloads.sent:
            await self.context.monitor.next_report()

    def restore(self, retired: list[LiveModel]) -> None:
        """Restore retired contents that are still live, because they were not unloaded."""
        for live in retired:
            if live in self.context.monitor.live():
                self.context.unloads.restore(live)
