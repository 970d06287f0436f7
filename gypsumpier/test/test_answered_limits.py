"""Tests of which answers count as an upstream's statement of its limit, at an entry as it runs."""

import unittest

from gypsumpier.test.builders_platform import PLAIN
from gypsumpier.test.gatewayfleet import GatewayFleet


class AnsweredLimitsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet = GatewayFleet()
        self.fleet.configure()
        self.upstream = self.fleet.add("p-1", PLAIN)
        await self.fleet.start()
        await self.fleet.settle()
        self.addAsyncCleanup(self.fleet.stop)
        self.record = self.fleet.entry.fleet_state.upstreams["p-1"]

    async def command(self, plan: str, limit: str | None) -> None:
        """Send a command that the upstream handles as planned, with this limit in its answer."""
        self.upstream.plan, self.upstream.limit = [plan], limit
        await self.fleet.call("/commands/x")

    def is_limited(self) -> bool:
        """Return whether the entry knows a limit of the upstream."""
        return self.fleet.entry.selector.statements.limits.is_limited(self.record)

    async def test_answers_failures_and_refusals_state_a_limit(self) -> None:
        """Guards against a limit that only successes state; an upstream in need may refuse."""
        for plan in ("ok", "error", "full"):
            with self.subTest(plan):
                await self.command(plan, "50")
                self.assertTrue(self.is_limited())
                await self.command("ok", None)
                self.assertFalse(self.is_limited())

    async def test_an_answer_that_is_not_the_upstreams_own_states_none(self) -> None:
        """Guards against limits of other upstreams, and of what stands before one."""
        for plan in ("unsealed", "crossed"):
            with self.subTest(plan):
                await self.command(plan, "50")
                self.assertFalse(self.is_limited())

    async def test_what_an_upstream_at_its_limit_does_not_get_is_refused_with_a_time(self) -> None:
        """Guards against callers that wait for their time limits, or are told nothing."""
        await self.command("ok", "0")
        answers = [await self.fleet.call("/commands/x", f"r{number}") for number in range(3)]
        self.assertEqual([503] * 3, [answer.code for answer in answers])
        for answer in answers:
            self.assertGreater(float(answer.headers["Retry-After"]), 0.0)
            self.assertLess(answer.request_time or 0.0, 0.5)
        self.assertEqual(1, len(self.upstream.run_ids))


if __name__ == "__main__":
    unittest.main()
