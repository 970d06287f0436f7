"""Processor time of verifying chunks of weights."""

import time
from random import Random
from typing import Final

from blake3 import blake3

CHUNK_BYTES: Final = 256 * 1024
BYTES_PER_MB: Final = 1_000_000


async def probe_digest(size: int, url: str) -> dict[str, float]:
    """Hash that many megabytes, first by chunk and then as a whole, as a fetch does."""
    content = Random(size).randbytes(size * BYTES_PER_MB)
    before_s = time.process_time()
    for start in range(0, len(content), CHUNK_BYTES):
        blake3(content[start : start + CHUNK_BYTES]).hexdigest()
    blake3(content).hexdigest()
    return {"digest_s": time.process_time() - before_s}
