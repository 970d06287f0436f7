"""One route: the requests that match it and how they may be handled."""

from typing import NamedTuple

from gypsumpier.fleet.regions import AllowedRegions


class RouteTarget(NamedTuple):
    """A service that serves a share of a route's requests, by relative weight."""

    service: str
    weight: int


class Route(NamedTuple):
    """Requests of one host below one path prefix.  Times are in seconds.

    ``max_attempts`` limits the upstreams that one request may be sent to.  ``is_repeatable`` means
    that a request may run more than once; for a stream, that it may be resumed on another
    upstream.  ``is_public`` routes accept requests without a key.  A lower ``priority`` is served
    first.  Upstreams outside ``allowed_regions`` get none of the requests.
    """

    name: str
    host: str
    prefix: str
    is_streamed: bool
    is_repeatable: bool
    is_public: bool
    timeout_s: float
    goal_s: float
    event_gap_goal_s: float
    priority: int
    max_attempts: int
    targets: tuple[RouteTarget, ...]
    allowed_regions: AllowedRegions = None
