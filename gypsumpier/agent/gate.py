"""The gate in front of the upstream: admits, runs and answers attempts.

Each attempt is one task.  Its frames carry consecutive sequence numbers; the final frame says
``end`` with the count of parts, ``refused`` where the attempt certainly has not run, or ``failed``
where it may have.
"""

import asyncio
from typing import Final

from gypsumpier.agent.order import AttemptOrder
from gypsumpier.agent.upstream import Part, Upstream
from gypsumpier.clock import Clock
from gypsumpier.codes.request import (
    DEADLINE_EXCEEDED,
    NO_LIVE_UPSTREAM,
    UPSTREAM_FAILED,
    UPSTREAM_LEAVING,
)
from gypsumpier.codes.result import Outcome
from gypsumpier.errors import GypsumpierError
from gypsumpier.log import decision
from gypsumpier.options import Options
from gypsumpier.platform.engine import LiveModel
from gypsumpier.wire.connection import Connection

RETIRE_NOTICE_S: Final = 1.0
RETIRE_POLL_S: Final = 0.1


class Gate:
    """Admission to one upstream."""

    def __init__(self, options: Options, clock: Clock, upstream: Upstream) -> None:
        self.options = options
        self.clock = clock
        self.upstream = upstream
        self.running: dict[str, asyncio.Task[None]] = {}
        self.orders: dict[str, AttemptOrder] = {}
        self.leaving = False

    def submit(self, order: AttemptOrder, connection: Connection) -> None:
        """Start the attempt as a task that answers on the connection."""
        task = asyncio.create_task(self.attempt(order, connection))
        self.running[order.exchange] = task
        self.orders[order.exchange] = order
        connection.begin_answering()
        task.add_done_callback(lambda done: self.forget(order.exchange, connection))

    def forget(self, exchange: str, connection: Connection) -> None:
        """Drop an attempt that has ended."""
        connection.end_answering()
        self.running.pop(exchange, None)
        self.orders.pop(exchange, None)

    async def attempt(self, order: AttemptOrder, connection: Connection) -> None:
        """Run the attempt and send its frames."""
        sequence = 0
        try:
            self.admit(order)
            async with asyncio.timeout(order.remaining_s):
                async for part in self.upstream.run(order):
                    await connection.send(part.kind, part.payload, order.exchange, sequence)
                    sequence += 1
        except GypsumpierError as error:
            await self.answer_error(order, connection, sequence, error)
        except TimeoutError:
            late = GypsumpierError(DEADLINE_EXCEEDED, "passed while running")
            await self.answer_error(order, connection, sequence, late)
            await self.cancel_upstream(order.exchange)

    def admit(self, order: AttemptOrder) -> None:
        """Raise where the attempt must not start."""
        if self.leaving:
            raise GypsumpierError(UPSTREAM_LEAVING, self.options.name, 1.0)
        if order.remaining_s <= 0:
            raise GypsumpierError(NO_LIVE_UPSTREAM, "deadline passed before the start")
        decision("admit", exchange=order.exchange, upstream=self.options.name, reason="admitted")

    async def answer_error(
        self, order: AttemptOrder, connection: Connection, sequence: int, error: GypsumpierError
    ) -> None:
        """Send the final frame of an attempt without a whole answer."""
        not_run = error.code.outcome is Outcome.NOT_RUN and sequence == 0
        shown = error if not_run or sequence == 0 else GypsumpierError(UPSTREAM_FAILED, str(error))
        part = Part(
            "refused" if not_run else "failed",
            {
                "code": shown.code.number,
                "detail": shown.detail,
                "retry_after_s": error.retry_after_s,
            },
        )
        decision(part.kind, exchange=order.exchange, upstream=self.options.name, reason=error)
        try:
            await connection.send(part.kind, part.payload, order.exchange, sequence)
        except GypsumpierError as lost:
            decision("answer_lost", exchange=order.exchange, reason=lost)

    async def cancel(self, exchange: str) -> None:
        """Stop an attempt that nobody waits for."""
        task = self.running.get(exchange)
        if task is None:
            return
        task.cancel()
        await self.cancel_upstream(exchange)

    async def cancel_upstream(self, exchange: str) -> None:
        """Tell the upstream to stop; it may be gone."""
        try:
            await self.upstream.cancel(exchange)
        except GypsumpierError as error:
            decision("cancel_failed", exchange=exchange, reason=error)

    async def drain(self) -> None:
        """Wait for every running attempt to end."""
        while self.running:
            await asyncio.wait(list(self.running.values()))

    async def retire(self, live: LiveModel) -> None:
        """Refuse new attempts of a content and wait for those that run on it.

        Entries hear first that it is live no longer, so that few attempts are refused.  The wait
        is bounded by ``drain_timeout_s``.
        """
        self.upstream.retire(live)
        await self.clock.sleep(RETIRE_NOTICE_S)
        self.upstream.refuse(live)
        decision("retire", upstream=self.options.name, version=live.version, reason="unload")
        deadline_s = self.clock.monotonic() + self.options.drain_timeout_s
        while self.clock.monotonic() < deadline_s:
            await self.clock.sleep(RETIRE_POLL_S)
            if not self.runs_on(live):
                return

    def runs_on(self, live: LiveModel) -> bool:
        """Tell whether an attempt runs on that content."""
        replaced = any(
            other.model == live.model and other.version == live.version
            for other in self.upstream.live()
        )
        orders = self.orders.values()
        return not replaced and any(
            order.model == live.model and order.version == live.version for order in orders
        )
