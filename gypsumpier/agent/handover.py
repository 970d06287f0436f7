"""Hands the keys of a home over when its agent stops as planned.

Every connected entry gets the outcomes, and a few also get the kept answers.  They pass them on in
their reports to the next agent in the slot, so that a resend still finds the answer.
"""

import contextlib
from random import Random
from typing import Final

from gypsumpier.clock import Clock
from gypsumpier.errors import GypsumpierError
from gypsumpier.idempotency.ledger import Ledger
from gypsumpier.idempotency.record import KeyState
from gypsumpier.idempotency.reported import ReportedKey, pack_keys
from gypsumpier.log import decision
from gypsumpier.wire.connection import Connection

ANSWER_HOLDERS: Final = 2
ANSWER_BYTES_MAX: Final = 256 * 1024


async def hand_over(
    ledger: Ledger, connections: list[Connection], clock: Clock, random: Random
) -> None:
    """Send the records to the connected entries."""
    now_s = clock.monotonic()
    keys = [key for key in reported_keys(ledger, now_s) if key.state is not KeyState.RUNNING]
    if not keys:
        return
    holders = random.sample(connections, min(ANSWER_HOLDERS, len(connections)))
    decision("hand_over", keys=len(keys), entries=len(connections), reason="planned stop")
    without_answers = [key._replace(answer=None) for key in keys]
    for connection in connections:
        sent = keys if connection in holders else without_answers
        with contextlib.suppress(GypsumpierError):
            for part in pack_keys(sent):
                await connection.send("records", {"keys": part})


def reported_keys(ledger: Ledger, now_s: float) -> list[ReportedKey]:
    """Return every key of the ledger; large answers stay behind."""
    return [
        ReportedKey(
            key_id,
            record.fingerprint,
            record.state,
            now_s - record.changed_at_s,
            (
                record.answer
                if record.answer is not None and len(record.answer.content) <= ANSWER_BYTES_MAX
                else None
            ),
        )
        for key_id, record in ledger.records.items()
    ]
