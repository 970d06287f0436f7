"""Delivery of one attempt over its link, across lost connections.

When the connection of an attempt is lost, the attempt is resumed on the next connection to the
same process, from the first missing frame.  If another process answers on that connection, or no
connection is made in time, the outcome is unknown.  A request that another upstream may run is sent
there first; its attempt can be resumed later, where no other upstream has answered.
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


class LostAttemptError(GypsumpierError):
    """The connection was lost, and another upstream may run the request.

    ``delivery`` can still resume the attempt.
    """

    def __init__(self, detail: str, delivery: "Delivery") -> None:
        super().__init__(codes.OUTCOME_UNKNOWN, detail)
        self.delivery = delivery


class Delivery:
    """Delivers the frames of one attempt.

    ``has_other_upstream`` returns whether the request may be sent to another upstream.  ``is_lost``
    is set once the attempt was given up for one.
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
        self.is_lost = False

    async def frames(self, payload: dict[str, object]) -> AsyncIterator[Frame]:
        """Send the request and yield the frames of its answer.

        After LostAttemptError the attempt is still to be resumed or cancelled.
        """
        try:
            await self.link.send(self.attempt, payload)
            async for frame in self.received_frames():
                yield frame
        except LostAttemptError:
            self.is_lost = True
            raise
        finally:
            self.link.discard(self.attempt)
            if not self.is_lost:
                await self.cancel()

    async def resumed_frames(self) -> AsyncIterator[Frame]:
        """Resume a lost attempt, of which no frame has arrived, and yield the frames."""
        self.link.attempts[self.attempt.exchange] = self.attempt
        try:
            await self.resume_when_connected(self.link.member.name)
            async for frame in self.received_frames():
                yield frame
        finally:
            self.link.discard(self.attempt)

    async def received_frames(self) -> AsyncIterator[Frame]:
        """Yield the frames of the attempt that arrive, on this connection and the next ones."""
        while not self.ended:
            try:
                async for frame in self.attempt.frames():
                    self.check(frame)
                    yield frame
            except LostConnectionError as error:
                await self.ask_again(error)

    async def cancel(self) -> None:
        """Notify the agent that the answer is no longer needed, unless it is complete."""
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

        Raises LostAttemptError where the request may be sent to another upstream instead, and
        GypsumpierError with OUTCOME_UNKNOWN where the attempt can't be resumed.
        """
        decision("ask_again", exchange=self.attempt.exchange, reason=lost)
        is_movable = self.request.idempotent and self.attempt.expected_sequence == 0
        if is_movable and not self.is_lost and self.has_other_upstream():
            raise LostAttemptError(lost.detail, self)
        await self.resume_when_connected(lost.detail)

    async def resume_when_connected(self, detail: str) -> None:
        """Resume the attempt once there is a connection.

        Raises GypsumpierError with OUTCOME_UNKNOWN where there is none in time or another process
        answers.
        """
        until_s = self.clock.monotonic() + self.options.ask_timeout_s
        while self.clock.monotonic() < until_s:
            if self.link.connection is not None:
                await self.resume()
                return
            await self.clock.sleep(RECONNECT_POLL_S)
        raise GypsumpierError(codes.OUTCOME_UNKNOWN, detail)

    async def resume(self) -> None:
        """Resume the attempt at the process that it was sent to; raise if that was replaced."""
        if self.link.incarnation != self.attempt.incarnation:
            raise GypsumpierError(
                codes.OUTCOME_UNKNOWN, "the process that the request was sent to has been replaced"
            )
        try:
            await self.link.resume(self.attempt, self.clock.monotonic() - self.sent_at_s)
        except GypsumpierError as error:
            # This connection was lost as well; ``received_frames`` tries the next one.
            self.attempt.report_connection_loss(error.code)


def error_of(frame: Frame) -> GypsumpierError:
    """Return the error that a refused or failed attempt carries."""
    payload = frame.payload
    code = code_by_number(payload["code"])
    if "crash" in payload:
        return CrashError(code, payload["detail"], payload["crash"])
    return GypsumpierError(code, payload["detail"], payload.get("retry_after_s"))
