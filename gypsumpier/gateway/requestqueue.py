"""The requests of one service that wait for a place at an upstream.

Streams that have begun go first.  Requests that can still be on time go before those that can't,
then a lower priority number, then fair shares of the workspaces, then the order of arrival, which
is turned round while the line stands.  One whose wait is estimated to outlast its caller is refused
at once, with the time after which it is expected to be served.
"""

import asyncio
import math
import time
from collections import deque
from dataclasses import dataclass, field
from typing import Final

from gypsumpier.fleet.upstream import UpstreamRecord
from gypsumpier.gateway.request import GatewayRequest

RATE_WINDOW_S: Final = 2.0
"""Seconds over which the rate of places that become free is measured."""
STANDING_QUEUE_S: Final = 0.15
"""Seconds without an empty moment after which a line is a standing one and no short burst."""
FAIRNESS_STEP: Final = 4.0
"""Places got lately by which a workspace goes behind another one in a standing line."""
RANK_RESUMED: Final = 0
RANK_ON_TIME: Final = 1
RANK_LATE: Final = 2
"""Ranks of waiting requests; the smallest goes first."""
OVERTAKING_SHARE: Final = 0.7
"""Share of the arrivals seen lately that is expected to go on and to overtake who is late."""
LATE_SHARE_MIN: Final = 0.15
"""Share of the places that late requests get at least, in the estimate of their wait."""
RATE_MIN_PER_S: Final = 0.5
"""Lowest rate that is assumed, so that an estimate stays finite."""
IDLE_WORKSPACES_MAX: Final = 1024


@dataclass
class RecentGrants:
    """The places that a workspace got lately; each counts less with its age."""

    count: float = 0.0
    at_s: float = 0.0

    def now(self, now_s: float) -> float:
        """Return the count at that time, in monotonic seconds."""
        return self.count * math.exp((self.at_s - now_s) / RATE_WINDOW_S)

    def add(self, now_s: float) -> None:
        """Count one more place."""
        self.count, self.at_s = self.now(now_s) + 1.0, now_s


@dataclass(eq=False)
class QueuedRequest:
    """A waiting request; ``latest_start_s`` and ``goal_start_s`` are monotonic seconds by which it must begin.

    ``place`` is set to the upstream that it gets, or to the seconds after which to come back.
    """

    request: GatewayRequest
    start_tag: float
    arrival: int
    latest_start_s: float
    goal_start_s: float
    outcome: "asyncio.Future[UpstreamRecord | float]" = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )

    def rank(self, now_s: float) -> int:
        """Return the rank; a stream that has begun goes first, as its caller sees the pause."""
        if self.request.last_event_id:
            return RANK_RESUMED
        return RANK_LATE if now_s > self.goal_start_s else RANK_ON_TIME


class RequestQueue:
    """Waiting requests of one service, and how fast places become free."""

    def __init__(self) -> None:
        self.waiting: list[QueuedRequest] = []
        self.finish_tags: dict[str, float] = {}
        self.recent_grants: dict[str, RecentGrants] = {}
        self.virtual_time = 0.0
        self.arrivals = 0
        self.grant_times_s: deque[float] = deque()
        self.arrival_times_s: deque[float] = deque()
        self.nonempty_since_s = 0.0

    def add(
        self, request: GatewayRequest, latest_start_s: float, goal_start_s: float
    ) -> QueuedRequest:
        """Let a request wait."""
        if not self.waiting:
            self.nonempty_since_s = time.monotonic()
        workspace = request.workspace_name
        start = max(self.virtual_time, self.finish_tags.get(workspace, 0.0))
        self.finish_tags[workspace] = start + 1.0
        if len(self.finish_tags) > IDLE_WORKSPACES_MAX:
            self.finish_tags = {
                name: tag for name, tag in self.finish_tags.items() if tag > self.virtual_time
            }
        self.arrivals += 1
        waiting = QueuedRequest(request, start, self.arrivals, latest_start_s, goal_start_s)
        self.waiting.append(waiting)
        return waiting

    def in_service_order(self) -> list[QueuedRequest]:
        """Return the waiting requests in the order in which they are served.

        A line that has stood for a while is served from its newest end: from the oldest, every
        request would wait until it is nearly late, and be late by what the engine takes.
        """
        now_s = time.monotonic()
        is_standing = now_s - self.nonempty_since_s > STANDING_QUEUE_S

        def sort_key(waiting: QueuedRequest) -> tuple[int, int, float, float]:
            rank, priority = waiting.rank(now_s), waiting.request.priority
            if is_standing:
                share = self.recent_grants.get(waiting.request.workspace_name)
                recent = share.now(now_s) // FAIRNESS_STEP if share else 0.0
                return rank, priority, recent, -waiting.arrival
            return rank, priority, waiting.start_tag, waiting.arrival

        return sorted(self.waiting, key=sort_key)

    def grant(self, waiting: QueuedRequest, record: UpstreamRecord) -> None:
        """Give a request its place."""
        self.waiting.remove(waiting)
        self.virtual_time = max(self.virtual_time, waiting.start_tag)
        self.recent_grants.setdefault(waiting.request.workspace_name, RecentGrants()).add(
            time.monotonic()
        )
        if len(self.recent_grants) > IDLE_WORKSPACES_MAX:
            self.recent_grants.clear()
        self.note_grant()
        if not waiting.outcome.done():
            waiting.outcome.set_result(record)

    def refuse(self, waiting: QueuedRequest, retry_after_s: float) -> None:
        """Tell a request when to come back."""
        self.waiting.remove(waiting)
        if not waiting.outcome.done():
            waiting.outcome.set_result(retry_after_s)

    def note_grant(self) -> None:
        """Count a place towards the rate."""
        self.grant_times_s.append(time.monotonic())

    def note_arrival(self) -> None:
        """Count a request that asks for a place for the first time."""
        self.arrival_times_s.append(time.monotonic())

    def rate_per_s(self, capacity_share_per_s: float) -> float:
        """Return how many requests a second get a place.

        That is what was seen lately.  A line that has formed less than a window ago has not seen
        enough: this entry's even share of what the upstreams can do then counts, where it is more.
        """
        measured_per_s = recent_per_s(self.grant_times_s)
        if time.monotonic() - self.nonempty_since_s < RATE_WINDOW_S:
            return max(capacity_share_per_s, measured_per_s)
        return max(RATE_MIN_PER_S, measured_per_s)

    def shed_excess(self, capacity_share_per_s: float) -> None:
        """Refuse the requests whose turn is estimated to come too late.

        Requests that are late already are overtaken by those that still arrive in time.  Only those
        behind a hopeless one gain from its leaving, so the order is kept.
        """
        now_s, grant_rate_per_s = time.monotonic(), self.rate_per_s(capacity_share_per_s)
        overtaking_per_s = OVERTAKING_SHARE * recent_per_s(self.arrival_times_s)
        late_rate_per_s = max(
            grant_rate_per_s - overtaking_per_s, LATE_SHARE_MIN * grant_rate_per_s
        )
        position = late_position = 0
        for waiting in self.in_service_order():
            is_late = waiting.rank(now_s) == RANK_LATE
            wait_s = position / grant_rate_per_s + (
                late_position / late_rate_per_s if is_late else 0.0
            )
            if now_s + wait_s > waiting.latest_start_s:
                self.refuse(waiting, wait_s)
            elif is_late:
                late_position += 1
            else:
                position += 1


def recent_per_s(times: deque[float]) -> float:
    """Return how many of the times lie within the window, as a rate; forget the older ones."""
    oldest_s = time.monotonic() - RATE_WINDOW_S
    while times and times[0] < oldest_s:
        times.popleft()
    return len(times) / RATE_WINDOW_S
