"""Chooses the entries that watch the platform and the streams between entries.

All functions are pure and stable: an entry that joins or leaves changes few streams.  Entries with
different member lists may choose differently; the only effect is a few additional watchers in a
zone, or a superfluous stream.
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
    """Return the members in ascending order of their rendezvous scores."""
    return sorted(members, key=lambda member: (score(key, member.name), member.name))


def watchers(zone: str, entries: Iterable[Member], count: int) -> list[Member]:
    """Return the zone's watchers: its ``count`` lowest-scored entries that are not leaving."""
    candidates = [entry for entry in entries if entry.zone == zone and not entry.leaving]
    return ranked(zone, candidates)[:count]


def zones_after(zone: str, zones: Iterable[str], ring: int) -> list[str]:
    """Return the other zones in the order of the numbered ring, starting after the zone."""
    order = sorted(set(zones) | {zone}, key=lambda one: (score(f"ring {ring}", one), one))
    place = order.index(zone)
    return order[place + 1 :] + order[:place]


def peers(own: Member, entries: list[Member], failing: Collection[str], count: int) -> list[Member]:
    """Return the entries to which ``own`` dials a stream; ``failing`` names those to skip.

    An entry that is not a watcher dials its zone's watchers.  A watcher dials the watchers of its
    zone that rank before it.  The zones form ``count`` rings.  To keep each ring closed, one
    watcher of the zone dials a reachable watcher of the next zone that has one.
    """
    reachable = [entry for entry in entries if entry.name not in failing]
    zone_watchers = watchers(own.zone, reachable, count)
    names = [member.name for member in zone_watchers]
    if own.name not in names:
        return zone_watchers
    index = names.index(own.name)
    chosen = zone_watchers[:index]
    for ring in range(count):
        if ring % len(names) == index:
            chosen += next_zone_watcher(own.zone, entries, failing, ring, count)
    return chosen


def next_zone_watcher(
    zone: str, entries: list[Member], failing: Collection[str], ring: int, count: int
) -> list[Member]:
    """Return a reachable watcher of the next zone on the ring that has one, or an empty list.

    A zone with no reachable watcher is skipped as a whole, as it is most likely cut off.
    """
    zones = {entry.zone for entry in entries if not entry.leaving}
    for other in zones_after(zone, zones, ring):
        for candidate in watchers(other, entries, count):
            if candidate.name not in failing:
                return [candidate]
    return []
