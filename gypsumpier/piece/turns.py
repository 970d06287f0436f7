"""When each engine of a service switches to newly wanted weights.

Every process works out the same turns from what the platform publishes, so nobody has to agree on
them: engines have their turns one after the other between the time by which pieces can have arrived
and the time by which the version must be in force.  Times are those of ``boot_time_s``.
"""

from typing import Final, NamedTuple

from gypsumpier.fleet.state import FleetState
from gypsumpier.fleet.upstream import whole_version

FIRST_TURN_SHARE: Final = 0.55
"""Share of the time in which a version must be in force after which the first engine takes nothing
new any more; its last pieces arrive while it finishes what it runs."""
LAST_TURN_SHARE: Final = 0.88
"""Share of that time by which the last engine has its turn."""


class Turn(NamedTuple):
    """When an engine switches, and to which version."""

    at_s: float
    version: int


class Turns:
    """Turns of the engines of every service, kept until the beliefs change."""

    def __init__(self, fleet_state: FleetState, in_force_s: float) -> None:
        self.fleet_state = fleet_state
        self.in_force_s = in_force_s
        self.turns_by_service: dict[str, dict[str, Turn]] = {}
        fleet_state.listeners.append(self.turns_by_service.clear)

    def turn(self, service: str, address: str) -> Turn | None:
        """Return the turn of the engine at IP:PORT; None where no version was ever named."""
        if service not in self.turns_by_service:
            self.turns_by_service[service] = self.turns(service)
        return self.turns_by_service[service].get(address)

    def turns(self, service: str) -> dict[str, Turn]:
        """Return the turn of each engine of the service by its address."""
        configuration = self.fleet_state.configuration
        found = configuration.services.get(service) if configuration else None
        if found is None or found.model is None:
            return {}
        named = [
            wanted
            for model in found.model.models
            for wanted in self.fleet_state.versions.get(model, [])
        ]
        if not named:
            return {}
        newest = named[-1]
        replaceable_from_s = newest.earliest_named_at_s - self.in_force_s
        # Versions that were named shortly before have to be replaced by their own time.
        first_s = min(
            wanted.earliest_named_at_s
            for wanted in named
            if wanted.earliest_named_at_s >= replaceable_from_s
        )
        last_turn_s = first_s + LAST_TURN_SHARE * self.in_force_s
        first_turn_s = first_s + FIRST_TURN_SHARE * self.in_force_s
        pieces_arrived_s = newest.earliest_named_at_s + FIRST_TURN_SHARE * self.in_force_s
        first_turn_s = min(max(first_turn_s, pieces_arrived_s), last_turn_s)
        addresses = switch_order(self.fleet_state, service, found.model.layers)
        step_s = (last_turn_s - first_turn_s) / max(1, len(addresses))
        return {
            address: Turn(first_turn_s + step_s * rank, newest.version)
            for rank, address in enumerate(addresses)
        }


def switch_order(fleet_state: FleetState, service: str, layer_count: int) -> list[str]:
    """Return the addresses of a service's serving engines in the order of their turns.

    Neighbours in the order are of different availability zones.
    """
    by_zone: dict[str, list[str]] = {}
    for record in fleet_state.upstreams.values():
        if record.service == service and whole_version(record.layers, layer_count):
            by_zone.setdefault(record.zone, []).append(f"{record.host}:{record.port}")
    ranked = [
        (rank, zone, address)
        for zone, addresses in by_zone.items()
        for rank, address in enumerate(sorted(addresses))
    ]
    return [address for _, _, address in sorted(ranked)]
