"""The tables that the commands print, each built from the answers of all processes."""

from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any, Final

from gypsumpier.client.answer import Answer
from gypsumpier.client.table import cell, rendered

Page = Callable[[Sequence[Answer]], str]

STATUS_COLUMNS: Final = ("name", "role", "region", "zone", "service", "state", "uptime_s")
UPSTREAM_COLUMNS: Final = ("name", "connected", "healthy", "leaving", "in_flight")
TRANSFER_COLUMNS: Final = ("model", "version", "phase")
TRANSFER_SOURCES: Final = ("store", "origin", "region", "other_regions")
LIVE_FIELDS: Final = ("model", "version", "digest")
DIGEST_CHARACTERS: Final = 12
MEBIBYTE: Final = 1024 * 1024


def status_page(answers: Sequence[Answer]) -> str:
    """Return one row for each process, with the counts of the items it knows, by kind."""
    columns = ("administration", *STATUS_COLUMNS, "knows")
    rows = [
        [answer.url, *values_of(answer.content, STATUS_COLUMNS), answer.content.get("counts")]
        for answer in successful(answers)
    ]
    return rendered(columns, rows)


def documents_page(answers: Sequence[Answer]) -> str:
    """Return one row for each document and revision, with the number of processes that hold it."""
    holders: Counter[tuple[str, ...]] = Counter()
    for answer in successful(answers):
        holders.update(document_row(view) for view in answer.rows("documents"))
    columns = ("document", "revision", "kind", "model", "versions", "refused", "in force on")
    total = len(successful(answers))
    return rendered(
        columns, [[*row, f"{count} of {total}"] for row, count in sorted(holders.items())]
    )


def document_row(view: dict[str, Any]) -> tuple[str, ...]:
    """Return the cells of one document on one process."""
    kind = "deleted" if view.get("deleted") else view.get("kind")
    found = (view.get("name"), view.get("revision"), kind, view.get("model"), view.get("versions"))
    return (*(cell(value) for value in found), refusal_text(view.get("refusal")))


def refusal_text(refusal: dict[str, Any] | None) -> str:
    """Return a refusal as one cell."""
    if not refusal:
        return ""
    return f"revision {refusal.get('revision')}: {refusal.get('code')} {refusal.get('detail')}"


def upstreams_page(answers: Sequence[Answer]) -> str:
    """Return one row for each upstream as each process sees it."""
    columns = ("administration", *UPSTREAM_COLUMNS, "live")
    rows = [
        [answer.url, *values_of(view, UPSTREAM_COLUMNS), live_text(view.get("live"))]
        for answer in successful(answers)
        for view in answer.rows("upstreams")
    ]
    return rendered(columns, rows)


def live_text(live: Any) -> str:
    """Return the live models of an upstream as one cell."""
    if not isinstance(live, list):
        return ""
    return ",".join(live_model(model) for model in live)


def live_model(model: Any) -> str:
    """Return one live model with the first characters of its digest."""
    found = list(model.values()) if isinstance(model, dict) else model
    if not isinstance(found, list) or len(found) != len(LIVE_FIELDS):
        return cell(model)
    name, version, digest = found
    return f"{name}:{version}@{str(digest)[:DIGEST_CHARACTERS]}"


def transfers_page(answers: Sequence[Answer]) -> str:
    """Return one row for each transfer on each process; the sources are in MiB."""
    columns = ("administration", *TRANSFER_COLUMNS, "chunks", "MiB", *TRANSFER_SOURCES, "reason")
    rows = [
        [
            answer.url,
            *values_of(view, TRANSFER_COLUMNS),
            *transfer_amounts(view),
            view.get("reason"),
        ]
        for answer in successful(answers)
        for view in answer.rows("transfers")
    ]
    return rendered(columns, rows)


def transfer_amounts(view: dict[str, Any]) -> list[object]:
    """Return the chunks held, the size, and the amount from each kind of source, in MiB."""
    chunks = f"{view.get('chunks_held', 0)}/{view.get('chunks', 0)}"
    sources = [mebibytes(view.get(f"from_{source}_bytes")) for source in TRANSFER_SOURCES]
    return [chunks, mebibytes(view.get("size_bytes")), *sources]


def mebibytes(size_bytes: int | None) -> float | None:
    """Return a number of bytes in MiB."""
    return None if size_bytes is None else size_bytes / MEBIBYTE


def decisions_page(answers: Sequence[Answer]) -> str:
    """Return one row for each decision of all processes, in order of time."""
    found = [
        (view.get("wall_s", 0.0), answer.url, view)
        for answer in successful(answers)
        for view in answer.rows("decisions")
    ]
    found.sort(key=lambda item: (item[0], item[1]))
    columns = ("time", "administration", "event", "reason", "fields")
    return rendered(columns, [decision_row(url, view) for _, url, view in found])


def decision_row(url: str, view: dict[str, Any]) -> list[object]:
    """Return the cells of one decision."""
    fields = dict(view.get("fields") or {})
    reason = fields.pop("reason", None)
    return [f"{view.get('wall_s', 0.0):.3f}", url, view.get("event"), reason, fields]


def successful(answers: Sequence[Answer]) -> list[Answer]:
    """Return the answers that are not errors."""
    return [answer for answer in answers if answer.error is None]


def values_of(view: dict[str, Any], columns: Sequence[str]) -> list[object]:
    """Return the value for each column, None where the view lacks it."""
    return [view.get(column) for column in columns]
