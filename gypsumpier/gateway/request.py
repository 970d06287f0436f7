"""The state of one caller's request while an entry handles it."""

import time
from dataclasses import dataclass, field
from functools import cached_property

from gypsumpier.fleet.configuration import FleetConfiguration, Workspace
from gypsumpier.fleet.node import Address
from gypsumpier.fleet.regions import AllowedRegions, common_regions
from gypsumpier.fleet.route import Route
from gypsumpier.quarantine.trait import traits_of
from gypsumpier.upstream.head import CallerHead


@dataclass
class GatewayRequest:
    """A request, its routing, and the progress of its answer.  Times are monotonic seconds.

    ``ends_at_s`` is its time limit.  ``fingerprint`` is alike in copies of one request.
    ``attempts`` counts the upstreams that may have run it; ``tried`` holds the run keys of the
    upstreams that are not tried again.  ``is_sent`` is set while an upstream may have it that
    has not stated that it has not run.  ``sent_to`` holds the addresses that it was sent to.
    ``last_event_id`` is the id of the last relayed event.
    ``longest_gap_s`` is the longest gap between its events so far, in seconds.
    ``is_trial`` is set once it is sent although others like it are refused, ``is_moving`` while it
    waits for another upstream than the silent one that it was sent to.
    ``unread_tokens`` are the prompt tokens that the current upstream has yet to read.
    It was admitted under ``configuration``.
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
    sent_to: set[Address] = field(default_factory=set)
    last_event_id: str = ""
    is_sent: bool = False
    unread_tokens: int = 0
    first_event_at_s: float = 0.0
    last_event_at_s: float = 0.0
    longest_gap_s: float = 0.0
    is_trial: bool = False
    is_moving: bool = False
    configuration: FleetConfiguration | None = None

    @property
    def priority(self) -> int:
        """The priority number of the workspace, or else of the route; the lowest goes first."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority

    @property
    def regions(self) -> AllowedRegions:
        """The regions that its route and its workspace, as admitted, both allow."""
        allowed = self.workspace.allowed_regions if self.workspace else None
        return common_regions(self.route.allowed_regions, allowed)

    @cached_property
    def traits(self) -> tuple[str, ...]:
        """What it may have in common with others: its fingerprint and parts of its prompt."""
        return traits_of(self.fingerprint, self.head.prompt_parts)

    @property
    def workspace_name(self) -> str:
        """The name of the workspace; empty if the route needs no key."""
        return self.workspace.name if self.workspace else ""

    def may_repeat(self, tries: int = 1) -> bool:
        """Return whether the route allows ``tries`` attempts beyond those that may have run."""
        return self.route.is_repeatable and self.attempts + tries <= self.route.max_attempts

    def may_have_run(self) -> bool:
        """Return whether an upstream may have run it, or may still."""
        return self.attempts > 0 or self.is_sent

    def is_refusable(self) -> bool:
        """Return whether a refusal of its wait for an upstream would be true, or change nothing.

        One that an upstream may have run can't be told that it has not run; one that moves stays
        with the silent upstream.
        """
        return not self.attempts or self.is_moving

    def left_s(self) -> float:
        """Return the seconds until the time limit of the caller or of the route."""
        return self.ends_at_s - time.monotonic()

    def age_s(self) -> float:
        """Return the seconds since the request arrived."""
        return time.monotonic() - self.received_at_s

    def record_event(self) -> None:
        """Record that an event is relayed to the caller now."""
        now_s = time.monotonic()
        if self.first_event_at_s:
            self.longest_gap_s = max(self.longest_gap_s, now_s - self.last_event_at_s)
        else:
            self.first_event_at_s = now_s
        self.last_event_at_s = now_s
