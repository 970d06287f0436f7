"""What a rollout reads of the process around it."""

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
        """Call back whenever a document has been accepted."""


class Members(Protocol):
    """The platform's member list as this process last read it."""

    def agents(self, service: str) -> list[Member]:
        """Return the agents of the service, leaving ones included."""


class WeightEngine(Protocol):
    """The part of an engine that takes weights; see gypsumpier.external.engine.Engine."""

    async def status(self) -> EngineStatus:
        """Return the engine's last report."""

    async def stage(self, digest: str, path: str, offset: int, content: bytes) -> None:
        """Hand over a part of a file of the weights known by ``digest``."""

    async def load(self, order: LoadOrder) -> None:
        """Order the staged weights live."""

    async def unload(self, order: LoadOrder) -> None:
        """Order the weights away."""


class Retirement(Protocol):
    """What keeps requests away from a content that is about to be unloaded."""

    async def retire(self, live: LiveModel) -> None:
        """Offer the content no longer; return once no request runs on it or time is up."""

    def restore(self, live: LiveModel) -> None:
        """Offer a retired content again, because it isn't unloaded after all."""


class NoRetirement:
    """Retirement for an engine that takes no requests from this process."""

    async def retire(self, live: LiveModel) -> None:
        """Return at once."""

    def restore(self, live: LiveModel) -> None:
        """Do nothing."""
