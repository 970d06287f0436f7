"""Tests of switching versions: order of loads and unloads, turns, fencing, stale agents."""

import asyncio
import unittest

from gypsumpier.codes.weight import AGENT_SUPERSEDED, DECISION_TOO_OLD
from gypsumpier.errors import GypsumpierError
from gypsumpier.external.engine import LiveModel
from gypsumpier.options import Options
from gypsumpier.test.builders import agent
from gypsumpier.test.fakes_weight import FakeDocuments, FakeEngine, FakeMembers
from gypsumpier.test.fleet import CHUNK_BYTES, MODEL, Fleet, FleetAgent
from gypsumpier.test.virtual import VirtualClock, virtual
from gypsumpier.weight.decider import Decider
from gypsumpier.weight.order import Decision, Orders, fence

SIZE = 32 * CHUNK_BYTES


async def live_fleet(count: int) -> Fleet:
    """Return a fleet that serves v1, with v2 and v3 published."""
    fleet = Fleet({"bac": count})
    for seed, version in enumerate(["v1", "v2", "v3"]):
        fleet.publish(version, SIZE, seed)
    await fleet.start()
    fleet.name("v1")
    await fleet.wait_live("v1")
    return fleet


class SwitchTest(unittest.TestCase):
    @virtual
    async def test_the_old_version_serves_until_the_new_one_is_reported_live(self) -> None:
        fleet = await live_fleet(4)
        fleet.store.bytes_per_s = SIZE / 4
        fleet.name("v2")
        while not all(one.is_live("v2") for one in fleet.agents):
            self.assertTrue(all(one.engine.versions() for one in fleet.agents))
            await asyncio.sleep(0.01)
        for one in fleet.agents:
            acts = [(act, order.version) for act, order in one.engine.orders]
            self.assertEqual([("load", "v1"), ("load", "v2"), ("unload", "v1")], acts)
        await fleet.stop()

    @virtual
    async def test_engines_without_memory_leave_service_in_turn_within_the_bound(self) -> None:
        for bound in (1, 2):
            fleet = await live_fleet(6)
            for one in fleet.agents:
                one.engine.memory_bytes = SIZE + SIZE // 2
            await asyncio.sleep(1)
            fleet.name("v2", max_unavailable=bound)
            most_out = 0
            while not all(one.is_live("v2") for one in fleet.agents):
                out = sum(not one.engine.versions() for one in fleet.agents)
                most_out = max(most_out, out)
                await asyncio.sleep(0.01)
            self.assertEqual(bound, most_out)
            self.assertEqual(0, fleet.bad_loads())
            await fleet.stop()

    @virtual
    async def test_an_unreachable_neighbour_counts_as_unavailable(self) -> None:
        fleet = await live_fleet(4)
        for one in fleet.agents:
            one.engine.memory_bytes = SIZE + SIZE // 2
        dead = fleet.agents.pop()
        await dead.kill()
        await asyncio.sleep(30)
        fleet.name("v2", max_unavailable=1)
        await asyncio.sleep(60)
        self.assertTrue(all(one.is_live("v1") or one.engine.versions() for one in fleet.agents))
        self.assertEqual([["v1"]] * 3, [one.engine.versions() for one in fleet.agents])
        fleet.list_members()
        await fleet.wait_live("v2")
        await fleet.stop()

    @virtual
    async def test_two_versions_are_live_side_by_side_and_one_leaves(self) -> None:
        fleet = await live_fleet(3)
        fleet.name("v1", "v2")
        await asyncio.sleep(10)
        for one in fleet.agents:
            self.assertEqual(["v1", "v2"], sorted(one.engine.versions()))
        fleet.name("v2")
        await fleet.wait_live("v2")
        await fleet.stop()

    @virtual
    async def test_an_engine_that_refuses_to_load_keeps_the_old_version(self) -> None:
        fleet = await live_fleet(2)
        for one in fleet.agents:
            one.engine.highest_fence = 1 << 60
        fleet.name("v2")
        await asyncio.sleep(20)
        self.assertEqual([["v1"]] * 2, [one.engine.versions() for one in fleet.agents])
        view = next(view for view in fleet.agents[0].rollout.transfers())
        self.assertIn("order_fenced", view.reason)
        await fleet.stop()

    @virtual
    async def test_a_wrong_content_is_unloaded_and_loaded_again(self) -> None:
        fleet = await live_fleet(1)
        engine = fleet.agents[0].engine
        stage = engine.stage

        async def stage_zeros(digest: str, path: str, offset: int, content: bytes) -> None:
            await stage(digest, path, offset, b"\0" * len(content))

        engine.stage = stage_zeros  # type: ignore[method-assign]
        fleet.name("v2")
        await asyncio.sleep(5)
        engine.stage = stage  # type: ignore[method-assign]
        await fleet.wait_live("v2")
        self.assertGreater(engine.bad_loads, 0)
        await fleet.stop()


class StaleAgentTest(unittest.TestCase):
    @virtual
    async def test_a_resumed_agent_sends_no_order_decided_before_its_pause(self) -> None:
        for fencing in (True, False):
            fleet = await live_fleet(1)
            one = fleet.agents[0]
            one.engine.fencing = fencing
            fleet.name("v2")
            await self.wait_until_nearly_held(one)
            orders = len(one.engine.orders)
            # The process is paused for a minute before its next step; the document changes later.
            one.clock.paused_s += 60.0
            await asyncio.sleep(1)
            self.assertEqual(orders, len(one.engine.orders))
            fleet.name("v3")
            await fleet.wait_live("v3")
            self.assertNotIn("v2", [order.version for _, order in one.engine.orders])
            await fleet.stop()

    async def wait_until_nearly_held(self, one: FleetAgent) -> None:
        """Wait until at most two chunks of v2 are missing."""
        while True:
            views = [view for view in one.rollout.transfers() if view.version == "v2"]
            if views and views[0].chunks and views[0].chunks_held >= views[0].chunks - 2:
                return
            await asyncio.sleep(0.001)

    @virtual
    async def test_an_old_decision_is_dropped(self) -> None:
        clock = VirtualClock()
        engine = FakeEngine()
        orders = Orders(clock, engine)
        made = Decision(1, clock.monotonic(), "test")
        await asyncio.sleep(3)
        with self.assertRaises(GypsumpierError) as caught:
            await orders.load(made, MODEL, "v1", "digest")
        self.assertEqual(DECISION_TOO_OLD, caught.exception.code)
        self.assertEqual([], engine.orders)

    @virtual
    async def test_a_resumed_replaced_agent_is_fenced_or_stops_by_itself(self) -> None:
        fleet = await live_fleet(1)
        old = fleet.agents[0]
        engine = old.engine
        orders = old.rollout.orders
        await asyncio.sleep(2)
        newer = fence(1, orders.started_wall_s + 10)
        engine.highest_fence = newer
        made = Decision(1, old.clock.monotonic(), "test")
        with self.assertRaises(GypsumpierError):
            await orders.load(made, MODEL, "v2", "digest")
        member = old.member()._replace(incarnation="successor")
        fleet.members.listed = [member]
        with self.assertRaises(GypsumpierError) as caught:
            old.rollout.decider.decide("test")
        self.assertEqual(AGENT_SUPERSEDED, caught.exception.code)
        await fleet.stop()

    @virtual
    async def test_a_stale_list_that_shows_the_predecessor_does_not_stop_the_agent(self) -> None:
        members = FakeMembers()
        members.listed = [agent(incarnation="predecessor")]
        options = Options(name=members.listed[0].name, incarnation="own")
        options.service = members.listed[0].service
        decider = Decider(options, VirtualClock(), FakeDocuments(), members)
        decider.decide("the list still shows the predecessor")
        members.listed = [agent(incarnation="own")]
        decider.decide("listed")
        members.listed = [agent(incarnation="successor")]
        with self.assertRaises(GypsumpierError) as caught:
            decider.decide("replaced")
        self.assertEqual(AGENT_SUPERSEDED, caught.exception.code)

    def test_fences_increase_with_the_revision_first_and_the_start_second(self) -> None:
        self.assertLess(fence(1, 2_000_000_000.0), fence(2, 1_000_000_000.0))
        self.assertLess(fence(2, 1_000_000_000.0), fence(2, 1_000_000_001.0))

    @virtual
    async def test_a_version_named_again_in_mid_retirement_is_not_unloaded(self) -> None:
        fleet = await live_fleet(1)
        one = fleet.agents[0]
        retirement = SlowRetirement()
        one.rollout.unloads.retirement = retirement
        fleet.name("v2")
        while not retirement.retired:
            await asyncio.sleep(0.1)
        fleet.name("v1", "v2")
        await asyncio.sleep(10)
        self.assertEqual(["v1", "v2"], sorted(one.engine.versions()))
        self.assertEqual(retirement.retired, retirement.restored)
        await fleet.stop()


class SlowRetirement:
    """A retirement that takes 3 seconds and records its calls."""

    def __init__(self) -> None:
        self.retired: list[LiveModel] = []
        self.restored: list[LiveModel] = []

    async def retire(self, live: LiveModel) -> None:
        """Record the call and wait, as for running requests."""
        self.retired.append(live)
        await asyncio.sleep(3)

    def restore(self, live: LiveModel) -> None:
        """Record the call."""
        self.restored.append(live)
