"""Tests of a faulty upstream that writes an earlier refusal once more on a kept connection."""

import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

from gypsumpier.test.builders_platform import command_route_body, plain_body
from gypsumpier.test.gatewayfleet import GatewayFleet
from gypsumpier.test.standin.refusingagain import INTERIM, Copy, RefusingAgainServer

COPIES: Final = {
    "before the next request": Copy(early_share=1.0),
    "half before it": Copy(early_share=0.5),
    "with it": Copy(),
    "behind an interim answer": Copy(before=INTERIM),
    "before an interim answer": Copy(behind=INTERIM),
    "with another id": Copy(other_id="another"),
}
STATUSES: Final = (503, 429, 421)


class RepeatedRefusalTest(unittest.IsolatedAsyncioTestCase):
    @asynccontextmanager
    async def started(
        self, status: int, copy: Copy
    ) -> AsyncIterator[tuple[GatewayFleet, RefusingAgainServer]]:
        """Run an entry whose only upstream behaves so; both stop at the end.

        An entry that ran on would slow down those that are started after it in the same loop.
        """
        fleet = GatewayFleet()
        server = RefusingAgainServer(status, copy)
        try:
            await server.start()
            fleet.store.put("servers/p-1", plain_body(address=server.address))
            fleet.configure(routes=[command_route_body()])
            await fleet.start()
            yield fleet, server
        finally:
            await fleet.stop()
            await server.stop()

    # Guards against a command that is reported as not run, or sent again, while it runs.
    async def test_a_command_that_was_refused_and_then_runs_is_answered(self) -> None:
        for status in STATUSES:
            for label, copy in COPIES.items():
                with self.subTest(label, status=status):
                    async with self.started(status, copy) as (fleet, server):
                        found = await fleet.call("/commands/x", "r1")
                        self.assertEqual(["r1"], server.run_ids)
                        self.assertEqual((200, b"answer to r1"), (found.code, found.body))

    # Guards against the same for the request of another caller.
    async def test_the_next_command_is_not_told_that_it_has_not_run(self) -> None:
        for label, copy in COPIES.items():
            with self.subTest(label):
                async with self.started(503, copy._replace(other_id="r1")) as (fleet, server):
                    server.requests = 1
                    await fleet.call("/commands/x", "r0")
                    server.requests = 0
                    await fleet.call("/commands/x", "r1", headers={"X-Deadline-Ms": "40"})
                    found = await fleet.call("/commands/x", "r2")
                    runs = server.run_ids.count("r2")
                    self.assertIn((found.code, runs), [(200, 1), (502, 1), (503, 0)])


if __name__ == "__main__":
    unittest.main()
