"""One caller's request, as checked by the entry."""

from typing import NamedTuple


class CallerRequest(NamedTuple):
    """A request to a service.

    ``remaining_s`` is the time left to the caller's deadline at ``received_at_s``, which is a
    reading of the entry's monotonic clock.  ``key`` is the caller's Idempotency-Key or empty.
    ``prefix`` names the beginning of a prompt, and ``fingerprint`` all that is asked.
    """

    request_id: str
    service: str
    workspace: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    key: str
    streamed: bool
    received_at_s: float
    remaining_s: float
    idempotent: bool
    priority: int
    prefix: str
    fingerprint: str

    def remaining_at(self, now_s: float) -> float:
        """Return the seconds left to the deadline at that reading of the clock."""
        return self.remaining_s - (now_s - self.received_at_s)

    def has_home(self) -> bool:
        """Tell whether the request runs only at the home of its key."""
        return bool(self.key) and not self.idempotent
