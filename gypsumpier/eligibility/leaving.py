"""Keeps requests from upstreams that leave."""

from gypsumpier.eligibility.needs import Needs
from gypsumpier.eligibility.obstacle import Obstacle, Reason
from gypsumpier.fleet.upstream import UpstreamRecord
from gypsumpier.statement.leaving import LeavingUpstreams


class LeavingConstraint:
    """An upstream that leaves, by its record or by its own answers, gets no new request."""

    def __init__(self, leaving: LeavingUpstreams) -> None:
        self.leaving = leaving

    def obstacle(self, record: UpstreamRecord, needs: Needs) -> Obstacle | None:
        if record.is_leaving or self.leaving.is_leaving(record):
            return Obstacle(Reason.LEAVING)
        return None
