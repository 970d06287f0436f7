"""How long a request may wait for a home that is out of reach.

A home that is replaced as planned is back within seconds, so a request that comes meanwhile is
worth holding.  The time runs from when the home was first found missing, not from the request: once
it is over, the home is not expected back, and requests for it are refused at once until it is.
"""

from typing import Final

HOME_WAIT_S: Final = 6.0


class HomeWait:
    """Since when each home slot has been out of reach, in monotonic seconds."""

    def __init__(self) -> None:
        self.unreachable_since_s: dict[str, float] = {}

    def record_unreachable(self, slot: str, now_s: float) -> None:
        """Note that the home in the slot could not be reached."""
        self.unreachable_since_s.setdefault(slot, now_s)

    def record_reachable(self, slot: str) -> None:
        """Note that the home in the slot can be reached."""
        self.unreachable_since_s.pop(slot, None)

    def remaining_wait_s(self, slot: str, now_s: float) -> float:
        """Return how many seconds the home in the slot is still waited for."""
        return max(0.0, self.unreachable_since_s.get(slot, now_s) + HOME_WAIT_S - now_s)
