"""Estimates how many requests other entries have sent since their last reports.

An entry learns of a free place at the same time as all others of its zone.  How many of them will
take it follows from the rate at which their requests have arrived: the rises between two of their
reports.  No message is needed for it.
"""

import math
import time
from collections.abc import Mapping
from typing import Final, NamedTuple

from gypsumpier.upstream.peerloads import NO_LOAD, Load

RATE_DECAY_S: Final = 0.25
"""Seconds in which the weight of an arrival falls to 1/e.  Two reports of a zone lie within it, and
a burst of 0.1 s still counts while its requests start."""
REPORT_AGE_S: Final = 0.05
"""Longest age, in seconds, of an entry's loads in its own zone: an interval of 20 to 54 ms between
reports.  The mean, half of it, let more requests than slots in (docs/design/even-load.md)."""
ZONE_REPORT_AGE_S: Final = 0.2
"""Longest age, in seconds, of another zone's loads: 0.12 s between two sums, the interval of up to
54 ms at which a relay passes them on, and the ways between and within zones."""


class RecentCount(NamedTuple):
    """A count that decays exponentially, as of ``at_s`` in monotonic seconds."""

    requests: float = 0.0
    at_s: float = 0.0

    def at(self, now_s: float) -> float:
        """Return the decayed count at that time."""
        return self.requests * math.exp((self.at_s - now_s) / RATE_DECAY_S)


NO_COUNT: Final = RecentCount()


class SeenArrivals:
    """Arrivals seen in the reports of other entries, by their zone and by service.

    A report that is lost, late or the first one of an entry adds nothing; what a silent or ended
    entry has added decays.  So the state is bounded by zones and services.
    """

    def __init__(self) -> None:
        self.counts: dict[tuple[str, str], RecentCount] = {}

    def record(
        self,
        zone: str,
        before: Mapping[str, Load],
        after: Mapping[str, Load],
        services: Mapping[str, str],
    ) -> int:
        """Count the rises from one report to the next, and return their sum.

        ``services`` holds the service of each upstream.
        """
        risen: dict[str, int] = {}
        for upstream, load in after.items():
            rise = load.in_flight - before.get(upstream, NO_LOAD).in_flight
            if rise > 0 and upstream in services:
                service = services[upstream]
                risen[service] = risen.get(service, 0) + rise
        now_s = time.monotonic()
        for service, count in risen.items():
            known = self.counts.get((zone, service), NO_COUNT)
            self.counts[zone, service] = RecentCount(known.at(now_s) + count, now_s)
        return sum(risen.values())

    def expected(self, service: str, own_zone: str, zone: str) -> float:
        """Return how many requests others will have sent to the zone's upstreams unseen.

        Those are requests of the own zone's entries and, for another zone, of its entries too.
        """
        if not self.counts:
            return 0.0
        now_s = time.monotonic()
        here = self.counts.get((own_zone, service), NO_COUNT).at(now_s)
        expected = here * REPORT_AGE_S / RATE_DECAY_S
        if zone != own_zone:
            there = self.counts.get((zone, service), NO_COUNT).at(now_s)
            expected += there * ZONE_REPORT_AGE_S / RATE_DECAY_S
        return expected

    def retain(self, services: set[str]) -> None:
        """Drop the counts of services that have no upstream any more."""
        self.counts = {key: count for key, count in self.counts.items() if key[1] in services}
