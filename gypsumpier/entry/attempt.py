"""One attempt of a request at one upstream.

The attempt's exchange id identifies it on the wire.  Frames are accepted in sequence only: a gap
means that a frame was lost and fails the attempt, as a truncated answer must never look complete.
"""

import asyncio
from collections.abc import AsyncIterator
from typing import Final

from gypsumpier.codes.request import ANSWER_CUT
from gypsumpier.codes.result import ResultCode
from gypsumpier.errors import GypsumpierError
from gypsumpier.wire.connection import Connection
from gypsumpier.wire.frame import Frame

END: Final = "end"
REFUSED: Final = "refused"
FAILED: Final = "failed"


class LostConnectionError(GypsumpierError):
    """The connection of an attempt was lost while the attempt was in flight."""


class Attempt:
    """The entry's side of one exchange; the link's task delivers its frames."""

    def __init__(self, exchange: str, upstream: str) -> None:
        self.exchange = exchange
        self.upstream = upstream
        self.incarnation = ""
        self.connection: Connection | None = None
        self.expected_sequence = 0
        self.queue: asyncio.Queue[Frame | GypsumpierError] = asyncio.Queue()

    def set_connection(self, connection: Connection | None) -> None:
        """Set the connection on which the answer is awaited, or None."""
        if self.connection is not None:
            self.connection.end_waiting()
        self.connection = connection
        if connection is not None:
            connection.begin_waiting()

    def deliver(self, frame: Frame) -> None:
        """Queue a frame of this exchange; drop duplicates and fail the attempt on a gap."""
        if frame.sequence < self.expected_sequence:
            return
        if frame.sequence > self.expected_sequence:
            self.fail(ANSWER_CUT, f"frame {self.expected_sequence} is missing")
            return
        self.expected_sequence += 1
        self.queue.put_nowait(frame)

    def fail(self, code: ResultCode, detail: str) -> None:
        """End the attempt with an error."""
        self.queue.put_nowait(GypsumpierError(code, detail))

    def report_connection_loss(self, reason: ResultCode) -> None:
        """Report the loss of the connection; the attempt may be resumed on the next one."""
        self.queue.put_nowait(LostConnectionError(reason, self.upstream))

    async def frames(self) -> AsyncIterator[Frame]:
        """Yield the frames in sequence, including the final one.

        Raises GypsumpierError where the attempt failed, LostConnectionError where its connection
        was lost.
        """
        while True:
            item = await self.queue.get()
            if isinstance(item, GypsumpierError):
                raise item
            yield item
            if item.kind in (END, REFUSED, FAILED):
                return
