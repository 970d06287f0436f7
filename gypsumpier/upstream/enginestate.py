"""What the sidecar beside an engine tells of it, fresher than the platform's list."""

from typing import Any, NamedTuple

from gypsumpier.fleet.upstream import LoadedLayers


class EngineState(NamedTuple):
    """One engine at ``address``, its text IP:PORT.

    ``sequence`` grows with each state that one run of the sidecar tells.  An engine that
    ``is_switching`` finishes what it runs and starts nothing until it has loaded.
    ``pace`` is how many times as long as usual it works.
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
        """Return the state as it travels."""
        return [*self[:-1], [list(part) for part in self.layers]]


def engine_state_from(found: Any) -> EngineState:
    """Return the state that a message holds; raise ValueError or TypeError where it is wrong."""
    address, run, sequence, is_switching, active, queued, pace, layers = found
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
