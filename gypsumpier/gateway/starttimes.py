"""By when a request must start: to meet its goal, and for its caller to wait for the answer."""

from typing import Final

from gypsumpier.gateway.request import GatewayRequest

STREAM_TIMEOUT_MIN_S: Final = 2.0
"""Shortest time, in seconds, after which a caller abandons a stream that has sent no event."""
STREAM_TIMEOUT_GOAL_FACTOR: Final = 4.0
"""Multiple of the goal for the first event that a caller waits, if that is longer."""
STREAM_TIMEOUT_GAP_FACTOR: Final = 8.0
"""Multiple of the goal for the gap between events that a caller waits, if that is longer."""
FIRST_EVENT_ESTIMATE_S: Final = 0.25
"""Initial estimate of the seconds from admission to the first event: a long prompt that an engine
reads beside others.  Observed times replace it."""
FIRST_EVENT_EWMA_WEIGHT: Final = 0.1
"""Weight of the newest request in the moving average of the time to the first event."""
FIRST_EVENT_MARGIN_FACTOR: Final = 1.3
"""Multiple of the mean time to the first event that covers most requests."""
PLAIN_SERVICE_TIME_S: Final = 0.1
"""Assumed processing time, in seconds, of a request to a plain service; above the mean."""


class StartTimes:
    """Estimates these times from what requests have taken to their first event, by service."""

    def __init__(self) -> None:
        self.first_event_estimates_s: dict[str, float] = {}

    def latest_start_s(self, request: GatewayRequest) -> float:
        """Return the monotonic time by which the request must start; later its caller gives up.

        A request that may have run is not given up sooner than its time limit requires; a caller
        that abandons it closes its connection.
        """
        route = request.route
        needed_s = FIRST_EVENT_ESTIMATE_S if route.is_streamed else PLAIN_SERVICE_TIME_S
        latest_start_s = request.ends_at_s - needed_s
        if not (route.is_streamed and request.is_refusable()):
            return latest_start_s
        caller_timeout_s = max(
            STREAM_TIMEOUT_MIN_S,
            STREAM_TIMEOUT_GOAL_FACTOR * route.goal_s,
            STREAM_TIMEOUT_GAP_FACTOR * route.event_gap_goal_s,
        )
        awaited_since_s = request.last_event_at_s or request.received_at_s
        return min(latest_start_s, awaited_since_s + caller_timeout_s - needed_s)

    def goal_start_s(self, request: GatewayRequest) -> float:
        """Return the monotonic time by which the request must be admitted to meet its goal."""
        needed_s = PLAIN_SERVICE_TIME_S
        if request.route.is_streamed:
            estimate_s = self.first_event_estimates_s.get(request.service, FIRST_EVENT_ESTIMATE_S)
            needed_s = FIRST_EVENT_MARGIN_FACTOR * estimate_s
        return request.received_at_s + request.route.goal_s - needed_s

    def record_first_event(self, service: str, took_s: float) -> None:
        """Update the service's estimate with the seconds that a request took to its first event."""
        estimate_s = self.first_event_estimates_s.get(service, FIRST_EVENT_ESTIMATE_S)
        self.first_event_estimates_s[service] = estimate_s + FIRST_EVENT_EWMA_WEIGHT * (
            took_s - estimate_s
        )
