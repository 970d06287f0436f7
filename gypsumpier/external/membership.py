"""Protocol of the platform's list of live and leaving instances, which lags."""

from typing import NamedTuple, Protocol


class Member(NamedTuple):
    """One instance of the system.

    ``name`` is the stable name of the instance; ``incarnation`` differs for each process that runs
    under it.  ``service`` is empty for an entry.  ``port`` accepts the system's control and request
    streams, ``bulk_port`` its weight streams.
    """

    name: str
    incarnation: str
    role: str
    service: str
    region: str
    zone: str
    host: str
    port: int
    bulk_port: int
    leaving: bool


class Membership(Protocol):
    """Reads the member list.

    Raises GypsumpierError with PLATFORM_UNREACHABLE, PLATFORM_REFUSED or PLATFORM_BAD_ANSWER.
    """

    async def members(self) -> list[Member]:
        """Return the platform's current list."""
