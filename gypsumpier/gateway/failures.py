"""Records failed attempts in the health of their upstreams, and logs them."""

import asyncio
import time
from typing import Final

from gypsumpier.fleet.node import Address
from gypsumpier.fleet.upstream import UpstreamRecord
from gypsumpier.gateway.attempt import Attempt
from gypsumpier.gateway.crashes import CrashTracker
from gypsumpier.gateway.request import GatewayRequest
from gypsumpier.log import decision
from gypsumpier.upstream.errors import NotRunError, OutcomeUnknownError
from gypsumpier.upstream.pool import UpstreamPool
from gypsumpier.upstream.selector import UpstreamSelector

TIME_LIMIT_MARGIN_S: Final = 0.05
"""Seconds before the time limit from which a silent upstream counts as failed."""
STREAM_STALLED_S: Final = 1.0
"""Seconds since the last event after which a stream's upstream counts as silent."""


class FailureRecorder:
    """Records failed attempts in the health of upstreams and in the crash suspects."""

    def __init__(
        self, selector: UpstreamSelector, pool: UpstreamPool, crashes: CrashTracker
    ) -> None:
        self.selector = selector
        self.pool = pool
        self.crashes = crashes
        self.probes: set[asyncio.Task[None]] = set()

    def record_not_run(self, attempt: Attempt, error: NotRunError) -> None:
        """Record a failed attempt whose request has certainly not run."""
        record = attempt.record
        health, run = self.selector.health, record.run_key()
        if not error.may_return:
            attempt.request.tried.add(run)
        log_failure(attempt, error.reason, "not_run")
        if not error.is_refusal:
            self.selector.give_back(record)
        if error.is_recalled:
            return
        if error.is_refusal and not error.is_replaced:
            self.selector.record_heard(record)
        if error.is_replaced:
            health.record_replaced(run)
        elif not error.is_refusal:
            self.selector.record_unreachable(record)
        elif error.is_misdirected:
            health.record_failure(run)
        else:
            health.record_full(run)
        health.record_outcome(run, failed=True)

    def record_unknown(
        self, attempt: Attempt, error: OutcomeUnknownError
    ) -> asyncio.Task[None] | None:
        """Record a failed attempt whose request may have run.

        Returns the check whether the upstream has crashed, if there is one.
        """
        probe = None
        request, record = attempt.request, attempt.record
        request.attempts += 1
        request.tried.add(record.run_key())
        # An engine that switches to new weights cuts its running requests but is healthy, and a
        # withdrawn request says nothing about its engine.
        if not self.selector.is_switching(record) and not error.is_withdrawn:
            if error.is_silent:
                self.record_silence(attempt)
            else:
                self.selector.health.record_outcome(record.run_key(), failed=True)
                if not error.is_answered:
                    self.selector.health.record_failure(record.run_key())
                    self.selector.cold.record_failure(record)
                    probe = self.suspect_crash(request, record)
        log_failure(attempt, error.reason, "unknown")
        return probe

    def record_silent(self, attempt: Attempt) -> None:
        """Record that an upstream is silent so that another one is tried while it may go on."""
        if not self.selector.is_switching(attempt.record):
            self.record_silence(attempt)
        log_attempt("attempt_silent", attempt)

    def record_silence(self, attempt: Attempt) -> None:
        """Record a silence; that of one attempt counts once, as the upstream may have gone on."""
        if not attempt.is_silence_recorded:
            attempt.is_silence_recorded = True
            self.selector.record_silence(attempt.record, attempt.began_at_s)

    def record_cancelled(self, attempt: Attempt) -> None:
        """Record a failure of an upstream that was silent when the time limit was reached."""
        request = attempt.request
        silent_s = time.monotonic() - request.last_event_at_s
        if request.left_s() <= TIME_LIMIT_MARGIN_S and silent_s >= STREAM_STALLED_S:
            self.selector.health.record_silence(attempt.record.run_key(), attempt.began_at_s)

    def suspect_crash(self, request: GatewayRequest, record: UpstreamRecord) -> asyncio.Task[None]:
        """Record a crash if a new connection to the upstream fails after it ran the request."""

        async def probe() -> None:
            try:
                stream = await self.pool.connect(Address(record.host, record.port))
                stream.close()
            except NotRunError:
                self.crashes.record_crash(request, record)

        task = asyncio.create_task(probe())
        self.probes.add(task)
        task.add_done_callback(self.probes.discard)
        return task


def log_failure(attempt: Attempt, reason: str, outcome: str) -> None:
    """Log a failed attempt."""
    log_attempt("attempt_failed", attempt, outcome=outcome, reason=reason)


def log_attempt(event: str, attempt: Attempt, **fields: object) -> None:
    """Log an event of an attempt, with how far it has come."""
    request = attempt.request
    decision(
        event,
        request=request.head.request_id,
        upstream=attempt.record.id,
        address=str(attempt.address()),
        attempts=request.attempts,
        age_s=round(request.age_s(), 3),
        connect_s=round(attempt.connect_s(), 3),
        unanswered_s=round(attempt.unanswered_s(), 3),
        **fields,
    )
