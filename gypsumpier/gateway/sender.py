"""Sends a request to an upstream and receives the head of its answer."""

import time
from typing import Final

from prometheus_client import Histogram
from tornado.httputil import RequestStartLine
from tornado.iostream import StreamClosedError

from gypsumpier.fleet.upstream import UpstreamRecord
from gypsumpier.gateway.admission import Admission
from gypsumpier.gateway.attempt import Attempt
from gypsumpier.gateway.crashes import CrashTracker
from gypsumpier.gateway.pendingstarts import PendingStarts
from gypsumpier.gateway.request import GatewayRequest
from gypsumpier.gateway.writer import AnswerWriter
from gypsumpier.log import decision
from gypsumpier.metrics import REGISTRY
from gypsumpier.platform.headers import upstream_headers
from gypsumpier.upstream.errors import NotRunError, OutcomeUnknownError
from gypsumpier.upstream.exchange import Exchange
from gypsumpier.upstream.head import AnswerHead, UpstreamHead
from gypsumpier.upstream.pool import UpstreamCall, UpstreamPool
from gypsumpier.upstream.replacement import Replacement
from gypsumpier.upstream.selector import UpstreamSelector

STREAM_SILENCE_S: Final = 1.0
"""Seconds without an event after which a stream is started or resumed at another upstream."""
PLAIN_SILENCE_S: Final = 0.35
"""Seconds without an answer after which a repeatable plain request is sent to another upstream."""
MISDIRECTED: Final = 421
URGENCY_MAX: Final = 9

UPSTREAM_CONNECT_TIME: Final = Histogram(
    "gypsumpier_upstream_connect_seconds",
    "Time until an attempt had a new or kept connection to its upstream.",
    registry=REGISTRY,
)
UPSTREAM_ANSWER_TIME: Final = Histogram(
    "gypsumpier_upstream_answer_seconds",
    "Time from the connection of an attempt to the head of its answer.",
    ["service"],
    registry=REGISTRY,
)


class UpstreamSender:
    """Begins attempts of admitted requests, and ends them."""

    def __init__(
        self,
        admission: Admission,
        selector: UpstreamSelector,
        pool: UpstreamPool,
        crashes: CrashTracker,
        starts: PendingStarts,
    ) -> None:
        self.admission = admission
        self.selector = selector
        self.pool = pool
        self.crashes = crashes
        self.starts = starts

    async def begin(
        self, attempt: Attempt, writer: AnswerWriter, replacement: Replacement, silent: str = ""
    ) -> None:
        """Send the request and set ``attempt.head``; ``end`` has to follow.

        ``silent`` is the id of an upstream that may still answer the request as well.  Raises
        NotRunError if the request has not run, and OutcomeUnknownError if it may have run and there
        is no usable answer; the attempt has then ended.
        """
        request, record = attempt.request, attempt.record
        decision(
            "route",
            request=request.head.request_id,
            workspace=request.workspace_name,
            service=request.service,
            upstream=record.id,
            zone=record.zone,
            load=self.selector.load(record),
            slots=record.slots,
            held_version=self.selector.held_version(record),
            least_version=self.admission.least_version(request.service),
            waited_s=round(request.age_s(), 3),
            attempts=request.attempts,
            silent=silent,
        )

        def make_call() -> UpstreamCall:
            attempt.connected_at_s = time.monotonic()
            UPSTREAM_CONNECT_TIME.observe(attempt.connect_s())
            self.check_sendable(request, record, writer)
            call = self.call(request, record)
            self.take_permit(record)
            self.crashes.begin(request)
            request.is_sent = True
            return call

        address = attempt.address()
        # An answer to the request sent before, with the same id, may arrive once more.
        is_sent_again = address in request.sent_to
        request.sent_to.add(address)
        try:
            attempt.exchange = await self.pool.open(
                address, request.route.is_repeatable, make_call, replacement, is_new=is_sent_again
            )
        except NotRunError:
            raise
        except BaseException:
            # The caller has left before the request was sent; no failure is recorded.
            self.selector.give_back(record)
            raise
        try:
            attempt.head = await self.usable_head(attempt, attempt.exchange)
        except BaseException:
            self.end(attempt)
            raise

    def end(self, attempt: Attempt) -> None:
        """Close the connection of the attempt, or keep it where the answer is complete."""
        exchange, attempt.exchange = attempt.exchange, None
        if exchange is not None:
            self.pool.release(attempt.address(), exchange)

    async def usable_head(self, attempt: Attempt, exchange: Exchange) -> AnswerHead:
        """Return the head of an answer that may be relayed; raise an error of ``begin`` if not."""
        request, record = attempt.request, attempt.record
        with self.starts.track(exchange, request, record):
            head = await exchange.answer(request.head.request_id)
        attempt.answered_at_s = time.monotonic()
        UPSTREAM_ANSWER_TIME.labels(request.service).observe(attempt.unanswered_s())
        is_foreign = head.is_success and (not head.seal or head.is_encoded)
        if not is_foreign and head.upstream in ("", record.id):
            sent_at_s = attempt.connected_at_s
            self.selector.statements.record_answer(record, head.statement, sent_at_s)
            self.selector.cold.record_answered(record, sent_at_s)
        if head.is_not_run and head.is_success:
            raise OutcomeUnknownError("a success that states that the request has not run")
        if head.is_not_run:
            raise refusal_error(head, record)
        if is_foreign:
            raise OutcomeUnknownError("the answer is not the upstream's own")
        return head

    def check_sendable(
        self, request: GatewayRequest, record: UpstreamRecord, writer: AnswerWriter
    ) -> None:
        """Check again what may have changed since the upstream was chosen.

        Raises StreamClosedError if the caller has left, and NotRunError if the request must not be
        sent to this upstream any more.
        """
        if writer.has_caller_departed():
            raise StreamClosedError
        if not self.admission.may_serve(request, record):
            reason = "no longer serves the request once it is connected to"
            raise NotRunError(reason, is_refusal=False, is_recalled=True)
        if self.crashes.refused_for_s(request):
            reason = "the request is suspected of crashes once it is connected to"
            raise NotRunError(reason, is_refusal=False, is_recalled=True)

    def take_permit(self, record: UpstreamRecord) -> None:
        """Count the request as sent; raise NotRunError if the upstream is cold and it is too many.

        This is the last step before the request is written, as the connection may have taken long.
        """
        if not self.selector.cold.take(record):
            reason = "is cold and has no permit left once it is connected to"
            raise NotRunError(reason, is_refusal=False, is_recalled=True, may_return=True)

    def call(self, request: GatewayRequest, record: UpstreamRecord) -> UpstreamCall:
        """Return the request in the form in which it is sent to the upstream."""
        is_late = request.age_s() > request.route.goal_s
        urgency = 0 if request.last_event_id else 1 + 2 * request.priority + is_late
        upstream_head = UpstreamHead(
            upstream=record.id,
            workspace=request.workspace_name,
            time_limit_s=request.left_s(),
            urgency=min(URGENCY_MAX, urgency),
            expected_version=self.expected_version(request, record),
            last_event_id=request.last_event_id,
            body_bytes=len(request.body),
        )
        return UpstreamCall(
            RequestStartLine(request.head.method, request.head.target, "HTTP/1.1"),
            upstream_headers(request.head, upstream_head),
            request.body,
            STREAM_SILENCE_S if request.route.is_streamed else PLAIN_SILENCE_S,
        )

    def expected_version(self, request: GatewayRequest, record: UpstreamRecord) -> int:
        """Return the version that the upstream holds; 0 while any version may be used.

        The oldest version that may be used would be wrong: an engine with a newer one refuses it.
        """
        if not self.admission.least_version(request.service):
            return 0
        return self.selector.held_version(record)


def refusal_error(head: AnswerHead, record: UpstreamRecord) -> NotRunError:
    """Return the error for an answer that states that the request has not run."""
    is_misdirected = head.status == MISDIRECTED
    is_replaced = is_misdirected and bool(head.upstream) and head.upstream != record.id
    reason = f"refused with status {head.status}"
    if is_replaced:
        reason += f" by {head.upstream}"
    return NotRunError(reason, True, is_misdirected, is_replaced)
