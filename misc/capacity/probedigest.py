"""Cost of checking chunks of weights."""

import time
from random import Random
from typing import Final

from blake3 import blake3

from gypsumpier.options import Options

BYTES_PER_MB: Final = 1_000_000


async def probe_digest(size: int, url: str) -> dict[str, float]:
    """Digest so many megabytes, chunk by chunk and then as a whole, as a fetch does."""
    chunk_bytes = Options().chunk_bytes
    content = Random(size).randbytes(size * BYTES_PER_MB)
    before_s = time.process_time()
    for start in range(0, len(content), chunk_bytes):
        blake3(content[start : start + chunk_bytes]).hexdigest()
    blake3(content).hexdigest()
    return {"digest_s": time.process_time() - before_s}
