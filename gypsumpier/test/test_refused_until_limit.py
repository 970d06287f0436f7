"""Tests of requests whose time limit passes while no upstream has taken them."""

import asyncio
import unittest
from typing import Final
from unittest import mock

from gypsumpier.fleet.upstream import UpstreamRecord
from gypsumpier.gateway.request import GatewayRequest
from gypsumpier.test.builders_platform import PLAIN
from gypsumpier.test.gatewayfleet import GatewayFleet

LONGER_THAN_LIMIT_S: Final = 5.0


class RefusedUntilLimitTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet = GatewayFleet()
        self.fleet.configure()
        self.plain = self.fleet.add("p-1", PLAIN)
        await self.fleet.start()
        await self.fleet.settle()
        self.addAsyncCleanup(self.fleet.stop)

    # Guards against a command that its caller does not send again, although every upstream has
    # stated that it has not run.
    async def test_a_command_that_is_refused_until_its_limit_has_not_run(self) -> None:
        self.plain.plan = ["wrong"]
        enter = self.fleet.entry.admission.enter

        async def enter_once(request: GatewayRequest) -> UpstreamRecord:
            if request.tried:
                await asyncio.sleep(LONGER_THAN_LIMIT_S)
            return await enter(request)

        with mock.patch.object(self.fleet.entry.admission, "enter", enter_once):
            answer = await self.fleet.call("/commands/x", headers={"X-Deadline-Ms": "400"})
        self.assertEqual((503, []), (answer.code, self.plain.run_ids))
        self.assertEqual(1, len(self.plain.received_headers))

    # Guards against the same word for a command that has reached an upstream.
    async def test_a_command_that_is_sent_at_its_limit_may_have_run(self) -> None:
        self.plain.plan = ["mute"]
        answer = await self.fleet.call("/commands/x", headers={"X-Deadline-Ms": "400"})
        self.assertEqual((504, ["r1"]), (answer.code, self.plain.run_ids))

    # Guards against the word of an earlier refusal for a later attempt.
    async def test_a_command_that_runs_after_a_refusal_may_have_run(self) -> None:
        self.plain.plan = ["wrong", "mute"]
        answer = await self.fleet.call("/commands/x", headers={"X-Deadline-Ms": "900"})
        self.assertEqual((504, ["r1"]), (answer.code, self.plain.run_ids))


if __name__ == "__main__":
    unittest.main()
