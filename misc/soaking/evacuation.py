"""One evacuation of a zone in the soak test."""

from typing import NamedTuple


class ZoneEvacuation(NamedTuple):
    """The upstreams of a zone that was evacuated, from the acknowledgement to the removal."""

    zone: str
    upstreams: frozenset[str]
    began_at_s: float
    ended_at_s: float = float("inf")
