"""A connection: frames both ways with heartbeats over one stream.

Either side sends a heartbeat when it has sent nothing for ``heartbeat_s``.  Silence for longer
than ``silence_s`` closes the connection, because something between the two ends may have lost
track of it; the peer is judged by the next connection, not by this one.

The receiver keeps the smallest difference seen between its own clock and the sender's.  What a
frame's difference exceeds that by is time the frame spent in buffers, which counts against a
deadline that travelled as remaining time.
"""

import asyncio
from collections.abc import AsyncIterator
from typing import Any, Final

from gypsumpier.clock import Clock
from gypsumpier.codes.wire import CONNECTION_CLOSED, CONNECTION_SILENT
from gypsumpier.errors import GypsumpierError
from gypsumpier.wire.frame import Decoder, Frame, encode
from gypsumpier.wire.stream import Stream

HEARTBEAT: Final = "heartbeat"
CHECK_INTERVAL_S: Final = 0.25
DRIFT_MAX: Final = 500e-6
"""How fast two clocks may drift apart, as a share of the time that passes."""


class Connection:
    """One connection to a peer.  ``run`` must be awaited for heartbeats to be sent."""

    def __init__(self, stream: Stream, clock: Clock, heartbeat_s: float, silence_s: float) -> None:
        self.stream = stream
        self.clock = clock
        self.heartbeat_s = heartbeat_s
        self.silence_s = silence_s
        self.closed = False
        self.received_at_s = clock.monotonic()
        self.sent_at_s = clock.monotonic()
        self.smallest_difference_s: float | None = None
        self.noted_at_s = self.received_at_s
        self.close_reason = CONNECTION_CLOSED

    async def send(
        self, kind: str, payload: dict[str, Any], exchange: str = "", sequence: int = 0
    ) -> None:
        """Send one frame; raise GypsumpierError with CONNECTION_CLOSED when that is impossible."""
        if self.closed:
            raise GypsumpierError(self.close_reason, "connection is closed")
        self.sent_at_s = self.clock.monotonic()
        await self.stream.write(encode(Frame(kind, exchange, sequence, self.sent_at_s, payload)))

    async def frames(self) -> AsyncIterator[Frame]:
        """Yield received frames, heartbeats excepted, until the connection closes."""
        decoder = Decoder()
        try:
            while not self.closed:
                content = await self.stream.read()
                self.received_at_s = self.clock.monotonic()
                for frame in decoder.feed(content):
                    self.note_difference(frame)
                    if frame.kind != HEARTBEAT:
                        yield frame
        finally:
            self.close()

    def buffered_s(self, frame: Frame) -> float:
        """Return how many seconds the frame spent in buffers beyond the quickest one seen."""
        if self.smallest_difference_s is None:
            return 0.0
        return max(0.0, self.received_at_s - frame.sent_at_s - self.smallest_difference_s)

    async def keep_alive(self) -> None:
        """Send heartbeats and close the connection on silence, until it is closed."""
        while not self.closed:
            await self.clock.sleep(min(CHECK_INTERVAL_S, self.heartbeat_s))
            now_s = self.clock.monotonic()
            if now_s - self.received_at_s > self.silence_s:
                self.close_reason = CONNECTION_SILENT
                self.close()
                return
            if now_s - self.sent_at_s >= self.heartbeat_s:
                await self.send_heartbeat()

    def close(self) -> None:
        """Close the connection and its stream; may be called more than once."""
        self.closed = True
        self.stream.close()

    async def send_heartbeat(self) -> None:
        """Send a heartbeat.  A full window must not hold up the check for silence."""
        try:
            await asyncio.wait_for(self.send(HEARTBEAT, {}), self.heartbeat_s)
        except TimeoutError:
            return
        except GypsumpierError:
            self.close()

    def note_difference(self, frame: Frame) -> None:
        """Keep the smallest difference between the two clocks, allowing for their drift.

        Without the allowance a connection that stays open for days would count the drift as time
        in buffers.
        """
        difference_s = self.received_at_s - frame.sent_at_s
        if self.smallest_difference_s is None:
            self.smallest_difference_s = difference_s
        drift_s = (self.received_at_s - self.noted_at_s) * DRIFT_MAX
        self.smallest_difference_s = min(difference_s, self.smallest_difference_s + drift_s)
        self.noted_at_s = self.received_at_s
