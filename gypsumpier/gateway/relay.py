"""Relays a request to an upstream and its answer to the caller.

A request is sent once.  It is sent again only if the upstream states that it has not run, if it was
never sent, or if its route allows repeats; a stream then resumes after the last event that the
caller received.  A request that may have run is never reported as not run.
"""

import asyncio
import time
from typing import Final

from prometheus_client import Histogram
from tornado.httputil import RequestStartLine
from tornado.iostream import StreamClosedError

from gypsumpier.codes.request import ANSWER_LOST, EVERY_TRY_REFUSED
from gypsumpier.codes.result import Outcome
from gypsumpier.fleet.node import Address
from gypsumpier.fleet.upstream import UpstreamRecord
from gypsumpier.gateway.admission import Admission
from gypsumpier.gateway.crashes import CrashTracker
from gypsumpier.gateway.events import EventSplitter
from gypsumpier.gateway.failures import FailureRecorder
from gypsumpier.gateway.otherplace import OtherPlace
from gypsumpier.gateway.pendingstarts import PendingStarts
from gypsumpier.gateway.refusal import Refusal
from gypsumpier.gateway.request import GatewayRequest
from gypsumpier.gateway.retries import RetryBudget
from gypsumpier.gateway.writer import AnswerWriter
from gypsumpier.log import decision
from gypsumpier.metrics import REGISTRY
from gypsumpier.platform.headers import upstream_headers
from gypsumpier.upstream.errors import NotRunError, OutcomeUnknownError
from gypsumpier.upstream.exchange import Exchange
from gypsumpier.upstream.head import AnswerHead, UpstreamHead
from gypsumpier.upstream.pool import UpstreamCall, UpstreamPool
from gypsumpier.upstream.selector import UpstreamSelector

STREAM_SILENCE_S: Final = 1.0
"""Seconds without an event after which a stream is started or resumed at another upstream."""
PLAIN_SILENCE_S: Final = 0.35
"""Seconds without an answer after which a repeatable plain request is sent to another upstream."""
ANSWER_MAX_BYTES: Final = 1024 * 1024
"""Bytes of a plain answer, which is held as a whole for each request in flight."""
CRASH_CHECK_S: Final = 0.05
"""Seconds for which a repeat waits for the check whether the upstream has crashed; a connection
within a region takes a few milliseconds."""
RETRY_AFTER_S: Final = 0.2
"""Retry-After, in seconds, of a request that every upstream refused."""
SUCCESS: Final = 200
SERVER_ERROR: Final = 500
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


class Relay:
    """Sends admitted requests to upstreams and retries them where that is allowed."""

    def __init__(
        self,
        admission: Admission,
        selector: UpstreamSelector,
        pool: UpstreamPool,
        retries: RetryBudget,
        crashes: CrashTracker,
        starts: PendingStarts,
    ) -> None:
        self.admission = admission
        self.selector = selector
        self.pool = pool
        self.retries = retries
        self.crashes = crashes
        self.starts = starts
        self.failures = FailureRecorder(selector, pool, crashes)

    async def run(self, request: GatewayRequest, writer: AnswerWriter) -> None:
        """Answer the request; raise Refusal if no upstream's answer reaches the caller."""
        self.retries.record_request(request.service)
        try:
            await self.try_upstreams(request, writer)
        except Refusal as refusal:
            if request.attempts and refusal.code.outcome is Outcome.NOT_RUN:
                # An earlier attempt may have run; only its upstream's answer could show that.
                raise Refusal(ANSWER_LOST, 502, refusal.detail) from refusal
            raise

    async def try_upstreams(self, request: GatewayRequest, writer: AnswerWriter) -> None:
        """Try one upstream after another; raise Refusal once no further attempt is allowed."""
        record = await self.next_upstream(request)
        while True:
            with OtherPlace(self.admission, self.retries, request, record, writer) as other:
                if await self.try_upstream(request, record, writer, other):
                    return
                record = other.claim() or await self.next_upstream(request)

    async def try_upstream(
        self,
        request: GatewayRequest,
        record: UpstreamRecord,
        writer: AnswerWriter,
        other: OtherPlace,
    ) -> bool:
        """Return whether the upstream has answered; raise Refusal if that ends the request."""
        probe = None
        try:
            await self.attempt(request, record, writer, other)
            return True
        except NotRunError as error:
            request.is_sent = False
            if not error.is_refusal:
                self.selector.statements.give_back(record)
            self.failures.record_not_run(request, record, error)
            self.check_resend(request, error)
        except OutcomeUnknownError as error:
            probe = self.failures.record_unknown(request, record, error)
            if other.place is None:
                self.check_repeat(request, writer, error)
        except asyncio.CancelledError:
            self.failures.record_cancelled(request, record)
            raise
        finally:
            self.admission.leave(request, record)
        if probe is not None:
            # The repeat would end another upstream if the request ended this one.
            await asyncio.wait({probe}, timeout=CRASH_CHECK_S)
        return False

    async def next_upstream(self, request: GatewayRequest) -> UpstreamRecord:
        """Return the upstream that the request is admitted to; raise Refusal if there is none."""
        self.crashes.check(request)
        return await self.admission.enter(request)

    def check_resend(self, request: GatewayRequest, error: NotRunError) -> None:
        """Raise Refusal unless a request that has not run may be sent to another upstream."""
        # A request that was never sent reached no upstream and costs no retry budget.
        if error.is_refusal and not self.retries.spend(request.service):
            detail = "every upstream refused and the retry budget is exhausted"
            raise Refusal(EVERY_TRY_REFUSED, 503, detail, RETRY_AFTER_S)

    def check_repeat(
        self, request: GatewayRequest, writer: AnswerWriter, error: OutcomeUnknownError
    ) -> None:
        """Raise Refusal unless a request that may have run may run again.

        A stream of which the caller has a part without an id can't be continued.
        """
        is_lost = bool(writer.status) and not request.last_event_id
        if is_lost or not request.may_repeat() or not self.retries.spend(request.service):
            raise Refusal(ANSWER_LOST, 502, error.reason)

    async def attempt(
        self,
        request: GatewayRequest,
        record: UpstreamRecord,
        writer: AnswerWriter,
        other: OtherPlace,
    ) -> None:
        """Send the request to the upstream and relay its answer, or take the ``other`` place.

        Raises NotRunError if the request has not run, and OutcomeUnknownError if it may have run
        and there is no usable answer.
        """
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
        )
        request.begin_attempt()
        is_resumed = bool(request.last_event_id)
        address = Address(record.host, record.port)

        def make_call() -> UpstreamCall:
            request.connected_at_s = time.monotonic()
            UPSTREAM_CONNECT_TIME.observe(request.connect_s())
            self.check_sendable(request, record, writer)
            self.crashes.begin(request)
            request.is_sent = True
            return self.call(request, record)

        # An answer to the request sent before, with the same id, may arrive once more.
        is_sent_again = address in request.sent_to
        request.sent_to.add(address)
        async with self.pool.exchange(
            address, request.route.is_repeatable, make_call, other, is_new=is_sent_again
        ) as exchange:
            with self.starts.track(exchange, request, record):
                head = await exchange.answer(request.head.request_id)
            request.answered_at_s = time.monotonic()
            UPSTREAM_ANSWER_TIME.labels(request.service).observe(request.unanswered_s())
            is_foreign = head.is_success and (not head.seal or head.is_encoded)
            if not is_foreign and head.upstream in ("", record.id):
                sent_at_s = request.connected_at_s
                self.selector.statements.record_answer(record, head.statement, sent_at_s)
            if head.is_not_run:
                raise refusal_error(head, record)
            if is_foreign:
                raise OutcomeUnknownError("the answer is not the upstream's own")
            self.admission.record_prompt_read(request, record)
            if request.route.is_streamed and head.is_success:
                await self.relay_stream(request, record, exchange, head, writer)
            else:
                await self.relay_buffered(request, exchange, head, writer)
            is_failure = head.status >= SERVER_ERROR
        self.selector.record_success(record)
        self.selector.health.record_outcome(record.run_key(), is_failure)
        if head.is_success and not is_resumed:
            self.crashes.record_answered(request)

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

    async def relay_buffered(
        self,
        request: GatewayRequest,
        exchange: Exchange,
        head: AnswerHead,
        writer: AnswerWriter,
    ) -> None:
        """Relay an answer once it is complete; a server error is retried elsewhere if allowed."""
        body = await exchange.whole_body(ANSWER_MAX_BYTES)
        if writer.status:
            # The caller already has the head of the stream that was to be resumed.
            raise resumption_error(head)
        if not body:
            check_end(request, head)
        is_failure = head.status >= SERVER_ERROR
        if is_failure and request.may_repeat(tries=2) and self.retries.has_left(request.service):
            raise OutcomeUnknownError(f"status {head.status}", is_answered=True)
        request.attempts += 1
        await writer.answer(head, body)

    async def relay_stream(
        self,
        request: GatewayRequest,
        record: UpstreamRecord,
        exchange: Exchange,
        head: AnswerHead,
        writer: AnswerWriter,
    ) -> None:
        """Relay complete events as they arrive; bytes of an incomplete one are no progress.

        An answer that does not continue a stream that the caller has a part of is not relayed.
        """
        is_resumed = bool(writer.status)
        if is_resumed and not (head.status == SUCCESS and head.is_event_stream):
            raise resumption_error(head)
        splitter = EventSplitter(request.last_event_id if is_resumed else "")
        has_events = False
        since_s = time.monotonic()
        async for content in exchange.body():
            events = splitter.feed(content)
            if not events.content:
                since_s = exchange.check_stalled(since_s)
                continue
            if not writer.status:
                writer.begin(head, None)
            if not request.first_event_at_s:
                took_s = time.monotonic() - request.sent_at_s
                self.admission.record_first_event(request.service, took_s)
            has_events = True
            request.record_event()
            self.selector.record_heard(record)
            await writer.write(events.content)
            if events.ids:
                request.last_event_id = events.ids[-1]
            since_s = time.monotonic()
        if splitter.rest:
            raise OutcomeUnknownError("the stream ended in the middle of an event")
        if not has_events:
            check_end(request, head)
        if not writer.status:
            writer.begin(head, None)
        writer.finish()


def resumption_error(head: AnswerHead) -> OutcomeUnknownError:
    """Return the error for an answer that can't continue a stream."""
    kind = "a stream" if head.is_event_stream else "no stream"
    return OutcomeUnknownError(f"status {head.status} with {kind} in answer to a resumption")


def check_end(request: GatewayRequest, head: AnswerHead) -> None:
    """Raise OutcomeUnknownError if nothing shows that a successful answer without a body is whole.

    A connection that closes behind the head may as well have been cut there.
    """
    has_body = head.status == SUCCESS and request.head.method != "HEAD"
    if has_body and not head.is_framed:
        raise OutcomeUnknownError("the connection closed behind the head of the answer")


def refusal_error(head: AnswerHead, record: UpstreamRecord) -> NotRunError:
    """Return the error for an answer that states that the request has not run."""
    is_misdirected = head.status == MISDIRECTED
    is_replaced = is_misdirected and bool(head.upstream) and head.upstream != record.id
    reason = f"refused with status {head.status}"
    if is_replaced:
        reason += f" by {head.upstream}"
    return NotRunError(reason, True, is_misdirected, is_replaced)
