"""Protocol of the model engine beside an agent."""

from collections.abc import AsyncIterator
from typing import NamedTuple, Protocol


class LiveModel(NamedTuple):
    """A model that the engine reports live; ``digest`` is that of the staged weights."""

    model: str
    version: str
    digest: str


class EngineStatus(NamedTuple):
    """The engine's own report, which lags by up to about a second.

    ``incarnation`` differs for each run of the engine; staged weights are lost when a run ends.  It
    is empty if the engine does not report it.
    """

    live: list[LiveModel]
    running: int
    waiting: int
    capacity: int
    free_memory_bytes: int
    incarnation: str = ""


class LoadOrder(NamedTuple):
    """A load or unload order.  Engines that support fencing refuse a ``fence`` below the highest
    one seen.
    """

    model: str
    version: str
    digest: str
    fence: int


class Completion(NamedTuple):
    """One streamed generation; ``stream_id`` identifies it for cancel and resume."""

    stream_id: str
    model: str
    version: str
    priority: int
    body: dict[str, object]


class EngineEvent(NamedTuple):
    """One event of a stream: a token, or the final event with the finish reason.

    ``position`` counts tokens from 0; in the final event it is the total number of tokens.
    """

    position: int
    text: str
    finish_reason: str | None
    version: str


class CacheEvent(NamedTuple):
    """A prefix entered or left the engine's cache; gaps in ``sequence`` show lost events."""

    sequence: int
    prefix: str
    cached: bool


class Engine(Protocol):
    """Loads models on one engine and runs generations on it.

    Raises GypsumpierError with PLATFORM_UNREACHABLE, PLATFORM_REFUSED (the engine refused and
    did nothing), PLATFORM_BAD_ANSWER or ORDER_FENCED.
    """

    async def status(self) -> EngineStatus:
        """Return the engine's last report."""

    async def stage(self, digest: str, path: str, offset: int, content: bytes) -> None:
        """Stage a part of a file of the weights that ``digest`` identifies."""

    async def load(self, order: LoadOrder) -> None:
        """Order the staged weights live; return when the order is accepted, not when live."""

    async def unload(self, order: LoadOrder) -> None:
        """Order the weights unloaded."""

    def complete(self, completion: Completion) -> AsyncIterator[EngineEvent]:
        """Run one generation and yield its events."""

    def resume(self, stream_id: str, next_position: int) -> AsyncIterator[EngineEvent]:
        """Yield the events of a running or finished stream from ``next_position`` on."""

    async def cancel(self, stream_id: str) -> None:
        """Cancel a stream; unknown ids are ignored."""

    async def cache_events(self, after: int) -> list[CacheEvent]:
        """Return the cache events after that sequence number; they may be late or have gaps."""
