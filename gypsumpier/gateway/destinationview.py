"""Types of the JSON object that states where a request would go.

Times are in seconds.  A field that does not apply is None.
"""

from typing import TypedDict


class PassedView(TypedDict):
    """An upstream, and why the request would not go there; ``reason`` is None where it could."""

    upstream: str
    zone: str
    region: str
    load: int
    slots: int
    impaired: bool
    reason: str | None
    ends_in_s: float | None
    delay_s: float | None


class RefusalView(TypedDict):
    """The refusal that the request would get; ``positions`` number its suspected prompt parts."""

    code: int
    name: str
    status: int
    detail: str
    positions: list[int]
    ends_in_s: float | None


class WaitView(TypedDict):
    """The estimated wait in the queue, and how many requests would be served before this one.

    The entry refuses the request if ``wait_s``, the wait for those requests, is too long.
    ``admitted_in_s`` includes the wait for its own place.  ``next_place_in_s`` is the first
    known end of an obstacle.
    """

    ahead: int
    wait_s: float
    admitted_in_s: float
    next_place_in_s: float | None


class ServiceView(TypedDict):
    """Where a request to one service of the route would go.

    ``share`` is the service's share of the route's requests.  ``chosen`` is the upstream that would
    get the request.  If ``drawn`` is not 0, the entry compares so many of ``comparable`` upstreams
    that it draws at random; ``chosen`` is the best of all.  ``counts`` holds the number of
    upstreams by reason, ``omitted`` how many are missing in ``upstreams``.
    """

    service: str
    share: float
    chosen: str | None
    comparable: int
    drawn: int
    wait: WaitView | None
    refusal: RefusalView | None
    counts: dict[str, int]
    upstreams: list[PassedView]
    omitted: int


class DestinationView(TypedDict):
    """Where a request would go now, by what the entry knows.

    ``proof_age_s`` is the age of the configuration's freshness proof, and from ``proof_limit_s`` on
    requests with a key are refused.  ``loads_age_s`` holds the age of the loads that other entries
    of the zone and other zones have reported.  ``trial`` is set if the request would try suspected
    parts of its prompt.  ``notes`` state what the question left open.
    """

    entry: str
    zone: str
    configuration: int | None
    proof_age_s: float | None
    proof_limit_s: float
    loads_age_s: dict[str, float]
    route: str | None
    workspace: str | None
    regions: list[str] | None
    trial: bool
    refusal: RefusalView | None
    services: list[ServiceView]
    notes: list[str]
