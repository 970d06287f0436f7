"""The interface of one constraint on the choice of upstreams."""

from typing import Protocol

from gypsumpier.eligibility.needs import Needs
from gypsumpier.eligibility.obstacle import Obstacle
from gypsumpier.fleet.upstream import UpstreamRecord


class Constraint(Protocol):
    """Decides by one criterion whether a request may go to an upstream."""

    def obstacle(self, record: UpstreamRecord, needs: Needs) -> Obstacle | None:
        """Return why the request may not go to the upstream now; None if it may."""
