"""Which upstreams have failed lately and are left alone for a while."""

import math
import time
from dataclasses import dataclass
from typing import Final

BACKOFF_MIN_S: Final = 0.5
"""Seconds that an upstream is left alone after one failure; doubles with each further one."""
BACKOFF_MAX_S: Final = 4.0
"""Longest pause in seconds: an upstream that is back must not stay unused for long."""
FULL_BACKOFF_S: Final = 0.05
"""Seconds after a refusal for lack of room, in which requests end there."""


FAILURE_SMOOTHING: Final = 0.25
"""Weight of the newest outcome in the share of requests that fail at an upstream."""
FAILURE_HALF_LIFE_S: Final = 4.0
"""Seconds in which a share of failures halves by itself, so that an upstream is tried again."""
FAILING_RATE: Final = 0.25
"""Share of failures from which upstreams that fail less go first."""


@dataclass
class FailureRate:
    """Which share of the requests failed lately, as of ``at_s`` in monotonic seconds."""

    value: float = 0.0
    at_s: float = 0.0

    def now(self) -> float:
        """Return the share, which fades with time."""
        return self.value * math.exp2((self.at_s - time.monotonic()) / FAILURE_HALF_LIFE_S)

    def note(self, failed: bool) -> None:
        """Take one more outcome."""
        self.value = self.now() * (1.0 - FAILURE_SMOOTHING) + FAILURE_SMOOTHING * failed
        self.at_s = time.monotonic()


@dataclass
class Health:
    """Failures in a row of one run of an upstream; times are monotonic seconds."""

    failures: int = 0
    retry_at_s: float = 0.0
    probes: int = 0


class HealthBoard:
    """Health by the run of an upstream."""

    def __init__(self) -> None:
        self.healths: dict[tuple[str, int], Health] = {}
        self.failure_rates: dict[tuple[str, int], FailureRate] = {}

    def note_outcome(self, run: tuple[str, int], failed: bool) -> None:
        """Count an outcome towards the share of failures; a success alone does not clear it."""
        self.failure_rates.setdefault(run, FailureRate()).note(failed)

    def is_failing(self, run: tuple[str, int]) -> bool:
        """Tell whether so many requests fail that other upstreams go first."""
        rate = self.failure_rates.get(run)
        return rate is not None and rate.now() > FAILING_RATE

    def note_failure(self, run: tuple[str, int]) -> None:
        """Leave the upstream alone, longer after each failure in a row."""
        health = self.healths.setdefault(run, Health())
        if health.failures and time.monotonic() < health.retry_at_s:
            # Requests that fail together tell of one failure.
            return
        backoff_s = min(BACKOFF_MAX_S, BACKOFF_MIN_S * 2.0**health.failures)
        health.failures += 1
        health.retry_at_s = time.monotonic() + backoff_s

    def note_replaced(self, run: tuple[str, int]) -> None:
        """Leave the address alone until its record changes: another upstream answers there."""
        self.healths.setdefault(run, Health()).retry_at_s = float("inf")

    def note_full(self, run: tuple[str, int]) -> None:
        """Leave a full upstream alone for a moment."""
        health = self.healths.setdefault(run, Health())
        until_s = time.monotonic() + FULL_BACKOFF_S
        health.retry_at_s = max(health.retry_at_s, until_s)

    def note_success(self, run: tuple[str, int]) -> None:
        """Forget the failures."""
        self.healths.pop(run, None)

    def is_usable(self, run: tuple[str, int]) -> bool:
        """Tell whether requests may go there: not paused, and after failures one at a time."""
        health = self.healths.get(run)
        if health is None:
            return True
        if time.monotonic() < health.retry_at_s:
            return False
        return health.failures == 0 or health.probes == 0

    def begin(self, run: tuple[str, int]) -> None:
        """Count a request towards the trials of an upstream that has failed."""
        if run in self.healths:
            self.healths[run].probes += 1

    def end(self, run: tuple[str, int]) -> None:
        """Take the request from the trials."""
        if run in self.healths:
            self.healths[run].probes = max(0, self.healths[run].probes - 1)

    def retain(self, runs: set[tuple[str, int]]) -> None:
        """Forget upstreams that are gone."""
        self.healths = {run: health for run, health in self.healths.items() if run in runs}
        self.failure_rates = {
            run: share for run, share in self.failure_rates.items() if run in runs
        }
