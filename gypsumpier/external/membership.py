"""The platform's lagging list of live and leaving instances."""

from typing import NamedTuple, Protocol


class Member(NamedTuple):
    """One instance of the system.

    ``name`` is the stable name of the place the instance fills, ``incarnation`` differs for each
    process that fills it.  ``service`` is empty for an entry.  ``port`` takes our own streams of
    control and requests, ``bulk_port`` those of weights.
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
        """Return the list as the platform knows it now."""
