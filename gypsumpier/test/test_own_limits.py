"""Tests of the own interface before upstreams that state how many requests they take."""

import asyncio
import time
import unittest
from typing import Final

from tornado.web import Application

from gypsumpier.external.engine import Completion
from gypsumpier.external.engine_http import HttpEngine
from gypsumpier.external.service import ServiceCall
from gypsumpier.external.service_http import HttpService
from gypsumpier.statement.statedlimit import StatedLimit
from gypsumpier.statement.statement import Statement
from gypsumpier.test.builders_request import (
    MODEL_SERVICE,
    SETTLE_TIME_S,
    AgentParts,
    EntryParts,
    World,
    chat_call,
    outcome,
    plain_call,
)
from gypsumpier.test.simulated_entries import simulate
from gypsumpier.test.standin.server import StandinHandler, listen

LIMIT_PER_S: Final = 2.0
LOAD_S: Final = 10.0
LOAD_PER_S: Final = 20.0
BURST_MAX: Final = 2.0
"""Requests beyond the limit that may run in the whole of the load."""
USED_MIN: Final = 0.8
REFUSED_AT_ONCE_S: Final = 0.5


class LimitedHandler(StandinHandler):
    """Answers any call, as an engine that has written nothing but the end."""

    def post(self) -> None:
        self.finish('{"position": 0, "text": "", "finish_reason": "stop", "version": "v1"}\n')


class LimitedState:
    """An upstream that states ``limit``."""

    def __init__(self) -> None:
        self.down = False
        self.limit: str | None = None


class AdapterTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.state = LimitedState()
        self.stated: list[StatedLimit] = []

    def serve(self) -> str:
        """Serve the stand-in until the end of the test; return its address."""
        handlers = [(r".*", LimitedHandler, {"state": self.state})]
        server, port = listen(Application(handlers))
        self.addCleanup(server.stop)
        return f"http://127.0.0.1:{port}"

    def record(self, statement: Statement, sent_at_s: float) -> None:
        """Record what an answer states."""
        self.assertLessEqual(sent_at_s, time.monotonic())
        self.stated.append(statement.limit)

    # Guards against an own interface whose upstreams state their limits in vain.
    async def test_answers_of_services_and_streams_of_engines_state_limits(self) -> None:
        service, engine = HttpService(self.serve()), HttpEngine(self.serve())
        self.addCleanup(service.close)
        self.addCleanup(engine.close)
        service.on_statement = engine.on_statement = self.record
        for limit, expected in (("2.5", StatedLimit(2.5)), (None, StatedLimit(None))):
            self.state.limit = limit
            await service.call(ServiceCall("POST", "/x", {}, b"{}"), 2.0)
            completion = Completion("s", "m", "v1", 1, {})
            [event async for event in engine.complete(completion)]
            self.assertEqual([expected] * 2, self.stated)
            self.stated.clear()


class LimitedAgentTest(unittest.TestCase):
    async def load(
        self, world: World, entries: list[EntryParts], model: bool = False
    ) -> list[tuple[str, float]]:
        """Send requests by turns to the entries; return their ends and how long they took."""

        async def send(entry: EntryParts) -> tuple[str, float]:
            began_s = time.monotonic()
            call = chat_call(world) if model else plain_call(world)
            return await outcome(world, entry, call), time.monotonic() - began_s

        tasks = []
        for number in range(int(LOAD_S * LOAD_PER_S)):
            tasks.append(asyncio.create_task(send(entries[number % len(entries)])))
            await asyncio.sleep(1 / LOAD_PER_S)
        return await asyncio.gather(*tasks)

    async def world(self, service: str, agents: int) -> tuple[World, list[AgentParts]]:
        """Return a world with so many agents; two entries are to be added."""
        world = World()
        return world, [world.agent(service, number=number) for number in range(agents)]

    # Guards against entries that together send an agent's upstream more than it takes.
    def test_an_upstream_that_states_a_limit_runs_no_more_and_the_rest_is_refused_at_once(
        self,
    ) -> None:
        async def scenario() -> None:
            world, (agent,) = await self.world("table-ops", 1)
            entries = [await world.entry(number) for number in range(2)]
            await asyncio.sleep(SETTLE_TIME_S)
            agent.stated.record_answer(Statement(StatedLimit(LIMIT_PER_S)), time.monotonic())
            ends = await self.load(world, entries)
            runs = sum(agent.upstream.runs.values())
            self.assertLessEqual(runs, LIMIT_PER_S * LOAD_S + BURST_MAX)
            self.assertGreaterEqual(runs, USED_MIN * LIMIT_PER_S * LOAD_S)
            self.assertEqual(runs, sum(end == "go" for end, _ in ends))
            refused = [took_s for end, took_s in ends if end == "upstream_limited"]
            self.assertEqual(len(ends) - runs, len(refused))
            self.assertLess(max(refused), REFUSED_AT_ONCE_S)

        simulate(scenario())

    # Guards against refusals while upstreams without a limit have places.
    def test_requests_go_to_upstreams_without_a_limit(self) -> None:
        async def scenario() -> None:
            world, agents = await self.world(MODEL_SERVICE, 5)
            entries = [await world.entry(number) for number in range(2)]
            await asyncio.sleep(SETTLE_TIME_S)
            for agent in agents[:4]:
                agent.stated.record_answer(Statement(StatedLimit(0.0)), time.monotonic())
            agents[4].upstream.delay_s = 0.01
            ends = await self.load(world, entries, model=True)
            refused = [end for end, _ in ends if end == "upstream_limited"]
            self.assertLess(len(refused), 0.05 * len(ends))

        simulate(scenario())

    # Guards against a limit that stays for good, and against one that an older answer lifts.
    def test_a_limit_ends_with_the_answer_to_a_later_request(self) -> None:
        async def scenario() -> None:
            _, (agent,) = await self.world("table-ops", 1)
            sent_at_s = time.monotonic()
            await asyncio.sleep(0.1)
            agent.stated.record_answer(Statement(StatedLimit(LIMIT_PER_S)), sent_at_s)
            agent.stated.record_answer(Statement(StatedLimit(None)), sent_at_s)
            agent.stated.record_answer(Statement(StatedLimit(None, "'soon'")), time.monotonic())
            self.assertTrue(agent.stated.statements.limits.is_limited(agent.stated.own))
            await asyncio.sleep(0.1)
            agent.stated.record_answer(Statement(StatedLimit(None)), time.monotonic())
            self.assertFalse(agent.stated.statements.limits.is_limited(agent.stated.own))

        simulate(scenario())


if __name__ == "__main__":
    unittest.main()
