"""Tests of the version that a sidecar switches its engine to, and of the turns of engines."""

import asyncio
import time
import unittest
from typing import Final

from gypsumpier.fleet.clock import boot_time_s
from gypsumpier.fleet.state import FleetState
from gypsumpier.fleet.upstream import LoadedLayers
from gypsumpier.log import LOGGER, record_fields
from gypsumpier.mesh.mesh import Mesh
from gypsumpier.piece.engine import Engine, EngineReport
from gypsumpier.piece.turns import FIRST_TURN_SHARE, LAST_TURN_SHARE, SwitchSchedule
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
    apply_records,
    configuration_record,
    engine_record,
    fleet_state_of,
    record,
)
from gypsumpier.test.fakes_piece import (
    FakeEngine,
    FakeMesh,
    FakeOrigin,
    LateEngine,
    cache_of,
    entry_peer,
    piece_of,
)
from gypsumpier.wire.tcp import TcpDialer

ORDERS_MAX: Final = 8
"""Orders that an engine may get for one version that it loads 0.8 s late."""


def name_version(fleet_state: FleetState, version: int, revision: int) -> None:
    """Apply a record that names a version now."""
    apply_records(
        fleet_state, record(f"op/version/{MODEL}", {"model": MODEL, "version": version}, revision)
    )


class EngineQueueLogTest(unittest.TestCase):
    def test_requests_that_wait_in_the_engine_are_logged_once_per_interval(self) -> None:
        """Without this line a wait in the engine looks like a wait on the way to it."""
        mesh = Mesh(entry_peer("side", "bac-a"), (), TcpDialer())
        watch = EngineWatch(mesh, FakeEngine(), "127.0.0.1:8701")
        report = EngineReport((LoadedLayers(MODEL, 1, 0, LAYERS),), False, 0, 0, 12, 1, 1.0)
        with self.assertLogs(LOGGER, "INFO") as logged:
            for queued in (0, 5, 6):
                watch.record_report(report._replace(queued=queued))
        lines = [found for found in logged.records if found.getMessage() == "engine_queue"]
        self.assertEqual([5], [record_fields(found)["queued"] for found in lines])


class KeeperTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet_state = engines(2)
        network: dict[str, FakeMesh] = {}
        mesh: Mesh = FakeMesh(entry_peer("side", "bac-a"), network)  # type: ignore[assignment]
        watch = EngineWatch(mesh, FakeEngine(), "127.0.0.1:8701")
        schedule = SwitchSchedule(self.fleet_state, BOUNDS.version_in_force_s)
        self.keeper = VersionKeeper(mesh, self.fleet_state, schedule, watch, ENGINES)
        self.mesh = mesh

    def set_fetched(self, version: int, fetched: int) -> None:
        """Put the first ``fetched`` of ten pieces of a version into memory."""
        stager = self.keeper.stager(MODEL, version, 1)
        stager.digests = tuple("0123456789")
        stager.pieces = {number: b"" for number in range(fetched)}

    def test_without_a_named_version_an_empty_engine_loads_the_first(self) -> None:
        self.assertEqual(FIRST_VERSION, self.keeper.target(MODEL, 0))
        self.assertEqual(4, self.keeper.target(MODEL, 4))

    def test_the_newest_version_is_the_target(self) -> None:
        name_version(self.fleet_state, 2, 20)
        name_version(self.fleet_state, 3, 21)
        self.assertEqual(3, self.keeper.target(MODEL, 1))

    def test_a_version_that_is_mostly_fetched_is_finished_first(self) -> None:
        name_version(self.fleet_state, 2, 20)
        name_version(self.fleet_state, 3, 21)
        self.set_fetched(2, 3)
        self.assertEqual(3, self.keeper.target(MODEL, 1))
        self.set_fetched(2, 7)
        self.assertEqual(2, self.keeper.target(MODEL, 1))
        self.assertEqual(3, self.keeper.target(MODEL, 2))

    def test_a_stalled_version_is_skipped_for_an_older_one(self) -> None:
        """The origin goes down as a second version is named; the first is completely fetched."""
        name_version(self.fleet_state, 2, 20)
        name_version(self.fleet_state, 3, 21)
        self.keeper.stalled_until_s[3] = time.monotonic() + 1.0
        self.assertEqual(2, self.keeper.target(MODEL, 1))
        self.assertEqual(3, self.keeper.target(MODEL, 2))

    def test_pieces_fetched_before_another_version_was_tried_are_kept(self) -> None:
        """Two versions are named in quick succession, then the origin goes down."""
        name_version(self.fleet_state, 2, 20)
        self.set_fetched(2, 5)
        name_version(self.fleet_state, 3, 21)
        self.set_fetched(3, 3)
        self.keeper.stalled_until_s[3] = time.monotonic() + 1.0
        self.assertEqual(2, self.keeper.target(MODEL, 1))
        self.assertEqual(5, len(self.keeper.stager(MODEL, 2, 1).pieces))
        self.assertEqual(3, len(self.keeper.stager(MODEL, 3, 2).pieces))
        self.assertEqual({2, 3}, {version for _, version in self.keeper.stagers})
        self.keeper.stager(MODEL, 4, 3)
        self.assertEqual({3, 4}, {version for _, version in self.keeper.stagers})

    def test_a_mostly_fetched_version_is_skipped_while_it_is_stalled(self) -> None:
        name_version(self.fleet_state, 2, 20)
        name_version(self.fleet_state, 3, 21)
        self.set_fetched(2, 7)
        self.keeper.stalled_until_s[2] = time.monotonic() + 1.0
        self.assertEqual(3, self.keeper.target(MODEL, 1))

    def test_an_older_version_never_replaces_a_newer_one(self) -> None:
        name_version(self.fleet_state, 2, 20)
        self.assertEqual(3, self.keeper.target(MODEL, 3))


class DrainTest(unittest.IsolatedAsyncioTestCase):
    """An engine whose turn has come, with requests in flight and pieces that are late."""

    def setUp(self) -> None:
        self.fleet_state = engines(1)
        name_version(self.fleet_state, 2, 20)
        named = self.fleet_state.versions[MODEL][0]
        earliest_named_at_s = named.earliest_named_at_s - BOUNDS.version_in_force_s
        self.fleet_state.versions[MODEL][0] = named._replace(
            earliest_named_at_s=earliest_named_at_s
        )
        network: dict[str, FakeMesh] = {}
        mesh: Mesh = FakeMesh(entry_peer("side", "bac-a"), network)  # type: ignore[assignment]
        self.engine = FakeEngine()
        upstream = next(iter(self.fleet_state.upstreams.values()))
        address = f"{upstream.host}:{upstream.port}"
        self.watch = EngineWatch(mesh, self.engine, address)
        schedule = SwitchSchedule(self.fleet_state, BOUNDS.version_in_force_s)
        self.keeper = VersionKeeper(mesh, self.fleet_state, schedule, self.watch, ENGINES)
        layers = (LoadedLayers(MODEL, 1, 0, LAYERS),)
        self.watch.report = EngineReport(layers, False, 0, 0, 9, 1, 1.0)
        self.published_switching: list[bool] = []
        self.watch.publish_state = lambda force=False: self.published_switching.append(  # type: ignore[method-assign]
            self.watch.is_switching
        )

    async def run_switch(self, stager: Stager, seconds: float) -> bool:
        """Run the switch to version 2 for ``seconds``; return whether it was ordered."""
        self.keeper.stagers[MODEL, 2] = stager
        traits = self.keeper.traits()
        assert traits is not None
        switching = asyncio.create_task(self.keeper.switch_to(MODEL, 2, traits))
        await asyncio.wait({switching}, timeout=seconds)
        await end_task(switching)
        return bool(self.engine.loaded)

    async def test_an_engine_keeps_serving_while_no_piece_arrives(self) -> None:
        """The origin is down when the engine's turn comes."""
        stager = Stager(self.keeper.mesh, self.keeper.stage, MODEL, 2)

        async def fetch() -> None:
            await asyncio.sleep(60)

        stager.fetch = fetch  # type: ignore[method-assign]
        self.assertFalse(await self.run_switch(stager, 0.6))
        self.assertNotIn(True, self.published_switching)

    async def test_an_engine_serves_again_if_the_last_pieces_do_not_arrive(self) -> None:
        """The origin goes down before the last pieces of a version are fetched."""
        stager = Stager(self.keeper.mesh, self.keeper.stage, MODEL, 2)

        async def fetch() -> None:
            stager.fetched, stager.remaining = 63, 1
            stager.fetch_started_at_s = time.monotonic() - 4.0
            stager.progress_at_s = time.monotonic()
            await asyncio.sleep(60)

        stager.fetch = fetch  # type: ignore[method-assign]
        self.assertFalse(await self.run_switch(stager, 1.2))
        self.assertEqual([True, False], self.published_switching[:2])
        self.assertLessEqual(self.published_switching.count(True), 1)

    async def test_a_resumed_version_is_not_stalled_at_once(self) -> None:
        name_version(self.fleet_state, 3, 21)
        self.keeper.stalled_until_s[3] = time.monotonic() + 60.0
        stager = Stager(self.keeper.mesh, self.keeper.stage, MODEL, 2)
        stager.progress_at_s = time.monotonic() - 10.0

        async def fetch() -> None:
            await asyncio.sleep(60)

        stager.fetch = fetch  # type: ignore[method-assign]
        await self.run_switch(stager, 0.3)
        self.assertNotIn(2, self.keeper.stalled_until_s)

    async def test_an_engine_switches_once_its_pieces_are_fetched(self) -> None:
        stager = Stager(self.keeper.mesh, self.keeper.stage, MODEL, 2)
        digests = (await FakeOrigin().piece_list(MODEL, 2)).digests
        stager.digests = digests
        stager.pieces = {number: piece_of(2, number) for number in range(len(digests))}
        self.assertTrue(await self.run_switch(stager, 1.2))
        self.assertEqual(stager.pieces, self.engine.loaded[0])


class LateOrderTest(unittest.IsolatedAsyncioTestCase):
    # Guards against a sidecar that restarts while an accepted order is still to be carried out.
    async def test_a_late_order_and_a_restart_end_on_the_wanted_version_with_whole_pieces(
        self,
    ) -> None:
        fleet_state = engines(1)
        name_version(fleet_state, 2, 20)
        named = fleet_state.versions[MODEL][0]
        due_s = named.earliest_named_at_s - BOUNDS.version_in_force_s
        fleet_state.versions[MODEL][0] = named._replace(earliest_named_at_s=due_s)
        engine = LateEngine(late_s=0.8)
        engine.version = 1
        digests = (await FakeOrigin().piece_list(MODEL, 2)).digests
        pieces = {number: piece_of(2, number) for number in range(len(digests))}
        for run_s in (0.6, 3.0):
            keeper = keeper_of(fleet_state, engine)
            stager = keeper.stager(MODEL, 2, 1)
            stager.digests, stager.pieces = digests, dict(pieces)
            tasks = [asyncio.create_task(work) for work in (keeper.watch.run(), keeper.run())]
            await asyncio.sleep(run_s)
            for task in tasks:
                await end_task(task)
        self.assertEqual(2, engine.version)
        report = keeper.watch.report
        assert report is not None
        self.assertEqual(2, report.layers[0].version)
        self.assertFalse(keeper.watch.is_busy())
        self.assertEqual([pieces] * len(engine.loaded), engine.loaded)
        self.assertLess(len(engine.loaded), ORDERS_MAX)


def keeper_of(fleet_state: FleetState, engine: Engine) -> VersionKeeper:
    """Return the keeper of a sidecar that has just started beside the engine."""
    mesh: Mesh = FakeMesh(entry_peer("side", "bac-a"), {})  # type: ignore[assignment]
    upstream = next(iter(fleet_state.upstreams.values()))
    watch = EngineWatch(mesh, engine, f"{upstream.host}:{upstream.port}")
    watch.publish_state = lambda force=False: None  # type: ignore[method-assign]
    schedule = SwitchSchedule(fleet_state, BOUNDS.version_in_force_s)
    return VersionKeeper(mesh, fleet_state, schedule, watch, ENGINES)


class TurnsTest(unittest.TestCase):
    def turns(self, fleet_state: FleetState) -> list[float]:
        """Return the times of the turns in seconds from now, in order."""
        found = SwitchSchedule(fleet_state, BOUNDS.version_in_force_s).turns(ENGINES)
        return sorted(turn.at_s - boot_time_s() for turn in found.values())

    def test_turns_are_spread_within_the_time_limit_of_the_version(self) -> None:
        fleet_state = engines(8)
        name_version(fleet_state, 2, 20)
        found = self.turns(fleet_state)
        bound_s = BOUNDS.version_in_force_s
        self.assertAlmostEqual(FIRST_TURN_SHARE * bound_s, found[0], delta=0.2)
        self.assertLess(found[-1], LAST_TURN_SHARE * bound_s)
        steps = [second - first for first, second in zip(found, found[1:], strict=False)]
        self.assertLess(max(steps) - min(steps), 0.01)

    def test_neighbours_in_the_order_are_of_different_zones(self) -> None:
        fleet_state = engines(3)
        for number in (4, 5, 6):
            apply_records(fleet_state, engine_record(number, 10 + number, zone="nam-a"))
        name_version(fleet_state, 2, 30)
        found = SwitchSchedule(fleet_state, BOUNDS.version_in_force_s).turns(ENGINES)
        order = sorted(found, key=lambda address: found[address].at_s)
        zones = [int(address.split(":")[0].rsplit(".", 1)[1]) > 3 for address in order]
        self.assertTrue(
            all(first != second for first, second in zip(zones, zones[1:], strict=False))
        )

    # Guards against turns at no time: a process that has just started knows no time of the naming.
    def test_the_turns_of_a_version_named_at_an_unknown_time_are_over(self) -> None:
        fleet_state = engines(4)
        name_version(fleet_state, 2, 20)
        named = fleet_state.versions[MODEL][0]
        fleet_state.versions[MODEL][0] = named._replace(earliest_named_at_s=float("-inf"))
        self.assertEqual([True] * 4, [left_s < 0.0 for left_s in self.turns(fleet_state)])

    def test_a_second_version_does_not_extend_the_time_limit_of_the_first(self) -> None:
        fleet_state = engines(4)
        name_version(fleet_state, 2, 20)
        first = fleet_state.versions[MODEL][0]
        fleet_state.versions[MODEL][0] = first._replace(
            earliest_named_at_s=first.earliest_named_at_s - 2.0
        )
        name_version(fleet_state, 3, 21)
        due_s = LAST_TURN_SHARE * BOUNDS.version_in_force_s - 2.0
        self.assertLessEqual(self.turns(fleet_state)[-1], due_s + 0.1)


class HolderTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_sidecar_of_the_zone_is_tried_before_the_origin(self) -> None:
        """An empty engine is added while sidecars of its zone have the version."""
        network: dict[str, FakeMesh] = {}
        origin = FakeOrigin()
        entry = FakeMesh(entry_peer("front-bac-a-1", "bac-a"), network)
        cache = cache_of(entry, fleet_state_of(configuration_record()), origin)
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
        self.assertEqual([], origin.fetched_pieces)
