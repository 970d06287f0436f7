"""Tests of orders that an engine answers with an error and may carry out all the same."""

import unittest
from typing import Final

from gypsumpier.codes.platform import PLATFORM_BAD_ANSWER
from gypsumpier.errors import GypsumpierError
from gypsumpier.fleet.clock import boot_time_s
from gypsumpier.fleet.node import Address
from gypsumpier.piece.engine import OrderRefusedError, SwitchOrder
from gypsumpier.platform.engine import PlatformEngine
from gypsumpier.test.builders_platform import MODEL
from gypsumpier.test.lateordercase import LateOrderCase
from gypsumpier.test.standin.scripted import ScriptedServer

REFUSED: Final = (400, 412, 421)
"""Statuses by which an engine refuses an order; 409 is an order that does not fit its state."""
UNSTATED: Final = (403, 404, 408, 429, 500, 502, 503, 504)
"""Statuses that tell nothing of what becomes of the order."""


class OrderAnswerTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, status: int, headers: str = "") -> bool:
        """Return what an order comes to that is answered so."""
        head = f"HTTP/1.1 {status} Status\r\n{headers}Content-Length: 2\r\n\r\n"
        server = ScriptedServer(f"{head}{{}}".encode(), closes=True)
        await server.start()
        self.addAsyncCleanup(server.stop)
        host, _, port = server.address.partition(":")
        engine = PlatformEngine(Address(host, int(port)))
        self.addCleanup(engine.close)
        return await engine.start(SwitchOrder(MODEL, 2, True, 0, boot_time_s() + 5.0))

    # Guards against an order that is taken for refused and may still be accepted.
    async def test_an_error_that_states_nothing_leaves_the_outcome_unknown(self) -> None:
        for status in UNSTATED:
            with self.subTest(status):
                with self.assertRaises(GypsumpierError) as caught:
                    await self.start(status)
                self.assertNotIsInstance(caught.exception, OrderRefusedError)
                self.assertEqual(PLATFORM_BAD_ANSWER, caught.exception.code)

    # Guards against waiting for an order that the engine has refused.
    async def test_an_order_that_was_refused_is_known_as_refused(self) -> None:
        refusals = [(status, "") for status in REFUSED]
        refusals += [(status, "X-Not-Executed: 1\r\n") for status in (429, 500, 503)]
        for status, headers in refusals:
            with self.subTest(status, headers=headers):
                with self.assertRaises(OrderRefusedError):
                    await self.start(status, headers)
        self.assertFalse(await self.start(409))
        for status in (200, 202):
            self.assertTrue(await self.start(status))


class LateOrderAnswerTest(LateOrderCase):
    # Guards against staging another version while an order may be accepted, because its answer
    # looked like a refusal.
    async def test_an_order_is_accepted_after_an_error_and_the_next_version_was_named(self) -> None:
        self.engine.late_order_status = 503
        await self.order_without_answer()
        self.fleet.name(3)
        await self.fleet.release_when(self.is_half_staged)
        await self.assert_ends_whole(3)

    # Guards against an engine that gets no new version any more after such an answer.
    async def test_an_order_that_was_refused_after_all_is_given_again(self) -> None:
        accept = self.engine.accept
        statuses = [500, 503, 429]
        self.engine.accept = (  # type: ignore[method-assign]
            lambda order: statuses.pop() if statuses else accept(order)
        )
        self.fleet.name(2)
        await self.fleet.side.start()
        await self.assert_ends_whole(2)
        self.assertEqual([], statuses)


if __name__ == "__main__":
    unittest.main()
