"""Tests of the life cycle of sessions."""

import asyncio
import unittest

from gypsumpier.spread.identity import Identity
from gypsumpier.test.builders_spread import Fleet
from gypsumpier.test.network import Link
from gypsumpier.test.virtual import VirtualClock, run
from gypsumpier.wire.connection import Connection


class SessionTest(unittest.TestCase):
    def test_a_cancellation_during_detach_is_not_swallowed(self) -> None:
        async def scenario() -> None:
            spread = Fleet().add("entry", "bac-a", 0).spread
            connection = Connection(Link("one", "other").dialled, VirtualClock(), 1.0, 3.0)
            session = spread.attach(connection, Identity("entry/bac-a/1", "entry"))
            await asyncio.sleep(0.1)
            owner = asyncio.create_task(spread.detach(session))
            await asyncio.sleep(0)
            owner.cancel()
            await asyncio.wait({owner})
            # The connection's owner redials in a loop, so the cancellation has to reach it.
            self.assertTrue(owner.cancelled())

        run(scenario())
