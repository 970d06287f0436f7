"""How soon the queued requests that compete for the same places are expected to be admitted."""

from dataclasses import dataclass


@dataclass
class QueueFlow:
    """Estimated admissions per second, the first of them in ``first_in_s`` seconds.

    Late requests are admitted at ``late_per_s``.  ``timely`` and ``late`` count the requests that
    are served before the next one.
    """

    per_s: float
    late_per_s: float
    first_in_s: float = 0.0
    timely: int = 0
    late: int = 0

    def wait_s(self, is_late: bool) -> float:
        """Return the estimated seconds until the next request is admitted."""
        late_s = self.late / self.late_per_s if is_late else 0.0
        return self.first_in_s + self.timely / self.per_s + late_s

    def is_first(self) -> bool:
        """Return whether no request is served before the next one."""
        return not (self.timely or self.late)

    def add(self, is_late: bool) -> None:
        """Count a request that is served before those that follow."""
        if is_late:
            self.late += 1
        else:
            self.timely += 1
