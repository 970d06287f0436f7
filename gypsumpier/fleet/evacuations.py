"""The evacuated zones, also after the store came back from an older copy.

A zone is evacuated while the store holds its key.  A copy from which the store comes back may lack
a key that was written, or hold one that was removed, until the operator's tools repeat the write.
"""

from typing import Any, Final, NamedTuple

from prometheus_client import Gauge

from gypsumpier.fleet.change import EvacuationChange
from gypsumpier.fleet.clock import boot_time_s
from gypsumpier.fleet.position import Position
from gypsumpier.fleet.record import Record
from gypsumpier.log import decision
from gypsumpier.metrics import REGISTRY

REPEAT_S: Final = 6.0
"""Seconds after the return of the store from an older copy within which the operator's tools repeat
the writes that the copy lacks.  What the copy holds is not believed against newer knowledge before
that."""
ENDED_KEPT_S: Final = 120.0
"""Seconds for which the end of an evacuation is remembered; copies of the store are some seconds
old."""
REVISIONS_KEPT: Final = 16
"""Revisions kept of the writes of one key; tools may write the same key again while it exists."""
AGE_MAX_S: Final = 1e6
"""Seconds logged for the age of something of which no time is known."""

EVACUATED_ZONES: Final = Gauge(
    "gypsumpier_evacuated_zones",
    "Zones whose upstreams get no new requests.",
    registry=REGISTRY,
)
EVACUATION_AGE: Final = Gauge(
    "gypsumpier_evacuation_age_seconds",
    "Seconds since the process learned that the zone is evacuated.",
    ["zone"],
    registry=REGISTRY,
)


class Evacuation(NamedTuple):
    """A zone's evacuation: the position of its key, when it was learned, and the key's writes."""

    position: Position
    learned_at_s: float
    revisions: tuple[int, ...]


class Ended(NamedTuple):
    """The end of an evacuation: the position of the removal, and the writes of the key before."""

    position: Position
    revisions: tuple[int, ...]


class Doubt(NamedTuple):
    """A key in the store's copy that is known as removed, and until when a removal may follow."""

    position: Position
    until_s: float


class Evacuations:
    """The evacuated zones of one process.  Times are those of ``boot_time_s``.

    ``zones`` holds those in effect.  ``lost`` maps those of them whose key the store has lost to
    the time from which the store's word that there is no key counts.  ``doubted`` holds the zones
    that are not evacuated although the store's copy has their key.  ``ended`` and ``ended_at_s``
    tell of evacuations that ended lately.
    """

    def __init__(self) -> None:
        self.zones: dict[str, Evacuation] = {}
        self.lost: dict[str, float] = {}
        self.doubted: dict[str, Doubt] = {}
        self.ended: dict[str, Ended] = {}
        self.ended_at_s: dict[str, float] = {}

    def begin_era(self) -> None:
        """Give the operator's tools the time to repeat their writes once more."""
        for zone in self.lost:
            self.lost[zone] = boot_time_s() + REPEAT_S

    def apply(
        self,
        change: EvacuationChange,
        record: Record,
        is_copied: bool,
        proven_at_s: float,
        source: str,
    ) -> None:
        """Apply a key that was written or removed.

        ``is_copied`` is set where that was read in the first snapshot of a new era of the store,
        which may be older than what is known.  At ``proven_at_s``, the time of the last freshness
        proof before, it was not written yet.
        """
        if not change.is_evacuated:
            self.apply_removal(change.zone, record.position, is_copied, source)
        elif is_copied and self.is_of_copy(change.zone, record):
            self.doubted[change.zone] = Doubt(record.position, boot_time_s() + REPEAT_S)
            log_zone("evacuation_doubted", change.zone, record.position, source, REPEAT_S)
        else:
            self.begin(change.zone, record.position, source, boot_time_s() - proven_at_s)

    def is_of_copy(self, zone: str, record: Record) -> bool:
        """Return whether the key was known before the removal that the store has lost."""
        ended = self.ended.get(zone)
        return zone not in self.zones and ended is not None and record.revision in ended.revisions

    def begin(self, zone: str, position: Position, source: str, age_s: float) -> None:
        """Begin an evacuation that was written at most ``age_s`` seconds ago, or confirm it."""
        self.doubted.pop(zone, None)
        known, earlier = self.zones.get(zone), self.ended.get(zone)
        was_lost = self.lost.pop(zone, None) is not None
        revisions = known.revisions if known else earlier.revisions if earlier else ()
        self.zones[zone] = Evacuation(
            position,
            known.learned_at_s if known else boot_time_s(),
            (*revisions, position.revision)[-REVISIONS_KEPT:],
        )
        if known is None:
            log_zone("evacuation_begins", zone, position, source, age_s)
            self.set_metrics(zone)
        elif was_lost:
            log_zone("evacuation_written_again", zone, position, source, age_s)

    def apply_removal(self, zone: str, position: Position, is_copied: bool, source: str) -> None:
        """End the zone's evacuation, or keep it for a while where the store may have lost it."""
        known = self.zones.get(zone)
        if is_copied and known is not None:
            self.lost[zone] = boot_time_s() + REPEAT_S
            log_zone("evacuation_lost", zone, position, source, boot_time_s() - known.learned_at_s)
        elif zone not in self.ended or self.ended[zone].position < position:
            self.end(zone, position, source)

    def end(self, zone: str, position: Position, source: str) -> None:
        """End the zone's evacuation, and forget ends that were long ago."""
        now_s = boot_time_s()
        self.lost.pop(zone, None)
        self.doubted.pop(zone, None)
        known = self.zones.pop(zone, None)
        earlier = self.ended.get(zone)
        revisions = known.revisions if known else earlier.revisions if earlier else ()
        self.ended[zone] = Ended(position, revisions)
        self.ended_at_s[zone] = now_s
        for other, at_s in list(self.ended_at_s.items()):
            if now_s - at_s > ENDED_KEPT_S:
                del self.ended_at_s[other], self.ended[other]
        if known is not None:
            log_zone("evacuation_ends", zone, position, source, now_s - known.learned_at_s)
            self.set_metrics(zone)

    def settle(self, position: Position, proven_at_s: float) -> bool:
        """Believe the store's copy where the time for a repetition is over.

        A lost evacuation ends only where the store had no key at ``proven_at_s``, a time after
        that; a doubted one begins also without such a proof.  Return whether something changed.
        """
        over = [zone for zone, until_s in self.lost.items() if until_s <= proven_at_s]
        for zone in over:
            self.end(zone, position, "the store's copy")
        now_s = boot_time_s()
        for zone, doubt in list(self.doubted.items()):
            if doubt.until_s <= now_s:
                self.begin(zone, doubt.position, "the store's copy", REPEAT_S)
                over.append(zone)
        return bool(over)

    def lost_payload(self) -> dict[str, list[Any]]:
        """Return the lost evacuations for a peer: ``[era, revision, seconds left]`` by zone."""
        now_s = boot_time_s()
        return {
            zone: [*self.zones[zone].position, max(0.0, until_s - now_s)]
            for zone, until_s in self.lost.items()
        }

    def merge_lost(self, payload: dict[str, list[Any]], is_same_era: bool, source: str) -> bool:
        """Begin evacuations that the store has lost before this process heard of them.

        A peer that is in another era knows nothing of the time that is left in the own one.  Return
        whether one has begun.  Raises ValueError or TypeError where the payload is malformed.
        """
        has_begun = False
        for zone, (era, revision, left_s) in payload.items():
            position = Position(int(era), int(revision))
            ended = self.ended.get(zone)
            is_held = zone in self.zones or zone in self.doubted
            if is_held or (ended is not None and ended.position >= position):
                continue
            # The limit keeps a malformed message from evacuating the zone for good.
            left_s = min(REPEAT_S, max(0.0, float(left_s))) if is_same_era else REPEAT_S
            self.begin(str(zone), position, source, AGE_MAX_S)
            self.lost[zone] = boot_time_s() + left_s
            has_begun = True
        return has_begun

    def set_metrics(self, zone: str) -> None:
        """Set the metrics after the zone's evacuation has begun or ended."""
        EVACUATED_ZONES.set(len(self.zones))
        if zone in self.zones:
            learned_at_s = self.zones[zone].learned_at_s
            EVACUATION_AGE.labels(zone).set_function(lambda: boot_time_s() - learned_at_s)
        else:
            EVACUATION_AGE.remove(zone)


def log_zone(event: str, zone: str, position: Position, source: str, age_s: float) -> None:
    """Log a decision about a zone."""
    decision(
        event,
        zone=zone,
        era=position.era,
        revision=position.revision,
        age_s=round(min(age_s, AGE_MAX_S), 3),
        source=source,
    )
