"""The interfaces through which a rollout uses the rest of its process."""

from collections.abc import Callable, Mapping
from typing import Protocol

from gypsumpier.document.service import Accepted
from gypsumpier.external.engine import EngineStatus, LiveModel, LoadOrder
from gypsumpier.external.membership import Member


class Documents(Protocol):
    """The documents in force at this process."""

    @property
    def accepted(self) -> Mapping[str, Accepted]:
        """The accepted documents by service, deletions included."""

    def subscribe(self, callback: Callable[[Accepted], None]) -> None:
        """Call ``callback`` whenever a document has been accepted."""


class Members(Protocol):
    """The platform's member list as this process last read it."""

    def agents(self, service: str) -> list[Member]:
        """Return the agents of the service, leaving ones included."""


class WeightEngine(Protocol):
    """The operations of an engine on weights; see gypsumpier.external.engine.Engine."""

    async def status(self) -> EngineStatus:
        """Return the engine's last report."""

    async def stage(self, digest: str, path: str, offset: int, content: bytes) -> None:
        """Stage a part of a file of the weights identified by ``digest``."""

    async def load(self, order: LoadOrder) -> None:
        """Order the engine to load the staged weights."""

    async def unload(self, order: LoadOrder) -> None:
        """Order the engine to unload the weights."""


class Retirement(Protocol):
    """Stops routing requests to a content that is about to be unloaded."""

    async def retire(self, live: LiveModel) -> None:
        """Stop offering the content; return once no request runs on it or a timeout passes."""

    def restore(self, live: LiveModel) -> None:
        """Offer a retired content again, because it isn't unloaded after all."""


class NoRetirement:
    """Retirement for an engine that receives no requests through this process."""

    async def retire(self, live: LiveModel) -> None:
        """Return at once."""

    def restore(self, live: LiveModel) -> None:
        """Do nothing."""
