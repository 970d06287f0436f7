"""Runs one request: attempts it, retries where that is safe, and yields the answer's frames.

A request is retried only if it certainly has not run, or if it is idempotent and no part of an
answer has reached the caller; and only within the retry budget and the caller's deadline.  A
request under a key that may not run twice is sent to the key's home and nowhere else.
"""

from collections.abc import AsyncIterator
from random import Random
from typing import Any, Final

from gypsumpier.clock import Clock
from gypsumpier.codes import request as codes
from gypsumpier.codes.result import Outcome
from gypsumpier.document.service import ServiceDocument
from gypsumpier.entry.attempt import END, Attempt
from gypsumpier.entry.budget import RetryBudget
from gypsumpier.entry.failure import NOT_RUN_BY_HOME, FailureHistory
from gypsumpier.entry.guard import Guard
from gypsumpier.entry.homewait import HOME_WAIT_S, HomeWait
from gypsumpier.entry.keys import EntryKeys
from gypsumpier.entry.link import Link
from gypsumpier.entry.links import Links
from gypsumpier.entry.refusal import refusal_of_copy
from gypsumpier.entry.request import CallerRequest
from gypsumpier.entry.router import Choice, choose
from gypsumpier.entry.sender import Sender
from gypsumpier.errors import GypsumpierError
from gypsumpier.idempotency.homes import home_slot
from gypsumpier.idempotency.key import KeyId
from gypsumpier.log import decision
from gypsumpier.options import Options
from gypsumpier.wire.frame import Frame

ATTEMPTS_MAX: Final = 3
RETRY_AFTER_S: Final = 1.0
BACKOFF_BASE_S: Final = 0.05
HOME_POLL_S: Final = 0.1
HOME_RETRY_JITTER_S: Final = 0.5
TIMED_REFUSALS: Final = frozenset({codes.UPSTREAM_LIMITED, codes.UPSTREAM_RESTING})
"""Refusals of an agent that hold for every request until their Retry-After has passed."""


class Relay:
    """Relays requests to upstreams through the links."""

    def __init__(
        self, options: Options, clock: Clock, links: Links, keys: EntryKeys, random: Random
    ) -> None:
        self.options = options
        self.clock = clock
        self.links = links
        self.keys = keys
        self.random = random
        self.sender = Sender(options, clock, links, keys)
        self.budget = RetryBudget()
        self.home_wait = HomeWait()
        self.guard = Guard(options, clock, links, keys)

    async def run(self, request: CallerRequest, document: ServiceDocument) -> AsyncIterator[Frame]:
        """Yield the frames of a complete answer; raise GypsumpierError if there is none."""
        self.budget.earn()
        self.guard.check_quarantine(request)
        failure = FailureHistory(request)
        try:
            async for frame in self.answer(request, document, failure):
                yield frame
        finally:
            for delivery in failure.lost:
                await delivery.cancel()

    async def answer(
        self, request: CallerRequest, document: ServiceDocument, failure: FailureHistory
    ) -> AsyncIterator[Frame]:
        """Yield the frames of the attempt that answers; raise the error for the caller otherwise.

        Where no new attempt is possible, lost ones are resumed: they may still run.
        """
        try:
            async for frame in self.attempts(request, document, failure):
                yield frame
            return
        except GypsumpierError:
            if failure.is_begun or not failure.lost:
                raise
        for delivery in reversed(failure.lost):
            decision("resume_lost", request=request.request_id, exchange=delivery.attempt.exchange)
            try:
                async for frame in relayed(request, delivery.resumed_frames()):
                    failure.is_begun = True
                    yield frame
                self.guard.record_answered(request)
                return
            except GypsumpierError as error:
                failure.record(error, delivery.link)
                if failure.is_begun:
                    break
        raise failure.caller_error()

    async def admitted(
        self,
        request: CallerRequest,
        document: ServiceDocument,
        link: Link,
        attempt: Attempt,
        version: str,
    ) -> AsyncIterator[Frame]:
        """Yield the frames of one attempt once the service's admission lets it start."""
        admission = self.guard.admission(request.service, document)
        try:
            await admission.enter(request, document)
        except GypsumpierError as error:
            raise refusal_of_copy(error, request.has_home()) from error
        entered_at_s = self.clock.monotonic()
        answered = False
        try:
            self.check_home(request, link)
            self.guard.begin(request)
            payload = self.payload(request, document, version)
            if link.takes_parts:
                payload["parts"] = list(request.parts)
            request.progress.may_have_run = True
            async for frame in self.sender.deliver(request, link, attempt, payload):
                answered = frame.kind == END
                yield frame
        finally:
            admission.leave(self.clock.monotonic() - entered_at_s, answered)
        self.guard.record_answered(request)

    def check_home(self, request: CallerRequest, link: Link) -> None:
        """Raise UPSTREAM_UNREACHABLE if the link no longer leads to the home of the request's key.

        While the request was queued, this entry may have reported its keys to another home, and
        with that promised to send them nowhere else.
        """
        if not request.has_home():
            return
        document = self.keys.documents.document(request.service)
        try:
            if document is not None and self.keys.home(request, document) is link:
                return
        except GypsumpierError as error:
            raise GypsumpierError(codes.UPSTREAM_UNREACHABLE, error.detail) from error
        detail = "the key's home has changed while the request was queued"
        raise GypsumpierError(codes.UPSTREAM_UNREACHABLE, detail)

    def backoff_s(self, request: CallerRequest, failure: FailureHistory, number: int) -> float:
        """Return the seconds to wait before the next attempt.

        Retries for one home are spread out by jitter, so that they don't overload it all at once.
        """
        if not request.has_home():
            return self.random.uniform(0, BACKOFF_BASE_S * 2**number)
        return (failure.last.retry_after_s or 0.0) + self.random.uniform(0, HOME_RETRY_JITTER_S)

    def inspect(self) -> dict[str, object]:
        """Return the state of requests for the administration API."""
        return {
            **self.guard.inspect(),
            "retries_left": round(self.budget.available_retries, 1),
            "keys": len(self.keys.sent.keys),
        }

    async def attempts(
        self, request: CallerRequest, document: ServiceDocument, failure: FailureHistory
    ) -> AsyncIterator[Frame]:
        """Yield the frames of the successful attempt; raise the error for the caller otherwise."""
        for number in range(ATTEMPTS_MAX):
            link, version = await self.target(request, document, failure)
            attempt = Attempt(f"{request.request_id}/{number}", link.member.name)
            frames = self.admitted(request, document, link, attempt, version)
            try:
                async for frame in relayed(request, frames):
                    failure.is_begun = True
                    yield frame
                return
            except GypsumpierError as error:
                failure.record(error, link)
                if error.code in TIMED_REFUSALS:
                    link.refusal = error
                    link.refuses_until_s = self.clock.monotonic() + (error.retry_after_s or 0.0)
                self.guard.handle_attempt_failure(request, error)
                if failure.is_begun or not self.may_retry(request, error):
                    raise failure.caller_error() from error
            await self.clock.sleep(self.backoff_s(request, failure, number))
        raise failure.caller_error()

    async def target(
        self, request: CallerRequest, document: ServiceDocument, failure: FailureHistory
    ) -> tuple[Link, str]:
        """Return link and version for the next attempt; raise GypsumpierError without a link."""
        if request.has_home():
            return await self.home(request, document, failure), ""
        choice = self.choose(request, document, failure)
        if choice is None:
            raise failure.caller_error()
        return choice.link, choice.version

    async def home(
        self, request: CallerRequest, document: ServiceDocument, failure: FailureHistory
    ) -> Link:
        """Return the link to the key's home; wait a limited time for an unreachable home."""
        until_s = self.clock.monotonic() + self.home_wait_s(request)
        while True:
            # The document in force, not the one of the request's arrival: homes may have moved.
            document = self.keys.documents.document(request.service) or document
            try:
                link = self.keys.home(request, document)
                self.home_wait.record_reachable(link.member.name)
                return link
            except GypsumpierError as error:
                slot = home_slot(document, KeyId(request.workspace, request.key))
                now_s = self.clock.monotonic()
                self.home_wait.record_unreachable(slot, now_s)
                left_s = min(until_s - now_s, self.home_wait.remaining_wait_s(slot, now_s))
                if left_s < HOME_POLL_S:
                    failure.record(error, None)
                    raise failure.caller_error() from error
            await self.clock.sleep(HOME_POLL_S)

    def home_wait_s(self, request: CallerRequest) -> float:
        """Return for how many more seconds the request may wait for its home."""
        now_s = self.clock.monotonic()
        left_s = HOME_WAIT_S - (now_s - request.received_at_s)
        return max(0.0, min(left_s, request.remaining_at(now_s) / 2))

    def choose(
        self, request: CallerRequest, document: ServiceDocument, failure: FailureHistory
    ) -> Choice | None:
        """Choose an untried upstream, and log the choice."""
        links = self.links.of_service(request.service)
        untried = [link for link in links if link.member.name not in failure.tried]
        now_s = self.clock.monotonic()
        refusing = [link for link in untried if link.refuses_until_s > now_s]
        if refusing and len(refusing) == len(untried):
            first = min(refusing, key=lambda link: link.refuses_until_s)
            wait_s = first.refuses_until_s - now_s
            failure.last = GypsumpierError(first.refusal.code, request.service, wait_s)
        untried = [link for link in untried if link.refuses_until_s <= now_s]
        if not self.options.prefix_affinity:
            request = request._replace(prefix="")
        choice = choose(request, document, untried, self.options.zone, self.random)
        decision(
            "route",
            request=request.request_id,
            workspace=request.workspace,
            service=request.service,
            upstream=choice.link.member.name if choice else "",
            version=choice.version if choice else "",
            reason=choice.reason if choice else "no live upstream",
        )
        return choice

    def may_retry(self, request: CallerRequest, error: GypsumpierError) -> bool:
        """Return whether another attempt is safe and allowed after this error."""
        if request.has_home():
            wait_s = error.retry_after_s or 0.0
            return error.code in NOT_RUN_BY_HOME and wait_s <= self.home_wait_s(request)
        not_run = error.code.outcome is Outcome.NOT_RUN
        if not (not_run or request.idempotent) or error.code.http_status in range(400, 500):
            return False
        # A full upstream refuses before any work, and the window has just been decreased; so does
        # one at its limit or at rest, which is left out.  These retries do not count against the
        # budget.
        is_free = error.code is codes.UPSTREAM_FULL or error.code in TIMED_REFUSALS
        return is_free or self.budget.spend()

    def payload(
        self, request: CallerRequest, document: ServiceDocument, version: str
    ) -> dict[str, Any]:
        """Return the payload of the request frame for the agent."""
        now_s = self.clock.monotonic()
        return {
            "service": request.service,
            "workspace": request.workspace,
            "method": request.method,
            "path": request.path,
            "headers": request.headers,
            "body": request.body,
            "key": request.key,
            "streamed": request.streamed,
            "idempotent": request.idempotent,
            "priority": request.priority,
            "remaining_s": request.remaining_at(now_s),
            "age_s": now_s - request.received_at_s,
            "model": document.model,
            "version": version,
            "fingerprint": request.fingerprint,
            "suspect": self.guard.quarantine.is_suspect(request.fingerprint),
        }


async def relayed(request: CallerRequest, frames: AsyncIterator[Frame]) -> AsyncIterator[Frame]:
    """Yield the frames of one attempt as its caller gets them: as they arrive, or all at the end.

    An attempt can be repeated as long as nothing has reached the caller.
    """
    if request.streamed:
        async for frame in frames:
            yield frame
        return
    whole = [frame async for frame in frames]
    for frame in whole:
        yield frame
