"""One caller's request on its way through an entry."""

import time
from dataclasses import dataclass, field

from gypsumpier.fleet.configuration import Workspace
from gypsumpier.fleet.route import Route
from gypsumpier.upstream.head import CallerHead


@dataclass
class GatewayRequest:
    """A request with everything that is decided of it.  Times are monotonic seconds.

    ``attempts`` counts the upstreams that may have run it; ``tried`` names those that are not
    asked again.  ``last_event_id`` is that of the last event passed on to the caller.
    ``longest_gap_s`` is the longest pause between its events so far.
    ``unread_tokens`` are the prompt tokens that the present upstream has yet to read.
    """

    head: CallerHead
    body: bytes
    route: Route
    service: str
    workspace: Workspace | None
    received_at_s: float
    ends_at_s: float
    fingerprint: str
    attempts: int = 0
    tried: set[tuple[str, int]] = field(default_factory=set)
    last_event_id: str = ""
    sent_first_at_s: float = 0.0
    sent_at_s: float = 0.0
    unread_tokens: int = 0
    first_event_at_s: float = 0.0
    last_event_at_s: float = 0.0
    longest_gap_s: float = 0.0

    @property
    def priority(self) -> int:
        """The rank; a lower one goes first."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority

    @property
    def workspace_name(self) -> str:
        """The name of the workspace; empty for a route without keys."""
        return self.workspace.name if self.workspace else ""

    def may_repeat(self, tries: int = 1) -> bool:
        """Tell whether the route allows so many tries beside those that may have run."""
        return self.route.is_repeatable and self.attempts + tries <= self.route.max_attempts

    def left_s(self) -> float:
        """Return the seconds until the caller or the route gives up."""
        return self.ends_at_s - time.monotonic()

    def age_s(self) -> float:
        """Return the seconds since the request arrived."""
        return time.monotonic() - self.received_at_s

    def note_event(self) -> None:
        """Note that events reach the caller now."""
        now_s = time.monotonic()
        if self.first_event_at_s:
            self.longest_gap_s = max(self.longest_gap_s, now_s - self.last_event_at_s)
        else:
            self.first_event_at_s = now_s
        self.last_event_at_s = now_s
