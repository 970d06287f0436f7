"""The queue of the requests of one service that wait for an upstream with free capacity.

The order of service: streams to be resumed and requests of silent upstreams, then requests that
can still meet their goal, then late ones, those first that may have run; within each, by priority
number of the workspace and then of the route (lowest first), then by fair share of the workspaces,
then by arrival.  While a standing queue persists, the newest request is served first.  A request
whose estimated wait is longer than its caller waits is refused at once, with a Retry-After; one
that may have run can't be, and waits until its latest start.
"""

import asyncio
import math
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from gypsumpier.fleet.regions import AllowedRegions
from gypsumpier.fleet.upstream import UpstreamRecord
from gypsumpier.gateway.queueflow import QueueFlow
from gypsumpier.gateway.regionalrates import RegionalRates
from gypsumpier.gateway.request import GatewayRequest
from gypsumpier.ratelimit.capacity import LimitedCapacity

RATE_WINDOW_S: Final = 2.0
"""Seconds over which the rates of arrivals and of admissions are measured."""
STANDING_QUEUE_S: Final = 0.15
"""Seconds without being empty after which a queue counts as standing, not as a short burst."""
FAIRNESS_STEP_ADMISSIONS: Final = 4.0
"""Recent admissions by which a workspace is ranked behind another one in a standing queue."""
SCARCE_STEP_ADMISSIONS: Final = 1.0
"""The same where upstreams state that they take fewer requests than arrive."""
RANK_INTERRUPTED: Final = 0
RANK_ON_TIME: Final = 1
RANK_LATE_REPEAT: Final = 2
RANK_LATE: Final = 3
"""Ranks of queued requests; the smallest goes first."""
OVERTAKING_SHARE: Final = 0.7
"""Share of the recent arrival rate that is expected to continue and to overtake late requests."""
LATE_SHARE_MIN: Final = 0.15
"""Smallest share of admissions that late requests are assumed to get when estimating their wait."""
RATE_MIN_PER_S: Final = 0.5
"""Lowest admission rate that is assumed, so that estimated waits stay finite."""
LIMITED_WAIT_S: Final = 0.3
"""Seconds that a request may wait where upstreams state that they take fewer than arrive: enough to
choose fairly among those that arrive together, and not so long that the others wait in vain."""
REGION_SETS_MAX: Final = 64
"""Sets of regions whose rates are kept; a deployment has a few regions."""
IDLE_WORKSPACES_MAX: Final = 1024
"""Workspaces whose fairness state is kept before idle ones are dropped."""


@dataclass
class RecentGrants:
    """A workspace's recent admissions, as a count that decays exponentially over time."""

    count: float = 0.0
    at_s: float = 0.0

    def now(self, now_s: float) -> float:
        """Return the decayed count at that time, in monotonic seconds."""
        return self.count * math.exp((self.at_s - now_s) / RATE_WINDOW_S)

    def add(self, now_s: float) -> None:
        """Count one more admission at that time, in monotonic seconds."""
        self.count, self.at_s = self.now(now_s) + 1.0, now_s


@dataclass(eq=False)
class QueuedRequest:
    """A queued request.

    ``start_tag`` is its virtual start time in fair queueing, ``arrival`` its number in order of
    arrival.  It must be admitted by ``goal_start_s`` to meet its goal, and by ``latest_start_s``
    for its caller to wait for the answer; it waits since ``queued_at_s``.  All three are monotonic
    seconds.  ``outcome`` is set to the upstream that admits it, or to the seconds after which the
    caller should retry.
    """

    request: GatewayRequest
    start_tag: float
    arrival: int
    queued_at_s: float
    latest_start_s: float
    goal_start_s: float
    outcome: "asyncio.Future[UpstreamRecord | float]" = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )

    def rank(self, now_s: float) -> int:
        """Return the rank; a request whose upstream has failed it goes first.

        The caller of a stream to be resumed notices the gap.  A request that waits to leave a
        silent upstream has lost a second there, and its caller is the first to give up.
        """
        if self.request.last_event_id or self.request.is_moving:
            return RANK_INTERRUPTED
        if now_s <= self.goal_start_s:
            return RANK_ON_TIME
        return RANK_LATE if self.request.is_refusable() else RANK_LATE_REPEAT


class RequestQueue:
    """Queued requests of one service, with the rates of arrivals and of admissions.

    ``limited`` is what the limits of all upstreams allow; None where one has no limit.
    ``regional`` holds the rates of requests that are limited to regions, which ``regions_of``
    returns.
    """

    def __init__(
        self, regions_of: Callable[[GatewayRequest], AllowedRegions] = lambda request: None
    ) -> None:
        self.regions_of = regions_of
        self.regional: dict[frozenset[str], RegionalRates] = {}
        self.waiting: list[QueuedRequest] = []
        self.finish_tags: dict[str, float] = {}
        self.recent_grants: dict[str, RecentGrants] = {}
        self.virtual_time = 0.0
        self.arrivals = 0
        self.granted_at_s: deque[float] = deque()
        self.arrived_at_s: deque[float] = deque()
        self.formed_at_s = 0.0
        self.limited: LimitedCapacity | None = None

    def add(
        self, request: GatewayRequest, latest_start_s: float, goal_start_s: float
    ) -> QueuedRequest:
        """Add a request to the queue and return its queue entry."""
        now_s = time.monotonic()
        if not self.waiting:
            self.formed_at_s = now_s
        workspace = request.workspace_name
        start = max(self.virtual_time, self.finish_tags.get(workspace, 0.0))
        self.finish_tags[workspace] = start + 1.0
        if len(self.finish_tags) > IDLE_WORKSPACES_MAX:
            self.finish_tags = {
                name: tag for name, tag in self.finish_tags.items() if tag > self.virtual_time
            }
        self.arrivals += 1
        waiting = QueuedRequest(request, start, self.arrivals, now_s, latest_start_s, goal_start_s)
        self.waiting.append(waiting)
        return waiting

    def ordered(self) -> list[QueuedRequest]:
        """Return the queued requests in the order in which they are served.

        A standing queue is served newest first.  Served oldest first, every request would wait
        until it is nearly late, and then miss its goal by the processing time of the engine.  While
        places are scarce, the workspace with the fewest recent admissions goes first, then the
        oldest request: one waits for the next place, and the others are refused.
        """
        now_s = time.monotonic()
        is_standing = now_s - self.formed_at_s > STANDING_QUEUE_S
        is_scarce = self.is_scarce()
        step = SCARCE_STEP_ADMISSIONS if is_scarce else FAIRNESS_STEP_ADMISSIONS

        def sort_key(waiting: QueuedRequest) -> tuple[float, ...]:
            rank, priority = waiting.rank(now_s), waiting.request.priority
            route_priority = waiting.request.route.priority
            if not (is_standing or is_scarce):
                return rank, priority, route_priority, waiting.start_tag, waiting.arrival
            grants = self.recent_grants.get(waiting.request.workspace_name)
            fairness_level = grants.now(now_s) // step if grants else 0.0
            if is_scarce and rank != RANK_INTERRUPTED:
                return RANK_ON_TIME, priority, route_priority, fairness_level, waiting.arrival
            return rank, priority, route_priority, fairness_level, -waiting.arrival

        return sorted(self.waiting, key=sort_key)

    def grant(self, waiting: QueuedRequest, record: UpstreamRecord) -> None:
        """Remove a request from the queue and admit it to the upstream."""
        self.waiting.remove(waiting)
        self.virtual_time = max(self.virtual_time, waiting.start_tag)
        self.count_grant(waiting.request.workspace_name)
        self.record_granted(self.regions_of(waiting.request))
        if not waiting.outcome.done():
            waiting.outcome.set_result(record)

    def count_grant(self, workspace: str) -> None:
        """Count an admission towards the fair share of its workspace."""
        self.recent_grants.setdefault(workspace, RecentGrants()).add(time.monotonic())
        if len(self.recent_grants) > IDLE_WORKSPACES_MAX:
            self.recent_grants.clear()

    def refuse(self, waiting: QueuedRequest, retry_after_s: float) -> None:
        """Remove a request from the queue; its caller may retry after ``retry_after_s`` seconds."""
        self.waiting.remove(waiting)
        if not waiting.outcome.done():
            waiting.outcome.set_result(retry_after_s)

    def record_granted(self, regions: AllowedRegions = None) -> None:
        """Count an admission towards the admission rate."""
        self.granted_at_s.append(time.monotonic())
        if regions is not None:
            self.rates_in(regions).granted_at_s.append(time.monotonic())

    def record_arrived(self, regions: AllowedRegions = None) -> None:
        """Count a request's first arrival towards the arrival rate."""
        self.arrived_at_s.append(time.monotonic())
        if regions is not None:
            self.rates_in(regions).arrived_at_s.append(time.monotonic())

    def rates_in(self, regions: frozenset[str]) -> RegionalRates:
        """Return the rates of the requests that are limited to the regions."""
        if regions not in self.regional and len(self.regional) >= REGION_SETS_MAX:
            self.regional.clear()
        return self.regional.setdefault(regions, RegionalRates())

    def is_scarce(self) -> bool:
        """Return whether all upstreams state limits and together take fewer than arrive."""
        return self.limited is not None and self.arrivals_per_s() > self.limited.rate_per_s

    def arrivals_per_s(self) -> float:
        """Return the requests per second that arrived within the last window."""
        return recent_per_s(self.arrived_at_s)

    def rate_per_s(self, share_per_s: float) -> float:
        """Return the estimated admissions per second.

        This is the rate over the last window.  A queue that formed less than a window ago has too
        few samples; the entry's share of the upstreams' capacity is then used if it is higher.
        Admissions of requests that are limited to regions don't count.
        """
        measured_per_s = recent_per_s(self.granted_at_s)
        for rates in self.regional.values():
            measured_per_s -= recent_per_s(rates.granted_at_s)
        return estimated_per_s(share_per_s, measured_per_s, self.formed_at_s)

    def flow(self, capacity_share_per_s: float) -> QueueFlow:
        """Return the expected admissions of the requests that any upstream may serve."""
        rate, first_in_s = self.rate_per_s(capacity_share_per_s), 0.0
        if self.limited is not None:
            rate, first_in_s = self.limited
        arrivals_per_s = self.arrivals_per_s()
        for rates in self.regional.values():
            arrivals_per_s -= recent_per_s(rates.arrived_at_s)
        return QueueFlow(rate, late_per_s(rate, arrivals_per_s), first_in_s)

    def flow_in(self, regions: frozenset[str], capacity_share_per_s: float) -> QueueFlow:
        """Return the expected admissions of the requests that are limited to the regions."""
        rates = self.rates_in(regions)
        formed_at_s = min(
            (
                waiting.queued_at_s
                for waiting in self.waiting
                if self.regions_of(waiting.request) == regions
            ),
            default=time.monotonic(),
        )
        rate = estimated_per_s(capacity_share_per_s, recent_per_s(rates.granted_at_s), formed_at_s)
        return QueueFlow(rate, late_per_s(rate, recent_per_s(rates.arrived_at_s)))

    def shed_excess(
        self,
        capacity_share_per_s: float,
        capacity_share_in: Callable[[frozenset[str]], float] = lambda regions: 0.0,
    ) -> None:
        """Refuse the requests whose estimated wait exceeds their latest start.

        Late requests are overtaken by requests that arrive and can still meet their goal.
        Removing a request shortens only the waits behind it, so one pass in order is enough.
        Where all upstreams state limits, ``limited`` takes the place of the measured rate.  While
        they are scarce, one request waits for the next place, and others only for a moment.  No
        estimate ends the wait of a request that may have run: its caller would learn nothing.
        Requests that are limited to different regions wait for different places.
        """
        now_s, is_scarce = time.monotonic(), self.is_scarce()
        flows: dict[AllowedRegions, QueueFlow] = {None: self.flow(capacity_share_per_s)}
        for waiting in self.ordered():
            regions = self.regions_of(waiting.request)
            if regions is not None and regions not in flows:
                flows[regions] = self.flow_in(regions, capacity_share_in(regions))
            flow = flows[regions]
            is_late = waiting.rank(now_s) in (RANK_LATE_REPEAT, RANK_LATE)
            wait_s = flow.wait_s(is_late)
            latest_start_s = waiting.latest_start_s
            if is_scarce and not flow.is_first():
                latest_start_s = min(latest_start_s, waiting.queued_at_s + LIMITED_WAIT_S)
            if not waiting.request.is_refusable():
                is_refused = now_s > waiting.latest_start_s
            else:
                is_refused = now_s + wait_s > latest_start_s
            if is_refused:
                self.refuse(waiting, wait_s)
            else:
                flow.add(is_late)


def estimated_per_s(share_per_s: float, measured_per_s: float, formed_at_s: float) -> float:
    """Return the admissions per second of a queue that formed at that monotonic time."""
    if time.monotonic() - formed_at_s < RATE_WINDOW_S:
        return max(share_per_s, measured_per_s, RATE_MIN_PER_S)
    return max(RATE_MIN_PER_S, measured_per_s)


def late_per_s(per_s: float, arrivals_per_s: float) -> float:
    """Return the admissions per second that late requests get, which new ones overtake."""
    return max(per_s - OVERTAKING_SHARE * arrivals_per_s, LATE_SHARE_MIN * per_s)


def recent_per_s(times: deque[float]) -> float:
    """Return the rate per second of the times within the window; drop the older ones."""
    oldest_s = time.monotonic() - RATE_WINDOW_S
    while times and times[0] < oldest_s:
        times.popleft()
    return len(times) / RATE_WINDOW_S
