"""The model engine beside an agent."""

from collections.abc import AsyncIterator
from typing import NamedTuple, Protocol


class LiveModel(NamedTuple):
    """What the engine reports that it serves; ``digest`` is that of the staged weights."""

    model: str
    version: str
    digest: str


class EngineStatus(NamedTuple):
    """The engine's own report, which lags by up to a second or so.

    ``incarnation`` differs for each run of the engine, which loses what was staged when it ends; it
    is empty where the engine doesn't tell.
    """

    live: list[LiveModel]
    running: int
    waiting: int
    capacity: int
    free_memory_bytes: int
    incarnation: str = ""


class LoadOrder(NamedTuple):
    """An order to the engine.  Engines that honour fencing refuse a lower ``fence``."""

    model: str
    version: str
    digest: str
    fence: int


class Completion(NamedTuple):
    """One streamed generation; ``stream_id`` names it for cancel and resume."""

    stream_id: str
    model: str
    version: str
    priority: int
    body: dict[str, object]


class EngineEvent(NamedTuple):
    """One event of a stream: a token, or the end with the reason and the count of tokens.

    ``position`` counts tokens from 0; in the final event it is their total number.
    """

    position: int
    text: str
    finish_reason: str | None
    version: str


class CacheEvent(NamedTuple):
    """A prefix entered or left the engine's cache; sequence numbers show gaps."""

    sequence: int
    prefix: str
    cached: bool


class Engine(Protocol):
    """Orders and uses one engine.

    Raises GypsumpierError with PLATFORM_UNREACHABLE, PLATFORM_REFUSED (the engine said no and
    did nothing), PLATFORM_BAD_ANSWER or ORDER_FENCED.
    """

    async def status(self) -> EngineStatus:
        """Return the engine's last report."""

    async def stage(self, digest: str, path: str, offset: int, content: bytes) -> None:
        """Hand over a part of a file of the weights known by ``digest``."""

    async def load(self, order: LoadOrder) -> None:
        """Order the staged weights live; returns when the order is taken, not when live."""

    async def unload(self, order: LoadOrder) -> None:
        """Order the weights away."""

    def complete(self, completion: Completion) -> AsyncIterator[EngineEvent]:
        """Run a generation and yield its events."""

    def resume(self, stream_id: str, next_position: int) -> AsyncIterator[EngineEvent]:
        """Yield the events of a running or finished stream from ``next_position`` on."""

    async def cancel(self, stream_id: str) -> None:
        """Stop a stream; unknown ids are ignored."""

    async def cache_events(self, after: int) -> list[CacheEvent]:
        """Return the cache events after that sequence number, late and maybe with gaps."""
