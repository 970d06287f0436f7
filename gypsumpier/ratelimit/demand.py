"""The share of an upstream's limit that this entry may use.

Entries tell each other how many requests they get for each service; an entry's share of a limit is
its share of these requests.  So callers are refused alike at every entry, and what a quiet entry
does not need is used by the others.
"""

import hashlib
import math
import time
from collections.abc import Callable
from typing import Final, NamedTuple, Protocol

from gypsumpier.mesh.mesh import ENTRY
from gypsumpier.mesh.peer import Peer

DEMAND_MIN_PER_S: Final = 0.2
"""Requests a second that an entry is assumed to get at least, so that its first one has a share."""
ZONE_KEPT_S: Final = 30.0
"""Seconds for which the demand of a zone counts that is no longer heard of.  It may be cut off from
this one alone, and goes on to use its share."""
ENTRY_KEPT_S: Final = 3.0
"""The same for an entry of the own zone; its callers are with the others as soon as it has gone."""

Demand = dict[str, float]
"""Requests per second by service."""


class ReportedDemand(NamedTuple):
    """The demand that was reported last, and when, in monotonic seconds."""

    per_s: Demand
    at_s: float


class PeerSource(Protocol):
    """The entries that are connected; a mesh is one."""

    own: Peer

    def peers(self, role: str = ENTRY, zone: str = "") -> list[Peer]:
        """Return the connected peers of a role, in one zone or in all."""


class DemandShares:
    """Knows the demand at this entry and what others have reported of theirs.

    ``own_per_s`` returns the requests per second that this entry gets for a service.  ``zones`` are
    all zones of the deployment; one that has not been heard of counts as much as the own one.
    """

    def __init__(
        self, mesh: PeerSource, zones: frozenset[str], own_per_s: Callable[[str], float]
    ) -> None:
        self.mesh = mesh
        self.zones = zones
        self.own_per_s = own_per_s
        self.by_entry: dict[str, ReportedDemand] = {}
        self.by_zone: dict[str, ReportedDemand] = {}

    def record(self, peer: Peer, zone: str, per_s: Demand) -> None:
        """Record the demand at an entry of the own zone, or of the whole of another ``zone``."""
        reported = ReportedDemand(per_s, time.monotonic())
        if zone:
            self.by_zone[zone] = reported
        elif peer.zone == self.mesh.own.zone:
            self.by_entry[peer.name] = reported

    def own_demand(self, service: str) -> float:
        """Return the requests per second at this entry, at least a few."""
        return max(DEMAND_MIN_PER_S, self.own_per_s(service))

    def zone_demand(self, service: str) -> float:
        """Return the requests per second at the entries of the own zone.

        A connected one that has not reported yet counts as much as this one.
        """
        own_per_s, oldest_s = self.own_demand(service), time.monotonic() - ENTRY_KEPT_S
        total_per_s = own_per_s
        for peer in self.mesh.peers(ENTRY, self.mesh.own.zone):
            reported = self.by_entry.get(peer.name)
            if reported is None or reported.at_s < oldest_s:
                total_per_s += own_per_s
            else:
                total_per_s += max(DEMAND_MIN_PER_S, reported.per_s.get(service, 0.0))
        return total_per_s

    def share(self, service: str) -> float:
        """Return this entry's share of the requests for a service, above 0 and at most 1."""
        zone_per_s, oldest_s = self.zone_demand(service), time.monotonic() - ZONE_KEPT_S
        total_per_s = zone_per_s
        for zone in self.zones - {self.mesh.own.zone}:
            reported = self.by_zone.get(zone)
            if reported is None:
                total_per_s += zone_per_s
            elif reported.at_s >= oldest_s:
                total_per_s += reported.per_s.get(service, 0.0)
        return self.own_demand(service) / total_per_s

    def phase(self, upstream: str) -> float:
        """Return the part of a first token, from 0 to 1, that this entry begins with.

        The entries' turns to send a request are spread evenly by their names, and another one is
        first for each upstream.
        """
        names = sorted(peer.name for peer in self.mesh.peers(ENTRY))
        rank = sum(name < self.mesh.own.name for name in names)
        digest = hashlib.blake2b(upstream.encode(), digest_size=4).digest()
        offset = int.from_bytes(digest, "big") / 2**32
        return ((rank + 0.5) / (len(names) + 1) + offset) % 1.0


def finite_rate(per_s: float) -> float:
    """Return a rate that a message holds; raise ValueError where it is none."""
    if not (math.isfinite(per_s) and per_s >= 0):
        raise ValueError(f"{per_s!r} is no rate")
    return float(per_s)
