"""Changes of what the platform publishes, as the source of a process's beliefs yields them."""

from typing import NamedTuple, Protocol

from gypsumpier.fleet.configuration import FleetConfiguration
from gypsumpier.fleet.record import Record
from gypsumpier.fleet.upstream import UpstreamRecord


class ConfigurationChange(NamedTuple):
    """A configuration."""

    configuration: FleetConfiguration


class UpstreamChange(NamedTuple):
    """An upstream's record; None where the platform removed it or its record can't be used."""

    id: str
    record: UpstreamRecord | None


class VersionChange(NamedTuple):
    """The version of a model's weights that its engines are to serve."""

    model: str
    version: int


FleetChange = ConfigurationChange | UpstreamChange | VersionChange


class Batch(NamedTuple):
    """Records up to ``revision``, which follow on ``after``; a snapshot lists all that exist.

    The store certainly had nothing newer ``proven_after_s`` seconds after the call was sent.
    """

    after: int
    revision: int
    records: list[Record]
    is_snapshot: bool
    proven_after_s: float


class FleetSource(Protocol):
    """Reads what the platform publishes.  Nothing can be written.

    Raises GypsumpierError with PLATFORM_UNREACHABLE, PLATFORM_REFUSED, PLATFORM_BAD_ANSWER or
    HISTORY_GONE.
    """

    async def snapshot(self) -> Batch:
        """Return everything as it is now."""

    async def watch(self, revision: int, wait_s: float) -> Batch:
        """Return the changes after ``revision``; wait up to ``wait_s`` for the first."""

    def decode(self, record: Record) -> FleetChange | None:
        """Return what the record says; None where the product has no use for it."""

    def close(self) -> None:
        """Release the client."""
