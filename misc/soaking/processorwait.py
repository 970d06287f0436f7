"""For how long a process was ready to run but got no processor."""

from typing import NamedTuple


class ProcessorWait(NamedTuple):
    """Seconds for which a process waited for a processor, within a span of monotonic seconds."""

    target: str
    began_at_s: float
    ended_at_s: float
    waited_s: float

    def within_s(self, from_s: float, to_s: float) -> float:
        """Return the most seconds of it that lie between two monotonic times."""
        overlap_s = min(self.ended_at_s, to_s) - max(self.began_at_s, from_s)
        return max(0.0, min(self.waited_s, overlap_s))
