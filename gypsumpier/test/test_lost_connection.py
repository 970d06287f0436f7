"""Tests of requests whose connection to an agent is lost for a moment, beside other agents.

The agent goes on and can be asked for the rest of the answer.  A caller must get that answer where
no other agent gives one.
"""

import asyncio
import unittest
from collections.abc import Callable
from typing import Final

from gypsumpier.agent.order import AttemptOrder
from gypsumpier.codes.request import UPSTREAM_FULL, UPSTREAM_RESTING
from gypsumpier.entry.relay import ATTEMPTS_MAX
from gypsumpier.entry.request import CallerRequest
from gypsumpier.errors import GypsumpierError
from gypsumpier.test.builders_request import (
    MODEL_SERVICE,
    SETTLE_TIME_S,
    TOKENS,
    AgentParts,
    EntryParts,
    World,
    chat_call,
    outcome,
    plain_call,
)
from gypsumpier.test.virtual import run

COMPLETE_TEXT: Final = "".join(f"{number} " for number in range(TOKENS))
BEFORE_FIRST_PART_S: Final = 0.4
PART_INTERVAL_S: Final = 0.5
MOVE_MAX_S: Final = 0.2
"""Seconds within which a request must have moved to another agent."""
REST_S: Final = 20.0
LONG_RUN_S: Final = 60.0


class Scene:
    """An entry, agents of one service, and a request that runs at one of them."""

    def __init__(self, service: str = MODEL_SERVICE, agents: int = 2) -> None:
        self.world = World()
        self.agents = [self.world.agent(service, number=number) for number in range(agents)]
        self.entry: EntryParts
        self.call: asyncio.Task[str]

    async def start(self, request: CallerRequest | None = None) -> None:
        """Connect the entry, send the request and wait until it runs at an agent."""
        self.entry = await self.world.entry()
        await asyncio.sleep(SETTLE_TIME_S)
        request = request or chat_call(self.world)
        self.call = asyncio.create_task(outcome(self.world, self.entry, request))
        await asyncio.sleep(BEFORE_FIRST_PART_S)

    def running(self) -> AgentParts:
        """Return the agent at which the request runs."""
        return next(agent for agent in self.agents if agent.gate.running)

    def other(self) -> AgentParts:
        """Return the other agent."""
        return next(agent for agent in self.agents if agent is not self.running())

    def cut(self) -> None:
        """Cut the connection over which the answer is awaited; the next one can be opened."""
        for link in self.world.network.between(self.running().member.host, self.entry.member.host):
            link.cut()

    def exhaust_retries(self) -> None:
        """Leave the entry no retry."""
        self.entry.relay.budget.available_retries = 0.0

    def let_rest(self, agent: AgentParts) -> None:
        """Let the agent have asked for a rest, so that it gets no request."""
        link = self.entry.links.links[agent.member.name]
        link.refusal = GypsumpierError(UPSTREAM_RESTING, agent.member.name, REST_S)
        link.refuses_until_s = self.world.clock.monotonic() + REST_S


def refuse_first_attempts(agent: AgentParts, refused: list[str]) -> None:
    """Let the agent refuse all but the last of a request's attempts, as if it were full."""
    refusal = agent.gate.refusal

    def refuse(late: bool, order: AttemptOrder) -> GypsumpierError | None:
        if len(refused) == ATTEMPTS_MAX - 1:
            return refusal(late, order)
        refused.append(order.exchange)
        return GypsumpierError(UPSTREAM_FULL, agent.member.name)

    agent.gate.refusal = refuse  # type: ignore[method-assign]


class LostConnectionBesideOtherAgentsTest(unittest.TestCase):
    def answer(self, prepare: Callable[[Scene], None], streamed: bool = True) -> str:
        """Return the answer to a request whose connection is lost once ``prepare`` has run."""

        async def scenario() -> str:
            scene = Scene()
            await scene.start(chat_call(scene.world, streamed))
            prepare(scene)
            scene.cut()
            return await scene.call

        return run(scenario())

    # Guards against a 502 for a request whose agent still runs it, as it may not be repeated.
    def test_a_request_is_resumed_where_no_retry_is_left(self) -> None:
        for streamed in (True, False):
            with self.subTest(streamed=streamed):
                self.assertEqual(COMPLETE_TEXT, self.answer(Scene.exhaust_retries, streamed))

    # Guards against the same where the other agent takes no requests.
    def test_a_request_is_resumed_where_the_other_agent_rests(self) -> None:
        self.assertEqual(COMPLETE_TEXT, self.answer(lambda scene: scene.let_rest(scene.other())))

    # Guards against the same where the other agent refuses the repeat.
    def test_a_request_is_resumed_where_the_other_agent_refuses(self) -> None:
        def begin_to_leave(scene: Scene) -> None:
            scene.other().gate.leaving = True

        self.assertEqual(COMPLETE_TEXT, self.answer(begin_to_leave))

    # Guards against the same where the other agents have refused the request before.
    def test_the_last_attempt_of_a_request_is_resumed(self) -> None:
        async def scenario() -> str:
            scene = Scene(agents=ATTEMPTS_MAX + 1)
            refused: list[str] = []
            for agent in scene.agents:
                refuse_first_attempts(agent, refused)
            await scene.start()
            self.assertEqual(ATTEMPTS_MAX - 1, len(refused))
            scene.cut()
            return await scene.call

        self.assertEqual(COMPLETE_TEXT, run(scenario()))

    # Guards against the same where the connections to all agents are lost one after the other.
    def test_a_request_is_resumed_where_the_connection_of_its_repeat_is_lost(self) -> None:
        async def scenario() -> str:
            scene = Scene()
            await scene.start()
            scene.cut()
            await asyncio.sleep(BEFORE_FIRST_PART_S)
            for link in list(scene.world.network.links):
                link.cut()
            return await scene.call

        self.assertEqual(COMPLETE_TEXT, run(scenario()))

    # Guards against waiting for a process that is gone while another agent can answer.
    def test_a_request_moves_to_another_agent_at_once(self) -> None:
        async def scenario() -> float:
            scene = Scene()
            await scene.start()
            began_s = scene.world.clock.monotonic()
            running = scene.running()
            scene.agents.append(scene.world.replace(running, "two"))
            self.assertEqual(COMPLETE_TEXT, await scene.call)
            return scene.world.clock.monotonic() - began_s

        self.assertLess(run(scenario()), TOKENS * PART_INTERVAL_S + MOVE_MAX_S)

    # Guards against a run whose answer nobody awaits any more.
    def test_the_lost_attempt_is_cancelled_once_another_agent_has_answered(self) -> None:
        async def scenario() -> None:
            scene = Scene()
            await scene.start()
            first = scene.running()
            first.upstream.delay_s = LONG_RUN_S
            scene.cut()
            self.assertEqual(COMPLETE_TEXT, await scene.call)
            await asyncio.sleep(MOVE_MAX_S)
            self.assertFalse(first.gate.running)

        run(scenario())

    # Guards against an answer of a process that was not sent the request.
    def test_a_request_whose_process_was_replaced_and_whose_repeat_is_refused_fails(self) -> None:
        async def scenario() -> str:
            scene = Scene()
            await scene.start()
            running = scene.running()
            scene.other().gate.leaving = True
            scene.agents.append(scene.world.replace(running, "two"))
            return await scene.call

        self.assertEqual("outcome_unknown", run(scenario()))

    # Guards against a request that must not run twice and is sent elsewhere.
    def test_a_command_is_resumed_at_its_agent(self) -> None:
        async def scenario() -> tuple[str, int]:
            scene = Scene("table-ops")
            await scene.start(plain_call(scene.world))
            scene.cut()
            answer = await scene.call
            return answer, sum(agent.upstream.runs.total() for agent in scene.agents)

        self.assertEqual(("go", 1), run(scenario()))


if __name__ == "__main__":
    unittest.main()
