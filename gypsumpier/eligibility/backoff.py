"""Keeps requests from upstreams, and from zones, that have failed a moment ago."""

from gypsumpier.eligibility.needs import Needs
from gypsumpier.eligibility.obstacle import Obstacle, Reason
from gypsumpier.fleet.upstream import UpstreamRecord
from gypsumpier.upstream.health import HealthTracker


class BackoffConstraint:
    """Neither the upstream nor, where it is another one, its zone may be in backoff.

    ``zone`` is that of the entry.
    """

    def __init__(self, health: HealthTracker, zone_health: HealthTracker, zone: str) -> None:
        self.health = health
        self.zone_health = zone_health
        self.zone = zone

    def obstacle(self, record: UpstreamRecord, needs: Needs) -> Obstacle | None:
        run = record.run_key() if self.health.health_by_run else None
        if run is not None and not self.health.is_usable(run):
            return Obstacle(Reason.BACKOFF, self.health.backoff_ends_at_s(run))
        if record.zone == self.zone or not self.zone_health.health_by_run:
            return None
        if self.zone_health.is_usable((record.zone, 0)):
            return None
        return Obstacle(Reason.BACKOFF, self.zone_health.backoff_ends_at_s((record.zone, 0)))
