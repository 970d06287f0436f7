"""Keeps requests from engines that lack the weights they need."""

from typing import Protocol

from gypsumpier.eligibility.needs import Needs
from gypsumpier.eligibility.obstacle import Obstacle, Reason
from gypsumpier.fleet.service import ModelTraits
from gypsumpier.fleet.upstream import UpstreamRecord


class HeldWeights(Protocol):
    """What is known of the weights of engines."""

    def model(self, service: str) -> ModelTraits | None:
        """Return the model traits of the service's engines; None for a plain service."""

    def version(self, record: UpstreamRecord, model: ModelTraits) -> int:
        """Return the version of the weights that the upstream holds completely; 0 if none."""

    def is_switching(self, record: UpstreamRecord) -> bool:
        """Return whether the engine is switching its weights and starts no new request."""


class WeightsConstraint:
    """An engine must hold a complete model of a version that may be used, and not be switching."""

    def __init__(self, held: HeldWeights) -> None:
        self.held = held

    def obstacle(self, record: UpstreamRecord, needs: Needs) -> Obstacle | None:
        model = self.held.model(record.service)
        if model is None:
            return None
        if self.held.version(record, model) < max(1, needs.least_version):
            return Obstacle(Reason.WEIGHTS)
        return Obstacle(Reason.SWITCHING) if self.held.is_switching(record) else None
