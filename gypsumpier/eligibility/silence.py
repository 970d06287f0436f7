"""Keeps requests from engines that the entries together take for silent."""

from gypsumpier.eligibility.needs import Needs
from gypsumpier.eligibility.obstacle import Obstacle, Reason
from gypsumpier.fleet.upstream import UpstreamRecord
from gypsumpier.upstream.silences import Silences


class SilenceConstraint:
    """An engine that is silent gets no request until the entries have heard from it."""

    def __init__(self, silences: Silences) -> None:
        self.silences = silences

    def obstacle(self, record: UpstreamRecord, needs: Needs) -> Obstacle | None:
        if not self.silences.known or not self.silences.is_silent(record):
            return None
        return Obstacle(Reason.SILENT)
