"""Reports requests for which no upstream of their regions exists."""

from collections import Counter as Counts
from collections.abc import Iterable
from typing import Final

from prometheus_client import Counter

from gypsumpier.eligibility.regions import RegionConstraint
from gypsumpier.fleet.upstream import UpstreamRecord
from gypsumpier.gateway.request import GatewayRequest
from gypsumpier.log import decision
from gypsumpier.loginterval import LogInterval
from gypsumpier.metrics import REGISTRY

LOG_INTERVAL_S: Final = 1.0
"""Seconds between two log lines about the same service and regions; each request is counted."""
UNKNOWN_REGION: Final = "unknown"
"""Region, in the log, of upstreams in zones that the settings don't list."""

REQUESTS_OUT_OF_REGIONS: Final = Counter(
    "gypsumpier_requests_without_region",
    "Times that a request had no upstream in the regions that are allowed for it.",
    ["service"],
    registry=REGISTRY,
)


class RegionReport:
    """Counts these requests, and logs some of them."""

    def __init__(self, constraint: RegionConstraint) -> None:
        self.constraint = constraint
        self.lines = LogInterval(LOG_INTERVAL_S)

    def record(
        self,
        request: GatewayRequest,
        regions: frozenset[str],
        upstreams: Iterable[UpstreamRecord],
    ) -> None:
        """Record that none of the ``upstreams`` that are in the regions may serve the request."""
        REQUESTS_OUT_OF_REGIONS.labels(request.service).inc()
        if not self.lines.is_due((request.service, regions)):
            return
        known = Counts(
            self.constraint.region(record) or UNKNOWN_REGION
            for record in upstreams
            if record.service == request.service
        )
        decision(
            "no_upstream_in_regions",
            request=request.head.request_id,
            service=request.service,
            regions=sorted(regions),
            known=dict(sorted(known.items())),
            attempts=request.attempts,
        )
