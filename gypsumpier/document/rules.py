"""Rules between the fields of a document, checked after the shape of each field."""

from collections.abc import Iterable
from typing import Final

from gypsumpier.codes.document import (
    BAD_SPLIT,
    DANGLING_REFERENCE,
    DUPLICATE_ITEM,
    KIND_CONFLICT,
    MISSING_FIELD,
)
from gypsumpier.document.errors import DocumentError
from gypsumpier.document.service import Route, ServiceDocument

TOTAL_PERCENT: Final = 100


def check(document: ServiceDocument) -> None:
    """Raise DocumentError at the first rule that the document violates."""
    check_kind(document)
    check_split(document)
    check_unique("versions", "version", [share.version for share in document.versions])
    check_unique("zones", "zone", [zone.zone for zone in document.zones])
    check_unique("workspaces", "name", [workspace.name for workspace in document.workspaces])
    check_routes(document.routes)
    check_home_zones(document)


def check_kind(document: ServiceDocument) -> None:
    """Check that a model service has a model and versions, and a plain one neither nor live_by."""
    if document.kind == "model":
        if not document.model:
            raise DocumentError(MISSING_FIELD, "model", "required where kind is model")
        if not document.versions:
            raise DocumentError(MISSING_FIELD, "versions", "required where kind is model")
        return
    if document.model:
        raise DocumentError(KIND_CONFLICT, "model", "not allowed where kind is plain")
    if document.versions:
        raise DocumentError(KIND_CONFLICT, "versions", "not allowed where kind is plain")
    if document.live_by is not None:
        raise DocumentError(KIND_CONFLICT, "live_by", "not allowed where kind is plain")


def check_split(document: ServiceDocument) -> None:
    """Check that the shares of a model's versions sum to TOTAL_PERCENT."""
    total = sum(share.share_percent for share in document.versions)
    if document.versions and total != TOTAL_PERCENT:
        raise DocumentError(BAD_SPLIT, "versions", f"shares sum to {total}, not {TOTAL_PERCENT}")


def check_routes(routes: tuple[Route, ...]) -> None:
    """Check that no route repeats a prefix and method, so that each has one policy."""
    seen: set[tuple[str, str]] = set()
    for index, route in enumerate(routes):
        for position, method in enumerate(route.methods):
            if (route.prefix, method) in seen:
                path = f"routes[{index}].methods[{position}]"
                raise DocumentError(DUPLICATE_ITEM, path, "method of this prefix named before")
            seen.add((route.prefix, method))


def check_home_zones(document: ServiceDocument) -> None:
    """Check that each workspace's home zone is one in which the service has replicas."""
    zones = {zone.zone for zone in document.zones if zone.replicas > 0}
    for index, workspace in enumerate(document.workspaces):
        if workspace.home_zone not in zones:
            path = f"workspaces[{index}].home_zone"
            raise DocumentError(DANGLING_REFERENCE, path, "no zone with replicas has this name")


def check_unique(path: str, key: str, values: Iterable[str]) -> None:
    """Raise DocumentError at the first duplicate value."""
    seen: set[str] = set()
    for index, value in enumerate(values):
        if value in seen:
            raise DocumentError(DUPLICATE_ITEM, f"{path}[{index}].{key}", "named before")
        seen.add(value)
