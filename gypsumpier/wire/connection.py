"""A connection: frames both ways with heartbeats over one stream.

Either side sends a heartbeat when it has sent nothing for its interval, and says in it how long
that interval is.  Silence closes the connection, because something between the two ends may have
lost track of it; the peer is judged by the next connection, not by this one.

An end that *answers* an exchange uses the short interval.  An end that *waits* for an answer
limits silence to ``silence_s`` from the moment it began to wait, so a request sent into a dead
connection is noticed within that time.  All else keeps the pace of the process, which slows down
where connections are many, and is given a few of the intervals that the peer announces.

The receiver keeps the smallest difference seen between its own clock and the sender's.  What a
frame's difference exceeds that by is time the frame spent in buffers, which counts against a
deadline that travelled as remaining time.
"""

import asyncio
from collections.abc import AsyncIterator
from typing import Any, Final

from gypsumpier.clock import Clock
from gypsumpier.codes.wire import BAD_FRAME, CONNECTION_CLOSED, CONNECTION_SILENT
from gypsumpier.errors import GypsumpierError
from gypsumpier.wire.frame import Decoder, Frame, encode
from gypsumpier.wire.pace import Pace
from gypsumpier.wire.stream import Stream

HEARTBEAT: Final = "heartbeat"
CHECK_INTERVAL_S: Final = 0.25
IDLE_CHECK_INTERVAL_S: Final = 1.0
MISSED_INTERVALS: Final = 3
HEARD_INTERVALS: Final = 1.5
INTERVAL_MAX_S: Final = 300.0
DRIFT_MAX: Final = 500e-6
"""How fast two clocks may drift apart, as a share of the time that passes."""


class Connection:
    """One connection to a peer.  ``keep_alive`` must be awaited for heartbeats to be sent.

    ``heartbeat_s`` and ``silence_s`` hold while an exchange is in flight and, without a ``pace``,
    always.
    """

    def __init__(
        self,
        stream: Stream,
        clock: Clock,
        heartbeat_s: float,
        silence_s: float,
        pace: Pace | None = None,
    ) -> None:
        self.stream = stream
        self.clock = clock
        self.heartbeat_s = heartbeat_s
        self.silence_s = silence_s
        self.pace = pace
        self.closed = False
        self.answering = 0
        self.waiting = 0
        self.waiting_since_s = clock.monotonic()
        self.received_at_s = clock.monotonic()
        self.sent_at_s = clock.monotonic()
        self.announced_interval_s = heartbeat_s
        self.announced_pace_s = heartbeat_s
        self.peer_interval_s = heartbeat_s
        self.peer_pace_s = heartbeat_s
        self.smallest_difference_s: float | None = None
        self.noted_at_s = self.received_at_s
        self.close_reason = CONNECTION_CLOSED
        if pace is not None:
            pace.connections += 1

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
                    self.note_clock_difference(frame)
                    if frame.kind == HEARTBEAT:
                        self.note_interval(frame)
                    else:
                        yield frame
        finally:
            self.close()

    def begin_waiting(self) -> None:
        """Note that this end waits for the answer of one more exchange."""
        if self.waiting == 0:
            self.waiting_since_s = self.clock.monotonic()
        self.waiting += 1

    def end_waiting(self) -> None:
        """Note that the answer of an exchange is no longer waited for."""
        self.waiting -= 1

    def begin_answering(self) -> None:
        """Note that this end works on the answer of one more exchange."""
        self.answering += 1

    def end_answering(self) -> None:
        """Note that the answer of an exchange is finished."""
        self.answering -= 1

    def buffered_s(self, frame: Frame) -> float:
        """Return how many seconds the frame spent in buffers beyond the quickest one seen."""
        if self.smallest_difference_s is None:
            return 0.0
        return max(0.0, self.received_at_s - frame.sent_at_s - self.smallest_difference_s)

    def is_peer_alive(self) -> bool:
        """Tell whether the peer has been heard within about one of its intervals."""
        silent_s = self.clock.monotonic() - self.received_at_s
        return not self.closed and silent_s < HEARD_INTERVALS * self.peer_interval_s

    async def keep_alive(self) -> None:
        """Send heartbeats and close the connection on silence, until it is closed."""
        while not self.closed:
            await self.clock.sleep(self.check_interval_s())
            now_s = self.clock.monotonic()
            if now_s - self.silence_began_at_s() > self.silence_limit_s():
                self.close_reason = CONNECTION_SILENT
                self.close()
                return
            if now_s - self.sent_at_s >= self.interval_s():
                await self.send_heartbeat()

    def close(self) -> None:
        """Close the connection and its stream; may be called more than once."""
        if not self.closed and self.pace is not None:
            self.pace.connections -= 1
        self.closed = True
        self.stream.close()

    def interval_s(self) -> float:
        """Return the seconds until the next heartbeat of this end.

        Never longer than the interval the peer was last told, as it judges silence by that.
        """
        return min(self.announced_interval_s, self.wanted_interval_s())

    def wanted_interval_s(self) -> float:
        """Return the interval between heartbeats from the next one on: the slower pace of both.

        A process with few connections must not flood a peer that has many.
        """
        if self.answering:
            return self.heartbeat_s
        return max(self.own_pace_s(), self.peer_pace_s)

    def own_pace_s(self) -> float:
        """Return the idle interval that this process wants, whatever the peer wants."""
        return self.heartbeat_s if self.pace is None else self.pace.idle_interval_s()

    def check_interval_s(self) -> float:
        """Return the seconds between two looks at the clock."""
        is_slow = self.interval_s() > MISSED_INTERVALS * IDLE_CHECK_INTERVAL_S
        return min(IDLE_CHECK_INTERVAL_S if is_slow else CHECK_INTERVAL_S, self.heartbeat_s)

    def silence_began_at_s(self) -> float:
        """Return since when silence counts."""
        if self.waiting:
            return max(self.received_at_s, self.waiting_since_s)
        return self.received_at_s

    def silence_limit_s(self) -> float:
        """Return how many seconds of silence close the connection."""
        if self.waiting:
            return self.silence_s
        return max(self.silence_s, MISSED_INTERVALS * self.peer_interval_s)

    async def send_heartbeat(self) -> None:
        """Send a heartbeat.  A full window must not hold up the check for silence."""
        wanted_s, pace_s = self.wanted_interval_s(), self.own_pace_s()
        try:
            payload = {"interval_s": wanted_s, "pace_s": pace_s}
            # Most heartbeats are of idle connections, whose announcement has not changed.
            if (wanted_s, pace_s) == (self.announced_interval_s, self.announced_pace_s):
                payload = {}
            async with asyncio.timeout(self.heartbeat_s):
                await self.send(HEARTBEAT, payload)
            self.announced_interval_s, self.announced_pace_s = wanted_s, pace_s
        except TimeoutError:
            return
        except GypsumpierError:
            self.close()

    def note_interval(self, frame: Frame) -> None:
        """Keep the interval and the pace that the peer announces.

        Its silence is judged by the interval; ``pace_s`` is what it would like to receive.  An
        empty heartbeat repeats what was announced last.
        """
        if not frame.payload:
            return
        self.peer_interval_s = max(self.heartbeat_s, checked_interval(frame, "interval_s"))
        self.peer_pace_s = max(self.heartbeat_s, checked_interval(frame, "pace_s"))

    def note_clock_difference(self, frame: Frame) -> None:
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


def checked_interval(frame: Frame, name: str) -> float:
    """Return an interval of a heartbeat, in seconds; raise GypsumpierError where it is wrong."""
    interval_s = frame.payload.get(name)
    if not isinstance(interval_s, int | float) or not 0 < interval_s <= INTERVAL_MAX_S:
        raise GypsumpierError(BAD_FRAME, f"{name} of a heartbeat is out of range")
    return float(interval_s)
