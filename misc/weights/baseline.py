"""The two baselines: every instance fetches from the origin, and a simple chain.

The first fetches over HTTP from the origin's stand-in; for many instances, it fetches a part of the
size and scales the time up.  The second runs in one process over queues whose rates the same token
buckets limit: each instance forwards every chunk to the next one.
"""

import asyncio
import time
from typing import Final, NamedTuple

from gypsumpier.clock import SystemClock
from gypsumpier.external.store_http import HttpStore
from gypsumpier.weight.bucket import TokenBucket
from misc.weights.scale import LIVE_SHARE, Scale

MAX_DURATION_S: Final = 30.0


class Baseline(NamedTuple):
    """Seconds until all have a copy, and the number of copies read from the origin.

    ``measured_share`` is the share of the size that was fetched, from which the time is scaled up.
    """

    seconds: float
    copies: float
    measured_share: float


async def fetch_all_from_origin(
    url: str, model: str, version: str, replicas: int, scale: Scale
) -> Baseline:
    """Fetch the version with that many concurrent readers.

    Only a part is fetched if the whole would take longer than MAX_DURATION_S.
    """
    store = HttpStore(url)
    files = await store.files(model, version)
    expected_s = replicas * scale.size_bytes / scale.origin_bytes_per_s
    share = min(1.0, MAX_DURATION_S / expected_s)
    largest = max(files, key=lambda file: file.size_bytes)
    wanted_bytes = int(share * largest.size_bytes)
    started_at_s = time.monotonic()

    async def fetch_part() -> None:
        bucket = TokenBucket(SystemClock(), scale.link_bytes_per_s)
        for offset in range(0, wanted_bytes, scale.chunk_bytes):
            length = min(scale.chunk_bytes, wanted_bytes - offset)
            await bucket.acquire(length)
            await store.read(model, version, largest.path, offset, length)

    await asyncio.gather(*(fetch_part() for _ in range(replicas)))
    store.close()
    return Baseline((time.monotonic() - started_at_s) / share, float(replicas), share)


async def chain_duration_s(replicas: int, scale: Scale) -> float:
    """Return the seconds until every instance of a chain of that length has the version."""
    clock = SystemClock()
    rate = (1.0 - LIVE_SHARE) * scale.link_bytes_per_s
    chunks = -(-scale.size_bytes // scale.chunk_bytes)
    queues: list[asyncio.Queue[int]] = [asyncio.Queue() for _ in range(replicas + 1)]
    for index in range(chunks):
        queues[0].put_nowait(index)
    region_crossings = {replicas * part // scale.regions for part in range(1, scale.regions)}
    started_at_s = time.monotonic()

    async def node(number: int) -> None:
        region_rate = (1.0 - LIVE_SHARE) * scale.region_link_bytes_per_s
        slowest = min(rate, region_rate) if number in region_crossings else rate
        bucket = TokenBucket(clock, slowest)
        for _ in range(chunks):
            index = await queues[number].get()
            await bucket.acquire(scale.chunk_bytes)
            queues[number + 1].put_nowait(index)

    await asyncio.gather(*(node(number) for number in range(replicas)))
    return time.monotonic() - started_at_s
