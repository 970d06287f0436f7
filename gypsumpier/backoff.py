"""Exponential backoff with full jitter.

Each wait is uniformly random between zero and a bound that doubles with each failure, so that
instances that failed together do not retry together.
"""

import random
from typing import Final

INITIAL_BOUND_S: Final = 0.5
MAX_DOUBLINGS: Final = 16


class Backoff:
    """The backoff state of one retried operation; ``limit_s`` caps the bound of its waits."""

    def __init__(self, randomness: random.Random, limit_s: float) -> None:
        self.randomness = randomness
        self.limit_s = limit_s
        self.failures = 0

    def next_wait_s(self, minimum_s: float | None = None) -> float:
        """Count a failure and return the seconds to wait before the next attempt.

        ``minimum_s`` is added to the random wait, for example the seconds of a Retry-After.
        """
        bound_s = min(self.limit_s, INITIAL_BOUND_S * 2 ** min(self.failures, MAX_DOUBLINGS))
        self.failures += 1
        return (minimum_s or 0.0) + self.randomness.uniform(0.0, bound_s)

    def reset(self) -> None:
        """Reset the count of failures after a success."""
        self.failures = 0
