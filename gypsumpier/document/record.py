"""The entries of the document table."""

import hashlib
from typing import Final, NamedTuple

from gypsumpier.document.service import ServiceDocument
from gypsumpier.document.validator import BODY_LIMIT_BYTES
from gypsumpier.external.configuration import DocumentRevision

DIGEST_BYTES: Final = 8


class Rank(NamedTuple):
    """The sort key that orders the contents of one name.

    The digest decides only where one revision has two contents, which the platform should never
    produce: without it two instances could keep different contents permanently.
    """

    revision: int
    digest: bytes


class Record(NamedTuple):
    """An accepted revision as received; ``document`` is None where it was deleted."""

    revised: DocumentRevision
    rank: Rank
    document: ServiceDocument | None
    source: str
    accepted_at_s: float
    """Wall-clock seconds since the epoch, only for display."""


class Refusal(NamedTuple):
    """A refused revision, higher than the accepted one, with the code and the field's path."""

    revised: DocumentRevision
    rank: Rank
    code_number: int
    code_name: str
    path: str
    detail: str
    source: str


def truncated(revised: DocumentRevision) -> DocumentRevision:
    """Return the revision with an overlong body truncated.

    It is still refused as too large.  Every instance truncates before it computes the rank, so
    that all compute the same rank.
    """
    body = revised.body
    if body is None or len(body) <= BODY_LIMIT_BYTES:
        return revised
    return revised._replace(body=body[: BODY_LIMIT_BYTES + 1])


def rank_of(revised: DocumentRevision) -> Rank:
    """Return the rank of a revision."""
    if revised.body is None:
        return Rank(revised.revision, b"")
    digest = hashlib.blake2b(revised.body, digest_size=DIGEST_BYTES).digest()
    return Rank(revised.revision, digest)


def size_bytes(revised: DocumentRevision) -> int:
    """Return the bytes that a revision counts towards the table's limit."""
    return len(revised.name) + len(revised.body or b"")
