"""Relays a request to an upstream and its answer to the caller.

A request is sent once.  It is sent again only if the upstream states that it has not run, if it was
never sent, or if its route allows repeats; a stream then resumes after the last event that the
caller received.  A request that may have run is never reported as not run.
"""

import asyncio
import time
from typing import Final

from gypsumpier.codes.request import ANSWER_LOST, EVERY_TRY_REFUSED
from gypsumpier.codes.result import Outcome
from gypsumpier.fleet.upstream import UpstreamRecord
from gypsumpier.gateway.admission import Admission
from gypsumpier.gateway.attempt import Attempt
from gypsumpier.gateway.crashes import CrashTracker
from gypsumpier.gateway.events import EventSplitter
from gypsumpier.gateway.failures import FailureRecorder
from gypsumpier.gateway.pendingstarts import PendingStarts
from gypsumpier.gateway.refusal import Refusal
from gypsumpier.gateway.request import GatewayRequest
from gypsumpier.gateway.retries import RetryBudget
from gypsumpier.gateway.secondattempt import SecondAttempt
from gypsumpier.gateway.sender import UpstreamSender
from gypsumpier.gateway.startmargins import StartMargins
from gypsumpier.gateway.writer import AnswerWriter
from gypsumpier.upstream.errors import NotRunError, OutcomeUnknownError
from gypsumpier.upstream.exchange import Exchange
from gypsumpier.upstream.head import OK, AnswerHead
from gypsumpier.upstream.pool import UpstreamPool
from gypsumpier.upstream.selector import UpstreamSelector

ANSWER_MAX_BYTES: Final = 1024 * 1024
"""Bytes of a plain answer, which is held as a whole for each request in flight."""
CRASH_CHECK_S: Final = 0.05
"""Seconds for which a repeat waits for the check whether the upstream has crashed; a connection
within a region takes a few milliseconds."""
RETRY_AFTER_S: Final = 0.2
"""Retry-After, in seconds, of a request that every upstream refused."""
SERVER_ERROR: Final = 500


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
        start_margins: StartMargins,
    ) -> None:
        self.admission = admission
        self.selector = selector
        self.retries = retries
        self.crashes = crashes
        self.start_margins = start_margins
        self.sender = UpstreamSender(admission, selector, pool, crashes, starts)
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
        attempt = Attempt(request, await self.next_upstream(request))
        while True:
            with SecondAttempt(self.sender, self.retries, self.failures, attempt, writer) as other:
                if await self.try_upstream(attempt, writer, other):
                    return
                attempt = other.claim() or Attempt(request, await self.next_upstream(request))

    async def try_upstream(
        self, attempt: Attempt, writer: AnswerWriter, other: SecondAttempt
    ) -> bool:
        """Return whether the upstream has answered; raise Refusal if that ends the request."""
        probe = None
        request = attempt.request
        try:
            await self.attempt(attempt, writer, other)
            return True
        except NotRunError as error:
            request.is_sent = other.attempt is not None
            self.failures.record_not_run(attempt, error)
            if other.attempt is None:
                self.check_resend(request, error)
        except OutcomeUnknownError as error:
            probe = self.failures.record_unknown(attempt, error)
            if other.attempt is None:
                self.check_repeat(request, writer, error)
        except asyncio.CancelledError:
            self.failures.record_cancelled(attempt)
            raise
        finally:
            self.admission.leave(request, attempt.record)
        if probe is not None and other.attempt is None:
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

    async def attempt(self, attempt: Attempt, writer: AnswerWriter, other: SecondAttempt) -> None:
        """Relay the answer of the upstream, or leave it to the ``other`` attempt.

        Sends the request first, unless the attempt has begun.  Raises NotRunError if it has not
        run, and OutcomeUnknownError if it may have run and there is no usable answer.
        """
        request, record = attempt.request, attempt.record
        if attempt.exchange is None:
            await self.sender.begin(attempt, writer, other)
        exchange, head = attempt.exchange, attempt.head
        assert exchange is not None and head is not None
        exchange.replacement = other
        try:
            self.admission.record_prompt_read(request, record)
            if request.route.is_streamed and head.is_success:
                await self.relay_stream(attempt, exchange, head, writer)
            else:
                await self.relay_buffered(request, exchange, head, writer, other)
        finally:
            self.sender.end(attempt)
        self.selector.record_success(record)
        self.selector.health.record_outcome(record.run_key(), head.status >= SERVER_ERROR)
        if head.is_success and not attempt.is_resumption:
            self.crashes.record_answered(request)

    async def relay_buffered(
        self,
        request: GatewayRequest,
        exchange: Exchange,
        head: AnswerHead,
        writer: AnswerWriter,
        other: SecondAttempt,
    ) -> None:
        """Relay an answer once it is complete; a server error is retried elsewhere if allowed.

        A refusal that does not state that the request has not run is never relayed: by its status
        the caller would be told just that.
        """
        if head.is_unstated_refusal:
            reason = f"status {head.status} does not state that the request has not run"
            raise OutcomeUnknownError(reason, is_answered=True)
        body = await exchange.whole_body(ANSWER_MAX_BYTES)
        if writer.status:
            # The caller already has the head of the stream that was to be resumed.
            raise resumption_error(head)
        if not body:
            check_end(request, head)
        may_repeat = request.may_repeat(tries=2) and self.retries.has_left(request.service)
        if head.status >= SERVER_ERROR and (other.attempt is not None or may_repeat):
            raise OutcomeUnknownError(f"status {head.status}", is_answered=True)
        request.attempts += 1
        await writer.answer(head, body)

    async def relay_stream(
        self,
        attempt: Attempt,
        exchange: Exchange,
        head: AnswerHead,
        writer: AnswerWriter,
    ) -> None:
        """Relay complete events as they arrive; bytes of an incomplete one are no progress.

        An answer that does not continue a stream that the caller has a part of is not relayed.
        """
        request = attempt.request
        is_resumed = bool(writer.status)
        if is_resumed and not head.is_stream:
            raise resumption_error(head)
        splitter = EventSplitter(request.last_event_id if is_resumed else "")
        has_events = False
        since_s = time.monotonic()
        async for content in exchange.body():
            events = splitter.feed(content)
            if not events.content:
                since_s = await exchange.check_stalled(since_s, splitter.ends_event)
                continue
            if not writer.status:
                writer.begin(head, None)
            if not has_events:
                self.record_start(attempt, head)
            has_events = True
            request.record_event()
            self.selector.record_heard(attempt.record)
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

    def record_start(self, attempt: Attempt, head: AnswerHead) -> None:
        """Record that the upstream has begun to write the answer of an attempt."""
        request = attempt.request
        if not request.first_event_at_s:
            took_s = time.monotonic() - attempt.began_at_s
            self.admission.record_first_event(request.service, took_s)
        self.start_margins.record(request, attempt.record, head.weights_version)


def resumption_error(head: AnswerHead) -> OutcomeUnknownError:
    """Return the error for an answer that can't continue a stream."""
    kind = "a stream" if head.is_event_stream else "no stream"
    return OutcomeUnknownError(f"status {head.status} with {kind} in answer to a resumption")


def check_end(request: GatewayRequest, head: AnswerHead) -> None:
    """Raise OutcomeUnknownError if nothing shows that a successful answer without a body is whole.

    A connection that closes behind the head may as well have been cut there.
    """
    has_body = head.status == OK and request.head.method != "HEAD"
    if has_body and not head.is_framed:
        raise OutcomeUnknownError("the connection closed behind the head of the answer")
