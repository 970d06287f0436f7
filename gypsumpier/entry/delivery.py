"""Delivery of one attempt over its link, across lost connections.

When the connection of an attempt is lost, the attempt is resumed on the next connection to the
same process, from the first missing frame.  If another process answers on that connection, or no
connection is made in time, the outcome is unknown.
"""

from collections.abc import AsyncIterator, Callable
from typing import Final

from gypsumpier.clock import Clock
from gypsumpier.codes import request as codes
from gypsumpier.codes.result import ResultCode
from gypsumpier.codes.table import code_by_number
from gypsumpier.entry.attempt import FAILED, REFUSED, Attempt, LostConnectionError
from gypsumpier.entry.link import Link
from gypsumpier.entry.request import CallerRequest
from gypsumpier.errors import GypsumpierError
from gypsumpier.log import decision
from gypsumpier.options import Options
from gypsumpier.wire.frame import Frame

RECONNECT_POLL_S: Final = 0.05


class CrashError(GypsumpierError):
    """The upstream failed while it ran the attempt; ``crash`` is the id of that failure."""

    def __init__(self, code: ResultCode, detail: str, crash: str) -> None:
        super().__init__(code, detail)
        self.crash = crash


class Delivery:
    """Delivers the frames of one attempt.

    ``has_other_upstream`` returns whether the request may be sent to another upstream.
    """

    def __init__(
        self,
        options: Options,
        clock: Clock,
        link: Link,
        request: CallerRequest,
        attempt: Attempt,
        has_other_upstream: Callable[[], bool],
    ) -> None:
        self.options = options
        self.clock = clock
        self.link = link
        self.request = request
        self.attempt = attempt
        self.has_other_upstream = has_other_upstream
        self.sent_at_s = clock.monotonic()
        self.ended = False

    async def frames(self, payload: dict[str, object]) -> AsyncIterator[Frame]:
        """Send the request and yield the frames of its answer."""
        try:
            await self.link.send(self.attempt, payload)
            while not self.ended:
                try:
                    async for frame in self.attempt.frames():
                        self.check(frame)
                        yield frame
                except LostConnectionError as error:
                    await self.ask_again(error)
        finally:
            self.link.discard(self.attempt)
            if not self.ended:
                await self.link.cancel(self.attempt)

    def check(self, frame: Frame) -> None:
        """Detect the final frame; raise the error that a refused or failed attempt carries."""
        if frame.kind in (REFUSED, FAILED):
            self.ended = True
            raise error_of(frame)
        self.ended = frame.kind == "end"

    async def ask_again(self, lost: LostConnectionError) -> None:
        """Resume the attempt on the next connection.

        Raises GypsumpierError with OUTCOME_UNKNOWN where there is none in time, where another
        process answers, or where the request may be sent to another upstream instead.
        """
        decision("ask_again", exchange=self.attempt.exchange, reason=lost)
        is_movable = self.request.idempotent and self.attempt.expected_sequence == 0
        if is_movable and self.has_other_upstream():
            raise GypsumpierError(codes.OUTCOME_UNKNOWN, lost.detail)
        until_s = self.clock.monotonic() + self.options.ask_timeout_s
        while self.clock.monotonic() < until_s:
            if self.link.connection is not None:
                await self.resume(lost)
                return
            await self.clock.sleep(RECONNECT_POLL_S)
        raise GypsumpierError(codes.OUTCOME_UNKNOWN, lost.detail)

    async def resume(self, lost: LostConnectionError) -> None:
        """Resume the attempt at the process that it was sent to; raise if that was replaced."""
        if self.link.incarnation != self.attempt.incarnation:
            raise GypsumpierError(
                codes.OUTCOME_UNKNOWN, "the process that the request was sent to has been replaced"
            )
        try:
            await self.link.resume(self.attempt, self.clock.monotonic() - self.sent_at_s)
        except GypsumpierError:
            # This connection was lost as well; ``frames`` tries the next one.
            self.attempt.report_connection_loss(lost.code)


def error_of(frame: Frame) -> GypsumpierError:
    """Return the error that a refused or failed attempt carries."""
    payload = frame.payload
    code = code_by_number(payload["code"])
    if "crash" in payload:
        return CrashError(code, payload["detail"], payload["crash"])
    return GypsumpierError(code, payload["detail"], payload.get("retry_after_s"))
