"""Arrivals and admissions of the requests that are limited to the same regions."""

from collections import deque
from dataclasses import dataclass, field


@dataclass
class RegionalRates:
    """The monotonic times, in seconds, of recent arrivals and admissions."""

    arrived_at_s: deque[float] = field(default_factory=deque)
    granted_at_s: deque[float] = field(default_factory=deque)
