"""Cost of the idempotency keys that their home stores: memory per key, time per claim."""

import os
import time
import uuid
from typing import Final

from gypsumpier.idempotency.key import KeyId
from gypsumpier.idempotency.ledger import Ledger
from gypsumpier.idempotency.record import StoredAnswer
from misc.capacity.usage import resident_bytes

UNLIMITED_BYTES: Final = 1 << 40
RETENTION_S: Final = 1e9


async def probe_keys(size: int, url: str) -> dict[str, float]:
    """Claim and finish that many keys with a small answer each."""
    ledger = Ledger(UNLIMITED_BYTES, UNLIMITED_BYTES, RETENTION_S)
    keys = [KeyId("workspace", str(uuid.UUID(int=number))) for number in range(size)]
    empty_bytes = resident_bytes(os.getpid())
    before_s = time.process_time()
    for number, key in enumerate(keys):
        ledger.claim(key, f"{number:064x}", float(number), float(number))
        ledger.finish(key, StoredAnswer(b"%400d" % number), float(number))
    claim_s = (time.process_time() - before_s) / size
    held_bytes = resident_bytes(os.getpid()) - empty_bytes
    return {"held_bytes": held_bytes, "claim_s": claim_s}
