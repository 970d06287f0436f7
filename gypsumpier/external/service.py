"""Protocol of a plain service: an upstream that answers ordinary HTTP calls."""

from typing import NamedTuple, Protocol


class ServiceCall(NamedTuple):
    """One HTTP call to the service; ``path`` includes the query."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class ServiceAnswer(NamedTuple):
    """The service's complete answer."""

    status: int
    headers: dict[str, str]
    body: bytes


class Service(Protocol):
    """Calls one plain service.

    Raises GypsumpierError with PLATFORM_UNREACHABLE if the call was certainly not sent, and
    PLATFORM_BAD_ANSWER if it may have run.
    """

    async def call(self, call: ServiceCall, timeout_s: float) -> ServiceAnswer:
        """Run the call once."""

    async def healthy(self) -> bool:
        """Return whether the service is healthy."""
