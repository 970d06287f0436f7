"""Tests of orders after a check of the staged pieces that has become old."""

import asyncio
import time
import unittest
from typing import Final

from gypsumpier.fleet.node import Address
from gypsumpier.platform.engine import PlatformEngine
from gypsumpier.tasks import end_task
from gypsumpier.test.builders_gateway import engines
from gypsumpier.test.builders_platform import BOUNDS, LAYERS, MODEL
from gypsumpier.test.standin.pausable import PausableStandin
from gypsumpier.test.standin.platform import OriginStandin
from gypsumpier.test.standin.platformengine import EngineStandin
from gypsumpier.test.test_keeper import keeper_of, name_version

PIECES: Final = 8
STALL_S: Final = 3.5
"""Longer than the time for which a piece that turned bad need not be noticed."""
STALLS: Final = 2
"""Checks that are followed by a stall; the first may be a look at what is staged at the start."""
SWITCH_TIMEOUT_S: Final = 6.0


class StallingEngine(PlatformEngine):
    """A client that stands still with its process after the last answers of checks."""

    def __init__(self, engine: EngineStandin) -> None:
        super().__init__(Address("127.0.0.1", engine.port))
        self.engine = engine
        self.reads = 0

    async def staged(self, model: str, number: int) -> bytes | None:
        content = await super().staged(model, number)
        self.reads += 1
        if self.reads % PIECES == 0 and self.reads <= STALLS * PIECES:
            self.engine.staged[0] = b"spoilt"
            # Blocks the event loop: no time-out may fire between this answer and the order.
            time.sleep(STALL_S)
        return content


class StaleCheckTest(unittest.IsolatedAsyncioTestCase):
    # Guards against an order as the process goes on after a check that was right when it stopped.
    async def test_a_piece_turns_bad_as_the_process_stands_still_between_check_and_order(
        self,
    ) -> None:
        origin = OriginStandin(PIECES)
        self.addCleanup(origin.server.stop)
        paused = PausableStandin(lambda: EngineStandin("i-1", MODEL, LAYERS, origin))
        self.addCleanup(paused.stop)
        engine = paused.standin
        pieces = {number: origin.piece(2, number) for number in range(PIECES)}
        engine.version, engine.staged = 1, dict(pieces)
        fleet_state = engines(1)
        name_version(fleet_state, 2, 20)
        named = fleet_state.versions[MODEL][0]
        due_s = named.earliest_named_at_s - BOUNDS.version_in_force_s
        fleet_state.versions[MODEL][0] = named._replace(earliest_named_at_s=due_s)
        client = StallingEngine(engine)
        self.addCleanup(client.close)
        keeper = keeper_of(fleet_state, client)
        stager = keeper.stager(MODEL, 2, 1)
        stager.digests = tuple(origin.digest(2, number) for number in range(PIECES))
        stager.pieces = pieces
        tasks = [asyncio.create_task(work) for work in (keeper.watch.run(), keeper.run())]
        until_s = time.monotonic() + STALLS * STALL_S + SWITCH_TIMEOUT_S
        while engine.version != 2 and time.monotonic() < until_s:
            await asyncio.sleep(0.02)
        for task in tasks:
            await end_task(task)
        self.assertGreaterEqual(client.reads, PIECES)
        self.assertEqual((2, 0), (engine.version, engine.partial_loads))
