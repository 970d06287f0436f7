"""A digest of the contents held, in buckets, so that a difference narrows to few candidates."""

import hashlib
from collections.abc import Iterable
from typing import Final

from gypsumpier.spread.message import Holding

BUCKETS_FOR_ALL_NAMES: Final = 32
BUCKETS_FOR_WANTED_NAMES: Final = 1
BUCKET_BYTES: Final = 6


def digest_of(holdings: Iterable[Holding], count: int) -> bytes:
    """Return the XOR of the holdings' hashes for each of ``count`` buckets."""
    buckets = [0] * count
    for holding in holdings:
        buckets[bucket_of(holding.name, count)] ^= hash_of(holding)
    return b"".join(bucket.to_bytes(BUCKET_BYTES, "big") for bucket in buckets)


def differing_buckets(own: bytes, other: bytes) -> set[int]:
    """Return the buckets in which two digests differ; all of them where the lengths differ."""
    if len(own) != len(other):
        return set(range(len(own) // BUCKET_BYTES))
    pieces = range(0, len(own), BUCKET_BYTES)
    return {
        start // BUCKET_BYTES
        for start in pieces
        if own[start : start + BUCKET_BYTES] != other[start : start + BUCKET_BYTES]
    }


def bucket_of(name: str, count: int) -> int:
    """Return the index of the bucket that the name falls into."""
    return hashlib.blake2b(name.encode(), digest_size=1).digest()[0] % count


def hash_of(holding: Holding) -> int:
    """Return the hash of one content."""
    text = f"{holding.name}\n{holding.rank.revision}\n{holding.rank.digest.hex()}"
    digest = hashlib.blake2b(text.encode(), digest_size=BUCKET_BYTES).digest()
    return int.from_bytes(digest, "big")
