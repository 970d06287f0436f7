"""Tests of the second attempt at another upstream for a request of a silent one."""

import asyncio
import unittest
from collections.abc import Callable
from unittest import mock

from gypsumpier.fleet.upstream import UpstreamRecord
from gypsumpier.gateway.request import GatewayRequest
from gypsumpier.test.builders_platform import ENGINES
from gypsumpier.test.secondattemptcase import ANSWER_S, SILENCE_S, SecondAttemptCase, head_of
from gypsumpier.upstream.errors import NotRunError, OutcomeUnknownError
from gypsumpier.upstream.exchange import Exchange


class SecondAttemptTest(SecondAttemptCase):
    # Guards against places that are never given back.
    async def test_a_place_that_is_not_claimed_is_given_back(self) -> None:
        with self.other:
            self.assertTrue(await self.other.wait())
            self.assertEqual(2, len(self.places()))
        self.assertEqual({self.silent.id: 1}, self.places())

    # Guards against turns of upstreams with a limit that are never given back, or that are given
    # back although the request was sent.
    async def test_the_turn_of_a_request_that_was_not_sent_is_given_back(self) -> None:
        refusals = {
            1: NotRunError("cannot connect", is_refusal=False),
            0: NotRunError("refused with status 503", is_refusal=True),
        }
        for expected, error in refusals.items():
            self.sender.error = error
            self.request.tried.clear()
            with mock.patch.object(self.selector.statements, "give_back") as given_back:
                self.assertFalse(await self.other.wait())
            self.assertEqual(expected, given_back.call_count, str(error))
            self.assertEqual({self.silent.id: 1}, self.places())
            self.assertEqual(0, self.request.attempts)

    # Guards against moves without an end where the retry budget is exhausted.
    async def test_each_place_costs_a_retry(self) -> None:
        # The bound of attempts must not be what ends the moves.
        self.request.route = self.request.route._replace(max_attempts=9)
        for expected in (True, True, False):
            with self.other:
                self.assertEqual(expected, await self.other.wait())
        self.assertEqual({self.silent.id: 1}, self.places())

    # Guards against more upstreams for a request than its route allows.
    async def test_an_attempt_that_is_dropped_counts(self) -> None:
        self.request.route = self.request.route._replace(max_attempts=2)
        for expected in (True, False):
            with self.other:
                self.assertEqual(expected, await self.other.wait())
        self.assertEqual(1, self.request.attempts)

    # Guards against a request that is sent again to the upstream that is silent.
    async def test_a_place_at_the_silent_upstream_is_none(self) -> None:
        def try_admit(request: GatewayRequest, share: float = 1.0) -> UpstreamRecord:
            self.selector.begin(self.silent, 0)
            return self.silent

        self.admission.try_admit = try_admit  # type: ignore[method-assign]
        self.assertFalse(await self.other.wait())
        self.assertIsNone(self.other.attempt)
        self.assertEqual({self.silent.id: 1}, self.places())

    # Guards against giving up an upstream that has just gone on.
    async def test_an_upstream_that_goes_on_as_the_place_is_granted_is_kept(self) -> None:
        wait = self.other.wait

        async def wait_and_go_on() -> bool:
            is_taken = await wait()
            self.exchange.head = head_of()
            self.exchange.progress.set()
            return is_taken

        self.other.wait = wait_and_go_on  # type: ignore[method-assign]
        self.assertIsNotNone(await self.exchange.answer("r1"))
        self.assertEqual({self.silent.id: 1}, self.places())

    # Guards against giving up an upstream that goes on while one that may refuse is asked.
    async def test_an_upstream_that_goes_on_while_the_other_is_asked_is_kept(self) -> None:
        self.sender.answer_s = 2 * ANSWER_S
        self.after(ANSWER_S, lambda: setattr(self.exchange, "head", head_of()))
        with self.other:
            self.assertIsNotNone(await self.exchange.answer("r1"))
            self.assertIsNone(self.other.attempt)
        self.assertEqual({self.silent.id: 1}, self.places())
        self.assertEqual(1, self.request.attempts)

    # Guards against dropping the replacement of an upstream that fails or refuses in the meantime.
    async def test_another_upstream_that_is_asked_is_kept_as_the_silent_one_fails(self) -> None:
        refusal = head_of(status=503, is_success=False, is_stream=False)
        failures: dict[str, Callable[[], None]] = {
            "cut": lambda: setattr(self.exchange, "failure", "answer cut"),
            "refused": lambda: setattr(self.exchange, "head", refusal),
            "withdrawn": lambda: setattr(self.exchange, "withdrawn", "not started"),
        }
        self.allow_many_attempts()
        self.sender.answer_s = 2 * ANSWER_S
        for name, fail in failures.items():
            self.exchange = Exchange(mock.Mock(), SILENCE_S, self.other)
            self.after(ANSWER_S, fail)
            with self.subTest(name), self.other:
                try:
                    self.assertFalse((await self.exchange.answer("r1")).is_success)
                except OutcomeUnknownError as error:
                    self.assertFalse(error.is_silent)
                self.assertIsNotNone(self.other.attempt)
                self.assertEqual(2, len(self.places()))

    # Guards against a failure, and the check for a crash, that wait for a place elsewhere.
    async def test_a_silent_upstream_that_fails_while_no_other_is_asked_fails_at_once(self) -> None:
        for record in self.fleet_state.upstreams.values():
            while self.selector.load(record) < self.selector.limit(record):
                self.selector.begin(record, 0)
        self.after(ANSWER_S, lambda: setattr(self.exchange, "failure", "answer cut"))
        with self.other, self.assertRaises(OutcomeUnknownError):
            async with asyncio.timeout(4 * ANSWER_S):
                await self.exchange.answer("r1")
        self.assertEqual([], self.admission.queue(ENGINES).waiting)

    # Guards against a stream that is cut as it moves to an upstream that can't continue it.
    async def test_only_an_answer_that_continues_is_moved_to(self) -> None:
        cases = [
            (0, head_of(status=500, is_success=False, is_stream=False)),
            (200, head_of(status=204, is_stream=False)),
        ]
        for status, head in cases:
            self.writer.status, self.sender.head = status, head
            self.request.last_event_id = "1" if status else ""
            self.request.tried.clear()
            self.request.attempts = 0
            self.assertFalse(await self.other.wait(), str(status))
            self.assertEqual({self.silent.id: 1}, self.places())
            self.assertEqual(1, self.request.attempts)

    # Guards against a place that is held for a caller that has left.
    async def test_a_caller_that_leaves_as_the_place_is_granted_holds_none(self) -> None:
        self.allow_many_attempts()
        for answer_s in (0.0, ANSWER_S):
            self.sender.answer_s = answer_s
            with self.subTest(answer_s=answer_s), self.other:
                await self.leave_as_the_place_is_granted()
            self.assertEqual({self.silent.id: 1}, self.places())
            self.assertEqual([], self.admission.queue(ENGINES).waiting)

    async def leave_as_the_place_is_granted(self) -> None:
        """Cancel the wait for an answer as the other upstream is asked, or as it answers."""
        task = asyncio.create_task(self.exchange.answer("r1"))
        send = self.other.send

        async def send_and_leave(record: UpstreamRecord) -> bool:
            if self.sender.answer_s:
                asyncio.get_running_loop().call_later(self.sender.answer_s / 2, task.cancel)
            is_taken = await send(record)
            task.cancel()
            return is_taken

        self.other.send = send_and_leave  # type: ignore[method-assign]
        with self.assertRaises((asyncio.CancelledError, OutcomeUnknownError)):
            await task
        self.other.send = send  # type: ignore[method-assign]


if __name__ == "__main__":
    unittest.main()
