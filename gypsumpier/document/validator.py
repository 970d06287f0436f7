"""Validation of a document: a pure and strict function from its bytes.

Whether a document is accepted depends on its bytes alone, never on the time, the member list or
other documents.  So all instances of one release accept or refuse a revision alike, and a
refusal can be explained to the operator by a code and the path of the field.
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
    """Return the JSON value of the bytes."""
    try:
        return json.loads(
            body.decode("utf-8"),
            object_pairs_hook=object_without_duplicates,
            parse_constant=refuse_constant,
        )
    except (ValueError, RecursionError) as error:
        raise DocumentError(DOCUMENT_NOT_JSON, "", type(error).__name__) from error


def object_without_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Return the pairs as a map; a name that stands twice is refused."""
    fields: dict[str, Any] = {}
    for name, value in pairs:
        if name in fields:
            raise DocumentError(DUPLICATE_FIELD, field_path("", name), "stands twice in one object")
        fields[name] = value
    return fields


def refuse_constant(text: str) -> Any:
    """Refuse NaN and the infinities, which JSON does not have."""
    raise ValueError(text)


def built(fields: dict[str, Any]) -> ServiceDocument:
    """Return the checked fields as the typed document."""
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
    """Return one checked route."""
    return Route(item["prefix"], tuple(item["methods"]), item["idempotent"], item["priority"])


def limits(item: dict[str, Any]) -> Limits:
    """Return the checked limits."""
    return Limits(item["in_flight_per_upstream"], item["body_bytes"], float(item["deadline_s"]))


def seconds(text: str | None) -> float | None:
    """Return the time as seconds since the epoch."""
    if text is None:
        return None
    try:
        return datetime.fromisoformat(text.upper()).timestamp()
    except (ValueError, OverflowError) as error:
        raise DocumentError(BAD_TIME, "live_by", "not a time of RFC 3339") from error
