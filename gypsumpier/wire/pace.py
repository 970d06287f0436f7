"""The rate of heartbeats over all connections of one process.

A process with few connections sends a heartbeat on each every ``heartbeat_s``.  With many, the
idle ones share a budget of ``idle_heartbeats_per_s``, so that the cost of heartbeats to a process
does not grow with the number of its peers.  An end that answers an exchange is not idle: it always
uses the short interval, because a caller is waiting for the answer.
"""

from typing import Protocol


class PaceSettings(Protocol):
    """The shortest interval between heartbeats, in seconds, and the budget of idle connections."""

    heartbeat_s: float
    idle_heartbeats_per_s: float


class Pace:
    """Counts the open connections of a process and derives the idle interval."""

    def __init__(self, options: PaceSettings) -> None:
        self.options = options
        self.connections = 0

    def idle_interval_s(self) -> float:
        """Return the seconds between two heartbeats on an idle connection."""
        shared_s = self.connections / self.options.idle_heartbeats_per_s
        return max(self.options.heartbeat_s, shared_s)
