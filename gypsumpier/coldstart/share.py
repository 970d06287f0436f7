"""The share of an upstream's allowance that one entry may use.

The shares of all entries are at most the allowance together if each of them counts all others.
"""

import hashlib
import math
from collections.abc import Collection
from typing import Final

SPARE_SHARES: Final = 2
"""Shares that no entry uses: for a process that runs beside its replacement of the same name, and
for entries whose settings list other seeds for a moment."""


def equal_share(allowance: float, entries: int) -> int:
    """Return the requests a second of each of so many entries; 0 where there are too many."""
    return math.floor(allowance / (entries + SPARE_SHARES))


def is_chosen(
    allowance: float, run: tuple[str, int], own_name: str, names: Collection[str]
) -> bool:
    """Return whether this entry is one of those that get one request a second, by a hash.

    Each run of an upstream is left to other entries.  An entry that knows more names than another
    is at most chosen less often, so different views don't exceed the allowance.
    """
    own_rank = rank_hash(run, own_name)
    before = sum(rank_hash(run, name) < own_rank for name in names if name != own_name)
    return before < math.floor(allowance) - SPARE_SHARES


def rank_hash(run: tuple[str, int], name: str) -> bytes:
    """Return what orders the entries for one run of an upstream."""
    return hashlib.blake2b(f"{run[0]}\0{run[1]}\0{name}".encode(), digest_size=8).digest()
