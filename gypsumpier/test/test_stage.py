"""Tests of the stage of an engine: its owner, writes that go on, and orders that are pending."""

import asyncio
import unittest
from typing import Final

from gypsumpier.codes.platform import PLATFORM_REFUSED, PLATFORM_UNREACHABLE
from gypsumpier.errors import GypsumpierError, NotSentError
from gypsumpier.fleet.clock import boot_time_s
from gypsumpier.fleet.node import Address
from gypsumpier.fleet.upstream import LoadedLayers
from gypsumpier.mesh.mesh import Mesh
from gypsumpier.piece.engine import EngineReport, OrderRefusedError, PieceList, SwitchOrder
from gypsumpier.platform.engine import PlatformEngine
from gypsumpier.sidecar.enginewatch import EngineWatch
from gypsumpier.sidecar.inheritance import inherited_version
from gypsumpier.sidecar.stage import CHECK_VALID_S, Stage
from gypsumpier.sidecar.stager import Stager
from gypsumpier.test.builders_platform import LAYERS, MODEL
from gypsumpier.test.fakes_piece import (
    PIECES,
    FakeEngine,
    FakeMesh,
    entry_peer,
    owned_stage,
    piece_of,
)
from gypsumpier.test.piecefleet import PieceFleet
from gypsumpier.test.standin.platform import OriginStandin
from gypsumpier.test.standin.platformengine import EngineStandin

LOST: Final = GypsumpierError(PLATFORM_UNREACHABLE, "no answer")


def report_of(version: int, orders: int, started_ms: int = 1) -> EngineReport:
    """Return the report of an engine that holds a version."""
    layers = (LoadedLayers(MODEL, version, 0, LAYERS),) if version else ()
    return EngineReport(layers, False, orders, 0, 0, started_ms, 1.0)


class HeldEngine(FakeEngine):
    """An engine that carries out writes once ``release`` is set; orders end with ``outcome``."""

    def __init__(self, outcome: bool | GypsumpierError = True) -> None:
        super().__init__()
        self.release = asyncio.Event()
        self.outcome = outcome
        self.orders: list[SwitchOrder] = []

    async def stage(self, model: str, number: int, content: bytes) -> None:
        await self.release.wait()
        await super().stage(model, number, content)

    async def start(self, order: SwitchOrder) -> bool:
        self.orders.append(order)
        if isinstance(self.outcome, GypsumpierError):
            raise self.outcome
        return self.outcome


class WriteTest(unittest.IsolatedAsyncioTestCase):
    # Guards against a write that was given up and replaces a piece of the next version later.
    async def test_the_owner_stays_until_a_write_whose_caller_has_left_has_ended(self) -> None:
        engine = HeldEngine()
        stage = owned_stage(engine, MODEL, 2)
        first = asyncio.create_task(stage.write(MODEL, 2, 0, b"old"))
        await asyncio.sleep(0.01)
        first.cancel()
        await asyncio.wait({first})
        self.assertTrue(stage.claim(MODEL, 2))
        self.assertFalse(stage.claim(MODEL, 3))
        engine.release.set()
        await asyncio.sleep(0.01)
        self.assertTrue(stage.claim(MODEL, 3))
        self.assertTrue(await stage.write(MODEL, 3, 0, b"new"))
        self.assertEqual({0: b"new"}, engine.pieces)

    # Guards against pieces of another version in the place of those that an order may take.
    async def test_a_version_that_does_not_own_the_stage_is_not_written(self) -> None:
        engine = FakeEngine()
        stage = Stage(engine)
        self.assertFalse(await stage.write(MODEL, 2, 0, b"old"))
        stage.claim(MODEL, 2)
        self.assertTrue(await stage.write(MODEL, 2, 0, b"old"))
        self.assertFalse(await stage.write(MODEL, 3, 0, b"new"))
        self.assertEqual({0: b"old"}, engine.pieces)


class PendingOrderTest(unittest.IsolatedAsyncioTestCase):
    async def order(self, stage: Stage, orders: int = 0) -> None:
        """Order version 2, whose pieces were just checked; errors are ignored."""
        try:
            await stage.order(MODEL, 2, report_of(1, orders), boot_time_s())
        except GypsumpierError:
            return

    # Guards against staging another version while an order without an answer may be accepted.
    async def test_the_stage_stays_with_a_version_until_the_fate_of_its_order_is_known(
        self,
    ) -> None:
        stage = owned_stage(HeldEngine(LOST), MODEL, 2)
        await self.order(stage)
        stage.settle(report_of(1, 0), LAYERS)
        self.assertFalse(stage.claim(MODEL, 3))
        self.assertTrue(stage.claim(MODEL, 2))
        stage.settle(report_of(0, 1), LAYERS)
        self.assertTrue(stage.claim(MODEL, 3))

    # Guards against two loads from repeated orders: all of them require the same count.
    async def test_a_repeated_order_requires_the_same_count_of_orders(self) -> None:
        engine = HeldEngine(LOST)
        stage = owned_stage(engine, MODEL, 2)
        await self.order(stage, orders=4)
        await self.order(stage, orders=4)
        self.assertEqual([4, 4], [order.after_orders for order in engine.orders])
        assert stage.pending is not None
        self.assertEqual(2, stage.pending.unanswered)

    # Guards against an engine that gets no new version any more after a refusal.
    async def test_a_refused_or_unsent_order_frees_the_stage(self) -> None:
        refused = OrderRefusedError(PLATFORM_REFUSED, "status 421")
        unsent = NotSentError(PLATFORM_UNREACHABLE, "cannot connect")
        for outcome in (False, refused, unsent):
            with self.subTest(outcome):
                stage = owned_stage(HeldEngine(outcome), MODEL, 2)
                await self.order(stage)
                stage.settle(report_of(1, 0), LAYERS)
                self.assertTrue(stage.claim(MODEL, 3))

    # Guards against a later refusal that hides an earlier order without an answer.
    async def test_a_refusal_after_an_unanswered_order_does_not_free_the_stage(self) -> None:
        engine = HeldEngine(LOST)
        stage = owned_stage(engine, MODEL, 2)
        await self.order(stage)
        engine.outcome = False
        await self.order(stage)
        stage.settle(report_of(1, 0), LAYERS)
        self.assertFalse(stage.claim(MODEL, 3))

    # Guards against an order that relies on a check from before a pause of the process.
    async def test_an_order_is_not_sent_once_its_check_is_too_old(self) -> None:
        origin = OriginStandin()
        engine = EngineStandin("i-1", MODEL, LAYERS, origin)
        self.addCleanup(origin.server.stop)
        self.addCleanup(engine.server.stop)
        client = PlatformEngine(Address("127.0.0.1", engine.port))
        self.addCleanup(client.close)
        stage = owned_stage(client, MODEL, 2)
        with self.assertRaises(NotSentError):
            checked_at_s = boot_time_s() - CHECK_VALID_S - 0.1
            await stage.order(MODEL, 2, report_of(1, 0), checked_at_s)
        self.assertEqual([], engine.received_orders)
        await stage.order(MODEL, 2, report_of(1, 0), boot_time_s())
        self.assertEqual([2], engine.loads)


class LateReportTest(unittest.IsolatedAsyncioTestCase):
    # Guards against an older count of orders that seems to settle a pending order.
    async def test_a_report_that_arrives_after_a_later_one_is_dropped(self) -> None:
        reports = [report_of(1, 3), report_of(1, 4)]
        waits = [0.05, 0.0]

        class SlowEngine(FakeEngine):
            async def report(self) -> EngineReport:
                found, wait_s = reports.pop(0), waits.pop(0)
                await asyncio.sleep(wait_s)
                return found

        mesh: Mesh = FakeMesh(entry_peer("side", "bac-a"), {})  # type: ignore[assignment]
        watch = EngineWatch(mesh, SlowEngine(), "127.0.0.1:8701")
        watch.publish_state = lambda force=False: None  # type: ignore[method-assign]
        await asyncio.gather(watch.read(), watch.read())
        assert watch.report is not None
        self.assertEqual(4, watch.report.orders)


class InheritanceTest(unittest.IsolatedAsyncioTestCase):
    """A sidecar that has just started beside an engine with staged pieces."""

    async def found(self, *versions: int) -> int | None:
        """Return the version found for pieces of these versions by turns, and one corrupt piece."""
        fleet = PieceFleet()
        for number in range(PIECES):
            fleet.engine.pieces[number] = piece_of(versions[number % len(versions)], number)
        fleet.engine.pieces[5] = b"corrupt"
        return await self.inherited(fleet)

    async def inherited(self, fleet: PieceFleet, lost_version: int = 0) -> int | None:
        """Return the version found by a sidecar that knows versions 1 to 3.

        The digests of ``lost_version`` can't be had.
        """
        stage = Stage(fleet.engine)

        async def fail() -> PieceList:
            raise LOST

        def stager(version: int) -> Stager:
            found = Stager(fleet.sidecar, stage, "m", version)  # type: ignore[arg-type]
            if version == lost_version:
                found.read_list = fail  # type: ignore[method-assign]
            return found

        return await inherited_version(stager, [3, 1, 2], PIECES)

    # Guards against staging over the pieces of an order that an earlier run has given.
    async def test_the_version_of_which_all_pieces_are_staged_is_found(self) -> None:
        self.assertEqual(2, await self.found(2))
        self.assertEqual(3, await self.found(3))

    # Guards against an engine that gets no older version while the newest one can't be fetched.
    async def test_the_staged_version_is_found_without_the_list_of_the_newest(self) -> None:
        fleet = PieceFleet()
        fleet.engine.pieces = {number: piece_of(2, number) for number in range(PIECES)}
        self.assertEqual(2, await self.inherited(fleet, lost_version=3))

    # Guards against finishing an old version for nothing: its stage was given up already.
    async def test_pieces_of_two_versions_or_a_missing_one_tell_of_no_order(self) -> None:
        self.assertIsNone(await self.found(2, 2, 2, 3))
        self.assertIsNone(await self.found(7))
        fleet = PieceFleet()
        fleet.engine.pieces = {number: piece_of(2, number) for number in range(PIECES - 1)}
        self.assertIsNone(await self.inherited(fleet))


if __name__ == "__main__":
    unittest.main()
