"""Which upstreams have stated in an answer that they leave, whatever their records say."""

import time
from collections.abc import Callable
from typing import Final

from prometheus_client import Gauge

from gypsumpier.log import decision
from gypsumpier.metrics import REGISTRY
from gypsumpier.statement.run import RunKey, StatingUpstream

FORGOTTEN_S: Final = 30.0
"""Seconds after which an upstream that is in no record is forgotten; its record may be on its way
to this process."""
LEAVING_MAX: Final = 16_384
"""Upstreams that are kept; more than there are upstreams in the largest deployment."""

LEAVING_UPSTREAMS: Final = Gauge(
    "gypsumpier_leaving_upstreams",
    "Upstreams that have stated in an answer that they leave.",
    registry=REGISTRY,
)


class LeavingUpstreams:
    """Runs that leave, with the monotonic time at which this process learned of it.

    Their records may still call them ready: an answer can be earlier than the record, and the store
    may be away.  ``changes`` counts the
    changes of what is known.  ``listeners`` are called with each run that an answer here has shown
    to leave.
    """

    def __init__(self) -> None:
        self.known: dict[RunKey, float] = {}
        self.changes = 0
        self.listeners: list[Callable[[RunKey], None]] = []

    def record_answer(self, record: StatingUpstream, is_leaving: bool, sent_at_s: float) -> None:
        """Record what an answer says; its request was sent at ``sent_at_s``.

        An upstream that has changed its mind says so by the answer to a later request.
        """
        run = record.run_key()
        if is_leaving:
            if self.record_news(run, "answer"):
                for listener in self.listeners:
                    listener(run)
        elif sent_at_s > self.known.get(run, float("inf")):
            del self.known[run]
            self.changes += 1
            LEAVING_UPSTREAMS.set(len(self.known))
            decision("upstream_stays", upstream=run[0])

    def record_news(self, run: RunKey, origin: str) -> bool:
        """Record that ``origin`` says that the run leaves; return whether that is new."""
        if run in self.known:
            return False
        if len(self.known) >= LEAVING_MAX:
            decision("upstream_leaving_dropped", upstream=run[0], known=len(self.known))
            return False
        self.known[run] = time.monotonic()
        self.changes += 1
        LEAVING_UPSTREAMS.set(len(self.known))
        decision("upstream_leaving", upstream=run[0], source=origin)
        return True

    def is_leaving(self, record: StatingUpstream) -> bool:
        """Return whether the upstream's current run has stated that it leaves."""
        return bool(self.known) and record.run_key() in self.known

    def retain(self, runs: set[RunKey]) -> None:
        """Drop runs that have no record, some time after they were heard of."""
        oldest_s = time.monotonic() - FORGOTTEN_S
        for run in [run for run, at_s in self.known.items() if run not in runs and at_s < oldest_s]:
            del self.known[run]
            self.changes += 1
        LEAVING_UPSTREAMS.set(len(self.known))
