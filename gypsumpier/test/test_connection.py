"""Tests of what a connection makes of the two ends' clocks."""

import unittest
from typing import Final

from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumpier.test.network import Link
from gypsumpier.test.virtual import VirtualClock, run
from gypsumpier.wire.connection import Connection
from gypsumpier.wire.frame import Frame

DAY_S: Final = 86_400.0
CRYSTAL_DRIFT: Final = 100e-6
TOLERANCE_S: Final = 0.02
HEARTBEAT_S: Final = 1.0


def receiving_end() -> Connection:
    """Return a connection whose frames the test notes by hand."""
    return Connection(Link("one", "other").accepted, VirtualClock(), HEARTBEAT_S, 3.0)


def note(connection: Connection, sent_at_s: float, received_at_s: float) -> float:
    """Let the connection receive a heartbeat; return the time it counts as buffered."""
    frame = Frame("heartbeat", "", 0, sent_at_s, {})
    connection.received_at_s = received_at_s
    connection.note_difference(frame)
    return connection.buffered_s(frame)


class BufferedTimeTest(unittest.TestCase):
    @given(st.floats(-CRYSTAL_DRIFT, CRYSTAL_DRIFT), st.floats(-1e6, 1e6))
    @settings(derandomize=True, deadline=None, max_examples=40)
    def test_clocks_that_drift_apart_for_a_day_spend_nothing(
        self, drift: float, offset_s: float
    ) -> None:
        async def scenario() -> float:
            connection = receiving_end()
            steps = range(0, int(DAY_S), 600)
            return max(note(connection, s * (1 + drift) + offset_s, s) for s in steps)

        self.assertLess(run(scenario()), TOLERANCE_S)

    @given(st.floats(0.1, 30.0), st.floats(-1e6, 1e6))
    @settings(derandomize=True, deadline=None, max_examples=40)
    def test_a_pause_of_the_receiver_is_counted(self, paused_s: float, offset_s: float) -> None:
        async def scenario() -> float:
            connection = receiving_end()
            for second in range(100):
                note(connection, second + offset_s, second)
            return note(connection, 100 + offset_s, 100 + paused_s)

        self.assertAlmostEqual(paused_s, run(scenario()), delta=TOLERANCE_S)
