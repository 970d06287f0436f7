"""A connection: frames in both directions, with heartbeats, over one stream.

Either side sends a heartbeat when it has sent nothing for its interval, and announces in it how
long that interval is.  Silence closes the connection, because a device between the two ends may
have lost its state for it.  Whether the peer is alive is decided by the next connection, not by
this one.

An end that *answers* an exchange uses the short interval.  An end that *waits* for an answer
limits silence to ``silence_s`` from the moment it began to wait, so a request sent into a dead
connection is noticed within that time.  All other connections use the idle interval of the
process, which grows with the number of its connections; they are closed after silence for a few of
the intervals that the peer announces.

The receiver keeps the smallest difference seen between its own clock and the sender's.  The amount
by which a frame's difference exceeds it is the time that the frame spent in buffers.  That time
counts against a deadline that was sent as remaining time.

Where all frames were late, that time is too short.  So each end also keeps the largest difference
that is possible: a frame that answers one of its own left the peer after that.  The age of a proof
grows by the longest time that its frame may have taken.  As long as the two differences are far
apart, an end that needs them asks for an answer.
"""

import asyncio
from collections.abc import AsyncIterator
from typing import Any, Final

from gypsumpier.clock import Clock
from gypsumpier.codes.wire import BAD_FRAME, CONNECTION_CLOSED, CONNECTION_SILENT
from gypsumpier.errors import GypsumpierError
from gypsumpier.wire.frame import Decoder, Frame, encode_packed, pack_payload
from gypsumpier.wire.pace import Pace
from gypsumpier.wire.stream import Stream

HEARTBEAT: Final = "heartbeat"
CHECK_INTERVAL_S: Final = 0.25
IDLE_CHECK_INTERVAL_S: Final = 1.0
MISSED_INTERVALS: Final = 3
"""Heartbeat intervals that the peer may miss on an idle connection, if longer than silence_s."""
ALIVE_INTERVALS: Final = 1.5
"""Heartbeat intervals of the peer within which a frame must arrive from a peer that is alive."""
INTERVAL_MAX_S: Final = 300.0
CLOCK_DRIFT_MAX: Final = 500e-6
"""Largest drift between two clocks, in seconds per second of elapsed time."""
UNCERTAINTY_MAX_S: Final = 0.05
"""Seconds by which the two bounds on a clock's difference may be apart before the peer is asked."""
ASK_INTERVAL_S: Final = 0.5
"""Seconds from such a question to the next one; twice as long each time, as the way may be slow."""
ASK_DOUBLINGS_MAX: Final = 6
USED_S: Final = 10.0
"""Seconds for which the bounds stay in use after a frame that needed them."""
ASKS: Final = "asks"
"""Field of a heartbeat that asks for an answer at once."""
ECHO: Final = "echo_s"
"""Field of a heartbeat with the ``sent_at_s`` of the frame that it answers."""


class Connection:
    """One connection to a peer.  ``keep_alive`` must be awaited for heartbeats to be sent.

    ``heartbeat_s`` and ``silence_s`` apply while an exchange is in flight; without a ``pace`` they
    always apply.  ``answering`` and ``waiting`` count the exchanges in flight that this end answers
    and those whose answer it waits for.  ``smallest_clock_difference_s`` and
    ``least_clock_difference_s`` are bounds, from above and from below, on what the peer's clock
    lacks of the own one; None until they are known.
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
        self.pace: Pace | None = None
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
        self.smallest_clock_difference_s: float | None = None
        self.difference_recorded_at_s = self.received_at_s
        self.least_clock_difference_s: float | None = None
        self.least_recorded_at_s = self.received_at_s
        self.first_sent_at_s: float | None = None
        self.asked_at_s = float("-inf")
        self.asked_count = 0
        self.bounds_used_at_s = float("-inf")
        self.answer_task: asyncio.Task[None] | None = None
        self.close_reason = CONNECTION_CLOSED
        if pace is not None:
            self.use_pace(pace)

    def use_pace(self, pace: Pace) -> None:
        """Share the pace's budget of idle heartbeats with its other connections from now on."""
        if not self.closed:
            self.pace = pace
            pace.connections += 1

    async def send(
        self,
        kind: str,
        payload: dict[str, Any] | bytes,
        exchange: str = "",
        sequence: int = 0,
        queued_at_s: float | None = None,
    ) -> None:
        """Send one frame, whose payload may be packed; raise GypsumpierError if that is impossible.

        ``queued_at_s`` is the monotonic time at which the frame was queued, if it had to wait; the
        peer then counts that time as time in buffers.  The code of the error is CONNECTION_CLOSED,
        CONNECTION_SILENT once silence has closed the connection, or FRAME_TOO_LARGE.
        """
        if self.closed:
            raise GypsumpierError(self.close_reason, "connection is closed")
        self.sent_at_s = self.clock.monotonic()
        if self.first_sent_at_s is None:
            self.first_sent_at_s = self.sent_at_s
        began_at_s = self.sent_at_s if queued_at_s is None else queued_at_s
        packed = payload if isinstance(payload, bytes) else pack_payload(payload)
        await self.stream.write(encode_packed(kind, exchange, sequence, began_at_s, packed))

    async def frames(self) -> AsyncIterator[Frame]:
        """Yield received frames other than heartbeats until the connection closes."""
        decoder = Decoder()
        try:
            while not self.closed:
                content = await self.stream.read()
                self.received_at_s = self.clock.monotonic()
                for frame in decoder.feed(content):
                    self.record_clock_difference(frame)
                    if frame.kind == HEARTBEAT:
                        self.record_announced_intervals(frame)
                        self.handle_question(frame)
                    else:
                        yield frame
        finally:
            self.close()

    def begin_waiting(self) -> None:
        """Count one more exchange whose answer this end waits for."""
        if self.waiting == 0:
            self.waiting_since_s = self.clock.monotonic()
        self.waiting += 1

    def end_waiting(self) -> None:
        """Stop counting an exchange whose answer this end no longer waits for."""
        self.waiting -= 1

    def begin_answering(self) -> None:
        """Count one more exchange that this end is answering."""
        self.answering += 1

    def end_answering(self) -> None:
        """Stop counting an exchange whose answer is finished."""
        self.answering -= 1

    def buffered_s(self, frame: Frame) -> float:
        """Return how many seconds longer than the fastest frame seen this one spent in buffers."""
        if self.smallest_clock_difference_s is None:
            return 0.0
        return max(0.0, self.received_at_s - frame.sent_at_s - self.smallest_clock_difference_s)

    def longest_transit_s(self, frame: Frame) -> float:
        """Return the seconds that the frame took at most from its queueing to its receipt.

        Of a peer of an older build, which answers no questions, only ``buffered_s`` is known.
        """
        self.bounds_used_at_s = self.received_at_s
        if self.least_clock_difference_s is None:
            return self.buffered_s(frame)
        drift_s = (self.received_at_s - self.least_recorded_at_s) * CLOCK_DRIFT_MAX
        least_s = self.least_clock_difference_s - drift_s
        return max(0.0, self.received_at_s - frame.sent_at_s - least_s)

    async def confirm_first(self, frame: Frame) -> None:
        """Handle the peer's answer to the first frame of this end, and confirm it at once.

        Raises GypsumpierError as ``send`` does.
        """
        if self.first_sent_at_s is not None:
            self.record_answer(self.first_sent_at_s, frame)
        await self.send(HEARTBEAT, self.intervals() | {ECHO: frame.sent_at_s})

    def record_answer(self, own_sent_at_s: float, frame: Frame) -> None:
        """Record that the peer sent the frame after one that this end sent at ``own_sent_at_s``."""
        difference_s = own_sent_at_s - frame.sent_at_s
        if self.least_clock_difference_s is not None:
            drift_s = (self.received_at_s - self.least_recorded_at_s) * CLOCK_DRIFT_MAX
            difference_s = max(difference_s, self.least_clock_difference_s - drift_s)
        self.least_clock_difference_s = difference_s
        self.least_recorded_at_s = self.received_at_s

    def handle_question(self, frame: Frame) -> None:
        """Use the answer in a heartbeat, and answer a question in it.

        The answer is sent by a task, so that reading goes on while the connection is full.
        """
        echoed_s = frame.payload.get(ECHO)
        if isinstance(echoed_s, int | float) and echoed_s <= self.received_at_s:
            self.record_answer(float(echoed_s), frame)
        if frame.payload.get(ASKS) and (self.answer_task is None or self.answer_task.done()):
            self.answer_task = asyncio.create_task(self.send_heartbeat({ECHO: frame.sent_at_s}))

    def is_question_due(self, now_s: float) -> bool:
        """Return whether the peer is to be asked, as the bounds on its clock are too far apart."""
        smallest_s, least_s = self.smallest_clock_difference_s, self.least_clock_difference_s
        if smallest_s is None or least_s is None or now_s - self.bounds_used_at_s > USED_S:
            return False
        drift_s = (now_s - self.least_recorded_at_s) * CLOCK_DRIFT_MAX
        if smallest_s - least_s + drift_s <= UNCERTAINTY_MAX_S:
            self.asked_count = 0
            return False
        wait_s = ASK_INTERVAL_S * 2.0 ** min(self.asked_count - 1, ASK_DOUBLINGS_MAX)
        return now_s - self.asked_at_s >= wait_s

    def is_peer_alive(self) -> bool:
        """Return whether something was received within ALIVE_INTERVALS of the peer's intervals."""
        silent_s = self.clock.monotonic() - self.received_at_s
        return not self.closed and silent_s < ALIVE_INTERVALS * self.peer_interval_s

    async def keep_alive(self) -> None:
        """Send heartbeats, and close the connection on silence; return once it is closed."""
        while not self.closed:
            await self.clock.sleep(self.check_interval_s())
            now_s = self.clock.monotonic()
            if now_s - self.silence_began_at_s() > self.silence_limit_s():
                self.close_reason = CONNECTION_SILENT
                self.close()
                return
            if self.is_question_due(now_s):
                self.asked_at_s = now_s
                self.asked_count += 1
                await self.send_heartbeat({ASKS: True})
            elif now_s - self.sent_at_s >= self.interval_s():
                await self.send_heartbeat()

    def close(self) -> None:
        """Close the connection and its stream; may be called more than once."""
        if not self.closed and self.pace is not None:
            self.pace.connections -= 1
        self.closed = True
        self.stream.close()

    def interval_s(self) -> float:
        """Return the seconds after the last sent frame at which this end sends a heartbeat.

        Never longer than the interval last announced to the peer, by which it judges silence.
        """
        return min(self.announced_interval_s, self.wanted_interval_s())

    def wanted_interval_s(self) -> float:
        """Return the interval to announce in the next heartbeat: the longer one of both ends.

        A process with few connections must not flood a peer that has many.  While this end answers
        an exchange, the interval is ``heartbeat_s``.
        """
        if self.answering:
            return self.heartbeat_s
        return max(self.own_pace_s(), self.peer_pace_s)

    def own_pace_s(self) -> float:
        """Return the idle interval in seconds that this process wants, regardless of the peer."""
        return self.heartbeat_s if self.pace is None else self.pace.idle_interval_s()

    def check_interval_s(self) -> float:
        """Return the seconds between two checks of silence and heartbeats."""
        is_slow = self.interval_s() > MISSED_INTERVALS * IDLE_CHECK_INTERVAL_S
        return min(IDLE_CHECK_INTERVAL_S if is_slow else CHECK_INTERVAL_S, self.heartbeat_s)

    def silence_began_at_s(self) -> float:
        """Return the monotonic time from which silence is measured."""
        if self.waiting:
            return max(self.received_at_s, self.waiting_since_s)
        return self.received_at_s

    def silence_limit_s(self) -> float:
        """Return the seconds of silence after which the connection is closed."""
        if self.waiting:
            return self.silence_s
        return max(self.silence_s, MISSED_INTERVALS * self.peer_interval_s)

    def intervals(self) -> dict[str, Any]:
        """Return the fields of a heartbeat that announce the intervals."""
        return {"interval_s": self.wanted_interval_s(), "pace_s": self.own_pace_s()}

    async def send_heartbeat(self, fields: dict[str, Any] | None = None) -> None:
        """Send a heartbeat, for at most ``heartbeat_s``; close the connection where that fails.

        The time limit keeps a full send window from delaying the check for silence.  ``fields`` ask
        the peer or answer it.
        """
        wanted_s, pace_s = self.wanted_interval_s(), self.own_pace_s()
        try:
            payload = self.intervals() | (fields or {})
            # Most heartbeats are on idle connections, where the announced values have not changed;
            # those are sent empty.  Older builds require the intervals in all others.
            if not fields and (wanted_s, pace_s) == (
                self.announced_interval_s,
                self.announced_pace_s,
            ):
                payload = {}
            async with asyncio.timeout(self.heartbeat_s):
                await self.send(HEARTBEAT, payload)
            self.announced_interval_s, self.announced_pace_s = wanted_s, pace_s
        except TimeoutError:
            return
        except GypsumpierError:
            self.close()

    def record_announced_intervals(self, frame: Frame) -> None:
        """Store the interval and the pace that the peer announces.

        The interval determines how long the peer may be silent; ``pace_s`` is the idle interval at
        which it wants to receive heartbeats.  An empty heartbeat repeats the last announcement.
        """
        if not frame.payload:
            return
        self.peer_interval_s = max(self.heartbeat_s, checked_interval(frame, "interval_s"))
        self.peer_pace_s = max(self.heartbeat_s, checked_interval(frame, "pace_s"))

    def record_clock_difference(self, frame: Frame) -> None:
        """Update the smallest difference between the two clocks, allowing for their drift.

        Without the allowance a connection that stays open for days would count the drift as time
        in buffers.
        """
        difference_s = self.received_at_s - frame.sent_at_s
        if self.smallest_clock_difference_s is None:
            self.smallest_clock_difference_s = difference_s
        drift_s = (self.received_at_s - self.difference_recorded_at_s) * CLOCK_DRIFT_MAX
        self.smallest_clock_difference_s = min(
            difference_s, self.smallest_clock_difference_s + drift_s
        )
        self.difference_recorded_at_s = self.received_at_s


def checked_interval(frame: Frame, name: str) -> float:
    """Return an interval of a heartbeat, in seconds.

    Raises GypsumpierError with BAD_FRAME where it is no number or out of range.
    """
    interval_s = frame.payload.get(name)
    if not isinstance(interval_s, int | float) or not 0 < interval_s <= INTERVAL_MAX_S:
        raise GypsumpierError(BAD_FRAME, f"{name} of a heartbeat is out of range")
    return float(interval_s)
