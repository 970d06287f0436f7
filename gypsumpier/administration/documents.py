"""The view of the document table: the revisions in force and the later refused ones."""

from gypsumpier.administration.view import DocumentView, RefusalView
from gypsumpier.document.record import Record, Refusal
from gypsumpier.document.table import DocumentTable

NEVER_ACCEPTED = -1


def document_views(table: DocumentTable) -> list[DocumentView]:
    """Return a view of each document name in the table, sorted by name."""
    names = sorted(table.records.keys() | table.refused.keys())
    return [document_view(name, table.records.get(name), table.refused.get(name)) for name in names]


def document_view(name: str, record: Record | None, refusal: Refusal | None) -> DocumentView:
    """Return the view of one document name."""
    view = DocumentView(name=name, revision=NEVER_ACCEPTED, refusal=refusal_view(refusal))
    if record is None:
        return view
    view["revision"] = record.revised.revision
    view["deleted"] = record.document is None
    view["source"] = record.source
    view["accepted_at_s"] = record.accepted_at_s
    if record.document is not None:
        shares = record.document.versions
        view["kind"] = record.document.kind
        view["model"] = record.document.model
        view["versions"] = {share.version: share.share_percent for share in shares}
    return view


def refusal_view(refusal: Refusal | None) -> RefusalView | None:
    """Return the view of a refusal; None if there is none."""
    if refusal is None:
        return None
    return RefusalView(
        revision=refusal.revised.revision,
        code=refusal.code_number,
        name=refusal.code_name,
        field=refusal.path,
        detail=refusal.detail,
    )
