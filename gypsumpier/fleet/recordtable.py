"""The newest known record of each key, also after the store came back from an older copy.

Within an era of the store the position of a record tells which one is newer.  A record of a newer
era may still hold content that is older than what was known: the copy has lost the changes made
after it, until their writers repeat them.  What the content itself says decides then.
"""

from typing import Final, NamedTuple

from gypsumpier.fleet.change import (
    Batch,
    ConfigurationChange,
    EvacuationChange,
    FleetChange,
    FleetSource,
    UpstreamChange,
    VersionChange,
)
from gypsumpier.fleet.clock import boot_time_s
from gypsumpier.fleet.position import Position
from gypsumpier.fleet.record import Record

REMOVED_KEPT_S: Final = 120.0
"""Seconds for which the last record of a removed key is kept; copies of the store are some seconds
old."""


class RemovedRecord(NamedTuple):
    """The last record of a key that was removed at ``position``, at the boot time ``at_s``."""

    record: Record
    position: Position
    at_s: float


class RecordTable:
    """Records by key.

    ``outdated`` holds the positions of records that the store holds although newer content of
    their keys is known.  ``removed`` has the last records of keys that were removed lately.
    """

    def __init__(self, source: FleetSource) -> None:
        self.source = source
        self.by_key: dict[str, Record] = {}
        self.outdated: dict[str, Position] = {}
        self.removed: dict[str, RemovedRecord] = {}

    def changes_of(self, batch: Batch) -> list[Record]:
        """Return the records of the batch that are news, and the removals that it implies.

        They are sorted by their positions.
        """
        for key, position in batch.outdated.items():
            if key not in self.by_key or self.by_key[key].position <= position:
                self.outdated[key] = position
        changed = [
            record for record in batch.records if self.is_news(record, not batch.is_snapshot)
        ]
        if batch.is_snapshot:
            listed = {record.key for record in batch.records}
            changed += [
                Record(key, None, batch.revision, batch.era)
                for key, record in self.by_key.items()
                if key not in listed and not self.is_kept_without_record(record, batch)
            ]
            for key in self.outdated.keys() - listed - batch.outdated.keys():
                del self.outdated[key]
        return sorted(changed, key=lambda record: record.position)

    def is_news(self, record: Record, is_change: bool) -> bool:
        """Return whether the record is newer than what is known of its key.

        Of two records of different eras, the position of the one whose content is outdated is
        kept, so that it is ignored when it is read again.  One that ``is_change`` was written after
        a snapshot of its era, and so after the store came back.
        """
        if self.outdated.get(record.key) == record.position:
            return False
        removed = self.removed.get(record.key)
        known = self.by_key.get(record.key)
        if known is None and removed is not None:
            return self.is_news_of_removed(record, removed, is_change)
        if known is None:
            return True
        if record.era == known.era or record.value is None:
            return record.position > known.position
        earlier, later = sorted((known, record), key=lambda found: found.position)
        is_outdated = self.is_outdated(later, earlier, is_change and later is record)
        if is_outdated:
            self.outdated[record.key] = later.position
        return is_outdated == (later is known)

    def is_news_of_removed(self, record: Record, removed: RemovedRecord, is_change: bool) -> bool:
        """Return whether the record is newer than the removal of its key.

        Of an evacuation the table holds what the store says; ``Evacuations`` judges its age.
        """
        is_literal = isinstance(self.source.decode(record), EvacuationChange)
        if record.era <= removed.position.era or record.value is None or is_literal:
            return record.position > removed.position
        if (
            not is_change
            and record.revision <= removed.record.revision
            and (
                record.value == removed.record.value
                or self.is_outdated(record, removed.record, is_change)
            )
        ):
            self.outdated[record.key] = record.position
            return False
        return True

    def is_outdated(self, later: Record, earlier: Record, is_change: bool) -> bool:
        """Return whether the record of the later era holds older content than the earlier one.

        Configurations and wanted versions are numbered.  An upstream's record that ``is_change`` of
        the later era, or has a higher revision than the earlier one, was written after the store
        came back; another one is of the copy unless the upstream has reported since.
        """
        found, known = self.source.decode(later), self.source.decode(earlier)
        found_order, known_order = content_order(found), content_order(known)
        if found_order is None or known_order is None or type(found) is not type(known):
            return False
        if not isinstance(found, UpstreamChange):
            return found_order < known_order
        return (
            not is_change
            and later.revision <= earlier.revision
            and later.value != earlier.value
            and found_order <= known_order
        )

    def is_kept_without_record(self, known: Record, batch: Batch) -> bool:
        """Return whether a key that a snapshot lacks stays known: its writer will repeat it.

        An upstream that has not written since the copy is removed like one whose record lapsed.
        """
        if known.era >= batch.era:
            return False
        return isinstance(self.source.decode(known), ConfigurationChange | VersionChange)

    def apply(self, record: Record) -> None:
        """Replace or remove the known record of the key."""
        known = self.by_key.pop(record.key, None)
        if self.outdated.get(record.key, record.position) < record.position:
            del self.outdated[record.key]
        if record.value is not None:
            self.by_key[record.key] = record
            self.removed.pop(record.key, None)
        elif known is not None and (known.era == record.era or record.key in self.outdated):
            self.remember_removal(known, record.position)

    def remember_removal(self, known: Record, position: Position) -> None:
        """Keep the last record of a removed key, and drop those that were kept for long enough."""
        now_s = boot_time_s()
        self.removed.pop(known.key, None)
        self.removed[known.key] = RemovedRecord(known, position, now_s)
        while self.removed:
            key, oldest = next(iter(self.removed.items()))
            if now_s - oldest.at_s <= REMOVED_KEPT_S:
                return
            del self.removed[key]

    def is_any_outdated(self, positions: dict[str, Position]) -> bool:
        """Return whether a known record has one of those positions of outdated records."""
        return any(
            key in self.by_key and self.by_key[key].position == position
            for key, position in positions.items()
        )


def content_order(change: FleetChange | None) -> tuple[int, ...] | None:
    """Return what increases with each content of a key; None where the content doesn't tell."""
    if isinstance(change, ConfigurationChange):
        return (change.configuration.version,)
    if isinstance(change, VersionChange):
        return (change.version,)
    if isinstance(change, UpstreamChange) and change.record is not None:
        # An upstream that leaves does not become ready again in the same run.
        return change.record.started_ms, change.record.is_leaving, change.record.sequence
    return None
