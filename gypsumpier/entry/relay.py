"""Runs one request: attempts it, retries where that is safe, and yields the answer's frames.

A request is sent again only where it certainly has not run, or where it is idempotent and nothing
of an answer has reached the caller.
"""

from collections.abc import AsyncIterator
from random import Random
from typing import Any, Final

from gypsumpier.clock import Clock
from gypsumpier.codes import request as codes
from gypsumpier.codes.result import Outcome
from gypsumpier.codes.table import code_by_number
from gypsumpier.document.service import ServiceDocument
from gypsumpier.entry.attempt import FAILED, REFUSED, Attempt
from gypsumpier.entry.links import Links
from gypsumpier.entry.request import CallerRequest
from gypsumpier.entry.router import Choice, choose
from gypsumpier.errors import GypsumpierError
from gypsumpier.log import decision
from gypsumpier.options import Options
from gypsumpier.wire.frame import Frame

ATTEMPTS_MAX: Final = 3
RETRY_AFTER_S: Final = 1.0


class Relay:
    """Relays requests to upstreams through the links."""

    def __init__(self, options: Options, clock: Clock, links: Links, random: Random) -> None:
        self.options = options
        self.clock = clock
        self.links = links
        self.random = random

    async def run(self, request: CallerRequest, document: ServiceDocument) -> AsyncIterator[Frame]:
        """Yield the frames of a whole answer; raise GypsumpierError where there is none."""
        last = GypsumpierError(codes.NO_LIVE_UPSTREAM, request.service, RETRY_AFTER_S)
        tried: set[str] = set()
        for number in range(ATTEMPTS_MAX):
            choice = self.choose(request, document, tried)
            if choice is None:
                raise last
            tried.add(choice.link.member.name)
            attempt = Attempt(f"{request.request_id}/{number}", choice.link.member.name)
            started = False
            try:
                async for frame in self.frames_of(request, document, choice, attempt):
                    started = True
                    yield frame
                return
            except GypsumpierError as error:
                last = error
                if started or not may_retry(request, error):
                    raise
        raise last

    def choose(
        self, request: CallerRequest, document: ServiceDocument, tried: set[str]
    ) -> Choice | None:
        """Choose an upstream, preferably one not tried yet, and log the decision."""
        links = self.links.of_service(request.service)
        untried = [link for link in links if link.member.name not in tried]
        links = untried or links
        choice = choose(request, document, links, self.options.zone, self.random)
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

    async def frames_of(
        self,
        request: CallerRequest,
        document: ServiceDocument,
        choice: Choice,
        attempt: Attempt,
    ) -> AsyncIterator[Frame]:
        """Yield the frames of one attempt."""
        ended = False
        try:
            await choice.link.send(attempt, self.payload(request, document, choice))
            async for frame in attempt.frames():
                if frame.kind in (REFUSED, FAILED):
                    ended = True
                    raise error_of(frame)
                ended = frame.kind == "end"
                yield frame
        finally:
            choice.link.forget(attempt)
            if not ended:
                await choice.link.cancel(attempt)

    def payload(
        self, request: CallerRequest, document: ServiceDocument, choice: Choice
    ) -> dict[str, Any]:
        """Return what the agent needs to run the request."""
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
            "remaining_s": request.remaining_at(self.clock.monotonic()),
            "model": document.model,
            "version": choice.version,
        }


def may_retry(request: CallerRequest, error: GypsumpierError) -> bool:
    """Tell whether another attempt is safe after this error."""
    return error.code.outcome is Outcome.NOT_RUN or request.idempotent


def error_of(frame: Frame) -> GypsumpierError:
    """Return the error that a refused or failed attempt carries."""
    payload = frame.payload
    code = code_by_number(payload["code"])
    return GypsumpierError(code, payload["detail"], payload.get("retry_after_s"))
