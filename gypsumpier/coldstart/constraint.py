"""Keeps requests from cold upstreams for which this entry has no permit."""

from gypsumpier.coldstart.coldstart import ColdStart
from gypsumpier.eligibility.needs import Needs
from gypsumpier.eligibility.obstacle import Obstacle, Reason
from gypsumpier.fleet.upstream import UpstreamRecord


class ColdConstraint:
    """A cold upstream gets a request only within this entry's share of its allowance."""

    def __init__(self, cold: ColdStart) -> None:
        self.cold = cold

    def obstacle(self, record: UpstreamRecord, needs: Needs) -> Obstacle | None:
        if not self.cold.is_any_cold() or self.cold.has_permit(record):
            return None
        return Obstacle(Reason.COLD, self.cold.free_at_s(record))
