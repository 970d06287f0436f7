"""The state of an engine as its sidecar reports it; fresher than the platform's records."""

from typing import Any, NamedTuple

from gypsumpier.fleet.upstream import LoadedLayers


class EngineState(NamedTuple):
    """The state of the engine at ``address``, given as IP:PORT.

    ``sequence`` grows with each state that one run of the sidecar reports.  While ``is_switching``,
    the engine finishes its running requests and starts no new ones until it has loaded its weights.
    ``pace`` is its processing time as a multiple of the usual one.
    """

    address: str
    run: str
    sequence: int
    is_switching: bool
    active: int
    queued: int
    pace: float
    layers: tuple[LoadedLayers, ...]

    def as_list(self) -> list[Any]:
        """Return the state as a list for a message."""
        return [*self[:-1], [list(part) for part in self.layers]]


def engine_state_from(state_fields: Any) -> EngineState:
    """Return the state from a message; raise ValueError or TypeError if it is malformed."""
    address, run, sequence, is_switching, active, queued, pace, layers = state_fields
    return EngineState(
        str(address),
        str(run),
        int(sequence),
        bool(is_switching),
        int(active),
        int(queued),
        float(pace),
        tuple(
            LoadedLayers(str(model), int(version), int(start), int(end))
            for model, version, start, end in layers
        ),
    )
