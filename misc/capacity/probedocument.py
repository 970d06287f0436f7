"""Cost of the document table: memory for each document and processor time for each change."""

import json
import os
import time
from typing import Final

from gypsumpier.clock import SystemClock
from gypsumpier.document.table import DocumentTable
from gypsumpier.external.configuration import DocumentRevision
from gypsumpier.test import builders
from misc.capacity import target
from misc.capacity.usage import resident_bytes

CHANGES: Final = 200
WORKSPACES: Final = 10


async def probe_documents(size: int, url: str) -> dict[str, float]:
    """Fill a table with that many documents, then change some of them; return the costs."""
    revisions = [make_revision(number, number + 1) for number in range(size)]
    changes = [make_revision(number % size, size + number + 1) for number in range(CHANGES)]
    empty_bytes = resident_bytes(os.getpid())
    table = DocumentTable(SystemClock())
    for revision in revisions:
        assert table.offer(revision, "probe")
    held_bytes = resident_bytes(os.getpid()) - empty_bytes
    before_s = time.process_time()
    for change in changes:
        assert table.offer(change, "probe")
    change_s = (time.process_time() - before_s) / CHANGES
    body_bytes = sum(len(one.body or b"") for one in revisions) / size
    return {"held_bytes": held_bytes, "change_s": change_s, "body_bytes": body_bytes}


def make_revision(number: int, revision: int) -> DocumentRevision:
    """Return one revision of a document of typical size."""
    zones = [{"zone": f"zone-{zone}", "replicas": 4} for zone in range(target.ZONES)]
    document = builders.model_document(
        service=f"service-{number}",
        zones=zones,
        workspaces=[builders.workspace(f"team-{n}", 1, "zone-0") for n in range(WORKSPACES)],
    )
    return DocumentRevision(f"service-{number}", revision, json.dumps(document).encode())
