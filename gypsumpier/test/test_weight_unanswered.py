"""Tests of calls to an engine that get no answer and take effect later."""

import asyncio
import unittest
from typing import Final

from gypsumpier.codes.platform import (
    ORDER_FENCED,
    PLATFORM_BAD_ANSWER,
    PLATFORM_REFUSED,
    PLATFORM_UNREACHABLE,
)
from gypsumpier.codes.weight import AGENT_SUPERSEDED, DECISION_TOO_OLD
from gypsumpier.errors import GypsumpierError, NotSentError
from gypsumpier.external.engine import LiveModel, LoadOrder
from gypsumpier.external.http import CALL_TIMEOUT_S
from gypsumpier.test.fleet import CHUNK_BYTES, Fleet, FleetAgent
from gypsumpier.test.lateengine import LateEngine
from gypsumpier.test.virtual import run, virtual
from gypsumpier.weight.order import may_take_effect

SIZE: Final = 32 * CHUNK_BYTES
SETTLED_S: Final = 120.0
"""Time after which every call of a test has taken effect and every retry is over."""


class WatchedRetirement:
    """The contents that are offered to requests; retiring one takes ``retire_s``."""

    def __init__(self) -> None:
        self.retire_s = 1.0
        self.retired: set[LiveModel] = set()

    async def retire(self, live: LiveModel) -> None:
        """Stop offering the content and wait, as for running requests."""
        self.retired.add(live)
        await asyncio.sleep(self.retire_s)

    def restore(self, live: LiveModel) -> None:
        """Offer the content again."""
        self.retired.discard(live)


class WatchedEngine(LateEngine):
    """An engine that counts the contents that were unloaded although they were offered."""

    def __init__(self, retirement: WatchedRetirement) -> None:
        super().__init__()
        self.retirement = retirement
        self.unloaded_in_use: list[str] = []
        self.unloaded: list[str] = []

    def accept_order(self, action: str, order: LoadOrder) -> None:
        super().accept_order(action, order)
        content = LiveModel(order.model, order.version, order.digest)
        if action == "unload" and content in self.live:
            self.unloaded.append(order.version)
            if content not in self.retirement.retired:
                self.unloaded_in_use.append(order.version)
        # What is gone is offered again as soon as it is loaded.
        self.retirement.retired &= set(self.live) - {content}


class LateFleet:
    """A fleet of one agent beside a ``WatchedEngine``; v1 is live, v2 and v3 are published."""

    def __init__(self) -> None:
        self.fleet = Fleet({"bac": 1})
        self.retirement = WatchedRetirement()
        self.engine = WatchedEngine(self.retirement)
        self.agent.engine = self.engine
        self.agent.retirement = self.retirement
        self.build()

    @property
    def agent(self) -> FleetAgent:
        """The only agent."""
        return self.fleet.agents[0]

    def build(self) -> None:
        """Make the agent a newly started process beside the same engine."""
        self.agent.documents.callbacks.clear()
        self.agent.rollout = self.agent.build()

    async def start(self) -> None:
        """Start the agent and wait until v1 is live."""
        for seed, version in enumerate(["v1", "v2", "v3"]):
            self.fleet.publish(version, SIZE, seed)
        await self.fleet.start()
        self.fleet.name("v1")
        await self.fleet.wait_live("v1")

    async def restart_agent(self) -> None:
        """Kill the agent and start it again beside the same engine."""
        await self.agent.kill()
        self.retirement.retired.clear()
        self.build()
        self.fleet.list_members()
        await self.agent.start()

    def phases(self) -> dict[str, str]:
        """Return the phase of each named version."""
        return {view.version: view.phase for view in self.agent.rollout.transfers()}

    async def wait_phase(self, version: str, phase: str) -> None:
        """Wait until a version is in that phase."""
        while self.phases().get(version) != phase:
            await asyncio.sleep(0.01)

    async def wait_sent(self, kind: str) -> None:
        """Wait until the late calls of a kind have been sent."""
        while self.engine.late_s[kind]:
            await asyncio.sleep(0.01)

    async def wait_unanswered(self, count: int) -> None:
        """Wait until that many calls had no answer."""
        while self.engine.unanswered < count:
            await asyncio.sleep(0.01)


class OutcomeTest(unittest.TestCase):
    def test_only_an_order_that_was_refused_or_not_sent_takes_no_effect(self) -> None:
        none = [PLATFORM_REFUSED, ORDER_FENCED, DECISION_TOO_OLD, AGENT_SUPERSEDED]
        for code in none:
            self.assertFalse(may_take_effect(GypsumpierError(code, "test")), code.name)
        self.assertFalse(may_take_effect(NotSentError(PLATFORM_UNREACHABLE, "test")))
        for code in (PLATFORM_UNREACHABLE, PLATFORM_BAD_ANSWER):
            self.assertTrue(may_take_effect(GypsumpierError(code, "test")), code.name)


class LateUnloadTest(unittest.TestCase):
    @virtual
    async def test_a_version_that_is_named_again_before_a_late_unload_is_not_offered(self) -> None:
        # An unload without an answer was taken for one not given, and the version offered again.
        late = LateFleet()
        await late.start()
        late.engine.late_s["unload"] = [CALL_TIMEOUT_S + 2]
        late.fleet.name("v2")
        await late.wait_unanswered(1)
        late.fleet.name("v1", "v2")
        await asyncio.sleep(SETTLED_S)
        self.assertEqual([], late.engine.unloaded_in_use)
        self.assertEqual(["v1", "v2"], sorted(late.engine.versions()))
        self.assertEqual({"v1": "live", "v2": "live"}, late.phases())
        self.assertEqual(0, late.engine.bad_loads)
        await late.fleet.stop()

    @virtual
    async def test_a_version_whose_unload_was_cancelled_is_not_offered(self) -> None:
        # The version that needed the memory was dropped while the unload was on its way.
        late = LateFleet()
        await late.start()
        late.engine.memory_bytes = SIZE + SIZE // 2
        await asyncio.sleep(1)
        late.engine.late_s["unload"] = [3.0]
        late.fleet.name("v2")
        await late.wait_sent("unload")
        late.fleet.name("v1")
        await asyncio.sleep(SETTLED_S)
        self.assertEqual([], late.engine.unloaded_in_use)
        self.assertEqual(["v1"], late.engine.versions())
        self.assertEqual({"v1": "live"}, late.phases())
        self.assertEqual(0, late.engine.bad_loads)
        await late.fleet.stop()

    def test_a_late_unload_does_not_drop_what_is_being_staged_again(self) -> None:
        # A repeated unload took effect while the version was staged again; what was left of it
        # was loaded.
        for step in range(40):
            self.assertEqual(0, run(bad_loads_with_late_unload(step * 0.02)), step)

    @virtual
    async def test_an_unload_that_never_takes_effect_is_ordered_again(self) -> None:
        late = LateFleet()
        await late.start()
        late.engine.late_s["unload"] = [1e6]
        late.fleet.name("v2")
        await asyncio.sleep(SETTLED_S)
        self.assertEqual(["v2"], late.engine.versions())
        await late.fleet.stop()

    @virtual
    async def test_a_version_whose_unload_never_takes_effect_is_offered_again(self) -> None:
        late = LateFleet()
        await late.start()
        late.engine.late_s["unload"] = [1e6]
        late.fleet.name("v2")
        await late.wait_unanswered(1)
        late.fleet.name("v1", "v2")
        await asyncio.sleep(SETTLED_S)
        self.assertEqual(set(), late.retirement.retired)
        self.assertEqual({"v1": "live", "v2": "live"}, late.phases())
        self.assertEqual([], late.engine.unloaded)
        await late.fleet.stop()


async def bad_loads_with_late_unload(delay_s: float) -> int:
    """Return the bad loads where v1 is named again between two unloads of it."""
    late = LateFleet()
    await late.start()
    late.engine.late_s["unload"] = [CALL_TIMEOUT_S + 6 + delay_s]
    late.fleet.name("v2")
    await late.wait_sent("unload")
    await asyncio.sleep(CALL_TIMEOUT_S + 6)
    late.engine.stage_s = 0.02
    late.fleet.name("v1", "v2")
    await asyncio.sleep(SETTLED_S)
    assert late.phases() == {"v1": "live", "v2": "live"}
    await late.fleet.stop()
    return late.engine.bad_loads


class LateLoadTest(unittest.TestCase):
    @virtual
    async def test_a_late_load_does_not_bring_back_a_replaced_content(self) -> None:
        # The content was published anew under its name; both loads had the same fence.
        late = LateFleet()
        await late.start()
        late.agent.options.manifest_interval_s = 1.0
        late.engine.late_s["load"] = [CALL_TIMEOUT_S + 8]
        late.fleet.name("v2")
        await late.wait_unanswered(1)
        await asyncio.sleep(3)
        late.fleet.publish("v2", SIZE, seed=17)
        await asyncio.sleep(SETTLED_S)
        digests = [live.digest for live in late.engine.shown if live.version == "v2"]
        self.assertEqual(late.engine.live[0].digest, digests[-1])
        loaded = [order.digest for act, order in late.engine.orders if act == "load"]
        self.assertEqual(loaded[-1], late.engine.live[0].digest)
        self.assertEqual(1, loaded.count(loaded[-1]), "the new content was replaced once more")
        self.assertEqual({"v2": "live"}, late.phases())
        self.assertEqual(0, late.engine.bad_loads)
        await late.fleet.stop()

    @virtual
    async def test_a_load_without_an_answer_is_not_repeated_after_a_failed_report(self) -> None:
        # A stall of the engine that fails a report as well was taken for its restart.
        late = LateFleet()
        await late.start()
        late.engine.late_s["load"] = [CALL_TIMEOUT_S + 8]
        late.fleet.name("v2")
        await late.wait_sent("load")
        await asyncio.sleep(1)
        late.engine.down = True
        await asyncio.sleep(CALL_TIMEOUT_S + 2)
        late.engine.down = False
        await late.fleet.wait_live("v2")
        await asyncio.sleep(SETTLED_S)
        loaded = [order.version for act, order in late.engine.orders if act == "load"]
        self.assertEqual(["v1", "v2"], loaded)
        await late.fleet.stop()

    @virtual
    async def test_a_load_that_is_lost_with_the_engine_is_not_waited_for(self) -> None:
        late = LateFleet()
        await late.start()
        late.engine.late_s["load"] = [1e6]
        late.fleet.name("v2")
        await late.wait_sent("load")
        await asyncio.sleep(2)
        late.engine.restart()
        self.assertLess(await late.fleet.wait_live("v2"), CALL_TIMEOUT_S + 4)
        await late.fleet.stop()

    @virtual
    async def test_a_late_load_of_a_dropped_version_loads_all_of_it_and_is_undone(self) -> None:
        late = LateFleet()
        await late.start()
        late.engine.late_s["load"] = [3.0]
        late.fleet.name("v2")
        await late.wait_sent("load")
        late.fleet.name("v1")
        await asyncio.sleep(SETTLED_S)
        self.assertEqual(["v1"], late.engine.versions())
        self.assertIn("v2", [live.version for live in late.engine.shown])
        self.assertEqual([], late.engine.unloaded_in_use)
        self.assertEqual(0, late.engine.bad_loads)
        await late.fleet.stop()

    @virtual
    async def test_a_late_load_of_an_older_revision_is_fenced_or_undone(self) -> None:
        for fencing in (True, False):
            late = LateFleet()
            await late.start()
            late.engine.fencing = fencing
            late.engine.late_s["load"] = [CALL_TIMEOUT_S + 8]
            late.fleet.name("v2")
            await late.wait_sent("load")
            late.fleet.name("v3")
            await late.fleet.wait_live("v3")
            await asyncio.sleep(SETTLED_S)
            self.assertEqual(int(fencing), len(late.engine.refused_late))
            shown = [live.version for live in late.engine.shown]
            self.assertEqual(not fencing, "v2" in shown)
            self.assertEqual(["v3"], late.engine.versions())
            self.assertEqual([], late.engine.unloaded_in_use)
            self.assertEqual(0, late.engine.bad_loads)
            await late.fleet.stop()

    @virtual
    async def test_a_load_that_never_takes_effect_is_ordered_again(self) -> None:
        late = LateFleet()
        await late.start()
        late.engine.late_s["load"] = [1e6]
        late.fleet.name("v2")
        await late.fleet.wait_live("v2")
        await late.fleet.stop()


class LateStageTest(unittest.TestCase):
    @virtual
    async def test_a_part_that_is_staged_late_never_spoils_a_content(self) -> None:
        for delay_s in (0.5, CALL_TIMEOUT_S + 0.1, CALL_TIMEOUT_S + 2):
            late = LateFleet()
            await late.start()
            late.engine.late_s["stage"] = [delay_s, delay_s + 1, delay_s + 2]
            late.fleet.name("v2")
            await late.wait_sent("stage")
            late.fleet.name("v3")
            await late.fleet.wait_live("v3")
            late.fleet.name("v2")
            await late.fleet.wait_live("v2")
            await asyncio.sleep(SETTLED_S)
            self.assertEqual(["v2"], late.engine.versions())
            self.assertEqual(0, late.engine.bad_loads)
            await late.fleet.stop()


class WrongContentTest(unittest.TestCase):
    @virtual
    async def test_a_wrong_content_is_staged_again_although_its_unload_had_no_answer(self) -> None:
        # Only an answered unload started the staging anew; the wrong parts were loaded again.
        late = LateFleet()
        await late.start()
        stage = late.engine.stage

        async def stage_zeros(digest: str, path: str, offset: int, content: bytes) -> None:
            await stage(digest, path, offset, b"\0" * len(content))

        late.engine.stage = stage_zeros  # type: ignore[method-assign]
        late.engine.late_s["unload"] = [CALL_TIMEOUT_S + 2]
        late.fleet.name("v2")
        await late.wait_sent("unload")
        late.engine.stage = stage  # type: ignore[method-assign]
        await asyncio.sleep(SETTLED_S)
        self.assertEqual({"v2": "live"}, late.phases())
        self.assertEqual(1, late.engine.bad_loads)
        await late.fleet.stop()


class RestartedAgentTest(unittest.TestCase):
    @virtual
    async def test_a_late_unload_of_a_predecessor_is_fenced_by_an_order_of_its_successor(
        self,
    ) -> None:
        for step in range(20):
            late = LateFleet()
            await late.start()
            late.engine.late_s["unload"] = [8.0 + step * 0.05]
            late.fleet.name("v2")
            await late.wait_sent("unload")
            await late.restart_agent()
            await late.fleet.wait_live("v2")
            late.engine.stage_s = 0.03
            late.fleet.name("v1", "v2")
            await asyncio.sleep(SETTLED_S)
            self.assertEqual(1, len(late.engine.refused_late))
            self.assertEqual({"v1": "live", "v2": "live"}, late.phases())
            self.assertEqual(0, late.engine.bad_loads)
            await late.fleet.stop()

    @virtual
    async def test_a_late_load_of_a_predecessor_loads_a_whole_content(self) -> None:
        for delay_s in (1.0, 2.0, 2.5, 3.0, 4.0, 8.0):
            late = LateFleet()
            await late.start()
            late.engine.late_s["load"] = [delay_s]
            late.fleet.name("v2")
            await late.wait_sent("load")
            late.engine.stage_s = 0.03
            await late.restart_agent()
            await late.fleet.wait_live("v2")
            await asyncio.sleep(SETTLED_S)
            self.assertEqual(0, late.engine.bad_loads)
            await late.fleet.stop()


class OldReportTest(unittest.TestCase):
    @virtual
    async def test_a_report_requested_before_the_last_part_was_staged_is_not_relied_on(
        self,
    ) -> None:
        # The report that was to show a restart had been made before it.
        for restart_s in (0.3, 0.4, 0.5, 0.6, 0.7, 0.8):
            late = LateFleet()
            await late.start()
            late.engine.status_s = 1.5
            late.engine.stage_s = 0.05
            late.fleet.name("v2")
            await asyncio.sleep(restart_s)
            view = late.agent.rollout.transfers()[0]
            self.assertLess(view.chunks_held, view.chunks)
            late.engine.restart()
            await asyncio.sleep(SETTLED_S)
            self.assertEqual({"v2": "live"}, late.phases())
            self.assertEqual(0, late.engine.bad_loads)
            await late.fleet.stop()


class RecheckTest(unittest.TestCase):
    @virtual
    async def test_a_version_named_during_a_slow_unload_of_another_one_is_not_unloaded(
        self,
    ) -> None:
        # All that was replaceable before the first unload was unloaded, also after it.
        late = await fleet_short_of_memory()
        unload = late.engine.unload

        async def unload_slowly(order: LoadOrder) -> None:
            await asyncio.sleep(4)
            await unload(order)

        late.engine.unload = unload_slowly  # type: ignore[method-assign]
        late.fleet.name("v3")
        await late.wait_phase("v3", "drain")
        await asyncio.sleep(3)
        self.assertEqual([], late.engine.unloaded)
        late.fleet.name("v2", "v3")
        await asyncio.sleep(SETTLED_S)
        self.assertEqual(["v1"], late.engine.unloaded)
        self.assertEqual({"v2": "live", "v3": "live"}, late.phases())
        self.assertEqual(set(), late.retirement.retired)
        await late.fleet.stop()

    @virtual
    async def test_a_version_dropped_while_another_one_is_retired_is_retired_itself(self) -> None:
        # What became replaceable during the retirement was unloaded while requests ran on it.
        late = await fleet_short_of_memory()
        late.fleet.name("v2", "v3")
        await late.wait_phase("v3", "drain")
        await asyncio.sleep(0.5)
        late.fleet.name("v3")
        await asyncio.sleep(SETTLED_S)
        self.assertEqual([], late.engine.unloaded_in_use)
        self.assertEqual(["v3"], late.engine.versions())
        await late.fleet.stop()

    @virtual
    async def test_a_load_dropped_as_too_old_is_decided_anew_soon(self) -> None:
        # It was waited for like a load that had been sent, for 30 s.
        late = LateFleet()
        await late.start()
        late.fleet.name("v2")
        while late.phases().get("v2") != "transfer":
            await asyncio.sleep(0.01)
        late.agent.clock.paused_s += 60.0
        self.assertLess(await late.fleet.wait_live("v2"), 8.0)
        await late.fleet.stop()

    @virtual
    async def test_a_version_retired_for_two_reasons_is_offered_only_if_neither_holds(self) -> None:
        # The end of the one retirement offered the version again, in the middle of the other one.
        for retire_s in (1.5, 2.0, 2.5, 3.0, 4.0):
            late = LateFleet()
            await late.start()
            late.retirement.retire_s = retire_s
            late.fleet.name("v2")
            while not late.retirement.retired:
                await asyncio.sleep(0.01)
            late.engine.memory_bytes = 2 * SIZE + SIZE // 2
            late.fleet.name("v2", "v3")
            await asyncio.sleep(SETTLED_S)
            self.assertEqual([], late.engine.unloaded_in_use)
            self.assertEqual({"v2": "live", "v3": "live"}, late.phases())
            self.assertEqual(["v1"], late.engine.unloaded)
            await late.fleet.stop()


async def fleet_short_of_memory() -> LateFleet:
    """Return a fleet with v1 and v2 live, whose engine has no space for a third version."""
    late = LateFleet()
    await late.start()
    late.fleet.name("v1", "v2")
    await asyncio.sleep(10)
    late.engine.memory_bytes = 2 * SIZE + SIZE // 2
    await asyncio.sleep(1)
    return late
