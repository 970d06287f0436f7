"""The two baselines: every instance draws from the origin, and a simple chain.

The first draws over HTTP from the origin's stand-in, a part of the size for many instances, and
is scaled up.  The second runs in one process over queues that the same token buckets pace: each
instance hands every chunk on to the next one.
"""

import asyncio
import time
from typing import Final, NamedTuple

from gypsumpier.clock import SystemClock
from gypsumpier.external.store_http import HttpStore
from gypsumpier.weight.bucket import TokenBucket
from misc.weights.scale import LIVE_SHARE, Scale

LONGEST_S: Final = 30.0


class Baseline(NamedTuple):
    """Seconds to all, and the copies drawn from the origin."""

    seconds: float
    copies: float
    measured_share: float


async def all_from_origin(
    url: str, model: str, version: str, replicas: int, scale: Scale
) -> Baseline:
    """Let that many readers draw the version at once; measure a part where it takes long."""
    store = HttpStore(url)
    files = await store.files(model, version)
    expected_s = replicas * scale.size_bytes / scale.origin_bytes_per_s
    share = min(1.0, LONGEST_S / expected_s)
    largest = max(files, key=lambda file: file.size_bytes)
    wanted_bytes = int(share * largest.size_bytes)
    started_at_s = time.monotonic()

    async def draw() -> None:
        bucket = TokenBucket(SystemClock(), scale.link_bytes_per_s)
        for offset in range(0, wanted_bytes, scale.chunk_bytes):
            length = min(scale.chunk_bytes, wanted_bytes - offset)
            await bucket.acquire(length)
            await store.read(model, version, largest.path, offset, length)

    await asyncio.gather(*(draw() for _ in range(replicas)))
    store.close()
    return Baseline((time.monotonic() - started_at_s) / share, float(replicas), share)


async def chain(replicas: int, scale: Scale) -> float:
    """Return the seconds in which a chain of that many instances has the version."""
    clock = SystemClock()
    rate = (1.0 - LIVE_SHARE) * scale.link_bytes_per_s
    chunks = -(-scale.size_bytes // scale.chunk_bytes)
    queues: list[asyncio.Queue[int]] = [asyncio.Queue() for _ in range(replicas + 1)]
    for index in range(chunks):
        queues[0].put_nowait(index)
    crossings = {replicas * part // scale.regions for part in range(1, scale.regions)}
    started_at_s = time.monotonic()

    async def node(number: int) -> None:
        region_rate = (1.0 - LIVE_SHARE) * scale.region_link_bytes_per_s
        slowest = min(rate, region_rate) if number in crossings else rate
        bucket = TokenBucket(clock, slowest)
        for _ in range(chunks):
            index = await queues[number].get()
            await bucket.acquire(scale.chunk_bytes)
            queues[number + 1].put_nowait(index)

    await asyncio.gather(*(node(number) for number in range(replicas)))
    return time.monotonic() - started_at_s
