"""Tests of an entry whose upstreams turn requests away and ask it for a rest."""

import asyncio
import time
import unittest
from typing import Final

from tornado.httpclient import HTTPResponse

from gypsumpier.codes.request import UPSTREAM_RESTING
from gypsumpier.test.builders_platform import ENGINES, PLAIN, command_route_body, route_body
from gypsumpier.test.gatewayfleet import GatewayFleet

AT_ONCE_S: Final = 0.3
ROUTES: Final = [
    route_body(),
    command_route_body(),
    command_route_body(name="reads", prefix="/reads/", kind="idempotent", attempts=2),
]
BAD_TIMES: Final = ("soon", "Fri, 04 Dec 2026 19:00:00 GMT", "-5", "nan", "inf", "", "9" * 30)


class RestsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet = GatewayFleet()
        self.fleet.configure(routes=ROUTES)
        self.addAsyncCleanup(self.fleet.stop)
        self.first = self.fleet.add("p-1", PLAIN)
        self.engine = self.fleet.add("i-1", ENGINES)

    async def start(self) -> None:
        """Start the entry with what the store holds."""
        await self.fleet.start()
        await self.fleet.settle()

    def assert_refused_at_once(self, answer: HTTPResponse, left_s: float) -> None:
        """Check that the answer is a refusal that names the time that is left."""
        self.assertEqual(503, answer.code)
        self.assertIn(str(UPSTREAM_RESTING.number).encode(), answer.body)
        self.assertLess(answer.request_time or 0.0, AT_ONCE_S)
        self.assertGreater(float(answer.headers["Retry-After"]), left_s - AT_ONCE_S)
        self.assertLess(float(answer.headers["Retry-After"]), 1.25 * left_s + AT_ONCE_S)

    # Guards against repeats, and against requests that run once at most, at an upstream at rest.
    async def test_while_the_only_upstream_rests_every_kind_is_refused_at_once(self) -> None:
        await self.start()
        self.first.plan, self.first.retry_after = ["full"], "2"
        for number, path in enumerate(("/commands/x", "/reads/x", "/commands/x")):
            answer = await self.fleet.call(path, f"r{number}")
            self.assert_refused_at_once(answer, 2.0)
        self.assertEqual(1, len(self.first.received_headers))
        await asyncio.sleep(2.1)
        self.assertEqual(200, (await self.fleet.call("/commands/x", "r9")).code)

    # Guards against a refusal of requests that another upstream takes.
    async def test_another_upstream_gets_what_the_resting_one_turns_away(self) -> None:
        second = self.fleet.add("p-2", PLAIN)
        await self.start()
        self.first.is_full, self.first.retry_after = True, "5"
        answers = [await self.fleet.call("/commands/x", f"r{number}") for number in range(20)]
        self.assertEqual([200] * 20, [answer.code for answer in answers])
        self.assertEqual(20, len(second.run_ids))
        self.assertLessEqual(len(self.first.received_headers), 1)

    # Guards against values that are no time and lead to a rest, or to a failure of the request.
    async def test_values_that_are_no_time_lead_to_no_rest(self) -> None:
        await self.start()
        for number, value in enumerate(BAD_TIMES):
            with self.subTest(value):
                self.first.plan, self.first.retry_after = ["full"], value
                answer = await self.fleet.call("/reads/x", f"r{number}")
                self.assertEqual(200, answer.code)

    # Guards against requests that were queued when the last upstream asked for its rest.
    async def test_requests_that_wait_are_refused_as_the_last_upstream_asks_for_a_rest(
        self,
    ) -> None:
        await self.start()
        self.fleet.write_record("p-1", PLAIN, slots=1)
        await self.fleet.settle()
        self.first.plan, self.first.retry_after = ["queued", "full"], "3"
        self.first.queued_s = 0.6
        calls = [
            asyncio.create_task(self.fleet.call("/commands/x", f"r{number}")) for number in range(6)
        ]
        answers = await asyncio.gather(*calls)
        self.assertEqual([200] + [503] * 5, sorted(answer.code for answer in answers))
        self.assertEqual(2, len(self.first.received_headers))
        for answer in answers:
            if answer.code == 503:
                self.assertGreater(float(answer.headers["Retry-After"]), 2.0)

    # Guards against a stream that is cut because the only engine left rests for a moment.
    async def test_a_stream_under_way_waits_for_the_end_of_a_rest(self) -> None:
        other = self.fleet.add("i-2", ENGINES, zone="nam-a")
        await self.start()
        self.engine.plan, self.engine.event_pause_s = ["cut"], 0.2
        other.plan, other.retry_after = ["full"], "0.7"
        began_s = time.monotonic()
        call = asyncio.create_task(self.fleet.call("/reports/x"))
        while not self.engine.run_ids:
            await asyncio.sleep(0.005)
        self.fleet.store.remove("servers/i-1")
        answer = await call
        self.assertEqual(200, answer.code)
        self.assertEqual(5, answer.body.count(b"id: "))
        self.assertGreater(time.monotonic() - began_s, 0.7)
        self.assertEqual(1, len(other.turned_away))

    # Guards against a rest that ends an answer which is under way at the same upstream.
    async def test_what_is_under_way_at_an_upstream_goes_on_while_it_rests(self) -> None:
        await self.start()
        self.engine.event_pause_s = 0.1
        self.engine.plan, self.engine.retry_after = ["ok", "full"], "5"
        call = asyncio.create_task(self.fleet.call("/reports/x"))
        await asyncio.sleep(0.15)
        self.assert_refused_at_once(await self.fleet.call("/reports/x", "r2"), 5.0)
        answer = await call
        self.assertEqual((200, 5), (answer.code, answer.body.count(b"id: ")))


if __name__ == "__main__":
    unittest.main()
