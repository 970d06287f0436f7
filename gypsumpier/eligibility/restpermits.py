"""Spaces out the requests that an upstream gets after a rest."""

from gypsumpier.eligibility.needs import Needs
from gypsumpier.eligibility.obstacle import Obstacle, Reason
from gypsumpier.fleet.upstream import UpstreamRecord
from gypsumpier.statement.rests import Rests


class RestPermitsConstraint:
    """After a rest requests follow as earlier ones are answered.

    The end is not known: an answer may permit more requests at any time.
    """

    def __init__(self, rests: Rests) -> None:
        self.rests = rests

    def obstacle(self, record: UpstreamRecord, needs: Needs) -> Obstacle | None:
        if not self.rests.known or self.rests.allows(record):
            return None
        return Obstacle(Reason.REST)
