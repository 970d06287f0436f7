"""Who watches the platform and which entries hold streams to each other.

All functions are pure, and stable: one entry that comes or goes moves few streams.  Entries with
different member lists may choose differently; then a zone has a few watchers more, or a stream
that nobody needed, and nothing worse.
"""

import hashlib
from collections.abc import Collection, Iterable
from typing import Final

from gypsumpier.external.membership import Member

SCORE_BYTES: Final = 8


def score(key: str, name: str) -> bytes:
    """Return the rendezvous score of the name for the key."""
    return hashlib.blake2b(f"{key}\n{name}".encode(), digest_size=SCORE_BYTES).digest()


def ranked(key: str, members: Iterable[Member]) -> list[Member]:
    """Return the members by rising rendezvous score."""
    return sorted(members, key=lambda member: (score(key, member.name), member.name))


def watchers(zone: str, entries: Iterable[Member], count: int) -> list[Member]:
    """Return the zone's watchers: its entries of the lowest scores that are not leaving."""
    candidates = [entry for entry in entries if entry.zone == zone and not entry.leaving]
    return ranked(zone, candidates)[:count]


def following_zones(zone: str, zones: Iterable[str], ring: int) -> list[str]:
    """Return the other zones in the order of the numbered ring, beginning after the zone."""
    order = sorted(set(zones) | {zone}, key=lambda one: (score(f"ring {ring}", one), one))
    place = order.index(zone)
    return order[place + 1 :] + order[:place]


def peers(own: Member, entries: list[Member], failing: Collection[str], count: int) -> list[Member]:
    """Return the entries to which ``own`` dials a stream; ``failing`` names those passed over.

    An entry that does not watch dials its zone's watchers.  The watchers dial the ones ranked
    before them, and each ring of zones is kept closed by one of them, which dials a watcher of the
    next zone that has one which answers.
    """
    answering = [entry for entry in entries if entry.name not in failing]
    zone_watchers = watchers(own.zone, answering, count)
    names = [member.name for member in zone_watchers]
    if own.name not in names:
        return zone_watchers
    index = names.index(own.name)
    chosen = zone_watchers[:index]
    for ring in range(count):
        if ring % len(names) == index:
            chosen += neighbour(own.zone, entries, failing, ring, count)
    return chosen


def neighbour(
    zone: str, entries: list[Member], failing: Collection[str], ring: int, count: int
) -> list[Member]:
    """Return a watcher of the next zone on the ring that has one, or nothing.

    A zone of which no watcher answers is passed over as a whole: it is most likely cut off.
    """
    zones = {entry.zone for entry in entries if not entry.leaving}
    for other in following_zones(zone, zones, ring):
        for candidate in watchers(other, entries, count):
            if candidate.name not in failing:
                return [candidate]
    return []
