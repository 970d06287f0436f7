"""Headroom at upstreams for requests that have less time than others of the same service.

Routes of one service may have goals that differ widely.  In a burst of requests that have time, all
places of the engines would be taken by them, and requests with a short goal, which arrive a moment
later, would miss it while the others wait for nothing.  So a request that can still wait leaves a
part of each upstream's places.  Once half of the time that it can wait has passed, it leaves
nothing and takes its turn by its priority.  One that has missed its goal leaves as much again, as
it loses little by a further wait.
"""

import time
from typing import Final

from prometheus_client import Counter

from gypsumpier.fleet.configuration import FleetConfiguration
from gypsumpier.fleet.state import FleetState
from gypsumpier.gateway.request import GatewayRequest
from gypsumpier.metrics import REGISTRY

GOAL_FACTOR_MIN: Final = 1.5
"""Ratio of the longest to the shortest goal of a service's streamed routes from which headroom is
left: less is about the spread of the time to a first event."""
PATIENT_PLACES_SHARE: Final = 0.85
"""Share of an upstream's places up to which requests that can wait take them.  At 12 slots the rest
is two places, about as many requests as arrive there between two exchanges of loads."""
PRESSED_PLACES_SHARE: Final = 0.5
"""The same while most urgent requests start too late.  Requests that can wait are not starved: half
of the places is left to them."""
PRESSURE_MAX: Final = 0.3
"""Share of the urgent requests that start too late from which no more places are left."""
PRESSURE_EWMA_WEIGHT: Final = 0.1
"""Weight of the newest urgent request in that share; an entry gets some ten in a second."""
WAITED_SHARE_MAX: Final = 0.5
"""Share of the time that a request can wait after which it leaves no headroom."""
URGENT_RECENT_S: Final = 1.0
"""Seconds after the last request with a short goal for which headroom is left."""

HEADROOM_WAITS: Final = Counter(
    "gypsumpier_headroom_waits",
    "Times that a request that leaves headroom for shorter goals was not admitted, also where all "
    "places were taken.",
    ["service"],
    registry=REGISTRY,
)


class Headroom:
    """Decides how many of an upstream's places a request leaves to others.

    ``short_goals_s`` holds the shortest goal of the streamed routes of each service whose goals
    differ; it belongs to the configuration ``known``.  ``urgent_at_s`` is the monotonic time at
    which the last request with a short goal arrived, by service, ``late_shares`` the recent share
    of those that started late or were refused.
    """

    def __init__(self, fleet_state: FleetState) -> None:
        self.fleet_state = fleet_state
        self.known: FleetConfiguration | None = None
        self.short_goals_s: dict[str, float] = {}
        self.urgent_at_s: dict[str, float] = {}
        self.late_shares: dict[str, float] = {}

    def short_goal_s(self, service: str) -> float:
        """Return the shortest goal of the service's streamed routes; 0 where none differ."""
        configuration = self.fleet_state.configuration
        if configuration is not self.known:
            self.known = configuration
            self.short_goals_s = differing_goals_s(configuration) if configuration else {}
        return self.short_goals_s.get(service, 0.0)

    def record_arrived(self, request: GatewayRequest) -> None:
        """Record the arrival of a request."""
        short_s = self.short_goal_s(request.service)
        if short_s and not is_patient(request, short_s):
            self.urgent_at_s[request.service] = time.monotonic()

    def record_started(self, request: GatewayRequest, is_on_time: bool) -> None:
        """Record that a request was admitted on time, or that it was admitted late or refused."""
        short_s = self.short_goal_s(request.service)
        if short_s and not is_patient(request, short_s):
            known = self.late_shares.get(request.service, 0.0)
            newest = 0.0 if is_on_time else 1.0
            self.late_shares[request.service] = known + PRESSURE_EWMA_WEIGHT * (newest - known)

    def patient_share(self, service: str) -> float:
        """Return the share of an upstream's places that is for requests that can wait."""
        pressure = min(1.0, self.late_shares.get(service, 0.0) / PRESSURE_MAX)
        return PATIENT_PLACES_SHARE - pressure * (PATIENT_PLACES_SHARE - PRESSED_PLACES_SHARE)

    def places_share(self, request: GatewayRequest, goal_start_s: float) -> float:
        """Return the share of an upstream's places up to which the request may take one now.

        It must start by ``goal_start_s``, in monotonic seconds, to be on time.  A request that may
        have run, or of which an upstream has served a part, never waits for others.
        """
        short_s = self.short_goal_s(request.service)
        if not short_s or is_repeat(request):
            return 1.0
        now_s = time.monotonic()
        if now_s - self.urgent_at_s.get(request.service, float("-inf")) > URGENT_RECENT_S:
            return 1.0
        if now_s > goal_start_s:
            return self.patient_share(request.service)
        received_at_s = request.received_at_s
        patient_until_s = received_at_s + WAITED_SHARE_MAX * (goal_start_s - received_at_s)
        if is_patient(request, short_s) and now_s < patient_until_s:
            return self.patient_share(request.service)
        return 1.0

    def may_pass(self, request: GatewayRequest, places_share: float, full_share: float) -> bool:
        """Return whether the request may take a place that one before it in the queue leaves.

        That one has found none up to ``full_share``.  Patient requests don't pass each other: a
        standing queue is served newest first, and older ones would take the places that it leaves.
        """
        if places_share <= full_share:
            return False
        if is_repeat(request):
            return True
        return not is_patient(request, self.short_goal_s(request.service))


def is_repeat(request: GatewayRequest) -> bool:
    """Return whether the request may have run, or an upstream has served a part of it."""
    return bool(request.attempts or request.is_moving or request.last_event_id)


def is_patient(request: GatewayRequest, short_goal_s: float) -> bool:
    """Return whether the request has much more time than the most urgent ones."""
    return request.route.goal_s >= GOAL_FACTOR_MIN * short_goal_s


def differing_goals_s(configuration: FleetConfiguration) -> dict[str, float]:
    """Return the shortest goal by service where the goals of its streamed routes differ widely."""
    goals_s: dict[str, list[float]] = {}
    for route in configuration.routes:
        if route.is_streamed:
            for target in route.targets:
                goals_s.setdefault(target.service, []).append(route.goal_s)
    return {
        service: min(found)
        for service, found in goals_s.items()
        if max(found) >= GOAL_FACTOR_MIN * min(found) > 0
    }
