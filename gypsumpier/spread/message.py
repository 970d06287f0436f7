"""Payloads of the ``document.`` and ``member.`` frames, with their codecs.

A malformed payload raises GypsumpierError with BAD_FRAME, which closes the connection.
"""

import zlib
from collections.abc import Iterable
from typing import Any, Final, NamedTuple

from gypsumpier.codes.wire import BAD_FRAME
from gypsumpier.document.record import Rank
from gypsumpier.document.validator import BODY_LIMIT_BYTES
from gypsumpier.errors import GypsumpierError
from gypsumpier.external.configuration import DocumentRevision
from gypsumpier.external.membership import Member

DOCUMENT_WANT: Final = "document.want"
DOCUMENT_HAVE: Final = "document.have"
DOCUMENT_ASK: Final = "document.ask"
DOCUMENT_BODY: Final = "document.body"
DOCUMENT_DIGEST: Final = "document.digest"
DOCUMENT_DISTANCE: Final = "document.distance"
MEMBER_SELF: Final = "member.self"
MEMBER_WANT: Final = "member.want"
MEMBER_LIST: Final = "member.list"
MEMBER_DISTANCE: Final = "member.distance"
PREFIXES: Final = ("document.", "member.")

NAMES_PER_FRAME: Final = 1000
COMPRESSION_LEVEL: Final = 6


class Holding(NamedTuple):
    """One content that a peer holds."""

    name: str
    rank: Rank


class Have(NamedTuple):
    """Announced contents; ``last`` marks the end of the full list sent when a session starts."""

    holdings: list[Holding]
    last: bool


class MemberChanges(NamedTuple):
    """Members that changed since the last frame or, where ``whole`` is set, the full list."""

    whole: bool
    put: list[Member]
    gone: list[str]


def is_control(kind: str) -> bool:
    """Return whether frames of this kind belong to a Session."""
    return kind.startswith(PREFIXES)


def packed_have(holdings: Iterable[Holding], last: bool) -> dict[str, Any]:
    """Return the payload of DOCUMENT_HAVE; DOCUMENT_ASK has the same format."""
    items = [[holding.name, holding.rank.revision, holding.rank.digest] for holding in holdings]
    return {"holdings": items, "last": last}


def unpacked_have(payload: dict[str, Any]) -> Have:
    """Return the announced or requested contents."""
    try:
        holdings = [holding(item) for item in payload["holdings"]]
        return Have(holdings, bool(payload["last"]))
    except (KeyError, TypeError, ValueError) as error:
        raise malformed_payload(DOCUMENT_HAVE, error) from error


def holding(item: list[Any]) -> Holding:
    """Return one announced content; raise TypeError or ValueError on a malformed one."""
    name, revision, digest = item
    if not isinstance(name, str) or not isinstance(revision, int) or not isinstance(digest, bytes):
        raise TypeError("a holding is a name, a revision and a digest")
    return Holding(name, Rank(revision, digest))


def packed_body(revised: DocumentRevision) -> dict[str, Any]:
    """Return the payload of DOCUMENT_BODY; the content is compressed."""
    body = None if revised.body is None else zlib.compress(revised.body, COMPRESSION_LEVEL)
    return {"name": revised.name, "revision": revised.revision, "body": body}


def unpacked_body(payload: dict[str, Any]) -> DocumentRevision:
    """Return the received revision, decompressed to at most one byte over the body limit."""
    try:
        name, revision, body = payload["name"], payload["revision"], payload["body"]
        if not isinstance(name, str) or not isinstance(revision, int):
            raise TypeError("a body has a name and a revision")
        if body is None:
            return DocumentRevision(name, revision, None)
        return DocumentRevision(
            name, revision, zlib.decompressobj().decompress(body, BODY_LIMIT_BYTES + 1)
        )
    except (KeyError, TypeError, zlib.error) as error:
        raise malformed_payload(DOCUMENT_BODY, error) from error


def packed_changes(changes: MemberChanges) -> dict[str, Any]:
    """Return the payload of MEMBER_LIST."""
    put = [list(member) for member in changes.put]
    return {"whole": changes.whole, "put": put, "gone": changes.gone}


def unpacked_changes(payload: dict[str, Any]) -> MemberChanges:
    """Return the received member changes."""
    try:
        put = [member(item) for item in payload["put"]]
        return MemberChanges(bool(payload["whole"]), put, [str(name) for name in payload["gone"]])
    except (KeyError, TypeError, ValueError) as error:
        raise malformed_payload(MEMBER_LIST, error) from error


def member(item: list[Any]) -> Member:
    """Return one received member; raise TypeError on a missing field or one of the wrong type."""
    if len(item) != len(Member._fields):
        raise TypeError("a member has another number of fields")
    texts, ports, leaving = item[:7], item[7:9], item[9]
    if not all(isinstance(text, str) for text in texts):
        raise TypeError("a member's first fields are strings")
    if not all(isinstance(port, int) for port in ports):
        raise TypeError("a member's ports are integers")
    return Member._make([*texts, *ports, bool(leaving)])


def whole_number(payload: dict[str, Any], key: str) -> int:
    """Return an integer field."""
    value = payload.get(key)
    if not isinstance(value, int):
        raise malformed_payload(key, TypeError("not an integer"))
    return value


def optional_names(payload: dict[str, Any], key: str) -> frozenset[str] | None:
    """Return a field that is an array of strings, or None for all names."""
    value = payload.get(key)
    if value is None:
        return None
    if not isinstance(value, list) or len(value) > NAMES_PER_FRAME:
        raise malformed_payload(key, TypeError("not an array of names"))
    return frozenset(map(str, value))


def malformed_payload(kind: str, error: Exception) -> GypsumpierError:
    """Return the error of a malformed payload."""
    return GypsumpierError(BAD_FRAME, f"{kind}: {error!r}")
