"""Admission control in front of the upstream: admits, runs and answers attempts.

Each attempt is one task, which adds the parts of its answer to the attempt's exchange.  The final
part is ``end`` with the count of parts, ``refused`` if the attempt certainly has not run, or
``failed`` if it may have run.
"""

import asyncio
from typing import Final

from gypsumpier.agent.crashes import Crashes
from gypsumpier.agent.exchange import Exchange
from gypsumpier.agent.exchanges import Exchanges
from gypsumpier.agent.home import Home
from gypsumpier.agent.order import AttemptOrder
from gypsumpier.agent.upstream import Part, Upstream
from gypsumpier.clock import Clock
from gypsumpier.codes import request as codes
from gypsumpier.codes.platform import PLATFORM_BAD_ANSWER, PLATFORM_UNREACHABLE
from gypsumpier.codes.result import Outcome
from gypsumpier.errors import GypsumpierError
from gypsumpier.external.engine import LiveModel
from gypsumpier.idempotency.key import KeyId
from gypsumpier.log import decision
from gypsumpier.options import Options
from gypsumpier.wire.connection import Connection

RETRY_AFTER_S: Final = 1.0
DELIVERY_WAIT_S: Final = 5.0
DELIVERY_POLL_S: Final = 0.05
CRASH_CODES: Final = frozenset({PLATFORM_UNREACHABLE, PLATFORM_BAD_ANSWER})
RETIRE_PROPAGATION_S: Final = 1.0
RETIRE_POLL_S: Final = 0.1


class Gate:
    """Admission to one upstream.  Suspects of a crash run one at a time under ``suspect_lock``."""

    def __init__(self, options: Options, clock: Clock, upstream: Upstream, home: Home) -> None:
        self.options = options
        self.clock = clock
        self.upstream = upstream
        self.home = home
        self.exchanges = Exchanges()
        self.running: dict[str, asyncio.Task[None]] = {}
        self.orders: dict[str, AttemptOrder] = {}
        self.crashes = Crashes(f"{options.name}/{options.incarnation}")
        self.suspect_lock = asyncio.Lock()
        self.leaving = False

    def submit(self, order: AttemptOrder, connection: Connection) -> None:
        """Start the attempt; a second copy of the request frame is dropped."""
        known = self.exchanges.known.get(order.exchange)
        if known is not None:
            # An earlier copy of the frame started the attempt; its answer is being delivered.
            return
        late = order.exchange in self.exchanges.refused
        exchange = self.exchanges.begin(order.exchange)
        exchange.attach(connection, 0)
        self.orders[order.exchange] = order
        task = asyncio.create_task(self.attempt(order, exchange, late))
        self.running[order.exchange] = task
        task.add_done_callback(lambda done: self.close(exchange))

    def resume(
        self, name: str, next_sequence: int, age_s: float, connection: Connection
    ) -> GypsumpierError | None:
        """Continue the delivery of a known attempt.

        Return an error if the attempt is unknown or its answer is no longer stored, else None.
        """
        exchange = self.exchanges.known.get(name)
        if exchange is not None and exchange.parts_freed:
            return GypsumpierError(codes.OUTCOME_UNKNOWN, "its answer is no longer stored")
        if exchange is not None:
            exchange.attach(connection, next_sequence)
            return None
        if self.exchanges.refuse(name, age_s, self.clock.monotonic()):
            return GypsumpierError(
                codes.UPSTREAM_UNREACHABLE, "the attempt never arrived", RETRY_AFTER_S
            )
        return GypsumpierError(codes.OUTCOME_UNKNOWN, "the attempt is no longer known")

    def close(self, exchange: Exchange) -> None:
        """End an attempt; without a final part its outcome is unknown."""
        if not exchange.ended:
            exchange.add(error_part(GypsumpierError(codes.OUTCOME_UNKNOWN, "stopped"), False))
        self.running.pop(exchange.name, None)
        self.orders.pop(exchange.name, None)
        self.exchanges.end(exchange.name, self.clock.monotonic())

    async def attempt(self, order: AttemptOrder, exchange: Exchange, late: bool) -> None:
        """Run the attempt and add its parts; a ``late`` attempt was already reported as not run."""
        try:
            refusal = self.refusal(late, order)
            if order.has_home():
                for part in await self.home.answer(order, refusal):
                    exchange.add(part)
                return
            if refusal is not None:
                raise refusal
            await self.run(order, exchange)
        except GypsumpierError as error:
            self.fail(order, exchange, error)
        except TimeoutError:
            timeout_error = GypsumpierError(
                codes.DEADLINE_EXCEEDED, "the deadline passed during the run"
            )
            self.fail(order, exchange, timeout_error)
            await self.cancel_upstream(order.exchange)

    async def run(self, order: AttemptOrder, exchange: Exchange) -> None:
        """Run an attempt that is not bound to the home of its key."""
        decision("admit", exchange=order.exchange, upstream=self.options.name, reason="admitted")
        async with asyncio.timeout(order.remaining_s):
            if not order.suspect:
                await self.relay(order, exchange)
                return
            async with self.suspect_lock:
                await self.relay(order, exchange)

    async def relay(self, order: AttemptOrder, exchange: Exchange) -> None:
        """Add the parts of the upstream's answer."""
        async for part in self.upstream.run(order):
            exchange.add(part)

    def refusal(self, late: bool, order: AttemptOrder) -> GypsumpierError | None:
        """Return the error if the attempt must not start, else None."""
        if late:
            return GypsumpierError(
                codes.UPSTREAM_UNREACHABLE,
                "arrived after it was reported as not run",
                RETRY_AFTER_S,
            )
        if self.leaving:
            return GypsumpierError(codes.UPSTREAM_LEAVING, self.options.name, RETRY_AFTER_S)
        if self.is_full(order):
            return GypsumpierError(codes.UPSTREAM_FULL, self.options.name, RETRY_AFTER_S)
        if order.remaining_s <= 0:
            return GypsumpierError(
                codes.DEADLINE_BEFORE_START, "the deadline passed before the start of the run"
            )
        return None

    def is_full(self, order: AttemptOrder) -> bool:
        """Return whether the upstream has as many requests in flight as the document allows.

        Copies that only wait for the outcome of a key do not count.
        """
        document = self.home.document()
        if document is None:
            return False
        # ``direct`` already includes this order, unless the order has a home.
        direct = sum(not other.has_home() for other in self.orders.values())
        ahead = len(self.home.running) + direct - (not order.has_home())
        return ahead >= document.limits.in_flight_per_upstream

    def fail(self, order: AttemptOrder, exchange: Exchange, error: GypsumpierError) -> None:
        """Add the final part of an attempt that ended without a complete answer."""
        not_run = error.code.outcome is Outcome.NOT_RUN and not exchange.parts
        if exchange.parts and error.code.outcome is Outcome.NOT_RUN:
            error = GypsumpierError(codes.UPSTREAM_FAILED, str(error))
        part = error_part(error, not_run)
        if error.code in CRASH_CODES:
            running = [trait for other in self.orders.values() for trait in other.traits]
            part.payload["crash"] = self.crashes.record(running, self.clock.monotonic())
        decision(part.kind, exchange=order.exchange, upstream=self.options.name, reason=error)
        exchange.add(part)

    def outcome(self, workspace: str, key: str) -> list[Part]:
        """Return the parts that report a key's outcome; nothing is run."""
        try:
            return self.home.outcome(KeyId(workspace, key))
        except GypsumpierError as error:
            return [error_part(error, error.code.outcome is Outcome.NOT_RUN)]

    async def cancel(self, name: str) -> None:
        """Cancel an attempt whose answer is no longer needed.

        An attempt that is not idempotent goes on, because it may not run again.
        """
        task = self.running.get(name)
        if task is None or not self.orders[name].idempotent:
            return
        task.cancel()
        await self.cancel_upstream(name)

    async def cancel_upstream(self, name: str) -> None:
        """Cancel the run on the upstream; a failure is logged, as the upstream may be down."""
        try:
            await self.upstream.cancel(name)
        except GypsumpierError as error:
            decision("cancel_failed", exchange=name, reason=error)

    async def drain(self) -> None:
        """Wait for every running attempt to end.

        Then wait up to ``DELIVERY_WAIT_S`` for the answers to be delivered.
        """
        while self.running or self.home.running:
            await asyncio.wait([*self.running.values(), *self.home.running.values()])
        until_s = self.clock.monotonic() + DELIVERY_WAIT_S
        while self.clock.monotonic() < until_s and self.has_undelivered_answers():
            await self.clock.sleep(DELIVERY_POLL_S)

    async def end_running(self) -> None:
        """End what still runs; whether it ran to its end is unknown from then on."""
        await self.home.end_running()
        names = [name for name, order in self.orders.items() if not order.has_home()]
        for name in names:
            self.running[name].cancel()
        await asyncio.gather(*(self.cancel_upstream(name) for name in names))

    def has_undelivered_answers(self) -> bool:
        """Return whether the delivery of an answer is still in progress."""
        return any(
            exchange.delivery is not None and not exchange.delivery.done()
            for exchange in self.exchanges.known.values()
        )

    async def retire(self, live: LiveModel) -> None:
        """Refuse new attempts on a content and wait for the attempts in flight on it.

        The content is first reported as no longer live for ``RETIRE_PROPAGATION_S``, so that few
        attempts are refused.  The wait is bounded by ``drain_timeout_s``.
        """
        self.upstream.retire(live)
        await self.clock.sleep(RETIRE_PROPAGATION_S)
        self.upstream.refuse(live)
        decision("retire", upstream=self.options.name, version=live.version, reason="unload")
        deadline_s = self.clock.monotonic() + self.options.drain_timeout_s
        while self.clock.monotonic() < deadline_s:
            await self.clock.sleep(RETIRE_POLL_S)
            if not self.has_attempts_on(live):
                return

    def restore(self, live: LiveModel) -> None:
        """Serve a retired content again, because it is not unloaded after all."""
        self.upstream.restore(live)

    def has_attempts_on(self, live: LiveModel) -> bool:
        """Return whether an attempt may be in flight on that content."""
        replaced = any(
            other.model == live.model and other.version == live.version
            for other in self.upstream.live()
        )
        orders = self.orders.values()
        return not replaced and any(
            order.model == live.model and order.version == live.version for order in orders
        )


def error_part(error: GypsumpierError, not_run: bool) -> Part:
    """Return the final part that reports the error."""
    payload = {
        "code": error.code.number,
        "detail": error.detail,
        "retry_after_s": error.retry_after_s,
    }
    return Part("refused" if not_run else "failed", payload)
