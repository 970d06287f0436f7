"""The names of the entries of each zone, which are kept while an entry may run somewhere."""

from typing import Final

from gypsumpier.coldstart.knownentry import KnownEntry
from gypsumpier.fleet.clock import boot_time_s

KEPT_S: Final = 3600.0
"""Seconds for which an entry counts that was not heard of, unless it said goodbye: it may be cut
off from this one alone."""
GOODBYE_S: Final = 2.0
"""Seconds for which an entry counts that said goodbye: larger shares of the others must not meet
what it sent in its last second."""
ZONE_NAMES_MAX: Final = 1024
"""Names kept for each zone; the largest zone that is planned has fewer than a hundred entries."""
ZONES_MAX: Final = 256
"""Zones of which names are kept; 36 are planned."""


class KnownEntries:
    """Known entries by zone and name.  Times are those of ``boot_time_s``.

    ``left_at_s`` holds when entries said goodbye; what is said of them from before does not count.
    """

    def __init__(self) -> None:
        self.zones: dict[str, dict[str, KnownEntry]] = {}
        self.left_at_s: dict[str, float] = {}

    def record_seen(self, zone: str, name: str, seen_at_s: float) -> None:
        """Record that the entry was alive at that time."""
        if seen_at_s <= self.left_at_s.get(name, float("-inf")):
            return
        self.left_at_s.pop(name, None)
        now_s = boot_time_s()
        if zone not in self.zones and len(self.zones) >= ZONES_MAX:
            return
        names = self.zones.setdefault(zone, {})
        known = names.get(name)
        if known is not None:
            names[name] = KnownEntry(known.since_s, max(known.seen_at_s, seen_at_s))
        elif seen_at_s > now_s - KEPT_S and len(names) < ZONE_NAMES_MAX:
            names[name] = KnownEntry(now_s, seen_at_s)

    def record_goodbye(self, zone: str, name: str) -> None:
        """Count an entry that ends for a moment longer, and nothing that is older news of it."""
        now_s = boot_time_s()
        self.left_at_s[name] = now_s
        known = self.names(zone).get(name)
        if known is not None:
            self.zones[zone][name] = known._replace(seen_at_s=now_s - KEPT_S + GOODBYE_S)

    def names(self, zone: str) -> dict[str, KnownEntry]:
        """Return the known entries of a zone."""
        return self.zones.get(zone, {})

    def known_s(self, zone: str, name: str) -> float:
        """Return for how many seconds the name has been known; 0 if it isn't."""
        known = self.names(zone).get(name)
        return boot_time_s() - known.since_s if known else 0.0

    def drop_expired(self) -> None:
        """Drop the entries that were not heard of for long."""
        oldest_s = boot_time_s() - KEPT_S
        for zone, names in list(self.zones.items()):
            for name in [name for name, known in names.items() if known.seen_at_s <= oldest_s]:
                del names[name]
            if not names:
                del self.zones[zone]
        self.left_at_s = {name: at_s for name, at_s in self.left_at_s.items() if at_s > oldest_s}
