"""How long the upstreams of a service stay cold, and what they tolerate meanwhile."""

from typing import NamedTuple

from gypsumpier.fleet.node import Bounds
from gypsumpier.fleet.service import Service


class ColdRule(NamedTuple):
    """A cold upstream may get ``allowance`` requests in any second, from all entries together.

    It is cold for ``cold_s`` seconds after its start.
    """

    cold_s: float
    allowance: float


def cold_rule(service: Service, excess: float, slack: float) -> ColdRule | None:
    """Return the rule for a service; None if its upstreams are not limited while cold."""
    if service.cold_per_s <= 0:
        return None
    return ColdRule(service.cold_s, service.cold_per_s * excess + slack)


def rules_of(services: dict[str, Service], bounds: Bounds | None) -> dict[str, ColdRule]:
    """Return the rules by service; without bounds, a rule allows what the service states."""
    excess, slack = (bounds.cold_excess, bounds.cold_slack) if bounds else (1.0, 0.0)
    found = {name: cold_rule(service, excess, slack) for name, service in services.items()}
    return {name: rule for name, rule in found.items() if rule is not None}
