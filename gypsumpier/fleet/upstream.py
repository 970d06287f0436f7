"""What the platform publishes about one upstream."""

from typing import NamedTuple


class LoadedLayers(NamedTuple):
    """A range of a model's layers, ``end`` excluded, that an engine holds at one version."""

    model: str
    version: int
    start: int
    end: int


class UpstreamRecord(NamedTuple):
    """One upstream instance.  ``started_ms`` distinguishes successive runs under one id.

    ``sequence`` increases with each report of a run, also with those that change no record.
    ``is_leaving`` upstreams are draining: they finish their requests and accept no new ones.
    ``cold_left_s`` is how much longer it was cold when the record was written; ``states_cold`` is
    set if the record says so, be it 0.
    """

    id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    is_leaving: bool
    started_ms: int
    layers: tuple[LoadedLayers, ...]
    sequence: int = 0
    cold_left_s: float = 0.0
    states_cold: bool = False

    def run_key(self) -> tuple[str, int]:
        """Return the key that identifies one run of one upstream."""
        return self.id, self.started_ms


def whole_version(layers: tuple[LoadedLayers, ...], layer_count: int) -> int:
    """Return the version of which every layer is loaded; 0 where layers are missing or differ."""
    versions = {loaded.version for loaded in layers}
    if len(versions) != 1 or not layer_count:
        return 0
    held = {
        number for loaded in layers for number in range(loaded.start, min(loaded.end, layer_count))
    }
    return versions.pop() if len(held) == layer_count else 0
