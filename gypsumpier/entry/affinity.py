"""Prefix affinity with bounded load, and power of two choices where there is no prefix.

Prompts with the same beginning go to the same upstream, whose engine has it cached: each prefix
ranks the upstreams by rendezvous hashing, and the first one whose load is below the bound takes the
request.  Cache events play no part, so late or missing ones do no harm.
"""

from collections.abc import Callable, Sequence
from math import ceil
from random import Random
from typing import Final, TypeVar

from gypsumpier.idempotency.homes import score

T = TypeVar("T")

LOAD_BOUND: Final = 1.25


def choose_by_prefix(
    candidates: Sequence[T], name: Callable[[T], str], load: Callable[[T], float], prefix: str
) -> T:
    """Return the first upstream of the prefix's ranking whose load is within the bound."""
    total = sum(load(candidate) for candidate in candidates) + 1
    bound = max(1, ceil(LOAD_BOUND * total / len(candidates)))
    ranked = sorted(candidates, key=lambda candidate: score(name(candidate), prefix), reverse=True)
    return next(candidate for candidate in ranked if load(candidate) < bound)


def choose_by_load(candidates: Sequence[T], load: Callable[[T], float], random: Random) -> T:
    """Return the less loaded of two upstreams drawn at random."""
    pair = random.sample(candidates, min(2, len(candidates)))
    return min(pair, key=load)
