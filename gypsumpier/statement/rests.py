"""Which upstreams have asked this process for a rest, and how requests begin again after it.

A rest concerns this process alone: upstreams ask each process for one.
"""

import time
from dataclasses import dataclass
from typing import Final

from prometheus_client import Gauge

from gypsumpier.log import decision
from gypsumpier.metrics import REGISTRY
from gypsumpier.statement.run import RunKey, StatingUpstream
from gypsumpier.statement.statedrest import StatedRest

PERMITS_PER_ANSWER: Final = 2.0
"""Requests that may follow each request that was answered after a rest: twice as many each time."""
PERMITS_ENOUGH: Final = 16.0
"""Unused permits from which an upstream gets requests as before its rest."""
PERMIT_INTERVAL_S: Final = 1.0
"""Seconds after which another request may follow although none was answered: an answer may be lost
or take long."""
RESTS_MAX: Final = 16_384
"""Upstreams whose rests are kept; more than there are upstreams in the largest deployment."""
LOG_INTERVAL_S: Final = 10.0
"""Seconds between two log lines of one upstream's rests, or of its unreadable values."""

RESTING_UPSTREAMS: Final = Gauge(
    "gypsumpier_resting_upstreams",
    "Upstreams that have asked this process for a rest and are not yet used as before it.",
    registry=REGISTRY,
)


@dataclass
class Rest:
    """A rest of one run until ``until_s``, in monotonic seconds.

    ``permits`` are the requests that may be sent now that it has ended; the last one was sent at
    ``sent_at_s``.
    """

    until_s: float
    permits: float = 1.0
    sent_at_s: float = float("-inf")

    def permits_at(self, now_s: float) -> float:
        """Return the requests that may be sent at that time."""
        if now_s < self.until_s:
            return 0.0
        is_due = now_s - self.sent_at_s >= PERMIT_INTERVAL_S
        return max(self.permits, 1.0) if is_due else self.permits


class Rests:
    """The rests by run of an upstream.

    No request is sent during a rest, whatever its kind.  After it one is sent, and more as requests
    are answered, so that what has waited does not arrive all at once.
    """

    def __init__(self) -> None:
        self.known: dict[RunKey, Rest] = {}
        self.logged_at_s: dict[RunKey, float] = {}

    def record_answer(self, record: StatingUpstream, stated: StatedRest, sent_at_s: float) -> None:
        """Record what an answer says of a rest; its request was sent at ``sent_at_s``.

        A shorter rest does not end a longer one, and neither does a success: both may have been
        under way when the longer one was asked for.
        """
        if stated.unreadable:
            self.log_unreadable(record, stated.unreadable)
        elif stated.seconds > 0:
            self.begin_rest(record, stated.seconds)
        else:
            self.record_answered(record.run_key(), sent_at_s)

    def begin_rest(self, record: StatingUpstream, seconds: float) -> None:
        """Begin a rest, or extend the one that is known."""
        run, now_s = record.run_key(), time.monotonic()
        until_s = now_s + seconds
        known = self.known.get(run)
        if known is None and len(self.known) >= RESTS_MAX:
            decision("upstream_rest_dropped", upstream=run[0], known=len(self.known))
            return
        self.known[run] = Rest(max(until_s, known.until_s) if known else until_s)
        RESTING_UPSTREAMS.set(len(self.known))
        if self.is_log_due(run, now_s):
            decision("upstream_rest", upstream=run[0], seconds=seconds)

    def record_answered(self, run: RunKey, sent_at_s: float) -> None:
        """Let more requests follow if the answered one was sent after the rest."""
        known = self.known.get(run)
        if known is None or sent_at_s < known.until_s:
            return
        known.permits += PERMITS_PER_ANSWER
        if known.permits >= PERMITS_ENOUGH:
            del self.known[run]
            RESTING_UPSTREAMS.set(len(self.known))

    def left_s(self, record: StatingUpstream) -> float:
        """Return the seconds until the end of the upstream's rest; 0 if it does not rest."""
        known = self.known.get(record.run_key()) if self.known else None
        return max(0.0, known.until_s - time.monotonic()) if known else 0.0

    def is_resting(self, record: StatingUpstream) -> bool:
        """Return whether the upstream wants nothing from this process now."""
        return self.left_s(record) > 0

    def allows(self, record: StatingUpstream) -> bool:
        """Return whether the upstream may get a request from this process now."""
        known = self.known.get(record.run_key()) if self.known else None
        return known is None or known.permits_at(time.monotonic()) >= 1.0

    def take(self, record: StatingUpstream) -> None:
        """Count a request that is sent to the upstream."""
        known = self.known.get(record.run_key())
        if known is not None:
            now_s = time.monotonic()
            known.permits = max(0.0, known.permits_at(now_s) - 1.0)
            known.sent_at_s = now_s

    def give_back(self, record: StatingUpstream) -> None:
        """Count a request as not sent, because there was no connection to the upstream."""
        known = self.known.get(record.run_key())
        if known is not None and time.monotonic() >= known.until_s:
            known.permits += 1.0

    def retain(self, runs: set[RunKey]) -> None:
        """Drop what is known of runs that are in no record once their rests have ended."""
        now_s = time.monotonic()
        for run in [run for run in self.known if run not in runs]:
            if self.known[run].until_s <= now_s:
                del self.known[run]
        for run in [run for run in self.logged_at_s if run not in runs]:
            del self.logged_at_s[run]
        RESTING_UPSTREAMS.set(len(self.known))

    def is_log_due(self, run: RunKey, now_s: float) -> bool:
        """Return whether a line about the run is to be logged now, and count it."""
        if now_s - self.logged_at_s.get(run, float("-inf")) < LOG_INTERVAL_S:
            return False
        self.logged_at_s[run] = now_s
        return True

    def log_unreadable(self, record: StatingUpstream, text: str) -> None:
        """Log a value that is no number of seconds, now and then."""
        if self.is_log_due(record.run_key(), time.monotonic()):
            decision("upstream_rest_ignored", upstream=record.id, value=text)
