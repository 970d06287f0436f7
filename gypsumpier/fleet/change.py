"""Changes of what the platform publishes, and the protocol of the source that yields them."""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import NamedTuple, Protocol

from gypsumpier.fleet.configuration import FleetConfiguration
from gypsumpier.fleet.position import Position
from gypsumpier.fleet.record import Record
from gypsumpier.fleet.upstream import UpstreamRecord


class ConfigurationChange(NamedTuple):
    """A configuration was published."""

    configuration: FleetConfiguration


class UpstreamChange(NamedTuple):
    """An upstream's record changed; None where it was removed or can't be used."""

    id: str
    record: UpstreamRecord | None


class VersionChange(NamedTuple):
    """The platform named the version of a model's weights that its engines are to serve."""

    model: str
    version: int


class EvacuationChange(NamedTuple):
    """A zone is evacuated from now on, or no longer."""

    zone: str
    is_evacuated: bool


FleetChange = ConfigurationChange | UpstreamChange | VersionChange | EvacuationChange


class Batch(NamedTuple):
    """The records that changed after revision ``after``, up to ``revision``.

    A snapshot lists all records that exist.  The store certainly had nothing newer
    ``proven_after_s`` seconds after the call was sent.  ``outdated`` holds, for keys whose record
    in the store is older than what the sender of the batch knows, the position of that record.
    """

    after: int
    revision: int
    records: list[Record]
    is_snapshot: bool
    proven_after_s: float
    era: int = 0
    outdated: Mapping[str, Position] = MappingProxyType({})

    @property
    def position(self) -> Position:
        """The position in the store's history up to which the batch goes."""
        return Position(self.era, self.revision)


class FleetSource(Protocol):
    """Read-only client of what the platform publishes.

    Raises GypsumpierError with PLATFORM_UNREACHABLE, PLATFORM_REFUSED, PLATFORM_BAD_ANSWER or
    HISTORY_GONE.  ``on_progress`` is called for each part of a large answer.
    """

    on_progress: Callable[[], None]

    async def snapshot(self) -> Batch:
        """Return all current records."""

    async def watch(self, revision: int, wait_s: float) -> Batch:
        """Return the changes after ``revision``; wait up to ``wait_s`` seconds for the first."""

    async def current_position(self) -> Position:
        """Return the store's era and newest revision, without waiting for a change."""

    def decode(self, record: Record) -> FleetChange | None:
        """Return the change that the record contains; None where the product does not use it."""

    def close(self) -> None:
        """Release the client."""
