"""What the crashes of upstreams say about one trait."""

from dataclasses import dataclass, field
from typing import Any, Final

SIMULTANEOUS_S: Final = 0.05
"""Seconds within which several crashes count as one: a fault of their machines or network."""
CRASHES_MAX: Final = 64
"""Crashes that are kept of one suspect, and as many of which it was cleared; the newest ones."""


@dataclass
class Suspect:
    """The crashes in which requests with one trait ran.  Times are monotonic seconds.

    ``crashes`` holds for each crash when it became known, without those in ``cleared``: a request
    with the trait was answered after them.  ``requests`` counts the requests with the trait that
    ran in the crashes.  While ``is_refused``, requests with the trait are refused until
    ``refused_until_s``; then one at a time is tried, the current one until ``trial_until_s``.
    """

    crashes: dict[str, float] = field(default_factory=dict)
    cleared: dict[str, None] = field(default_factory=dict)
    requests: int = 0
    named_at_s: float = 0.0
    is_refused: bool = False
    refused_until_s: float = 0.0
    failed_trials: int = 0
    trial_until_s: float = 0.0

    @property
    def requests_per_crash(self) -> float:
        """The mean number of requests with the trait in a crash; the culprit has few."""
        return self.requests / max(1, len(self.crashes))

    def add_crash(self, crash: str, now_s: float) -> None:
        """Add a crash that becomes known now."""
        self.crashes[crash] = self.named_at_s = now_s
        drop_oldest(self.crashes)

    def drop_crashes_before(self, oldest_s: float) -> None:
        """Drop the crashes that became known before that time."""
        self.crashes = {crash: at_s for crash, at_s in self.crashes.items() if at_s >= oldest_s}

    def clear(self, crashes: list[str]) -> None:
        """Remove crashes that the trait did not cause; end the refusal if none is left."""
        for crash in crashes:
            self.cleared[crash] = None
            self.crashes.pop(crash, None)
        drop_oldest(self.cleared)
        if not self.crashes:
            self.requests = 0
            self.end_refusal()

    def end_refusal(self) -> None:
        """Allow requests with the trait again."""
        self.is_refused = False
        self.failed_trials = 0
        self.refused_until_s = self.trial_until_s = 0.0

    def merge(self, other: "Suspect", now_s: float) -> None:
        """Add what another process knows of the trait."""
        self.named_at_s = now_s
        self.clear(list(other.cleared))
        charged = {
            crash: at_s for crash, at_s in other.crashes.items() if crash not in self.cleared
        }
        if not charged:
            return
        self.crashes |= {
            crash: at_s for crash, at_s in charged.items() if crash not in self.crashes
        }
        drop_oldest(self.crashes)
        self.requests = max(self.requests, other.requests)
        if other.is_refused:
            self.is_refused = True
            self.refused_until_s = max(self.refused_until_s, other.refused_until_s)
            self.failed_trials = max(self.failed_trials, other.failed_trials)

    def is_worth_sending(self) -> bool:
        """Return whether a process that knows nothing of the trait would decide otherwise."""
        return self.is_refused or len(self.crashes) > 1

    def as_fields(self, now_s: float) -> dict[str, Any]:
        """Return the suspect for a message, with times as seconds from now."""
        return {
            "crashes": {crash: now_s - at_s for crash, at_s in self.crashes.items()},
            "cleared": list(self.cleared),
            "requests": self.requests,
            "refused_for_s": self.refused_until_s - now_s if self.is_refused else None,
            "failed_trials": self.failed_trials,
        }


def suspect_from(fields: Any, now_s: float) -> Suspect:
    """Return the suspect in a message; raise KeyError, TypeError or ValueError if malformed."""
    refused_for_s = fields["refused_for_s"]
    return Suspect(
        crashes={str(crash): now_s - float(age_s) for crash, age_s in fields["crashes"].items()},
        cleared={str(crash): None for crash in fields["cleared"]},
        requests=int(fields["requests"]),
        named_at_s=now_s,
        is_refused=refused_for_s is not None,
        refused_until_s=now_s + float(refused_for_s or 0.0),
        failed_trials=int(fields["failed_trials"]),
    )


def drop_oldest(crashes: dict[str, Any]) -> None:
    """Keep the newest crashes."""
    while len(crashes) > CRASHES_MAX:
        del crashes[next(iter(crashes))]


def count_separate(times_s: list[float]) -> int:
    """Return the number of crashes, counting those at the same moment once."""
    count = 0
    began_s = float("-inf")
    for at_s in sorted(times_s):
        if at_s - began_s > SIMULTANEOUS_S:
            count += 1
            began_s = at_s
    return count
