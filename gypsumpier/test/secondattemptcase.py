"""A request at a silent engine and an upstream that is asked for it as well, without a network."""

import asyncio
import unittest
from collections.abc import Callable
from typing import Any
from unittest import mock

from gypsumpier.gateway.attempt import Attempt
from gypsumpier.gateway.failures import FailureRecorder
from gypsumpier.gateway.retries import RetryBudget
from gypsumpier.gateway.secondattempt import SecondAttempt
from gypsumpier.gateway.sender import UpstreamSender
from gypsumpier.gateway.writer import AnswerWriter
from gypsumpier.test.builders_gateway import admission_of, engines, request_of
from gypsumpier.test.builders_platform import BOUNDS
from gypsumpier.upstream.exchange import Exchange
from gypsumpier.upstream.replacement import Replacement

SILENCE_S = 0.01
ANSWER_S = 0.05
"""Seconds in which an upstream answers the second attempt."""


def head_of(**fields: Any) -> mock.Mock:
    """Return the head of a successful answer."""
    defaults = {"request_id": "r1", "status": 200, "is_success": True, "is_stream": True}
    return mock.Mock(**(defaults | fields))


class FakeSender(UpstreamSender):
    """Connects to upstreams without a network; they answer with ``head`` or ``error``."""

    head = head_of()
    error: Exception | None = None
    answer_s = 0.0

    async def begin(
        self, attempt: Attempt, writer: AnswerWriter, replacement: Replacement, silent: str = ""
    ) -> None:
        attempt.connected_at_s = attempt.began_at_s
        await asyncio.sleep(self.answer_s)
        if self.error is not None:
            raise self.error
        attempt.exchange, attempt.head = mock.Mock(), self.head


class SecondAttemptCase(unittest.IsolatedAsyncioTestCase):
    """A request at one of several engines, which is silent."""

    engine_count = 2

    async def asyncSetUp(self) -> None:
        self.fleet_state = engines(self.engine_count)
        self.admission = admission_of(self.fleet_state)
        self.selector = self.admission.selector
        self.retries = RetryBudget(BOUNDS._replace(retry_share=0.0, retry_slack=2.5), 1)
        self.retries.entry_count = 1
        self.request = request_of(self.fleet_state)
        self.silent = await self.admission.enter(self.request)
        self.sender = FakeSender(
            self.admission, self.selector, mock.Mock(), mock.Mock(), mock.Mock()
        )
        self.failures = FailureRecorder(self.selector, mock.Mock(), mock.Mock())
        self.writer = mock.Mock(status=0)
        self.other = SecondAttempt(
            self.sender,
            self.retries,
            self.failures,
            Attempt(self.request, self.silent),
            self.writer,
        )
        self.exchange = Exchange(mock.Mock(), SILENCE_S, self.other)

    def places(self) -> dict[str, int]:
        """Return the requests in flight by engine."""
        return {name: load.in_flight for name, load in self.selector.own_loads.items()}

    def allow_many_attempts(self) -> None:
        """Let neither the route nor the retry budget limit the attempts."""
        self.request.route = self.request.route._replace(max_attempts=9)
        self.retries.bounds = self.retries.bounds._replace(retry_slack=9.0)

    def after(self, seconds: float, act: Callable[[], None]) -> None:
        """Act after so many seconds, which is progress of the silent upstream's exchange."""

        def act_and_set() -> None:
            act()
            self.exchange.progress.set()

        asyncio.get_running_loop().call_later(seconds, act_and_set)
