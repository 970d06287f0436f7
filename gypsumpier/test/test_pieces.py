"""Tests of the transfer of pieces from the origin to an engine, up to the order to switch."""

import asyncio
import functools
import unittest
from collections import Counter
from typing import Any

from gypsumpier.errors import GypsumpierError
from gypsumpier.mesh.peer import Peer
from gypsumpier.sidecar.stager import Place, Stager, source_count
from gypsumpier.test.builders_platform import (
    apply_records,
    configuration_record,
    fleet_state_of,
    record,
)
from gypsumpier.test.fakes_piece import (
    PIECES,
    FakeEngine,
    FakeMesh,
    cache_of,
    entry_peer,
    owned_stage,
    piece_of,
)
from gypsumpier.test.meshnode import wait_until
from gypsumpier.test.piecefleet import PieceFleet


class PiecesTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.fleet = PieceFleet()

    async def test_one_copy_is_fetched_for_all_entries(self) -> None:
        wanted = [cache.piece("m", 2, n) for n in range(PIECES) for cache in self.fleet.caches]
        contents = await asyncio.gather(*wanted)
        self.assertEqual({piece_of(2, n) for n in range(PIECES)}, set(contents))
        self.assertEqual(list(range(PIECES)), sorted(self.fleet.origin.fetched_pieces))

    async def test_a_version_named_before_a_restart_is_not_prefetched_by_every_entry(
        self,
    ) -> None:
        """All machines lose power, and each entry starts without knowing the others.

        Each would then fetch a whole copy over the slow link of the origin.
        """
        wanted = record("op/version/m", {"model": "m", "version": 2}, 2)
        for cache in self.fleet.caches:
            cache.fleet_state = fleet_state_of(configuration_record(), wanted)
            cache.prefetch_new_versions()
        await asyncio.sleep(0.05)
        self.assertEqual([], self.fleet.origin.fetched_pieces)

    async def test_a_newly_named_version_is_fetched_once(self) -> None:
        wanted = record("op/version/m", {"model": "m", "version": 2}, 2)
        for cache in self.fleet.caches:
            apply_records(cache.fleet_state, wanted)
            cache.prefetch_new_versions()
        await wait_until(lambda: not any(cache.fetch_tasks for cache in self.fleet.caches))
        self.assertEqual(list(range(PIECES)), sorted(self.fleet.origin.fetched_pieces))

    async def test_a_version_survives_the_loss_of_the_origin_and_the_entry_that_fetched_it(
        self,
    ) -> None:
        """A version is named, the origin crashes, then entries are stopped one after the other."""
        wanted = record("op/version/m", {"model": "m", "version": 2}, 2)
        for cache in self.fleet.caches:
            apply_records(cache.fleet_state, wanted)
            cache.prefetch_new_versions()
        await wait_until(lambda: not any(cache.fetch_tasks for cache in self.fleet.caches))
        self.fleet.origin.down = True
        del self.fleet.network["front-bac-a-0"]
        await self.fleet.stager().fetch()
        self.assertTrue(self.fleet.is_staged())

    async def test_an_entry_without_peers_waits_for_one_before_it_uses_the_origin(self) -> None:
        """After the loss of power of all machines, a sidecar asks the first entry that is up."""
        others = {
            name: mesh for name, mesh in self.fleet.network.items() if name != "front-bac-a-0"
        }
        self.fleet.network.clear()
        self.fleet.network["front-bac-a-0"] = self.fleet.meshes[0]
        self.fleet.origin.fetched_pieces.clear()
        asked = asyncio.create_task(self.fleet.caches[3].piece("m", 2, 0))
        await asyncio.sleep(0.1)
        self.fleet.network.update(others)
        await asked
        self.assertEqual([0], self.fleet.origin.fetched_pieces)

    async def test_a_sidecar_gets_every_piece_staged(self) -> None:
        await self.fleet.stager().fetch()
        self.assertTrue(self.fleet.is_staged())
        self.assertEqual(PIECES, len(self.fleet.origin.fetched_pieces))

    # Guards against one entry whose link carries a copy for each engine of a large zone.
    async def test_the_engines_of_a_large_zone_draw_from_several_entries(self) -> None:
        for number in range(2, 6):
            mesh = FakeMesh(entry_peer(f"front-nam-a-{number}", "nam-a"), self.fleet.network)
            self.fleet.caches.append(cache_of(mesh, self.fleet.fleet_state, self.fleet.origin))
        asked: Counter[str] = Counter()
        for rank in range(12):
            engine = FakeEngine()
            own = Peer(f"side-nam-a-{rank}", "sidecar", "nam-a", "nam", "127.0.0.1", 0, "run")
            sidecar: Any = FakeMesh(own, self.fleet.network)
            stage = owned_stage(engine, "m", 2)
            await Stager(sidecar, stage, "m", 2, functools.partial(Place, rank, 12)).fetch()
            self.assertEqual(PIECES, len(engine.pieces))
            asked.update(set(sidecar.requested_peers))
        self.assertEqual([4, 4, 4], sorted(asked.values()))
        self.assertEqual(PIECES, len(self.fleet.origin.fetched_pieces))

    def test_few_engines_draw_from_one_entry_and_many_from_several(self) -> None:
        counts = [source_count(engines) for engines in (1, 2, 4, 6, 12, 24, 333)]
        self.assertEqual([1, 1, 1, 2, 3, 5, 19], counts)

    async def test_a_corrupt_piece_of_the_origin_is_fetched_again(self) -> None:
        self.fleet.origin.bad = {3, 7}
        await self.fleet.stager().fetch()
        self.assertTrue(self.fleet.is_staged())

    async def test_an_entry_that_does_not_answer_is_skipped(self) -> None:
        first, second = self.fleet.meshes[2].own.name, self.fleet.meshes[0].own.name
        self.fleet.sidecar.cut = {first}
        for mesh in self.fleet.meshes:
            mesh.cut = {first, second}
        await self.fleet.stager().fetch()
        self.assertTrue(self.fleet.is_staged())

    async def test_without_any_source_nothing_is_staged_and_the_error_is_coded(self) -> None:
        self.fleet.origin.down = True
        with self.assertRaises(GypsumpierError):
            await self.fleet.stager().fetch()
        self.assertEqual({}, self.fleet.engine.pieces)

    async def test_pieces_staged_at_the_engine_are_not_fetched_again(self) -> None:
        await self.fleet.stager().fetch()
        self.fleet.sidecar.requested_peers.clear()
        await self.fleet.stager().fetch()
        self.assertEqual(1, len(self.fleet.sidecar.requested_peers), "only the list of digests")

    async def test_pieces_in_memory_are_staged_again_at_an_engine_that_lost_them(self) -> None:
        stager = self.fleet.stager()
        await stager.fetch()
        self.fleet.engine.pieces.clear()
        self.fleet.sidecar.requested_peers.clear()
        await stager.fetch()
        await stager.restage_bad()
        self.assertEqual((True, []), (self.fleet.is_staged(), self.fleet.sidecar.requested_peers))

    async def test_pieces_of_an_older_version_are_replaced(self) -> None:
        await self.fleet.stager(1).fetch()
        await self.fleet.stager(2).fetch()
        self.assertTrue(self.fleet.is_staged(2))

    async def test_corrupt_staged_pieces_are_staged_again_before_the_order(self) -> None:
        self.fleet.engine.corrupt_when_staged = {0, 5}
        stager = self.fleet.stager()
        await stager.fetch()
        self.assertFalse(self.fleet.is_staged())
        self.assertEqual(2, await stager.restage_bad())
        self.assertEqual(0, await stager.restage_bad())
        self.assertTrue(self.fleet.is_staged())

    async def test_older_versions_are_evicted(self) -> None:
        cache = self.fleet.caches[0]
        for version in (1, 2, 3, 4):
            await cache.piece("m", version, 0)
        self.assertEqual({2, 3, 4}, {key[1] for key in cache.pieces})
