"""Memory of the frame decoders of connections that have already carried traffic."""

import os
from typing import Final

from gypsumpier.wire.frame import Decoder, Frame, encode
from misc.capacity.usage import resident_bytes

# More than a decoder's buffer, so that every page of the buffer has been written to.
RECEIVED_BYTES: Final = 2 * 1024 * 1024


async def probe_decoders(size: int, url: str) -> dict[str, float]:
    """Feed small frames to that many decoders; return the memory they hold."""
    content = encode(Frame("token", "6b1c9d1e-0d8f-4f0e-9a53-2f7c1f0d9a11/0", 1, 1.5, {}))
    empty_bytes = resident_bytes(os.getpid())
    decoders = [Decoder() for _ in range(size)]
    for decoder in decoders:
        for _ in range(RECEIVED_BYTES // len(content)):
            decoder.feed(content)
    return {"held_bytes": resident_bytes(os.getpid()) - empty_bytes}
