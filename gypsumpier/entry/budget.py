"""The retry budget of an entry: retries are a bounded share of requests.

Each request earns a part of a retry.  When upstreams fail at large, the budget is soon spent, and
each request makes one attempt only.
"""

from typing import Final

RETRIES_EARNED_PER_REQUEST: Final = 0.1
RETRIES_MAX: Final = 10.0


class RetryBudget:
    """Counts what may be spent on retries."""

    def __init__(self) -> None:
        self.available_retries = RETRIES_MAX

    def earn(self) -> None:
        """Note a request."""
        self.available_retries = min(
            RETRIES_MAX, self.available_retries + RETRIES_EARNED_PER_REQUEST
        )

    def spend(self) -> bool:
        """Take one retry from the budget; False where there is none."""
        if self.available_retries < 1.0:
            return False
        self.available_retries -= 1.0
        return True
