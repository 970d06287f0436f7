"""Strict validation of a document, as a pure function of its bytes.

Whether a document is accepted depends on its bytes alone, never on the time, the member list or
other documents.  So all instances of one release make the same decision on a revision, and a code
and the path of the field are enough to explain a refusal to the operator.
"""

import json
from datetime import datetime
from typing import Any, Final

from gypsumpier.codes.document import (
    BAD_TIME,
    DOCUMENT_NOT_JSON,
    DOCUMENT_TOO_LARGE,
    DUPLICATE_FIELD,
)
from gypsumpier.document import rules
from gypsumpier.document.errors import DocumentError
from gypsumpier.document.fields import DOCUMENT
from gypsumpier.document.service import (
    Limits,
    Route,
    ServiceDocument,
    VersionShare,
    WorkspacePolicy,
    ZoneReplicas,
)
from gypsumpier.document.shape import checked, field_path

BODY_LIMIT_BYTES: Final = 64 * 1024


def parse(body: bytes) -> ServiceDocument:
    """Return the document; raise DocumentError with the code and the field's path."""
    if len(body) > BODY_LIMIT_BYTES:
        raise DocumentError(DOCUMENT_TOO_LARGE, "", f"{len(body)} of {BODY_LIMIT_BYTES} bytes")
    fields = checked(DOCUMENT, decoded(body), "")
    document = built(fields)
    rules.check(document)
    return document


def decoded(body: bytes) -> Any:
    """Return the JSON value of the bytes; raise DocumentError if they are not valid JSON."""
    try:
        return json.loads(
            body.decode("utf-8"),
            object_pairs_hook=object_without_duplicates,
            parse_constant=refuse_constant,
        )
    except (ValueError, RecursionError) as error:
        raise DocumentError(DOCUMENT_NOT_JSON, "", type(error).__name__) from error


def object_without_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Return the pairs as a dict; raise DocumentError at a duplicate name."""
    fields: dict[str, Any] = {}
    for name, value in pairs:
        if name in fields:
            raise DocumentError(DUPLICATE_FIELD, field_path("", name), "stands twice in one object")
        fields[name] = value
    return fields


def refuse_constant(text: str) -> Any:
    """Raise ValueError for NaN and the infinities, which JSON does not define."""
    raise ValueError(text)


def built(fields: dict[str, Any]) -> ServiceDocument:
    """Return the typed document for the checked fields."""
    return ServiceDocument(
        service=fields["service"],
        kind=fields["kind"],
        model=fields["model"],
        versions=tuple(VersionShare(**item) for item in fields["versions"]),
        zones=tuple(ZoneReplicas(**item) for item in fields["zones"]),
        live_by=seconds(fields["live_by"]),
        max_unavailable=fields["max_unavailable"],
        routes=tuple(route(item) for item in fields["routes"]),
        limits=limits(fields["limits"]),
        workspaces=tuple(WorkspacePolicy(**item) for item in fields["workspaces"]),
        engines_honour_fencing=fields["engines_honour_fencing"],
    )


def route(item: dict[str, Any]) -> Route:
    """Return the typed route for its checked fields."""
    return Route(item["prefix"], tuple(item["methods"]), item["idempotent"], item["priority"])


def limits(item: dict[str, Any]) -> Limits:
    """Return the typed limits for their checked fields."""
    return Limits(item["in_flight_per_upstream"], item["body_bytes"], float(item["deadline_s"]))


def seconds(text: str | None) -> float | None:
    """Return the time of ``live_by`` as seconds since the epoch; raise DocumentError."""
    if text is None:
        return None
    try:
        return datetime.fromisoformat(text.upper()).timestamp()
    except (ValueError, OverflowError) as error:
        raise DocumentError(BAD_TIME, "live_by", "not a time of RFC 3339") from error
