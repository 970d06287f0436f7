"""Finds upstreams of which no stream gets an event any more."""

import time
from typing import Final, NamedTuple

from gypsumpier.gateway.request import GatewayRequest
from gypsumpier.statement.run import RunKey

STREAM_PAUSE_S: Final = 0.5
"""Seconds without an event after which a stream that is under way pauses; in a lasting overload the
longest pause of an engine that goes on is about 0.33 s."""


class RequestInFlight(NamedTuple):
    """A request that was admitted to an upstream at ``since_s``, in monotonic seconds."""

    request: GatewayRequest
    since_s: float


class StreamWatch:
    """The requests of this entry in flight, by the run of their upstream and by their identity."""

    def __init__(self) -> None:
        self.in_flight: dict[RunKey, dict[int, RequestInFlight]] = {}

    def begin(self, request: GatewayRequest, run: RunKey) -> None:
        """Watch a request that was admitted to the upstream."""
        found = self.in_flight.setdefault(run, {})
        found[id(request)] = RequestInFlight(request, time.monotonic())

    def end(self, request: GatewayRequest, run: RunKey) -> None:
        """Stop watching a request that is no longer in flight at the upstream."""
        found = self.in_flight.get(run, {})
        found.pop(id(request), None)
        if not found:
            self.in_flight.pop(run, None)

    def paused(self) -> list[RunKey]:
        """Return the upstreams with streams under way of which all pause.

        A stream is under way once it has had an event of that upstream.
        """
        now_s = time.monotonic()
        paused = []
        for run, found in self.in_flight.items():
            event_at_s = [
                request.last_event_at_s
                for request, since_s in found.values()
                if request.last_event_at_s > since_s
            ]
            if event_at_s and now_s - max(event_at_s) > STREAM_PAUSE_S:
                paused.append(run)
        return paused
