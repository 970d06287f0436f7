"""Schedule by which the engines of a service switch to a newly named version of the weights.

Every process computes the same schedule from what the platform publishes, so that no coordination
is needed.  Engines switch one after the other ("turns"), between the time by which the pieces can
have arrived and the time by which the version must be in force.  Times are those of
``boot_time_s``.
"""

from typing import Final, NamedTuple

from gypsumpier.fleet.state import FleetState
from gypsumpier.fleet.upstream import whole_version

FIRST_TURN_SHARE: Final = 0.55
"""Share of the time limit for a version to be in force after which the first engine drains.  Its
last pieces arrive while it finishes its running requests."""
LAST_TURN_SHARE: Final = 0.8
"""Share of that time limit by which the last engine has its turn.  Entries stop using older weights
a fixed time before the limit, and an engine whose turn came later would be idle until then."""


class SwitchTurn(NamedTuple):
    """The time at which an engine may switch, and the version."""

    at_s: float
    version: int


class SwitchSchedule:
    """Turns of the engines of every service, cached until the fleet state changes.

    ``in_force_s`` is the time limit in seconds for a version to be in force.
    """

    def __init__(self, fleet_state: FleetState, in_force_s: float) -> None:
        self.fleet_state = fleet_state
        self.in_force_s = in_force_s
        self.turns_by_service: dict[str, dict[str, SwitchTurn]] = {}
        fleet_state.listeners.append(self.turns_by_service.clear)

    def turn(self, service: str, address: str) -> SwitchTurn | None:
        """Return the turn of the engine at ``address`` (IP:PORT); None where it has none.

        That is where no version was named or the engine is not in the schedule.
        """
        if service not in self.turns_by_service:
            self.turns_by_service[service] = self.turns(service)
        return self.turns_by_service[service].get(address)

    def turns(self, service: str) -> dict[str, SwitchTurn]:
        """Compute the turn of each engine of the service, by its address."""
        configuration = self.fleet_state.configuration
        definition = configuration.services.get(service) if configuration else None
        if definition is None or definition.model is None:
            return {}
        named = [
            wanted
            for model in definition.model.models
            for wanted in self.fleet_state.versions.get(model, [])
        ]
        if not named:
            return {}
        newest = named[-1]
        within_limit_from_s = newest.earliest_named_at_s - self.in_force_s
        # A recently named version keeps its own time limit, which a newer one must not extend.
        first_s = min(
            wanted.earliest_named_at_s
            for wanted in named
            if wanted.earliest_named_at_s >= within_limit_from_s
        )
        last_turn_s = first_s + LAST_TURN_SHARE * self.in_force_s
        first_turn_s = first_s + FIRST_TURN_SHARE * self.in_force_s
        pieces_arrived_s = newest.earliest_named_at_s + FIRST_TURN_SHARE * self.in_force_s
        first_turn_s = min(max(first_turn_s, pieces_arrived_s), last_turn_s)
        addresses = switch_order(self.fleet_state, service, definition.model.layers)
        # Both are -inf where nothing is known of the time of the naming.
        span_s = last_turn_s - first_turn_s if first_turn_s < last_turn_s else 0.0
        step_s = span_s / max(1, len(addresses))
        return {
            address: SwitchTurn(first_turn_s + step_s * rank, newest.version)
            for rank, address in enumerate(addresses)
        }


def switch_order(fleet_state: FleetState, service: str, layer_count: int) -> list[str]:
    """Return the addresses of a service's serving engines in the order of their turns.

    Successive engines are of different availability zones, as long as several have engines left.
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
