"""One caller's request, as validated by the entry."""

from typing import NamedTuple

from gypsumpier.entry.progress import RequestProgress
from gypsumpier.quarantine.trait import traits_of


class CallerRequest(NamedTuple):
    """A request to a service.

    ``remaining_s`` is the time left to the caller's deadline at ``received_at_s``, which is a
    reading of the entry's monotonic clock.  ``key`` is the caller's Idempotency-Key or empty.
    ``prefix`` is the id of the prompt's prefix or empty.  ``parts`` are digests of the messages of
    its prompt that other requests may share.  ``fingerprint`` is a digest of method, path and body.
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
    parts: tuple[str, ...]
    fingerprint: str
    progress: RequestProgress

    @property
    def traits(self) -> tuple[str, ...]:
        """What it may have in common with others: its fingerprint and parts of its prompt."""
        return traits_of(self.fingerprint, self.parts)

    def remaining_at(self, now_s: float) -> float:
        """Return the seconds left until the deadline at that reading of the monotonic clock."""
        return self.remaining_s - (now_s - self.received_at_s)

    def has_home(self) -> bool:
        """Return whether the request may run only at the home of its key."""
        return bool(self.key) and not self.idempotent
