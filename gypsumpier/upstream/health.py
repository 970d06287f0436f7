"""Backoff and failure rates of upstreams that have failed recently."""

import math
import time
from dataclasses import dataclass
from typing import Final

BACKOFF_MIN_S: Final = 0.5
"""Seconds of backoff after one failure; doubles with each further failure in a row."""
BACKOFF_MAX_S: Final = 4.0
"""Longest backoff in seconds: a recovered upstream must not stay unused for long."""
FULL_BACKOFF_S: Final = 0.05
"""Seconds of backoff after a refusal for lack of capacity, in which running requests end."""


FAILURE_EWMA_WEIGHT: Final = 0.25
"""Weight of the newest outcome in the failure rate of an upstream."""
FAILURE_HALF_LIFE_S: Final = 4.0
"""Seconds in which a failure rate halves by itself, so that an upstream is tried again."""
FAILING_RATE: Final = 0.25
"""Failure rate above which upstreams that fail less are preferred."""


@dataclass
class FailureRate:
    """Moving average of the share of requests that fail, as of ``at_s`` in monotonic seconds."""

    value: float = 0.0
    at_s: float = 0.0

    def now(self) -> float:
        """Return the current rate, which decays with time."""
        return self.value * math.exp2((self.at_s - time.monotonic()) / FAILURE_HALF_LIFE_S)

    def add(self, failed: bool) -> None:
        """Add one outcome to the average."""
        self.value = self.now() * (1.0 - FAILURE_EWMA_WEIGHT) + FAILURE_EWMA_WEIGHT * failed
        self.at_s = time.monotonic()


@dataclass
class Health:
    """Consecutive failures of one run of an upstream.

    ``retry_at_s`` is the end of its backoff in monotonic seconds.  ``probes`` counts the requests
    in flight since it failed.
    """

    failures: int = 0
    retry_at_s: float = 0.0
    probes: int = 0


class HealthTracker:
    """Health and failure rates by the run key of an upstream.

    ``silent_since_s`` holds the monotonic time at which the first request failed in the silence
    that an upstream is in, until it is heard again.
    """

    def __init__(self) -> None:
        self.health_by_run: dict[tuple[str, int], Health] = {}
        self.failure_rates: dict[tuple[str, int], FailureRate] = {}
        self.silent_since_s: dict[tuple[str, int], float] = {}

    def record_outcome(self, run: tuple[str, int], failed: bool) -> None:
        """Add an outcome to the failure rate; a single success does not clear the rate."""
        self.failure_rates.setdefault(run, FailureRate()).add(failed)

    def is_failing(self, run: tuple[str, int]) -> bool:
        """Return whether the failure rate is so high that other upstreams are preferred."""
        rate = self.failure_rates.get(run)
        return rate is not None and rate.now() > FAILING_RATE

    def record_failure(self, run: tuple[str, int], is_known: bool = False) -> None:
        """Start a backoff, which doubles with each failure in a row but not with a known one."""
        health = self.health_by_run.setdefault(run, Health())
        if health.failures and time.monotonic() < health.retry_at_s:
            # Requests that fail together count as one failure.
            return
        backoff_s = BACKOFF_MIN_S
        if not is_known:
            backoff_s = min(BACKOFF_MAX_S, BACKOFF_MIN_S * 2.0**health.failures)
            health.failures += 1
        health.retry_at_s = time.monotonic() + backoff_s

    def record_silence(self, run: tuple[str, int], sent_at_s: float) -> None:
        """Record that a request, sent at that monotonic time, was given up for lack of an answer.

        Requests that fail in one silence are one incident: they count once in the failure rate, and
        only those that were sent after the first failure double the backoff.
        """
        is_known = run in self.silent_since_s and sent_at_s <= self.silent_since_s[run]
        if run not in self.silent_since_s:
            self.silent_since_s[run] = time.monotonic()
            self.record_outcome(run, failed=True)
        self.record_failure(run, is_known)

    def record_heard(self, run: tuple[str, int]) -> None:
        """Record that an answer has begun to arrive, which ends a silence."""
        self.silent_since_s.pop(run, None)

    def record_replaced(self, run: tuple[str, int]) -> None:
        """Stop using the upstream until its record changes: another one answers at its address."""
        self.health_by_run.setdefault(run, Health()).retry_at_s = float("inf")

    def record_full(self, run: tuple[str, int]) -> None:
        """Start the short backoff of an upstream that is full."""
        health = self.health_by_run.setdefault(run, Health())
        until_s = time.monotonic() + FULL_BACKOFF_S
        health.retry_at_s = max(health.retry_at_s, until_s)

    def record_success(self, run: tuple[str, int]) -> None:
        """Clear the failures and the backoff; the failure rate stays."""
        self.record_heard(run)
        self.health_by_run.pop(run, None)

    def is_usable(self, run: tuple[str, int]) -> bool:
        """Return whether requests may be sent: not in backoff, and after failures one at a time."""
        health = self.health_by_run.get(run) if self.health_by_run else None
        if health is None:
            return True
        if time.monotonic() < health.retry_at_s:
            return False
        return health.failures == 0 or health.probes == 0

    def backoff_ends_at_s(self, run: tuple[str, int]) -> float | None:
        """Return the monotonic time at which the backoff ends; None if that is not known.

        It is not while a request probes the upstream, or while another one answers in its place.
        """
        health = self.health_by_run.get(run)
        ends_at_s = health.retry_at_s if health else 0.0
        return ends_at_s if time.monotonic() < ends_at_s < math.inf else None

    def is_in_backoff(self, run: tuple[str, int]) -> bool:
        """Return whether no request may be sent, as the upstream has failed a moment ago."""
        health = self.health_by_run.get(run)
        return health is not None and time.monotonic() < health.retry_at_s

    def begin(self, run: tuple[str, int]) -> None:
        """Count a request as a probe if the upstream has failed."""
        if run in self.health_by_run:
            self.health_by_run[run].probes += 1

    def end(self, run: tuple[str, int]) -> None:
        """Stop counting a request as a probe."""
        if run in self.health_by_run:
            self.health_by_run[run].probes = max(0, self.health_by_run[run].probes - 1)

    def retain(self, runs: set[tuple[str, int]]) -> None:
        """Drop the state of all runs that are not in ``runs``."""
        self.health_by_run = {
            run: health for run, health in self.health_by_run.items() if run in runs
        }
        self.failure_rates = {
            run: share for run, share in self.failure_rates.items() if run in runs
        }
        self.silent_since_s = {
            run: since_s for run, since_s in self.silent_since_s.items() if run in runs
        }
