"""The fields of a service team's document; docs/document-format.md explains each of them."""

from typing import Any, Final

from gypsumpier.document.shape import Array, Boolean, Choice, Field, Fields, Integer, Number, Text

NAME: Final = Text(r"^[a-z0-9]([a-z0-9-]*[a-z0-9])?$", 63)
LABEL: Final = Text(r"^[A-Za-z0-9][A-Za-z0-9._:+-]*$", 128)
MODEL: Final = Text(r"^([A-Za-z0-9][A-Za-z0-9._:+-]*)?$", 128)
TIME: Final = Text(
    r"^[0-9]{4}-[0-9]{2}-[0-9]{2}[Tt][0-9]{2}:[0-9]{2}:[0-9]{2}(\.[0-9]{1,6})?"
    r"([Zz]|[+-][0-9]{2}:[0-9]{2})$",
    40,
)
METHODS: Final = ("GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE")

DEFAULT_PRIORITY: Final = 5
DEFAULT_LIMITS: Final[dict[str, Any]] = {
    "in_flight_per_upstream": 32,
    "body_bytes": 1024 * 1024,
    "deadline_s": 30.0,
}

VERSION: Final = Fields((Field("version", LABEL), Field("share_percent", Integer(0, 100))))
ZONE: Final = Fields((Field("zone", NAME), Field("replicas", Integer(0, 10_000))))
ROUTE: Final = Fields(
    (
        Field("prefix", Text(r"^/[!-~]*$", 256)),
        Field("methods", Array(Choice(METHODS), 1, len(METHODS)), False, list(METHODS)),
        Field("idempotent", Boolean()),
        Field("priority", Integer(0, 9), False, DEFAULT_PRIORITY),
    )
)
LIMITS: Final = Fields(
    (
        Field("in_flight_per_upstream", Integer(1, 4096), False, 32),
        Field("body_bytes", Integer(1, 64 * 1024 * 1024), False, 1024 * 1024),
        Field("deadline_s", Number(0.001, 3600.0), False, 30.0),
    )
)
WORKSPACE: Final = Fields(
    (
        Field("name", LABEL),
        Field("weight", Integer(1, 1000), False, 1),
        Field("home_zone", NAME),
    )
)
DOCUMENT: Final = Fields(
    (
        Field("service", NAME),
        Field("kind", Choice(("model", "plain"))),
        Field("model", MODEL, False, ""),
        Field("versions", Array(VERSION, 0, 16), False, []),
        Field("zones", Array(ZONE, 1, 64)),
        Field("live_by", TIME, False, None),
        Field("max_unavailable", Integer(0, 10_000), False, 1),
        Field("routes", Array(ROUTE, 0, 128), False, []),
        Field("limits", LIMITS, False, DEFAULT_LIMITS),
        Field("workspaces", Array(WORKSPACE, 0, 512), False, []),
        Field("engines_honour_fencing", Boolean(), False, False),
    )
)
