"""Tests of which version a sidecar brings its engine to, and of the turns of engines."""

import asyncio
import time
import unittest

from gypsumpier.fleet.clock import boot_time_s
from gypsumpier.fleet.state import FleetState
from gypsumpier.fleet.upstream import LoadedLayers
from gypsumpier.mesh.mesh import Mesh
from gypsumpier.piece.engine import EngineReport
from gypsumpier.piece.turns import FIRST_TURN_SHARE, LAST_TURN_SHARE, Turns
from gypsumpier.sidecar.enginewatch import EngineWatch
from gypsumpier.sidecar.keeper import FIRST_VERSION, VersionKeeper
from gypsumpier.sidecar.stager import Stager
from gypsumpier.tasks import end_task
from gypsumpier.test.builders_gateway import engines
from gypsumpier.test.builders_platform import (
    BOUNDS,
    ENGINES,
    LAYERS,
    MODEL,
    beliefs_of,
    configuration_record,
    engine_record,
    later,
    record,
)
from gypsumpier.test.fakes_piece import (
    FakeEngine,
    FakeMesh,
    FakeOrigin,
    cache_of,
    entry_peer,
    piece_of,
)


def name_version(beliefs: FleetState, version: int, revision: int) -> None:
    """Let a version be named now."""
    later(beliefs, record(f"op/version/{MODEL}", {"model": MODEL, "version": version}, revision))


class KeeperTest(unittest.TestCase):
    def setUp(self) -> None:
        self.beliefs = engines(2)
        network: dict[str, FakeMesh] = {}
        mesh: Mesh = FakeMesh(entry_peer("side", "bac-a"), network)  # type: ignore[assignment]
        watch = EngineWatch(mesh, FakeEngine(), "127.0.0.1:8701")
        turns = Turns(self.beliefs, BOUNDS.version_in_force_s)
        self.keeper = VersionKeeper(mesh, self.beliefs, turns, watch, ENGINES)
        self.mesh = mesh

    def under_way(self, version: int, fetched: int) -> None:
        """Let so many of ten pieces of a version be in memory."""
        stager = self.keeper.stager(MODEL, version, 1)
        stager.digests = tuple("0123456789")
        stager.pieces = {number: b"" for number in range(fetched)}

    def test_without_a_named_version_an_empty_engine_gets_the_first(self) -> None:
        self.assertEqual(FIRST_VERSION, self.keeper.target(MODEL, 0))
        self.assertEqual(4, self.keeper.target(MODEL, 4))

    def test_the_newest_version_is_brought(self) -> None:
        name_version(self.beliefs, 2, 20)
        name_version(self.beliefs, 3, 21)
        self.assertEqual(3, self.keeper.target(MODEL, 1))

    def test_a_version_that_is_mostly_fetched_is_finished_first(self) -> None:
        name_version(self.beliefs, 2, 20)
        name_version(self.beliefs, 3, 21)
        self.under_way(2, 3)
        self.assertEqual(3, self.keeper.target(MODEL, 1))
        self.under_way(2, 7)
        self.assertEqual(2, self.keeper.target(MODEL, 1))
        self.assertEqual(3, self.keeper.target(MODEL, 2))

    def test_a_version_whose_pieces_do_not_come_is_left_for_an_older_one(self) -> None:
        """Pattern: the origin goes down as a second version is named, the first is all drawn."""
        name_version(self.beliefs, 2, 20)
        name_version(self.beliefs, 3, 21)
        self.keeper.stalled_until_s[3] = time.monotonic() + 1.0
        self.assertEqual(2, self.keeper.target(MODEL, 1))
        self.assertEqual(3, self.keeper.target(MODEL, 2))

    def test_pieces_that_came_before_another_version_was_tried_are_kept(self) -> None:
        """Pattern: two versions named shortly one after the other, then the origin goes down."""
        name_version(self.beliefs, 2, 20)
        self.under_way(2, 5)
        name_version(self.beliefs, 3, 21)
        self.under_way(3, 3)
        self.keeper.stalled_until_s[3] = time.monotonic() + 1.0
        self.assertEqual(2, self.keeper.target(MODEL, 1))
        self.assertEqual(5, len(self.keeper.stager(MODEL, 2, 1).pieces))
        self.assertEqual(3, len(self.keeper.stager(MODEL, 3, 2).pieces))
        self.assertEqual({2, 3}, {version for _, version in self.keeper.stagers})
        self.keeper.stager(MODEL, 4, 3)
        self.assertEqual({3, 4}, {version for _, version in self.keeper.stagers})

    def test_a_version_that_is_mostly_fetched_is_left_while_its_pieces_do_not_come(self) -> None:
        name_version(self.beliefs, 2, 20)
        name_version(self.beliefs, 3, 21)
        self.under_way(2, 7)
        self.keeper.stalled_until_s[2] = time.monotonic() + 1.0
        self.assertEqual(3, self.keeper.target(MODEL, 1))

    def test_an_older_version_is_never_brought_over_a_newer_one(self) -> None:
        name_version(self.beliefs, 2, 20)
        self.assertEqual(3, self.keeper.target(MODEL, 3))


class DrainTest(unittest.IsolatedAsyncioTestCase):
    """An engine whose turn has come, with requests at it and pieces that are late."""

    def setUp(self) -> None:
        self.beliefs = engines(1)
        name_version(self.beliefs, 2, 20)
        named = self.beliefs.versions[MODEL][0]
        earliest_named_at_s = named.earliest_named_at_s - BOUNDS.version_in_force_s
        self.beliefs.versions[MODEL][0] = named._replace(earliest_named_at_s=earliest_named_at_s)
        network: dict[str, FakeMesh] = {}
        mesh: Mesh = FakeMesh(entry_peer("side", "bac-a"), network)  # type: ignore[assignment]
        self.engine = FakeEngine()
        upstream = next(iter(self.beliefs.upstreams.values()))
        address = f"{upstream.host}:{upstream.port}"
        self.watch = EngineWatch(mesh, self.engine, address)
        turns = Turns(self.beliefs, BOUNDS.version_in_force_s)
        self.keeper = VersionKeeper(mesh, self.beliefs, turns, self.watch, ENGINES)
        layers = (LoadedLayers(MODEL, 1, 0, LAYERS),)
        self.watch.report = EngineReport(layers, False, 1, 0, 9, 1, 1.0)
        self.told: list[bool] = []
        self.watch.publish_state = lambda force=False: self.told.append(  # type: ignore[method-assign]
            self.watch.is_switching
        )

    async def bring(self, stager: Stager, seconds: float) -> bool:
        """Bring version 2 for so long; return whether it was ordered."""
        self.keeper.stagers[MODEL, 2] = stager
        traits = self.keeper.traits()
        assert traits is not None
        bringing = asyncio.create_task(self.keeper.switch_to(MODEL, 2, traits))
        await asyncio.wait({bringing}, timeout=seconds)
        await end_task(bringing)
        return bool(self.engine.loaded)

    async def test_an_engine_goes_on_serving_while_no_piece_comes(self) -> None:
        """Pattern: the origin is down as the engine's turn comes."""
        stager = Stager(self.keeper.mesh, self.engine, MODEL, 2)

        async def fetch() -> None:
            await asyncio.sleep(60)

        stager.fetch = fetch  # type: ignore[method-assign]
        self.assertFalse(await self.bring(stager, 0.6))
        self.assertNotIn(True, self.told)

    async def test_an_engine_is_given_back_where_the_last_pieces_do_not_come(self) -> None:
        """Pattern: the origin goes down between the last pieces of a version."""
        stager = Stager(self.keeper.mesh, self.engine, MODEL, 2)

        async def fetch() -> None:
            stager.fetched, stager.remaining = 63, 1
            stager.fetch_started_at_s = time.monotonic() - 4.0
            stager.progress_at_s = time.monotonic()
            await asyncio.sleep(60)

        stager.fetch = fetch  # type: ignore[method-assign]
        self.assertFalse(await self.bring(stager, 1.2))
        self.assertEqual([True, False], self.told[:2])
        self.assertLessEqual(self.told.count(True), 1)

    async def test_a_version_that_was_left_for_a_while_is_not_stalled_at_once(self) -> None:
        name_version(self.beliefs, 3, 21)
        self.keeper.stalled_until_s[3] = time.monotonic() + 60.0
        stager = Stager(self.keeper.mesh, self.engine, MODEL, 2)
        stager.progress_at_s = time.monotonic() - 10.0

        async def fetch() -> None:
            await asyncio.sleep(60)

        stager.fetch = fetch  # type: ignore[method-assign]
        await self.bring(stager, 0.3)
        self.assertNotIn(2, self.keeper.stalled_until_s)

    async def test_an_engine_switches_once_its_pieces_are_there(self) -> None:
        stager = Stager(self.keeper.mesh, self.engine, MODEL, 2)
        digests = (await FakeOrigin().piece_list(MODEL, 2)).digests
        stager.digests = digests
        stager.pieces = {number: piece_of(2, number) for number in range(len(digests))}
        self.assertTrue(await self.bring(stager, 1.2))
        self.assertEqual(stager.pieces, self.engine.loaded[0])


class TurnsTest(unittest.TestCase):
    def turns(self, beliefs: FleetState) -> list[float]:
        """Return the turns in order, in seconds from now."""
        found = Turns(beliefs, BOUNDS.version_in_force_s).turns(ENGINES)
        return sorted(turn.at_s - boot_time_s() for turn in found.values())

    def test_turns_are_spread_within_the_time_of_the_version(self) -> None:
        beliefs = engines(8)
        name_version(beliefs, 2, 20)
        found = self.turns(beliefs)
        bound_s = BOUNDS.version_in_force_s
        self.assertAlmostEqual(FIRST_TURN_SHARE * bound_s, found[0], delta=0.2)
        self.assertLess(found[-1], LAST_TURN_SHARE * bound_s)
        steps = [second - first for first, second in zip(found, found[1:], strict=False)]
        self.assertLess(max(steps) - min(steps), 0.01)

    def test_neighbours_in_the_order_are_of_different_zones(self) -> None:
        beliefs = engines(3)
        for number in (4, 5, 6):
            later(beliefs, engine_record(number, 10 + number, zone="nam-a"))
        name_version(beliefs, 2, 30)
        found = Turns(beliefs, BOUNDS.version_in_force_s).turns(ENGINES)
        order = sorted(found, key=lambda address: found[address].at_s)
        zones = [int(address.split(":")[0].rsplit(".", 1)[1]) > 3 for address in order]
        self.assertTrue(
            all(first != second for first, second in zip(zones, zones[1:], strict=False))
        )

    def test_a_second_version_does_not_put_off_the_time_of_the_first(self) -> None:
        beliefs = engines(4)
        name_version(beliefs, 2, 20)
        first = beliefs.versions[MODEL][0]
        beliefs.versions[MODEL][0] = first._replace(
            earliest_named_at_s=first.earliest_named_at_s - 2.0
        )
        name_version(beliefs, 3, 21)
        due_s = LAST_TURN_SHARE * BOUNDS.version_in_force_s - 2.0
        self.assertLessEqual(self.turns(beliefs)[-1], due_s + 0.1)


class HolderTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_sidecar_of_the_zone_is_asked_before_the_origin(self) -> None:
        """Pattern: an empty engine is added while others of its zone hold the version."""
        network: dict[str, FakeMesh] = {}
        origin = FakeOrigin()
        entry = FakeMesh(entry_peer("front-bac-a-1", "bac-a"), network)
        cache = cache_of(entry, beliefs_of(configuration_record()), origin)
        holder = FakeMesh(entry_peer("side-bac-a-1", "bac-a")._replace(role="sidecar"), network)

        async def answer(peer: object, payload: dict[str, int]) -> dict[str, object]:
            content = piece_of(payload["version"], payload["number"])
            offset, length = payload["offset"], payload["length"]
            return {"content": content[offset : offset + length], "size": len(content)}

        holder.request_handlers["piece"] = answer
        cache.holders = lambda model, version: [holder.own]
        cache.started_at_s = float("-inf")
        found = await asyncio.gather(*(cache.piece("m", 1, number) for number in range(4)))
        self.assertEqual([piece_of(1, number) for number in range(4)], found)
        self.assertEqual([], origin.drawn)
