"""The retry budget of an entry: retries are a bounded share of requests.

Each request earns a fraction of a retry.  When many upstreams fail, the budget is soon exhausted,
and most requests make one attempt only.
"""

from typing import Final

RETRIES_EARNED_PER_REQUEST: Final = 0.1
RETRIES_MAX: Final = 10.0


class RetryBudget:
    """Counts the retries that are available."""

    def __init__(self) -> None:
        self.available_retries = RETRIES_MAX

    def earn(self) -> None:
        """Add the fraction of a retry that one request earns."""
        self.available_retries = min(
            RETRIES_MAX, self.available_retries + RETRIES_EARNED_PER_REQUEST
        )

    def spend(self) -> bool:
        """Spend one retry; return whether one was available."""
        if self.available_retries < 1.0:
            return False
        self.available_retries -= 1.0
        return True
