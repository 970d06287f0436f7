"""Tests of processes on a machine that was suspended."""

import socket
import time
import unittest
from typing import Final
from unittest import mock

from gypsumpier.agent.application import AgentApplication
from gypsumpier.codes.weight import DECISION_TOO_OLD
from gypsumpier.entry.application import EntryApplication
from gypsumpier.errors import GypsumpierError
from gypsumpier.fleet.node import Address
from gypsumpier.options import Options
from gypsumpier.settings import build
from gypsumpier.test.builders_frame import ENTRY_TEXTS
from gypsumpier.test.fakes_weight import FakeDocuments, FakeEngine, FakeMembers
from gypsumpier.upstream.http import UpstreamStream
from gypsumpier.upstream.pool import IDLE_TIMEOUT_S, UpstreamPool
from gypsumpier.weight.decider import Decider
from gypsumpier.weight.order import Orders

SUSPENDED_S: Final = 60.0
AGENT_OPTIONS: Final = Options(role="agent", name="table-ops/bac-a/0", service="table-ops")


class SuspensionTest(unittest.IsolatedAsyncioTestCase):
    def suspend(self) -> None:
        """Let the machine have been suspended; the monotonic clock stood still."""
        resumed_s = time.clock_gettime(time.CLOCK_BOOTTIME) + SUSPENDED_S
        patch = mock.patch.object(time, "clock_gettime", lambda which: resumed_s)
        patch.start()
        self.addCleanup(patch.stop)

    async def test_no_order_is_decided_by_what_was_known_before_a_suspension(self) -> None:
        """Guards against a load that a document has forbidden meanwhile: no pause is noticed."""
        clock = AgentApplication(AGENT_OPTIONS).clock
        decider = Decider(AGENT_OPTIONS, clock, FakeDocuments(), FakeMembers())
        decider.decide("before")
        self.suspend()
        with self.assertRaises(GypsumpierError) as raised:
            decider.decide("after")
        self.assertEqual(DECISION_TOO_OLD, raised.exception.code)

    async def test_an_order_that_was_decided_before_a_suspension_is_not_sent(self) -> None:
        """Guards against the same where the machine is suspended after the decision."""
        clock = AgentApplication(AGENT_OPTIONS).clock
        decided = Decider(AGENT_OPTIONS, clock, FakeDocuments(), FakeMembers()).decide("before")
        orders = Orders(clock, FakeEngine())
        self.suspend()
        with self.assertRaises(GypsumpierError) as raised:
            orders.checked_order("load", decided, "gypsum", "v1", "digest")
        self.assertEqual(DECISION_TOO_OLD, raised.exception.code)

    async def test_a_request_is_as_much_older_as_its_entry_was_suspended(self) -> None:
        """Guards against a run of a refused key: a copy seems to come after the refusal."""
        clock = EntryApplication(build(ENTRY_TEXTS)).clock
        received_at_s = clock.monotonic()
        self.suspend()
        self.assertGreaterEqual(clock.monotonic() - received_at_s, SUSPENDED_S)

    async def test_a_connection_that_was_idle_during_a_suspension_is_not_used(self) -> None:
        """Guards against commands with an unknown outcome: the upstream has closed it meanwhile."""
        pool, address = UpstreamPool(), Address("127.0.0.1", 1)
        ours, theirs = socket.socketpair()
        self.addCleanup(theirs.close)
        exchange = mock.Mock(stream=UpstreamStream(ours))
        exchange.head.closes, exchange.head.idle_s = False, None
        pool.release(address, exchange)
        self.suspend()
        self.assertIsNone(pool.take_idle(address, IDLE_TIMEOUT_S))


if __name__ == "__main__":
    unittest.main()
