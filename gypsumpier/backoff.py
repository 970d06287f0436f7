"""Waiting between retries: exponential with full jitter.

Each wait is drawn evenly from zero to a bound that doubles with each failure, so instances that
failed together do not come back together.
"""

import random
from typing import Final

FIRST_BOUND_S: Final = 0.5
DOUBLINGS_LIMIT: Final = 16


class Backoff:
    """The waits of one retried activity."""

    def __init__(self, randomness: random.Random, limit_s: float) -> None:
        self.randomness = randomness
        self.limit_s = limit_s
        self.failures = 0

    def next_wait_s(self, at_least_s: float | None = None) -> float:
        """Count a failure and return how long to wait before the next try."""
        bound_s = min(self.limit_s, FIRST_BOUND_S * 2 ** min(self.failures, DOUBLINGS_LIMIT))
        self.failures += 1
        return (at_least_s or 0.0) + self.randomness.uniform(0.0, bound_s)

    def reset(self) -> None:
        """Forget the failures after a success."""
        self.failures = 0
