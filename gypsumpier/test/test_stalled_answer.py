"""Tests of answers that receive bytes, but are not complete, while another upstream is asked."""

import asyncio
import time
import unittest
from typing import Final
from unittest import mock

from gypsumpier.gateway.relay import Relay
from gypsumpier.test.secondattemptcase import ANSWER_S, SecondAttemptCase, head_of
from gypsumpier.upstream.errors import OutcomeUnknownError
from gypsumpier.upstream.exchange import BUFFERED_MAX_BYTES, Exchange

MAX_BYTES: Final = 1024 * 1024
STALLED_S: Final = 0.05
"""Seconds after which the other upstream is asked."""
PART_PAUSE_S: Final = 0.01
END_S: Final = 3 * STALLED_S
"""Seconds after which the slow answer goes on as it should, or is cut."""
OTHER_ANSWER_S: Final = 4 * END_S
"""Seconds in which the other upstream answers."""
EVENT_END: Final = b"\n\n"


class StalledAnswerTest(SecondAttemptCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.exchange = Exchange(mock.Mock(), STALLED_S, self.other)
        self.exchange.head = head_of()
        self.sender.answer_s = OTHER_ANSWER_S
        self.part = b"x"
        self.received = b""
        self.trickling = asyncio.create_task(self.trickle())
        self.addCleanup(self.trickling.cancel)

    async def trickle(self) -> None:
        """Receive a part of the body now and then."""
        while True:
            self.receive(self.part)
            await asyncio.sleep(PART_PAUSE_S)

    def receive(self, content: bytes) -> None:
        """Receive a part of the body."""
        self.received += content
        self.exchange.data_received(content)

    def receive_end(self) -> None:
        """Receive the end of the body."""
        self.trickling.cancel()
        self.receive(EVENT_END)
        self.exchange.finished = True

    def cut(self) -> None:
        """Cut the body."""
        self.trickling.cancel()
        self.exchange.failure = "answer cut"

    def assert_first_kept(self) -> None:
        """Check that the other upstream was asked and dropped."""
        self.assertIsNone(self.other.attempt)
        self.assertEqual(1, self.request.attempts)
        self.assertEqual({self.silent.id: 1}, self.places())

    # Guards against an answer that has arrived as a whole and is dropped for one that has begun.
    async def test_a_body_that_is_complete_before_the_other_answers_is_kept(self) -> None:
        self.after(END_S, self.receive_end)
        with self.other:
            self.assertEqual(await self.exchange.whole_body(MAX_BYTES), self.received)
            self.assert_first_kept()

    # Guards against a long body that is not read on until another upstream answers.
    async def test_a_long_body_is_read_on_while_the_other_is_asked(self) -> None:
        self.part = b"x" * (BUFFERED_MAX_BYTES // 4)
        self.after(END_S, self.receive_end)
        with self.other:
            self.assertEqual(await self.exchange.whole_body(MAX_BYTES), self.received)
            self.assert_first_kept()

    # Guards against events that are held back until another upstream answers, and dropped then.
    async def test_an_event_that_is_complete_before_the_other_answers_is_relayed(self) -> None:
        self.after(END_S, self.receive_end)
        began_s = time.monotonic()
        with self.other:
            await self.relay_stream()
            self.assert_first_kept()
        self.assertLess(time.monotonic() - began_s, OTHER_ANSWER_S / 2)
        self.writer.write.assert_awaited_once_with(self.received)

    # Guards against dropping the replacement of a stalled answer that is cut in the meantime.
    async def test_the_other_is_kept_as_a_stalled_answer_is_cut(self) -> None:
        self.after(END_S, self.cut)
        with self.other:
            with self.assertRaises(OutcomeUnknownError):
                await self.exchange.whole_body(MAX_BYTES)
            self.assertIsNotNone(self.other.attempt)
        self.assertEqual({self.silent.id: 1}, self.places())

    # Guards against waiting for an answer whose bytes never end.
    async def test_the_other_replaces_an_answer_that_stays_stalled(self) -> None:
        self.sender.answer_s = ANSWER_S
        with self.other:
            with self.assertRaises(OutcomeUnknownError):
                await self.relay_stream()
            self.assertIsNotNone(self.other.attempt)
        self.writer.write.assert_not_awaited()
        self.assertEqual({self.silent.id: 1}, self.places())

    # Guards against a place that is held for a caller that leaves as the other one is asked.
    async def test_a_caller_that_leaves_as_the_other_is_asked_holds_none(self) -> None:
        with self.other:
            task = asyncio.create_task(self.exchange.whole_body(MAX_BYTES))
            await asyncio.sleep(END_S)
            task.cancel()
            with self.assertRaises(asyncio.CancelledError):
                await task
            self.assert_first_kept()

    async def relay_stream(self) -> None:
        """Relay the answer as a stream."""
        self.writer.write = mock.AsyncMock()
        pool, crashes, starts, margins = mock.Mock(), mock.Mock(), mock.Mock(), mock.Mock()
        relay = Relay(self.admission, self.selector, pool, self.retries, crashes, starts, margins)
        assert self.exchange.head is not None
        await relay.relay_stream(self.other.silent, self.exchange, self.exchange.head, self.writer)


if __name__ == "__main__":
    unittest.main()
