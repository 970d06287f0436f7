"""The base of the HTTP handlers for callers, on tornado.

A streamed answer that can't be completed ends with an explicit error event, and its connection is
closed without the final chunk, so that it never looks complete.
"""

import asyncio
import contextlib
from asyncio import Future
from collections.abc import AsyncIterator
from typing import TYPE_CHECKING, Any, Final

from tornado.httputil import HTTPServerRequest
from tornado.iostream import StreamClosedError

from gypsumpier.boundedbody import BoundedBody
from gypsumpier.codes.platform import PLATFORM_BAD_ANSWER
from gypsumpier.codes.refusalstatus import REFUSAL_STATUSES
from gypsumpier.codes.request import (
    ANSWER_CUT,
    BAD_REQUEST,
    BODY_TOO_LARGE,
    DEADLINE_EXCEEDED,
    ENTRY_FAILED,
    ENTRY_STOPPING,
    METHOD_REFUSED,
    OUTCOME_UNKNOWN,
    OUTCOME_UNKNOWN_WITHOUT_KEY,
    UNKNOWN_PATH,
    UPSTREAM_FAILED,
)
from gypsumpier.codes.result import Outcome
from gypsumpier.document.service import ServiceDocument
from gypsumpier.entry.answer import error_body, error_headers
from gypsumpier.entry.intake import KEY_HEADER
from gypsumpier.entry.refusal import refusal_of_copy
from gypsumpier.entry.request import CallerRequest
from gypsumpier.entry.timelimit import TimeLimit
from gypsumpier.errors import GypsumpierError
from gypsumpier.external.statedoutcome import OUTCOME_HEADER
from gypsumpier.log import decision
from gypsumpier.stopschedule import STOPPING_RETRY_S, StopSchedule
from gypsumpier.upstream.finalanswer import is_status
from gypsumpier.wire.frame import Frame

if TYPE_CHECKING:
    from gypsumpier.entry.application import EntryApplication

CODES_BY_STATUS: Final = {400: BAD_REQUEST, 404: UNKNOWN_PATH, 405: METHOD_REFUSED}


class CallerHandler(BoundedBody):
    """Base class of the handlers for callers."""

    entry: "EntryApplication"

    def initialize(self, entry: "EntryApplication") -> None:
        self.entry = entry
        self.request_id = ""
        self.serving: asyncio.Task[Any] | None = None
        self.is_served = False
        self.limit: TimeLimit | None = None
        self.has_caller_left = False

    def prepare(self) -> None:
        """Count the request as active, and limit the body's size before it is read."""
        self.entry.server.active.add(self)
        self.set_body_limit(self.entry.options.body_limit_bytes, BODY_TOO_LARGE)

    def flush(self, include_footers: bool = False) -> Future[None]:
        """Send what was written; an answer that begins in a stop announces the close."""
        if self.entry.stop_schedule is not None and not self._headers_written:
            self.set_header("Connection", "close")
        return super().flush(include_footers)

    def http(self) -> HTTPServerRequest:
        """Return the call with its whole body; raise GypsumpierError if the body is too large."""
        self.request.body = self.whole_body()
        return self.request

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Send a coded error for what tornado refuses and for uncaught exceptions."""
        code = CODES_BY_STATUS.get(status_code, ENTRY_FAILED)
        error = GypsumpierError(code, f"{self.request.method} {self.request.path}")
        self.set_status(error.code.http_status)
        for name, value in error_headers(error).items():
            self.set_header(name, value)
        self.finish(error_body(error, self.request_id))

    def send_error(self, status_code: int = 500, **kwargs: Any) -> None:
        """Abort an answer that has begun; tornado would end it as if it were complete."""
        if self._headers_written:
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        super().send_error(status_code, **kwargs)

    async def fail(self, error: GypsumpierError) -> None:
        """Send a coded error, or abort a stream that has begun."""
        if self._finished:
            return
        if self._headers_written:
            await self.cut(error)
            return
        self.send_coded(error)

    def send_coded(self, error: GypsumpierError) -> None:
        """Write a coded error in place of an answer."""
        self.clear()
        if self.request_id:
            self.set_header("Gypsumpier-Request", self.request_id)
        self.set_status(error.code.http_status)
        for name, value in error_headers(error).items():
            self.set_header(name, value)
        self.write(error_body(error, self.request_id))

    async def cut(self, error: GypsumpierError) -> None:
        """Send the error as an event and close without ending the body."""
        self._auto_finish = False
        self.write(b"event: error\ndata: " + error_body(error, self.request_id) + b"\n\n")
        with contextlib.suppress(StreamClosedError):
            await self.flush()
        self.request.connection.stream.close()  # type: ignore[union-attr]

    async def answer(self, request: CallerRequest, document: ServiceDocument) -> None:
        """Relay the answer of the request to the caller."""
        raise NotImplementedError

    def on_connection_close(self) -> None:
        """Cancel the request, as its caller has disconnected.

        The agent goes on with an attempt that may not run again, so that its outcome is known.  A
        request under a key goes on here as well: its caller may ask for the outcome.
        """
        super().on_connection_close()
        self.has_caller_left = True
        if self.serving is not None:
            self.serving.cancel()
        if not self.is_served:
            self.entry.server.active.discard(self)

    def on_finish(self) -> None:
        """Stop counting the request as active."""
        self.entry.server.active.discard(self)

    async def serve(self, request: CallerRequest, document: ServiceDocument) -> None:
        """Answer the request, or send the coded error."""
        self.request_id = request.request_id
        self.serving = None if request.key else asyncio.current_task()
        self.set_header("Gypsumpier-Request", request.request_id)
        if self._finished:
            # It was refused at the moment at which the end of its body arrived.
            return
        self.is_served = True
        try:
            left_s = request.remaining_at(self.entry.clock.monotonic())
            self.check_stop(left_s)
            async with self.time_limit(left_s):
                await self.answer(request, document)
        except GypsumpierError as error:
            await self.fail(error)
        except TimeoutError:
            await self.fail(self.timeout_error(request))
        except StreamClosedError:
            return
        except asyncio.CancelledError:
            if not self.has_caller_left:
                raise
            self._auto_finish = False
            decision("caller_gone", request=request.request_id, service=request.service)
        finally:
            self.serving = None
            self.limit = None
            self.is_served = False
            if self.has_caller_left:
                self.entry.server.active.discard(self)

    def check_stop(self, left_s: float) -> None:
        """Raise GypsumpierError if the request might outlast the stop of the entry."""
        schedule = self.entry.stop_schedule
        now_s = self.entry.clock.monotonic()
        if schedule and not schedule.admits(now_s + left_s, now_s):
            raise self.stop_refusal("the entry stops")

    def stop_refusal(self, detail: str) -> GypsumpierError:
        """Return the refusal of a request that a stopping entry has sent to no upstream."""
        error = GypsumpierError(ENTRY_STOPPING, detail, STOPPING_RETRY_S)
        return refusal_of_copy(error, KEY_HEADER in self.request.headers)

    @contextlib.asynccontextmanager
    async def time_limit(self, seconds: float) -> AsyncIterator[None]:
        """Raise TimeoutError after so many seconds, or in time for the end of the entry."""
        async with TimeLimit(self.entry.clock, seconds) as self.limit:
            if self.entry.stop_schedule is not None:
                self.limit_to_stop(self.entry.stop_schedule)
            yield

    def limit_to_stop(self, schedule: StopSchedule) -> None:
        """Let the request end in time for the end of the entry."""
        if self.limit is not None:
            self.limit.bring_forward(schedule.answers_by_s)

    def timeout_error(self, request: CallerRequest) -> GypsumpierError:
        """Return the error for a request that has no complete answer in time."""
        if self.limit is None or not self.limit.is_cut_short:
            return GypsumpierError(DEADLINE_EXCEEDED, "the caller's deadline has passed")
        if not request.progress.may_have_run:
            return self.stop_refusal("not sent before the entry's end")
        is_safe = request.idempotent or request.key
        code = OUTCOME_UNKNOWN if is_safe else OUTCOME_UNKNOWN_WITHOUT_KEY
        return GypsumpierError(code, "no complete answer before the entry's end")

    def refuse_incomplete(self) -> None:
        """Refuse the request if its body has not arrived."""
        if self.is_served or self._finished:
            return
        error = self.stop_refusal("the body did not arrive before the entry's end")
        self.send_coded(error)
        self.finish()

    async def write_plain(self, frames: AsyncIterator[Frame]) -> None:
        """Write the answer of a plain service once it is complete."""
        parts: list[bytes] = []
        async for frame in frames:
            if frame.kind == "head":
                self.set_status(checked_status(frame))
                for name, value in frame.payload["headers"].items():
                    self.set_header(name, value)
            elif frame.kind == "data":
                parts.append(frame.payload["content"])
            elif frame.kind == "end":
                check_count(frame, len(parts))
        self.set_header(OUTCOME_HEADER, Outcome.DONE.value)
        self.write(b"".join(parts))

    def frames(self, request: CallerRequest, document: ServiceDocument) -> AsyncIterator[Frame]:
        """Return the frames of the answer."""
        return self.entry.relay.run(request, document)


def checked_status(frame: Frame) -> int:
    """Return the status of an answer that an agent has passed on.

    Raises PLATFORM_BAD_ANSWER if it is none, and UPSTREAM_FAILED for that of a refusal, which an
    agent of an older build has not checked: what the upstream has run is not to look refused.
    """
    status = frame.payload["status"]
    if not isinstance(status, int) or not is_status(status):
        raise GypsumpierError(PLATFORM_BAD_ANSWER, f"status {status!r:.20} is none")
    if status in REFUSAL_STATUSES:
        detail = f"status {status} does not state that the request has not run"
        raise GypsumpierError(UPSTREAM_FAILED, detail)
    return status


def check_count(frame: Frame, count: int) -> None:
    """Raise ANSWER_CUT if the number of parts differs from the final frame's count."""
    if frame.payload["count"] != count:
        raise GypsumpierError(ANSWER_CUT, f"{count} of {frame.payload['count']} parts arrived")
