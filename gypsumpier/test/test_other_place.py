"""Tests of the place that is taken at another upstream for a request of a silent one."""

import asyncio
import unittest
from unittest import mock

from gypsumpier.fleet.upstream import UpstreamRecord
from gypsumpier.gateway.otherplace import OtherPlace
from gypsumpier.gateway.request import GatewayRequest
from gypsumpier.gateway.retries import RetryBudget
from gypsumpier.test.builders_gateway import admission_of, engines, request_of
from gypsumpier.test.builders_platform import BOUNDS, ENGINES
from gypsumpier.upstream.errors import OutcomeUnknownError
from gypsumpier.upstream.exchange import Exchange

SILENCE_S = 0.01


class OtherPlaceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet_state = engines(2)
        self.admission = admission_of(self.fleet_state)
        self.selector = self.admission.selector
        self.retries = RetryBudget(BOUNDS._replace(retry_share=0.0, retry_slack=2.5), 1)
        self.retries.entry_count = 1
        self.request = request_of(self.fleet_state)
        self.silent = await self.admission.enter(self.request)
        self.other = OtherPlace(
            self.admission, self.retries, self.request, self.silent, mock.Mock(status=0)
        )

    def places(self) -> dict[str, int]:
        """Return the requests in flight by engine."""
        return {name: load.in_flight for name, load in self.selector.own_loads.items()}

    # Guards against places, and turns of upstreams with a limit, that are never given back.
    async def test_a_place_that_is_not_claimed_is_given_back(self) -> None:
        give_back = mock.patch.object(self.selector.statements, "give_back")
        with give_back as given_back, self.other:
            self.assertTrue(await self.other.wait())
            self.assertEqual(2, len(self.places()))
        self.assertEqual({self.silent.id: 1}, self.places())
        given_back.assert_called_once()

    # Guards against moves without an end where the retry budget is exhausted.
    async def test_each_place_costs_a_retry(self) -> None:
        for expected in (True, True, False):
            with self.other:
                self.assertEqual(expected, await self.other.wait())
        self.assertEqual({self.silent.id: 1}, self.places())

    # Guards against a request that is sent again to the upstream that is silent.
    async def test_a_place_at_the_silent_upstream_is_none(self) -> None:
        def try_admit(request: GatewayRequest, share: float = 1.0) -> UpstreamRecord:
            self.selector.begin(self.silent, 0)
            return self.silent

        self.admission.try_admit = try_admit  # type: ignore[method-assign]
        self.assertFalse(await self.other.wait())
        self.assertIsNone(self.other.place)
        self.assertEqual({self.silent.id: 1}, self.places())

    # Guards against giving up an upstream that has just gone on.
    async def test_an_upstream_that_goes_on_as_the_place_is_granted_is_kept(self) -> None:
        exchange = Exchange(mock.Mock(), SILENCE_S, self.other)
        wait = self.other.wait

        async def wait_and_go_on() -> bool:
            is_taken = await wait()
            exchange.head = mock.Mock(request_id="r1")
            exchange.progress.set()
            return is_taken

        self.other.wait = wait_and_go_on  # type: ignore[method-assign]
        self.assertIsNotNone(await exchange.answer("r1"))
        self.assertEqual({self.silent.id: 1}, self.places())

    # Guards against a place that is held for a caller that has left.
    async def test_a_caller_that_leaves_as_the_place_is_granted_holds_none(self) -> None:
        exchange = Exchange(mock.Mock(), SILENCE_S, self.other)
        with self.other:
            task = asyncio.create_task(exchange.answer("r1"))
            wait = self.other.wait

            async def wait_and_leave() -> bool:
                is_taken = await wait()
                task.cancel()
                return is_taken

            self.other.wait = wait_and_leave  # type: ignore[method-assign]
            with self.assertRaises((asyncio.CancelledError, OutcomeUnknownError)):
                await task
        self.assertEqual({self.silent.id: 1}, self.places())
        self.assertEqual([], self.admission.queue(ENGINES).waiting)


if __name__ == "__main__":
    unittest.main()
