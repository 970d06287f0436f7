"""Tests of what callers are told while the agent that runs their requests stops."""

import asyncio
import json
import time
import unittest
from typing import Any, Final

from gypsumpier.agent.application import LEAVE_PROPAGATION_S
from gypsumpier.codes.request import (
    KEY_OUTCOME_UNKNOWN,
    OUTCOME_UNKNOWN,
    OUTCOME_UNKNOWN_WITHOUT_KEY,
)
from gypsumpier.idempotency.key import KeyId
from gypsumpier.idempotency.record import KeyState
from gypsumpier.test.builders import MODEL, SERVICE
from gypsumpier.test.ownfleet import DRAIN_S
from gypsumpier.test.slowcaller import BODY
from gypsumpier.test.test_own_stop_answers import (
    COMMAND,
    LONG_LIMIT_S,
    OwnStopCase,
    code_of,
    head_of,
)

ENDS_S: Final = LEAVE_PROPAGATION_S + DRAIN_S
MARGIN_S: Final = 1.0
"""Seconds by which a busy machine may be late."""
HANDED_OVER: Final = ""
"""The home that an entry records for a key that another process has told it of."""
KEY: Final = KeyId("default", "k-1")


class AgentStopAnswersTest(OwnStopCase):
    async def start(self, **settings: Any) -> None:
        await super().start(**settings)
        self.fleet.upstream.release.clear()

    async def stop_agent(self) -> float:
        """Stop the agent; return the seconds that it took."""
        began_s = time.monotonic()
        async with asyncio.timeout(LONG_LIMIT_S):
            await self.fleet.agent.stop()
        return time.monotonic() - began_s

    # Guards against an agent that outlives its drain, is killed and hands no keys over.
    async def test_an_agent_whose_runs_outlast_the_drain_ends_in_time(self) -> None:
        await self.start()
        callers = [await self.caller() for _ in range(2)]
        await self.send(callers[0])
        await self.send(callers[1], "Idempotency-Key: k-1\r\n")
        await self.until_run(2)
        took_s = await self.stop_agent()
        self.assertLess(took_s, ENDS_S + MARGIN_S)
        answers = [await caller.receive() for caller in callers]
        codes = (OUTCOME_UNKNOWN_WITHOUT_KEY.number, KEY_OUTCOME_UNKNOWN.number)
        self.assertEqual([(502, code, None) for code in codes], [*map(code_of, answers)])
        # The next home learns from the entry that the key may have run.
        record = self.fleet.entry.keys.sent.keys[self.fleet.service, KEY]
        self.assertIs(KeyState.UNKNOWN, record.outcome)
        self.assertIn(HANDED_OVER, record.homes)

    # Guards against a stream that stays open without its end while its agent stops.
    async def test_a_stream_that_outlasts_the_drain_of_its_agent_ends_with_an_error(self) -> None:
        await self.start(service=SERVICE)
        caller = await self.caller()
        body = json.dumps({"model": MODEL, "messages": [], "stream": True}).encode()
        caller.writer.write(head_of("/v1/chat/completions", LONG_LIMIT_S, len(body)) + body)
        await self.until_run(1)
        await asyncio.sleep(0.1)
        stop = asyncio.create_task(self.stop_agent())
        content = await caller.reader.read()
        self.assertLess(await stop, ENDS_S + MARGIN_S)
        self.assertIn(b"event: error", content)
        self.assertIn(f'"code": {OUTCOME_UNKNOWN.number}'.encode(), content)
        # A stop of the entry would wait for it otherwise.
        self.assertEqual(0, self.fleet.entry.in_flight)

    # Guards against a command that is told as run or unknown though its agent refused it.
    async def test_a_command_that_arrives_in_the_stop_of_its_agent_is_told_as_not_run(self) -> None:
        await self.start()
        stop = asyncio.create_task(self.stop_agent())
        await asyncio.sleep(0.1)
        caller = await self.caller()
        caller.writer.write(head_of(COMMAND, LONG_LIMIT_S, len(BODY)) + BODY)
        answer = await caller.receive()
        self.assertEqual(503, answer.status)
        self.assertEqual("not_run", answer.headers["Gypsumpier-Outcome"])
        self.assertEqual(0, self.fleet.run_count())
        await stop


if __name__ == "__main__":
    unittest.main()
