"""The documents in force in this process.

For each name the table keeps the valid content with the highest rank that it was ever offered, and
also the refused content with the highest rank if that rank is higher.  Both are maxima, so the
result does not depend on the order, the number or the source of the offers: a stale service, a
delayed peer or a process that was paused can't lower the revision in force, and two tables that
were offered the same contents are equal.

The number of names and the bytes held are bounded.  A revision that does not fit is refused with
DOCUMENT_TABLE_FULL and may be offered again; documents in force are never evicted to make room.  A
deleted document keeps its entry permanently, because otherwise a stale source could restore it.
"""

import logging
import re
from collections.abc import Callable
from typing import Final

from gypsumpier.clock import Clock
from gypsumpier.codes.document import CONFLICTING_REVISION, DOCUMENT_TABLE_FULL, NAME_MISMATCH
from gypsumpier.document.errors import DocumentError
from gypsumpier.document.fields import NAME
from gypsumpier.document.metrics import DOCUMENTS_ACCEPTED, DOCUMENTS_REFUSED
from gypsumpier.document.record import Rank, Record, Refusal, rank_of, size_bytes, truncated
from gypsumpier.document.service import Accepted, ServiceDocument
from gypsumpier.document.validator import parse
from gypsumpier.external.configuration import DocumentRevision
from gypsumpier.log import decision

NAMES_MAX: Final = 4096
TABLE_MAX_BYTES: Final = 16 * 1024 * 1024
REVISION_LIMIT: Final = 2**63

Subscriber = Callable[[Accepted], None]


class DocumentTable:
    """The accepted and the refused revisions by name.

    ``held_bytes`` is the size of all of them, as ``size_bytes`` counts it.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.accepted: dict[str, Accepted] = {}
        self.records: dict[str, Record] = {}
        self.refused: dict[str, Refusal] = {}
        self.subscribers: list[Subscriber] = []
        self.refusal_subscribers: list[Callable[[Refusal], None]] = []
        self.held_bytes = 0
        self.full_refusals = 0

    def document(self, name: str) -> ServiceDocument | None:
        """Return the document in force, or None where there is none or it was deleted."""
        accepted = self.accepted.get(name)
        return accepted.document if accepted else None

    def subscribe(self, callback: Subscriber) -> None:
        """Register a callback for each revision that comes into force from now on."""
        self.subscribers.append(callback)

    def offer(self, revised: DocumentRevision, source: str) -> bool:
        """Process a revision from any source; return whether it came into force."""
        revised = truncated(revised)
        if not is_well_named(revised):
            log_refusal(
                revised, source, NAME_MISMATCH.number, "", "malformed service name or revision"
            )
            return False
        if not self.may_change(revised):
            return False
        if not self.has_room(revised):
            self.full_refusals += 1
            log_refusal(revised, source, DOCUMENT_TABLE_FULL.number, "", "table is full")
            return False
        try:
            document = validated(revised)
        except DocumentError as error:
            self.refuse(revised, error, source)
            return False
        self.put_in_force(revised, document, source)
        return True

    def may_change(self, revised: DocumentRevision) -> bool:
        """Return whether the revision may change the table; log a conflicting revision."""
        rank = rank_of(revised)
        record = self.records.get(revised.name)
        if record and rank.revision == record.rank.revision and rank != record.rank:
            log_refusal(revised, record.source, CONFLICTING_REVISION.number, "", "two contents")
        return self.lacks(revised.name, rank)

    def lacks(self, name: str, rank: Rank) -> bool:
        """Return whether a content of this rank may change the table."""
        record = self.records.get(name)
        if record and rank <= record.rank:
            return False
        refusal = self.refused.get(name)
        return refusal is None or rank != refusal.rank

    def ranks(self, name: str) -> list[Rank]:
        """Return the ranks held for the name: the accepted one and a higher refused one."""
        held = [self.records.get(name), self.refused.get(name)]
        return [one.rank for one in held if one is not None]

    def contents(self, name: str) -> list[DocumentRevision]:
        """Return the revisions held for the name, as they were received."""
        held = [self.records.get(name), self.refused.get(name)]
        return [one.revised for one in held if one is not None]

    def names(self) -> list[str]:
        """Return every name for which a revision is held, sorted."""
        return sorted(self.records.keys() | self.refused.keys())

    def has_room(self, revised: DocumentRevision) -> bool:
        """Return whether the revision fits into the table's limits of names and bytes."""
        known = revised.name in self.records or revised.name in self.refused
        if not known and len(self.records.keys() | self.refused.keys()) >= NAMES_MAX:
            return False
        record = self.records.get(revised.name)
        replaced_bytes = size_bytes(record.revised) if record else 0
        return self.held_bytes - replaced_bytes + size_bytes(revised) <= TABLE_MAX_BYTES

    def put_in_force(
        self, revised: DocumentRevision, document: ServiceDocument | None, source: str
    ) -> None:
        """Replace the accepted revision and notify the subscribers."""
        name = revised.name
        rank = rank_of(revised)
        previous = self.records.get(name)
        if previous:
            self.held_bytes -= size_bytes(previous.revised)
        refusal = self.refused.get(name)
        if refusal and refusal.rank < rank:
            self.drop_refusal(name)
        self.held_bytes += size_bytes(revised)
        self.records[name] = Record(revised, rank, document, source, self.clock.wall())
        accepted = Accepted(name, revised.revision, document)
        self.accepted[name] = accepted
        DOCUMENTS_ACCEPTED.inc()
        decision("document_accepted", document=name, revision=revised.revision, source=source)
        for subscriber in self.subscribers:
            notify(subscriber, accepted)

    def refuse(self, revised: DocumentRevision, error: DocumentError, source: str) -> None:
        """Keep the refusal unless one of higher rank is held for its name."""
        rank = rank_of(revised)
        previous = self.refused.get(revised.name)
        if previous and rank < previous.rank:
            return
        if previous:
            self.drop_refusal(revised.name)
        self.held_bytes += size_bytes(revised)
        refusal = Refusal(
            revised,
            rank,
            error.code.number,
            error.code.name,
            error.path,
            error.detail,
            source,
        )
        self.refused[revised.name] = refusal
        log_refusal(revised, source, error.code.number, error.path, error.detail)
        for subscriber in self.refusal_subscribers:
            subscriber(refusal)

    def drop_refusal(self, name: str) -> None:
        """Remove the refusal held for the name when it is no longer the highest one."""
        self.held_bytes -= size_bytes(self.refused.pop(name).revised)


def is_well_named(revised: DocumentRevision) -> bool:
    """Return whether the name is a valid service name and the revision number can be sent."""
    in_range = 0 <= revised.revision < REVISION_LIMIT
    return in_range and len(revised.name) <= NAME.max_length and is_service_name(revised.name)


def is_service_name(text: str) -> bool:
    """Return whether the text has the form of a service name."""
    return re.fullmatch(NAME.pattern, text) is not None


def validated(revised: DocumentRevision) -> ServiceDocument | None:
    """Return the document of the revision, or None for a deletion; raise DocumentError."""
    if revised.body is None:
        return None
    document = parse(revised.body)
    if document.service != revised.name:
        raise DocumentError(NAME_MISMATCH, "service", f"differs from the name {revised.name!r}")
    return document


def log_refusal(revised: DocumentRevision, source: str, code: int, path: str, reason: str) -> None:
    """Log and count one refusal; the body is not logged."""
    DOCUMENTS_REFUSED.labels(str(code)).inc()
    decision(
        "document_refused",
        document=revised.name,
        revision=revised.revision,
        source=source,
        code=code,
        path=path,
        reason=reason,
    )


def notify(subscriber: Subscriber, accepted: Accepted) -> None:
    """Call a subscriber; log its exception, so that the other subscribers are still notified."""
    try:
        subscriber(accepted)
    except Exception:
        logging.getLogger("gypsumpier").exception("document_subscriber_failed")
