"""The requests of one service that wait for a place at an upstream.

Streams that have begun go first.  Requests that can still be on time go before those that can't,
then a lower priority number, then fair shares of the workspaces, then the order of arrival.  One
whose wait is estimated to outlast its caller is refused at once, with the time after which it is
expected to be served.
"""

import asyncio
import time
from collections import deque
from dataclasses import dataclass, field
from typing import Final

from gypsumpier.fleet.upstream import UpstreamRecord
from gypsumpier.gateway.request import GatewayRequest

RATE_WINDOW_S: Final = 2.0
"""Seconds over which the rate of places that become free is measured."""
BEGUN: Final = 0
TIMELY: Final = 1
LATE: Final = 2
"""Ranks of waiting requests; the smallest goes first."""
OVERTAKING_SHARE: Final = 0.7
"""Share of the arrivals seen lately that is expected to go on and to overtake who is late."""
LATE_SHARE: Final = 0.15
"""Share of the places that late requests get at least, in the estimate of their wait."""
RATE_LEAST_PER_S: Final = 0.5
"""Lowest rate that is assumed, so that an estimate stays finite."""
IDLE_WORKSPACES_MAX: Final = 1024


@dataclass(eq=False)
class Waiting:
    """A waiting request; ``latest_s`` and ``goal_s`` are monotonic seconds by which it must begin.

    ``place`` is set to the upstream that it gets, or to the seconds after which to come back.
    """

    request: GatewayRequest
    least_version: int
    start_tag: float
    arrival: int
    latest_s: float
    goal_s: float
    place: "asyncio.Future[UpstreamRecord | float]" = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )

    def rank(self, now_s: float) -> tuple[int, int, float, int]:
        """Return the place in the order; the smallest goes first.

        A stream that has begun goes before everything, as its caller sees the pause.
        """
        rank = BEGUN if self.request.last_event_id else LATE if now_s > self.goal_s else TIMELY
        return rank, self.request.priority, self.start_tag, self.arrival


class WaitingLine:
    """Waiting requests of one service, and how fast places become free."""

    def __init__(self) -> None:
        self.waiting: list[Waiting] = []
        self.finish_tags: dict[str, float] = {}
        self.virtual = 0.0
        self.arrivals = 0
        self.granted_at_s: deque[float] = deque()
        self.arrived_at_s: deque[float] = deque()
        self.formed_at_s = 0.0

    def add(
        self, request: GatewayRequest, least_version: int, latest_s: float, goal_s: float
    ) -> Waiting:
        """Let a request wait."""
        if not self.waiting:
            self.formed_at_s = time.monotonic()
        workspace = request.workspace_name
        start = max(self.virtual, self.finish_tags.get(workspace, 0.0))
        self.finish_tags[workspace] = start + 1.0
        if len(self.finish_tags) > IDLE_WORKSPACES_MAX:
            self.finish_tags = {
                name: tag for name, tag in self.finish_tags.items() if tag > self.virtual
            }
        self.arrivals += 1
        waiting = Waiting(request, least_version, start, self.arrivals, latest_s, goal_s)
        self.waiting.append(waiting)
        return waiting

    def ordered(self) -> list[Waiting]:
        """Return the waiting requests in the order in which they are served."""
        now_s = time.monotonic()
        return sorted(self.waiting, key=lambda waiting: waiting.rank(now_s))

    def grant(self, waiting: Waiting, record: UpstreamRecord) -> None:
        """Give a request its place."""
        self.waiting.remove(waiting)
        self.virtual = max(self.virtual, waiting.start_tag)
        self.note_granted()
        if not waiting.place.done():
            waiting.place.set_result(record)

    def refuse(self, waiting: Waiting, retry_after_s: float) -> None:
        """Tell a request when to come back."""
        self.waiting.remove(waiting)
        if not waiting.place.done():
            waiting.place.set_result(retry_after_s)

    def note_granted(self) -> None:
        """Count a place towards the rate."""
        self.granted_at_s.append(time.monotonic())

    def note_arrived(self) -> None:
        """Count a request that asks for a place for the first time."""
        self.arrived_at_s.append(time.monotonic())

    def rate_per_s(self, share_per_s: float) -> float:
        """Return how many requests a second get a place.

        That is what was seen lately.  A line that has formed less than a window ago has not seen
        enough: this entry's even share of what the upstreams can do then counts, where it is more.
        """
        seen_per_s = recent_per_s(self.granted_at_s)
        if time.monotonic() - self.formed_at_s < RATE_WINDOW_S:
            return max(share_per_s, seen_per_s)
        return max(RATE_LEAST_PER_S, seen_per_s)

    def refuse_hopeless(self, share_per_s: float) -> None:
        """Refuse the requests whose turn is estimated to come too late.

        Requests that are late already are overtaken by those that still arrive in time.  Only those
        behind a hopeless one gain from its leaving, so the order is kept.
        """
        now_s, rate = time.monotonic(), self.rate_per_s(share_per_s)
        overtaking_per_s = OVERTAKING_SHARE * recent_per_s(self.arrived_at_s)
        late_rate = max(rate - overtaking_per_s, LATE_SHARE * rate)
        position = late_position = 0
        for waiting in self.ordered():
            is_late = waiting.rank(now_s)[0] == LATE
            wait_s = position / rate + (late_position / late_rate if is_late else 0.0)
            if now_s + wait_s > waiting.latest_s:
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
