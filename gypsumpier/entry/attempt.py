"""One attempt of a request at one upstream.

The attempt's exchange id names it on the wire.  Frames are taken in sequence only: a gap means
that something was lost, which fails the attempt, as a short answer must never look whole.
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
        """Note on which connection the answer is awaited now, if on any."""
        if self.connection is not None:
            self.connection.end_waiting()
        self.connection = connection
        if connection is not None:
            connection.begin_waiting()

    def deliver(self, frame: Frame) -> None:
        """Take a frame of this exchange; one that was seen already is dropped."""
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
        """Note that the connection was lost; the attempt may be asked after on the next one."""
        self.queue.put_nowait(LostConnectionError(reason, self.upstream))

    async def frames(self) -> AsyncIterator[Frame]:
        """Yield the frames in sequence, the final one included; raise on a failed attempt."""
        while True:
            item = await self.queue.get()
            if isinstance(item, GypsumpierError):
                raise item
            yield item
            if item.kind in (END, REFUSED, FAILED):
                return
