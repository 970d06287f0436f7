"""What the document table remembers of one name."""

import hashlib
from typing import Final, NamedTuple

from gypsumpier.document.service import ServiceDocument
from gypsumpier.document.validator import BODY_LIMIT_BYTES
from gypsumpier.external.configuration import DocumentRevision

DIGEST_BYTES: Final = 8


class Rank(NamedTuple):
    """The order of two contents of one name.

    The digest decides only where one revision came with two contents, which the platform should
    never do: without it two instances could keep different contents for good.
    """

    revision: int
    digest: bytes


class Record(NamedTuple):
    """An accepted revision as it came; ``document`` is None where it was deleted."""

    revised: DocumentRevision
    rank: Rank
    document: ServiceDocument | None
    source: str
    accepted_at_s: float
    """Wall-clock seconds, only for display."""


class Refusal(NamedTuple):
    """A refused revision, higher than the accepted one, with the code and the field's path."""

    revised: DocumentRevision
    rank: Rank
    code_number: int
    code_name: str
    path: str
    detail: str
    source: str


def clipped(revised: DocumentRevision) -> DocumentRevision:
    """Return the revision with an overlong body cut.

    It is refused either way, and every instance cuts it alike before it ranks the content.
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
    """Return what a revision counts towards the table's limit."""
    return len(revised.name) + len(revised.body or b"")
