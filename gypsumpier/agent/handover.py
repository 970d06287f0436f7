"""Hands the keys of a home over to the connected entries.

A home does so when its agent stops gracefully, and when an entry has disappeared whose keys it
knows.  With the records it vouches for such entries: it states that it knows every key that they
have sent to this slot.  Some entries also get the stored answers of a stopping home.  All entries
include the records in their reports to the next agent in the slot.
"""

import contextlib
from typing import Final

from gypsumpier.errors import GypsumpierError
from gypsumpier.idempotency.ledger import Ledger
from gypsumpier.idempotency.record import KeyState
from gypsumpier.idempotency.recovery import EntryId
from gypsumpier.idempotency.reported import ReportedKey, pack_keys
from gypsumpier.log import decision
from gypsumpier.wire.connection import Connection

ANSWER_BYTES_MAX: Final = 256 * 1024


async def hand_over(
    keys: list[ReportedKey],
    connections: list[Connection],
    answer_replicas: list[Connection],
    vouched: list[EntryId],
) -> None:
    """Send the records to the connected entries, with answers only to ``answer_replicas``.

    The last frame names the ``vouched`` entries.
    """
    decision("hand_over", keys=len(keys), entries=len(connections), vouched=len(vouched))
    without_answers = [key._replace(answer=None) for key in keys]
    for connection in connections:
        sent = keys if connection in answer_replicas else without_answers
        with contextlib.suppress(GypsumpierError):
            parts = list(pack_keys(sent))
            for number, part in enumerate(parts, 1):
                names = [list(entry) for entry in vouched] if number == len(parts) else []
                await connection.send("records", {"keys": part, "vouched": names})


def reported_keys(ledger: Ledger, now_s: float) -> list[ReportedKey]:
    """Return every key of the ledger, running ones as UNKNOWN because they may have run.

    Answers larger than ``ANSWER_BYTES_MAX`` are left out.
    """
    return [
        ReportedKey(
            key_id,
            record.fingerprint,
            KeyState.UNKNOWN if record.state is KeyState.RUNNING else record.state,
            now_s - record.changed_at_s,
            (
                record.answer
                if record.answer is not None and len(record.answer.content) <= ANSWER_BYTES_MAX
                else None
            ),
        )
        for key_id, record in ledger.records.items()
    ]
