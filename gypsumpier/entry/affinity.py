"""Prefix affinity with bounded load, and power of two choices where there is no prefix.

Prompts with the same prefix go to the same upstream, whose engine has the prefix cached.  Each
prefix ranks the upstreams by rendezvous hashing, and the request goes to the first one whose load
is below the bound.  Cache events are not used, so late or missing ones have no effect.
"""

from collections.abc import Callable, Sequence
from math import ceil
from random import Random
from typing import Final, TypeVar

from gypsumpier.idempotency.homes import score

T = TypeVar("T")

LOAD_LIMIT_FACTOR: Final = 1.25
"""Load limit of an upstream, as a multiple of the mean load."""


def choose_by_prefix(
    candidates: Sequence[T], name: Callable[[T], str], load: Callable[[T], float], prefix: str
) -> T:
    """Return the upstream that ranks highest for the prefix among those below the load bound."""
    total = sum(load(candidate) for candidate in candidates) + 1
    bound = max(1, ceil(LOAD_LIMIT_FACTOR * total / len(candidates)))
    ranked = sorted(candidates, key=lambda candidate: score(name(candidate), prefix), reverse=True)
    return next(candidate for candidate in ranked if load(candidate) < bound)


def choose_by_load(candidates: Sequence[T], load: Callable[[T], float], random: Random) -> T:
    """Return the less loaded of two upstreams drawn at random."""
    pair = random.sample(candidates, min(2, len(candidates)))
    return min(pair, key=load)
