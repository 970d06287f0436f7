"""Tests of orders after a check of the staged pieces that has become old."""

import asyncio
import time
import unittest
from typing import Any, Final

from gypsumpier.fleet.node import Address
from gypsumpier.piece.cache import PIECE, PIECE_LIST
from gypsumpier.platform.engine import PlatformEngine
from gypsumpier.sidecar.keeper import VersionKeeper
from gypsumpier.tasks import end_task
from gypsumpier.test.builders_gateway import engines
from gypsumpier.test.builders_platform import BOUNDS, LAYERS, MODEL
from gypsumpier.test.fakes_piece import FakeMesh, entry_peer
from gypsumpier.test.standin.pausable import PausableStandin
from gypsumpier.test.standin.platform import OriginStandin
from gypsumpier.test.standin.platformengine import EngineStandin
from gypsumpier.test.test_keeper import keeper_of, name_version

PIECES: Final = 8
STALL_S: Final = 3.5
"""Longer than the time for which a piece that turned bad need not be noticed."""
STALLS_MAX: Final = 2
"""Stalls at most; the first may follow a look at what is staged at the start."""
SWITCH_TIMEOUT_S: Final = 6.0


class StallingEngine(PlatformEngine):
    """A client that stands still with its process once it has read all pieces of version 2 intact.

    ``intact`` holds the pieces read since the last stall or bad piece, ``stalls`` counts stalls.
    """

    def __init__(self, engine: EngineStandin) -> None:
        super().__init__(Address("127.0.0.1", engine.port))
        self.engine = engine
        self.intact: set[int] = set()
        self.stalls = 0

    async def staged(self, model: str, number: int) -> bytes | None:
        content = await super().staged(model, number)
        if content == self.engine.origin.piece(2, number):
            self.intact.add(number)
        else:
            self.intact.clear()
        if len(self.intact) == PIECES and self.stalls < STALLS_MAX:
            self.stalls += 1
            self.intact.clear()
            self.engine.staged[0] = b"spoilt"
            # Blocks the event loop: no time-out may fire between this answer and the order.
            time.sleep(STALL_S)
        return content


class StaleCheckTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.origin = OriginStandin(PIECES)
        self.addCleanup(self.origin.server.stop)
        paused = PausableStandin(lambda: EngineStandin("i-1", MODEL, LAYERS, self.origin))
        self.addCleanup(paused.stop)
        self.engine = paused.standin
        self.engine.version = 1
        self.engine.staged = {number: self.origin.piece(2, number) for number in range(PIECES)}
        self.client = StallingEngine(self.engine)
        self.addCleanup(self.client.close)

    def keeper(self) -> VersionKeeper:
        """Return the keeper of the engine beside an entry, while version 2 is due."""
        fleet_state = engines(1)
        name_version(fleet_state, 2, 20)
        named = fleet_state.versions[MODEL][0]
        due_s = named.earliest_named_at_s - BOUNDS.version_in_force_s
        fleet_state.versions[MODEL][0] = named._replace(earliest_named_at_s=due_s)
        keeper = keeper_of(fleet_state, self.client)
        network: dict[str, FakeMesh] = {}
        keeper.mesh = FakeMesh(keeper.mesh.own, network)  # type: ignore[assignment]
        entry = FakeMesh(entry_peer("front-bac-a-1", "bac-a"), network)
        entry.request_handlers |= {PIECE_LIST: self.answer_list, PIECE: self.answer_piece}
        stager = keeper.stager(MODEL, 2, 1)
        stager.digests = tuple(self.origin.digest(2, number) for number in range(PIECES))
        stager.pieces = dict(self.engine.staged)
        return keeper

    async def answer_list(self, peer: object, payload: dict[str, Any]) -> dict[str, Any]:
        """Answer as an entry with the digests of a version."""
        version = int(payload["version"])
        return {"digests": [self.origin.digest(version, number) for number in range(PIECES)]}

    async def answer_piece(self, peer: object, payload: dict[str, Any]) -> dict[str, Any]:
        """Answer as an entry with a slice of a piece."""
        content = self.origin.piece(payload["version"], payload["number"])
        offset, length = payload["offset"], payload["length"]
        return {"content": content[offset : offset + length], "size": len(content)}

    # Guards against an order as the process goes on after a check that was right when it stopped.
    async def test_a_piece_turns_bad_as_the_process_stands_still_between_check_and_order(
        self,
    ) -> None:
        keeper = self.keeper()
        tasks = [asyncio.create_task(work) for work in (keeper.watch.run(), keeper.run())]
        until_s = time.monotonic() + STALLS_MAX * STALL_S + SWITCH_TIMEOUT_S
        while self.engine.version != 2 and time.monotonic() < until_s:
            await asyncio.sleep(0.02)
        for task in tasks:
            await end_task(task)
        self.assertGreater(self.client.stalls, 0)
        self.assertEqual((2, 0), (self.engine.version, self.engine.partial_loads))
