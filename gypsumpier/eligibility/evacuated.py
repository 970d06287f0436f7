"""Keeps requests from the upstreams of evacuated zones."""

from gypsumpier.eligibility.needs import Needs
from gypsumpier.eligibility.obstacle import Obstacle, Reason
from gypsumpier.fleet.evacuations import Evacuations
from gypsumpier.fleet.upstream import UpstreamRecord


class EvacuatedConstraint:
    """An upstream of an evacuated zone gets no new request; its running ones go on."""

    def __init__(self, evacuations: Evacuations) -> None:
        self.evacuations = evacuations

    def obstacle(self, record: UpstreamRecord, needs: Needs) -> Obstacle | None:
        return Obstacle(Reason.EVACUATED) if record.zone in self.evacuations.zones else None
