"""What upstreams that state limits may get, for tests."""

from typing import Final

WINDOW_S: Final = 4.0
EXCESS_SHARE: Final = 1.5
EXCESS_REQUESTS: Final = 5
"""An upstream may get so much of its limit within each window, and so many requests more."""
STABLE_S: Final = 3.0
"""Seconds after a limit is stated first from which it must be kept."""


def allowed_in_window(per_s: float) -> float:
    """Return how many requests an upstream with that limit may get within one window."""
    return EXCESS_SHARE * WINDOW_S * per_s + EXCESS_REQUESTS


def most_in_window(times_s: list[float]) -> int:
    """Return the largest number of the times, in order, that are within one window."""
    most = first = 0
    for last, at_s in enumerate(times_s):
        while at_s - times_s[first] > WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most
