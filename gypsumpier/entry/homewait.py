"""How long a request may wait for an unreachable home.

A home is back within seconds after a planned replacement, so requests that arrive meanwhile are
held.  The time limit runs from when the home was first found unreachable, not from the request's
arrival.  After it, requests for the home are refused at once until the home is reachable again.
"""

from typing import Final

HOME_WAIT_S: Final = 6.0


class HomeWait:
    """The time since which each home slot has been unreachable, in monotonic seconds."""

    def __init__(self) -> None:
        self.unreachable_since_s: dict[str, float] = {}

    def record_unreachable(self, slot: str, now_s: float) -> None:
        """Record that the home in the slot is unreachable."""
        self.unreachable_since_s.setdefault(slot, now_s)

    def record_reachable(self, slot: str) -> None:
        """Record that the home in the slot is reachable."""
        self.unreachable_since_s.pop(slot, None)

    def remaining_wait_s(self, slot: str, now_s: float) -> float:
        """Return for how many more seconds requests may wait for the home in the slot."""
        return max(0.0, self.unreachable_since_s.get(slot, now_s) + HOME_WAIT_S - now_s)
