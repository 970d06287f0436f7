"""Processor time that the frame codec spends on tokens relayed by one process."""

import time

from gypsumpier.wire.frame import Decoder, Frame, encode


async def probe_frames(size: int, url: str) -> dict[str, float]:
    """Decode and re-encode that many frames of one token each."""
    frames = [
        Frame("token", "6b1c9d1e-0d8f-4f0e-9a53-2f7c1f0d9a11/0", number, 1.5, {"text": "word "})
        for number in range(size)
    ]
    contents = [encode(frame) for frame in frames]
    decoder = Decoder()
    before_s = time.process_time()
    for content in contents:
        for frame in decoder.feed(content):
            encode(frame)
    return {"codec_s": time.process_time() - before_s}
