"""A token bucket whose unused tokens can be worth less than one request."""

import math
from typing import Final

ROUNDING: Final = 1e-9
"""Part of a token that rounding may have cost."""


class TokenBucket:
    """Permits requests at a rate above 0.  Times are monotonic seconds.

    ``burst`` is how many tokens are kept for later.  Where it is below 1, as a small share of a
    burst that many processes have together, a whole token may be used until ``burst`` further
    parts have come in; then it is lost.  Over all processes no more than their common burst is
    usable at once.
    """

    def __init__(self, rate_per_s: float, burst: float, tokens: float, now_s: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.tokens = tokens
        self.updated_at_s = now_s

    def set_rate(self, rate_per_s: float, burst: float, now_s: float) -> None:
        """Change the rate and the burst from now on."""
        self.refill(now_s)
        self.rate_per_s, self.burst = rate_per_s, burst

    def refill(self, now_s: float) -> None:
        """Add the tokens that have come in, and drop those that were not used in time."""
        self.tokens += self.rate_per_s * max(0.0, now_s - self.updated_at_s)
        self.updated_at_s = now_s
        if self.burst >= 1.0:
            self.tokens = min(self.tokens, self.burst)
        elif self.tokens > 1.0 + self.burst:
            self.tokens -= math.ceil(self.tokens - 1.0 - self.burst)

    def has_token(self, now_s: float) -> bool:
        """Return whether a request may be sent now."""
        self.refill(now_s)
        return self.tokens >= 1.0 - ROUNDING

    def take(self, now_s: float) -> None:
        """Take the token of a request that is sent."""
        self.refill(now_s)
        self.tokens -= 1.0

    def give_back(self) -> None:
        """Give back the token of a request that was not sent after all."""
        self.tokens = min(self.tokens + 1.0, max(1.0, self.burst))

    def wait_s(self, now_s: float) -> float:
        """Return the seconds until a request may be sent."""
        return 0.0 if self.has_token(now_s) else (1.0 - self.tokens) / self.rate_per_s
