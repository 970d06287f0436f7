"""Transfers over a whole fleet in virtual time: bytes read from the store, and faults."""

import asyncio
import unittest
from typing import Final
from unittest.mock import patch

from gypsumpier.test.fakes_weight import FakeStore
from gypsumpier.test.fleet import CHUNK_BYTES, Fleet
from gypsumpier.test.network import MemoryStream
from gypsumpier.test.virtual import virtual

SIZE: Final = 96 * CHUNK_BYTES
THREE_REGIONS: Final = {"bac": 3, "trung": 3, "nam": 3}
SLOW_LINK_BYTES_PER_S: Final = 12 * CHUNK_BYTES
ONE_COPY: Final = 1.01
IDLE_S: Final = 60.0
IDLE_BYTES_PER_S: Final = 3000.0


async def begin(fleet: Fleet, version: str = "v1") -> None:
    """Start the fleet and the transfer of one version."""
    fleet.publish(version, SIZE)
    await fleet.start()
    fleet.name(version)


async def held(fleet: Fleet, share: float) -> None:
    """Wait until the agents together hold that share of all chunks."""
    while True:
        views = [view for agent in fleet.agents for view in agent.rollout.transfers()]
        whole = sum(view.chunks for view in views)
        if whole and sum(view.chunks_held for view in views) >= share * whole:
            return
        await asyncio.sleep(0.05)


def copies(store: FakeStore) -> float:
    """Return how many copies of the version were read from the store."""
    return store.bytes_read / SIZE


def agents_in(fleet: Fleet, region: str) -> list[str]:
    """Return the hosts of a region's agents."""
    return [agent.host for agent in fleet.agents if agent.options.region == region]


class FleetTest(unittest.TestCase):
    async def finish(self, fleet: Fleet) -> None:
        """Check that no load was partial or mixed, and stop the fleet."""
        self.assertEqual(0, fleet.bad_loads())
        await fleet.stop()

    @virtual
    async def test_without_faults_one_copy_leaves_the_origin_and_one_enters_each_region(
        self,
    ) -> None:
        fleet = Fleet(
            THREE_REGIONS,
            region_link_bytes_per_s=SLOW_LINK_BYTES_PER_S,
            store_rate=4 * SLOW_LINK_BYTES_PER_S,
        )
        await begin(fleet)
        took_s = await fleet.wait_live("v1")
        self.assertEqual({1}, set(fleet.store.reads.values()))
        self.assertLessEqual(copies(fleet.store), ONE_COPY)
        views = [(a.options.region, v) for a in fleet.agents for v in a.rollout.transfers()]
        for region in ("trung", "nam"):
            entered = sum(v.from_other_regions_bytes for r, v in views if r == region)
            self.assertLessEqual(entered / SIZE, ONE_COPY)
        self.assertEqual(0, sum(view.wasted_bytes for _, view in views))
        # Both links into a remote region are used at the same time, each at its share for weights.
        self.assertLess(took_s, 1.3 * SIZE / (2 * 0.8 * SLOW_LINK_BYTES_PER_S))
        await self.finish(fleet)

    @virtual
    async def test_chunks_that_two_versions_share_are_not_read_twice(self) -> None:
        fleet = Fleet({"bac": 4})
        await begin(fleet)
        await fleet.wait_live("v1")
        drawn = fleet.store.bytes_read
        fleet.publish("v2", SIZE)
        fleet.name("v2")
        await fleet.wait_live("v2")
        self.assertLess(fleet.store.bytes_read - drawn, CHUNK_BYTES)
        await self.finish(fleet)

    @virtual
    async def test_importers_die_in_mid_transfer(self) -> None:
        fleet = Fleet({"bac": 8}, store_rate=SLOW_LINK_BYTES_PER_S)
        await begin(fleet)
        await held(fleet, 0.3)
        dead, fleet.agents = fleet.agents[:3], fleet.agents[3:]
        for agent in dead:
            await agent.kill()
        # The member list still shows the dead agents.
        await fleet.wait_live("v1")
        self.assertLess(copies(fleet.store), 1.5)
        await self.finish(fleet)

    @virtual
    async def test_peers_stall_partway_with_their_connections_open(self) -> None:
        fleet = Fleet({"bac": 6}, store_rate=SLOW_LINK_BYTES_PER_S)
        await begin(fleet)
        await held(fleet, 0.3)
        silent = fleet.agents.pop()
        for link in fleet.network.links:
            link.silent = silent.host in (link.source, link.target)
        await fleet.wait_live("v1")
        await silent.kill()
        self.assertLess(copies(fleet.store), 1.5)
        await self.finish(fleet)

    @virtual
    async def test_a_peer_sends_corrupt_chunks(self) -> None:
        fleet = Fleet({"bac": 6})
        bad = fleet.agents[0].rollout.context.cache
        put = bad.put
        bad.put = lambda digest, content: put(digest, b"x" * len(content))  # type: ignore
        await begin(fleet)
        fleet.agents = fleet.agents[1:]
        await fleet.wait_live("v1")
        views = [view for agent in fleet.agents for view in agent.rollout.transfers()]
        self.assertGreater(sum(view.corrupt_chunks for view in views), 0)
        await self.finish(fleet)

    @virtual
    async def test_the_store_sends_corrupt_chunks_and_the_origin_replaces_them(self) -> None:
        fleet = Fleet({"bac": 4}, with_origin=True)
        fleet.store.corrupt_reads = 10
        await begin(fleet)
        await fleet.wait_live("v1")
        views = [view for agent in fleet.agents for view in agent.rollout.transfers()]
        self.assertGreater(sum(view.corrupt_chunks for view in views), 0)
        self.assertGreater(sum(view.from_origin_bytes for view in views), 0)
        await self.finish(fleet)

    @virtual
    async def test_a_rate_refusal_of_the_store_does_not_cause_reads_by_all_agents(self) -> None:
        fleet = Fleet({"bac": 6})
        await begin(fleet)
        await held(fleet, 0.1)
        fleet.store.refusal_retry_after_s = 5.0
        await asyncio.sleep(30)
        fleet.store.refusal_retry_after_s = 0.0
        await fleet.wait_live("v1")
        self.assertLess(copies(fleet.store), 1.1)
        await self.finish(fleet)

    @virtual
    async def test_the_store_is_down_and_the_origin_serves(self) -> None:
        fleet = Fleet({"bac": 4}, with_origin=True)
        fleet.store.down = True
        await begin(fleet)
        await fleet.wait_live("v1")
        assert fleet.origin is not None
        self.assertLessEqual(copies(fleet.origin), ONE_COPY)
        await self.finish(fleet)

    @virtual
    async def test_the_link_from_the_store_region_is_cut(self) -> None:
        fleet = Fleet(
            THREE_REGIONS,
            region_link_bytes_per_s=SLOW_LINK_BYTES_PER_S,
            store_rate=4 * SLOW_LINK_BYTES_PER_S,
        )
        await begin(fleet)
        await held(fleet, 0.4)
        for one in agents_in(fleet, "bac"):
            for other in agents_in(fleet, "nam"):
                fleet.network.partition(one, other)
        # The whole version can still be imported by way of the third region.
        await fleet.wait_live("v1")
        await self.finish(fleet)

    @virtual
    async def test_a_region_is_cut_off_and_healed(self) -> None:
        fleet = Fleet({"bac": 2, "nam": 2}, region_link_bytes_per_s=SLOW_LINK_BYTES_PER_S)
        pairs = [(a, b) for a in agents_in(fleet, "bac") for b in agents_in(fleet, "nam")]
        cut_off = [agent for agent in fleet.agents if agent.options.region == "nam"]
        lost = FakeStore(CHUNK_BYTES)
        lost.down = True
        await begin(fleet)
        await held(fleet, 0.6)
        for agent in cut_off:
            agent.rollout.context.store_reader.sources[0].store = lost
        for one, other in pairs:
            fleet.network.partition(one, other)
        await asyncio.sleep(120)
        self.assertFalse(any(agent.is_live("v1") for agent in cut_off))
        for one, other in pairs:
            fleet.network.heal(one, other)
        await fleet.wait_live("v1")
        await self.finish(fleet)

    @virtual
    async def test_half_of_the_agents_are_replaced_in_mid_burst(self) -> None:
        fleet = Fleet(
            {"bac": 12},
            store_rate=SLOW_LINK_BYTES_PER_S,
            link_bytes_per_s=2 * SLOW_LINK_BYTES_PER_S,
        )
        await begin(fleet)
        await held(fleet, 0.5)
        for agent in fleet.agents[::2]:
            await agent.replace()
            agent.documents.put(fleet.accepted("v1"))
        await fleet.wait_live("v1")
        self.assertLess(copies(fleet.store), 1.5)
        await self.finish(fleet)

    @virtual
    async def test_idle_agents_send_little_also_after_replacements(self) -> None:
        fleet = Fleet({"bac": 12})
        sent: list[int] = []
        deliver = MemoryStream.deliver

        def count(stream: MemoryStream, content: bytes) -> None:
            sent.append(len(content))
            deliver(stream, content)

        await begin(fleet)
        await fleet.wait_live("v1")
        for agent in fleet.agents[::2]:
            await agent.replace()
        await fleet.wait_live("v1")
        await asyncio.sleep(10)
        with patch.object(MemoryStream, "deliver", count):
            await asyncio.sleep(IDLE_S)
        per_agent = sum(sent) / IDLE_S / len(fleet.agents)
        self.assertLess(per_agent, IDLE_BYTES_PER_S)
        await self.finish(fleet)

    @virtual
    async def test_a_replaced_agent_reads_nothing_from_the_store(self) -> None:
        fleet = Fleet({"bac": 5})
        await begin(fleet)
        await fleet.wait_live("v1")
        drawn = fleet.store.bytes_read
        await fleet.agents[2].replace()
        await fleet.wait_live("v1")
        self.assertEqual(drawn, fleet.store.bytes_read)
        await self.finish(fleet)

    @virtual
    async def test_the_version_changes_under_its_name_in_mid_flight(self) -> None:
        fleet = Fleet({"bac": 5}, store_rate=SLOW_LINK_BYTES_PER_S, manifest_interval_s=10.0)
        await begin(fleet)
        await held(fleet, 0.5)
        old = {view.digest for agent in fleet.agents for view in agent.rollout.transfers()}
        fleet.publish("v1", SIZE, seed=1)
        await asyncio.sleep(30)
        await fleet.wait_live("v1")
        live = {model.digest for agent in fleet.agents for model in agent.engine.live}
        self.assertEqual((1, set()), (len(live), live & old))
        await self.finish(fleet)

    @virtual
    async def test_the_document_changes_twice_during_a_transfer(self) -> None:
        fleet = Fleet({"bac": 5}, store_rate=SLOW_LINK_BYTES_PER_S)
        fleet.publish("v2", SIZE, seed=2)
        fleet.publish("v3", SIZE, seed=3)
        await begin(fleet)
        await fleet.wait_live("v1")
        fleet.name("v2")
        await held(fleet, 0.4)
        fleet.name("v3")
        await held(fleet, 0.4)
        self.assertTrue(all("v1" in agent.engine.versions() for agent in fleet.agents))
        fleet.name("v2")
        await fleet.wait_live("v2")
        await self.finish(fleet)

    @virtual
    async def test_an_engine_restarts_after_and_during_a_transfer(self) -> None:
        fleet = Fleet({"bac": 3}, store_rate=SLOW_LINK_BYTES_PER_S)
        await begin(fleet)
        await held(fleet, 0.5)
        fleet.agents[0].engine.restart()
        await fleet.wait_live("v1")
        fleet.agents[1].engine.restart()
        await asyncio.sleep(1)
        await fleet.wait_live("v1")
        await self.finish(fleet)

    @virtual
    async def test_weights_larger_than_the_memory_of_an_agent(self) -> None:
        fleet = Fleet({"bac": 6}, weight_memory_bytes=SIZE // 3)
        await begin(fleet)
        await fleet.wait_live("v1")
        self.assertLess(copies(fleet.store), 1.5)
        for agent in fleet.agents:
            self.assertLessEqual(agent.rollout.context.cache.used_bytes, SIZE // 3)
        await self.finish(fleet)
