"""Tests of a connection's clock differences, heartbeat pace and detection of silence."""

import asyncio
import contextlib
import unittest
from typing import Any, Final

from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumpier.codes.wire import CONNECTION_SILENT
from gypsumpier.errors import GypsumpierError
from gypsumpier.options import Options
from gypsumpier.test.network import Link, MemoryStream
from gypsumpier.test.virtual import VirtualClock, run
from gypsumpier.wire.connection import IDLE_CHECK_INTERVAL_S, MISSED_INTERVALS, Connection
from gypsumpier.wire.frame import Frame
from gypsumpier.wire.pace import Pace

DAY_S: Final = 86_400.0
CRYSTAL_DRIFT: Final = 100e-6
TOLERANCE_S: Final = 0.02
HEARTBEAT_S: Final = 1.0
PEERS: Final = 333
SETTLE_S: Final = 60.0
MINUTE_S: Final = 60.0


def receiving_end() -> Connection:
    """Return a connection to which the tests pass received frames directly."""
    return Connection(Link("one", "other").accepted, VirtualClock(), HEARTBEAT_S, 3.0)


def buffered_after_receiving(
    connection: Connection, sent_at_s: float, received_at_s: float
) -> float:
    """Pass a heartbeat to the connection; return the seconds it counts as buffered."""
    frame = Frame("heartbeat", "", 0, sent_at_s, {})
    connection.received_at_s = received_at_s
    connection.record_clock_difference(frame)
    return connection.buffered_s(frame)


class BufferedTimeTest(unittest.TestCase):
    @given(st.floats(-CRYSTAL_DRIFT, CRYSTAL_DRIFT), st.floats(-1e6, 1e6))
    @settings(derandomize=True, deadline=None, max_examples=40)
    def test_clock_drift_of_a_day_does_not_count_as_buffered_time(
        self, drift: float, offset_s: float
    ) -> None:
        async def scenario() -> float:
            connection = receiving_end()
            steps = range(0, int(DAY_S), 600)
            return max(
                buffered_after_receiving(connection, s * (1 + drift) + offset_s, s) for s in steps
            )

        self.assertLess(run(scenario()), TOLERANCE_S)

    @given(st.floats(0.1, 30.0), st.floats(-1e6, 1e6))
    @settings(derandomize=True, deadline=None, max_examples=40)
    def test_a_pause_of_the_receiver_is_counted(self, paused_s: float, offset_s: float) -> None:
        async def scenario() -> float:
            connection = receiving_end()
            for second in range(100):
                buffered_after_receiving(connection, second + offset_s, second)
            return buffered_after_receiving(connection, 100 + offset_s, 100 + paused_s)

        self.assertAlmostEqual(paused_s, run(scenario()), delta=TOLERANCE_S)


class PaceTest(unittest.TestCase):
    def test_many_idle_connections_share_one_budget(self) -> None:
        async def scenario() -> int:
            pairs = [await open_pair(pace) for _ in range(PEERS)]
            await asyncio.sleep(SETTLE_S)
            before = [sum(ends[side].sent_frames for ends in pairs) for side in (0, 1)]
            await asyncio.sleep(MINUTE_S)
            self.assertFalse(any(end.closed for pair in pairs for end in pair))
            after = [sum(ends[side].sent_frames for ends in pairs) for side in (0, 1)]
            return max(after[0] - before[0], after[1] - before[1])

        options = Options()
        pace = Pace(options)
        budget = options.idle_heartbeats_per_s * MINUTE_S
        self.assertLessEqual(run(scenario()), 1.1 * budget)

    def test_a_changed_pace_is_announced_to_the_peer(self) -> None:
        async def scenario() -> None:
            pace = Pace(Options())
            pairs = [await open_pair(pace) for _ in range(PEERS)]
            await asyncio.sleep(SETTLE_S)
            for near, _ in pairs[1:]:
                near.close()
            await asyncio.sleep(SETTLE_S)
            near, far = pairs[0]
            self.assertEqual(HEARTBEAT_S, far.peer_interval_s)
            self.assertEqual(HEARTBEAT_S, far.peer_pace_s)
            self.assertFalse(near.closed)

        run(scenario())

    def test_waiting_on_a_dead_connection_fails_within_the_silence_limit(self) -> None:
        async def scenario() -> float:
            pace = Pace(Options())
            pairs = [await open_pair(pace) for _ in range(PEERS)]
            await asyncio.sleep(SETTLE_S)
            near = pairs[0][0]
            near.link.silent = True
            near.begin_waiting()
            began_at_s = near.clock.monotonic()
            await near.wait_closed()
            return near.clock.monotonic() - began_at_s

        options = Options()
        self.assertLessEqual(run(scenario()), options.silence_s + IDLE_CHECK_INTERVAL_S)

    def test_a_dead_idle_connection_is_closed_eventually(self) -> None:
        async def scenario() -> None:
            pace = Pace(Options())
            pairs = [await open_pair(pace) for _ in range(PEERS)]
            await asyncio.sleep(SETTLE_S)
            near, far = pairs[0]
            near.link.silent = True
            limit_s = MISSED_INTERVALS * pace.idle_interval_s() + IDLE_CHECK_INTERVAL_S
            await asyncio.wait_for(near.wait_closed(), limit_s)
            self.assertIn(CONNECTION_SILENT, (near.close_reason, far.close_reason))

        run(scenario())


class CountingConnection(Connection):
    """A connection that counts its sent frames and whose close can be awaited."""

    def __init__(self, link: Link, stream: MemoryStream, pace: Pace) -> None:
        super().__init__(stream, VirtualClock(), HEARTBEAT_S, 3.0, pace)
        self.link = link
        self.sent_frames = 0
        self.tasks = [asyncio.create_task(self.keep_alive()), asyncio.create_task(self.drain())]

    async def send(
        self,
        kind: str,
        payload: dict[str, Any] | bytes,
        exchange: str = "",
        sequence: int = 0,
        queued_at_s: float | None = None,
    ) -> None:
        self.sent_frames += 1
        await super().send(kind, payload, exchange, sequence, queued_at_s)

    async def drain(self) -> None:
        """Read frames until the connection closes."""
        with contextlib.suppress(GypsumpierError):
            async for _ in self.frames():
                pass

    async def wait_closed(self) -> None:
        """Wait until the connection is closed."""
        await asyncio.wait(self.tasks)


async def open_pair(pace: Pace) -> tuple[CountingConnection, CountingConnection]:
    """Return both ends of a connection; the far end has a Pace of its own."""
    link = Link("one", "other", delay_s=0.001)
    near = CountingConnection(link, link.dialled, pace)
    return near, CountingConnection(link, link.accepted, Pace(Options()))
