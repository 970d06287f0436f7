"""Seeded open-loop arrivals: the due time of a request doesn't depend on earlier answers."""

import random
from collections.abc import Iterator
from typing import Final, NamedTuple

WORDS: Final = ("summarise", "explain", "draft", "compare", "table", "specimen", "run", "drift")
PROMPT_WORDS: Final = 24
SHARED_PROMPTS: Final = 16
SHARED_WORDS: Final = 40


class Arrival(NamedTuple):
    """One request; ``at_s`` is its due time in seconds from the start of the load."""

    number: int
    at_s: float
    streamed: bool
    workspace: str
    prompt: str


class Profile(NamedTuple):
    """The parameters of a load.  ``streamed_share`` is between 0 and 1."""

    rate_per_s: float
    duration_s: float
    seed: int = 1
    streamed_share: float = 1.0
    workspaces: tuple[str, ...] = ("default",)


def arrivals(profile: Profile) -> Iterator[Arrival]:
    """Yield Poisson arrivals; prompts share long prefixes, like a system prompt."""
    rng = random.Random(profile.seed)
    prefixes = [sentence(rng, SHARED_WORDS) for _ in range(SHARED_PROMPTS)]
    # Each workspace has half the weight of the previous one; from the fourth on they are equal.
    weights = [0.5 ** min(rank, 3) for rank in range(len(profile.workspaces))]
    at_s = rng.expovariate(profile.rate_per_s)
    number = 0
    while at_s < profile.duration_s:
        yield Arrival(
            number=number,
            at_s=at_s,
            streamed=rng.random() < profile.streamed_share,
            workspace=rng.choices(profile.workspaces, weights)[0],
            prompt=f"{rng.choice(prefixes)} {number} {sentence(rng, PROMPT_WORDS)}",
        )
        number += 1
        at_s += rng.expovariate(profile.rate_per_s)


def sentence(rng: random.Random, count: int) -> str:
    """Return ``count`` random words."""
    return " ".join(rng.choices(WORDS, k=count))
