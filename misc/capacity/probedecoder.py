"""Memory of the frame decoders of connections that have carried traffic for a while."""

import os
from typing import Final

from gypsumpier.wire.frame import Decoder, Frame, encode
from misc.capacity.usage import resident_bytes

# More than any buffer of a decoder, so that all of it has been written to.
RECEIVED_BYTES: Final = 2 * 1024 * 1024


async def probe_decoders(size: int, url: str) -> dict[str, float]:
    """Let so many decoders receive small frames."""
    content = encode(Frame("token", "6b1c9d1e-0d8f-4f0e-9a53-2f7c1f0d9a11/0", 1, 1.5, {}))
    empty_bytes = resident_bytes(os.getpid())
    decoders = [Decoder() for _ in range(size)]
    for decoder in decoders:
        for _ in range(RECEIVED_BYTES // len(content)):
            decoder.feed(content)
    return {"held_bytes": resident_bytes(os.getpid()) - empty_bytes}
