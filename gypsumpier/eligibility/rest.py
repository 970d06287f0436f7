"""Keeps requests from upstreams that have asked for a rest."""

from gypsumpier.eligibility.needs import Needs
from gypsumpier.eligibility.obstacle import Obstacle, Reason
from gypsumpier.fleet.upstream import UpstreamRecord
from gypsumpier.statement.rests import Rests


class RestConstraint:
    """An upstream that rests gets no request from this process."""

    def __init__(self, rests: Rests) -> None:
        self.rests = rests

    def obstacle(self, record: UpstreamRecord, needs: Needs) -> Obstacle | None:
        if not self.rests.known or not self.rests.is_resting(record):
            return None
        return Obstacle(Reason.REST, self.rests.known[record.run_key()].until_s)
