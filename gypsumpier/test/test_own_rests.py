"""Tests of the own interface before upstreams that ask for a rest, or state that they leave."""

import asyncio
import time
import unittest
from typing import Final

from tornado.web import Application

from gypsumpier.agent.application import AgentApplication
from gypsumpier.errors import GypsumpierError
from gypsumpier.external.engine import Completion
from gypsumpier.external.engine_http import HttpEngine
from gypsumpier.external.service import ServiceCall
from gypsumpier.external.service_http import HttpService
from gypsumpier.options import Options
from gypsumpier.statement.statedrest import StatedRest
from gypsumpier.statement.statement import NOTHING_STATED, Statement
from gypsumpier.test.builders_request import (
    MODEL_SERVICE,
    SETTLE_TIME_S,
    World,
    chat_call,
    outcome,
    plain_call,
)
from gypsumpier.test.simulated_entries import simulate
from gypsumpier.test.standin.server import StandinHandler, listen

REST_S: Final = 4.0
RESTING: Final = Statement(rest=StatedRest(REST_S))
AT_ONCE_S: Final = 0.5
STATUS: Final = (
    '{"live": [], "running": 0, "waiting": 0, "capacity": 1, "free_memory_bytes": 0,'
    ' "incarnation": "run-1"}'
)


class NeedyState:
    """An upstream that turns calls away with ``retry_after``, unless that is None."""

    def __init__(self) -> None:
        self.down = False
        self.is_leaving = False
        self.retry_after: str | None = None


class NeedyHandler(StandinHandler):
    """Answers status calls and any other call."""

    def get(self) -> None:
        self.finish(STATUS)

    def post(self) -> None:
        if self.state.retry_after is not None:
            self.set_status(503)
            self.set_header("Retry-After", self.state.retry_after)
            self.finish({})
            return
        self.finish('{"position": 0, "text": "", "finish_reason": "stop", "version": "v1"}\n')


class AdapterTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.state = NeedyState()
        server, port = listen(Application([(r".*", NeedyHandler, {"state": self.state})]))
        self.addCleanup(server.stop)
        url = f"http://127.0.0.1:{port}"
        self.service, self.engine = HttpService(url), HttpEngine(url)
        self.addCleanup(self.service.close)
        self.addCleanup(self.engine.close)
        self.stated: list[Statement] = []
        self.leaving: list[bool] = []
        for client in (self.service, self.engine):
            client.on_statement = lambda statement, sent_at_s: self.stated.append(statement)
            client.on_status = lambda leaves, sent_at_s: self.leaving.append(leaves)

    async def call_both(self) -> list[float | None]:
        """Call the service and the engine; return what the engine's error says of a retry."""
        await self.service.call(ServiceCall("POST", "/x", {}, b"{}"), 2.0)
        try:
            [event async for event in self.engine.complete(Completion("s", "m", "v1", 1, {}))]
        except GypsumpierError as error:
            return [error.retry_after_s]
        return []

    # Guards against an own interface whose upstreams ask for rests in vain.
    async def test_refusals_of_services_and_engines_ask_for_rests(self) -> None:
        self.state.retry_after = "2.5"
        self.assertEqual([2.5], await self.call_both())
        self.assertEqual([Statement(rest=StatedRest(2.5))] * 2, self.stated)

    # Guards against a time without end, or none at all, that is taken for a Retry-After.
    async def test_values_that_are_no_time_are_none(self) -> None:
        for value in ("inf", "nan", "-1", "soon", "9" * 30):
            self.state.retry_after = value
            self.stated.clear()
            self.assertEqual([None], await self.call_both())
            for statement in self.stated:
                self.assertEqual(0.0, statement.rest.seconds)
                self.assertTrue(statement.rest.unreadable)

    # Guards against a leaving that only answers to requests state: none are sent any more.
    async def test_all_answers_state_that_the_upstream_leaves(self) -> None:
        for leaves in (True, False):
            self.state.is_leaving = leaves
            await self.call_both()
            await self.service.healthy()
            await self.engine.status()
            self.assertEqual([Statement(is_leaving=leaves)] * 2, self.stated)
            self.assertEqual([leaves] * 2, self.leaving)
            self.stated.clear()
            self.leaving.clear()


class RestingAgentTest(unittest.TestCase):
    # Guards against requests to an upstream at rest, with and without a key, and late refusals.
    def test_an_upstream_at_rest_runs_nothing_and_requests_are_refused_at_once(self) -> None:
        async def scenario() -> None:
            world = World()
            agent = world.agent("table-ops")
            entry = await world.entry()
            await asyncio.sleep(SETTLE_TIME_S)
            agent.stated.record_answer(RESTING, time.monotonic())
            rest_ends_s = time.monotonic() + REST_S
            number = 0
            while time.monotonic() < rest_ends_s - AT_ONCE_S:
                began_s, number = time.monotonic(), number + 1
                end = await outcome(world, entry, plain_call(world))
                self.assertEqual("upstream_resting", end)
                self.assertLess(time.monotonic() - began_s, AT_ONCE_S)
                keyed = plain_call(world, key=f"key-{number}")
                self.assertNotEqual("go", await outcome(world, entry, keyed))
                await asyncio.sleep(0.2)
            self.assertEqual(0, sum(agent.upstream.runs.values()))
            await asyncio.sleep(rest_ends_s + 0.5 - time.monotonic())
            self.assertEqual("go", await outcome(world, entry, plain_call(world)))

        simulate(scenario())

    # Guards against refusals while other upstreams do not rest.
    def test_requests_go_to_upstreams_that_do_not_rest(self) -> None:
        async def scenario() -> None:
            world = World()
            agents = [world.agent(MODEL_SERVICE, number=number) for number in range(3)]
            entry = await world.entry()
            await asyncio.sleep(SETTLE_TIME_S)
            for agent in agents[:2]:
                agent.stated.record_answer(RESTING, time.monotonic())
            agents[2].upstream.delay_s = 0.01
            for _ in range(20):
                self.assertIn("0 ", await outcome(world, entry, chat_call(world)))
            self.assertEqual(0, sum(sum(agent.upstream.runs.values()) for agent in agents[:2]))

        simulate(scenario())

    # Guards against all that was refused running at once as the rest ends.
    def test_requests_begin_again_one_by_one_after_a_rest(self) -> None:
        async def scenario() -> None:
            world = World()
            agent = world.agent("table-ops")
            entry = await world.entry()
            await asyncio.sleep(SETTLE_TIME_S)
            agent.stated.record_answer(RESTING, time.monotonic())
            await asyncio.sleep(REST_S)
            calls = [outcome(world, entry, plain_call(world)) for _ in range(10)]
            ends = await asyncio.gather(*calls)
            self.assertEqual(1, ends.count("go"))
            self.assertEqual(1, sum(agent.upstream.runs.values()))

        simulate(scenario())


class LeavingAgentTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.agent = AgentApplication(Options(role="agent", name="a", service="table-ops"))
        self.sent_at_s = time.monotonic()

    # Guards against entries that send an upstream new work until its member record says it leaves.
    async def test_an_agent_leaves_while_its_upstream_says_so(self) -> None:
        self.agent.upstream.record_answer(Statement(is_leaving=True), self.sent_at_s)
        self.assertTrue(self.agent.listener.state()["leaving"])
        self.agent.upstream.record_answer(NOTHING_STATED, self.sent_at_s)
        self.assertTrue(self.agent.gate.leaving)
        self.agent.upstream.record_status(False, time.monotonic())
        self.assertFalse(self.agent.listener.state()["leaving"])

    # Guards against a stop that an upstream which does not leave calls off.
    async def test_an_agent_that_stops_leaves_whatever_its_upstream_says(self) -> None:
        self.agent.stopping = True
        self.agent.check_leaving()
        self.agent.upstream.record_status(False, time.monotonic())
        self.assertTrue(self.agent.gate.leaving)


class StartedAgainTest(unittest.IsolatedAsyncioTestCase):
    # Guards against a rest, or a leaving, that outlives the run of the engine that stated it.
    async def test_a_new_run_of_the_engine_begins_afresh(self) -> None:
        world = World()
        agent = world.agent(MODEL_SERVICE)
        incarnations = iter(("run-1", "run-1", "run-2"))
        names = {"now": ""}

        async def refresh() -> None:
            names["now"] = next(incarnations)

        agent.upstream.refresh = refresh  # type: ignore[method-assign]
        agent.upstream.incarnation = lambda: names["now"]  # type: ignore[method-assign]
        await agent.stated.refresh()
        agent.stated.record_answer(
            Statement(rest=StatedRest(60.0), is_leaving=True), time.monotonic()
        )
        await agent.stated.refresh()
        self.assertTrue(agent.stated.is_leaving())
        self.assertFalse(agent.stated.statements.allows(agent.stated.own))
        await agent.stated.refresh()
        self.assertFalse(agent.stated.is_leaving())
        self.assertTrue(agent.stated.statements.allows(agent.stated.own))


if __name__ == "__main__":
    unittest.main()
