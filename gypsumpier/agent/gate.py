"""The gate in front of the upstream: admits, runs and answers attempts.

Each attempt is one task, which adds the parts of its answer to the attempt's exchange.  The final
part says ``end`` with the count of parts, ``refused`` where the attempt certainly has not run, or
``failed`` where it may have.
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
RETIRE_NOTICE_S: Final = 1.0
RETIRE_POLL_S: Final = 0.1


class Gate:
    """Admission to one upstream."""

    def __init__(self, options: Options, clock: Clock, upstream: Upstream, home: Home) -> None:
        self.options = options
        self.clock = clock
        self.upstream = upstream
        self.home = home
        self.exchanges = Exchanges()
        self.running: dict[str, asyncio.Task[None]] = {}
        self.orders: dict[str, AttemptOrder] = {}
        self.crashes = Crashes(f"{options.name}/{options.incarnation}")
        self.suspects = asyncio.Lock()
        self.leaving = False

    def submit(self, order: AttemptOrder, connection: Connection) -> None:
        """Start the attempt; a second copy of the frame is dropped."""
        known = self.exchanges.known.get(order.exchange)
        if known is not None:
            # The frame is a copy of one that was taken before; its answer is on its way.
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
        """Go on with a known attempt; return what to say of one that isn't known."""
        exchange = self.exchanges.known.get(name)
        if exchange is not None and exchange.gone:
            return GypsumpierError(codes.OUTCOME_UNKNOWN, "its answer is no longer kept")
        if exchange is not None:
            exchange.attach(connection, next_sequence)
            return None
        if self.exchanges.refuse(name, age_s, self.clock.monotonic()):
            return GypsumpierError(codes.UPSTREAM_UNREACHABLE, "never arrived", RETRY_AFTER_S)
        return GypsumpierError(codes.OUTCOME_UNKNOWN, "no longer known")

    def close(self, exchange: Exchange) -> None:
        """Note the end of an attempt."""
        if not exchange.ended:
            exchange.add(error_part(GypsumpierError(codes.OUTCOME_UNKNOWN, "stopped"), False))
        self.running.pop(exchange.name, None)
        self.orders.pop(exchange.name, None)
        self.exchanges.end(exchange.name, self.clock.monotonic())

    async def attempt(self, order: AttemptOrder, exchange: Exchange, late: bool) -> None:
        """Run the attempt and add its parts."""
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
            late_error = GypsumpierError(codes.DEADLINE_EXCEEDED, "passed while running")
            self.fail(order, exchange, late_error)
            await self.cancel_upstream(order.exchange)

    async def run(self, order: AttemptOrder, exchange: Exchange) -> None:
        """Run an attempt that needs no home."""
        decision("admit", exchange=order.exchange, upstream=self.options.name, reason="admitted")
        async with asyncio.timeout(order.remaining_s):
            if not order.suspect:
                await self.relay(order, exchange)
                return
            async with self.suspects:
                await self.relay(order, exchange)

    async def relay(self, order: AttemptOrder, exchange: Exchange) -> None:
        """Add the parts of the upstream's answer."""
        async for part in self.upstream.run(order):
            exchange.add(part)

    def refusal(self, late: bool, order: AttemptOrder) -> GypsumpierError | None:
        """Return why the attempt must not start, if so."""
        if late:
            return GypsumpierError(codes.UPSTREAM_UNREACHABLE, "arrived late", RETRY_AFTER_S)
        if self.leaving:
            return GypsumpierError(codes.UPSTREAM_LEAVING, self.options.name, RETRY_AFTER_S)
        if self.is_full(order):
            return GypsumpierError(codes.UPSTREAM_FULL, self.options.name, RETRY_AFTER_S)
        if order.remaining_s <= 0:
            return GypsumpierError(codes.DEADLINE_BEFORE_START, "passed before the start")
        return None

    def is_full(self, order: AttemptOrder) -> bool:
        """Tell whether the upstream has as much to do as the document allows.

        Copies that only wait for the outcome of a key are no work.
        """
        document = self.home.document()
        if document is None:
            return False
        # An order without a home is among the running ones already, one with a home is not.
        direct = sum(not other.has_home() for other in self.orders.values())
        ahead = len(self.home.running) + direct - (not order.has_home())
        return ahead >= document.limits.in_flight_per_upstream

    def fail(self, order: AttemptOrder, exchange: Exchange, error: GypsumpierError) -> None:
        """Add the final part of an attempt without a whole answer."""
        not_run = error.code.outcome is Outcome.NOT_RUN and not exchange.parts
        if exchange.parts and error.code.outcome is Outcome.NOT_RUN:
            error = GypsumpierError(codes.UPSTREAM_FAILED, str(error))
        part = error_part(error, not_run)
        if error.code in CRASH_CODES:
            running = [other.fingerprint for other in self.orders.values()]
            part.payload["crash"] = self.crashes.note(running, self.clock.monotonic())
        decision(part.kind, exchange=order.exchange, upstream=self.options.name, reason=error)
        exchange.add(part)

    def outcome(self, workspace: str, key: str) -> list[Part]:
        """Return the parts that tell a key's outcome; nothing is run."""
        try:
            return self.home.outcome(KeyId(workspace, key))
        except GypsumpierError as error:
            return [error_part(error, error.code.outcome is Outcome.NOT_RUN)]

    async def cancel(self, name: str) -> None:
        """Stop an attempt that nobody waits for, unless it may not run again."""
        task = self.running.get(name)
        if task is None or not self.orders[name].idempotent:
            return
        task.cancel()
        await self.cancel_upstream(name)

    async def cancel_upstream(self, name: str) -> None:
        """Tell the upstream to stop; it may be gone."""
        try:
            await self.upstream.cancel(name)
        except GypsumpierError as error:
            decision("cancel_failed", exchange=name, reason=error)

    async def drain(self) -> None:
        """Wait for every running attempt to end and for its answer to be delivered."""
        while self.running or self.home.running:
            await asyncio.wait([*self.running.values(), *self.home.running.values()])
        until_s = self.clock.monotonic() + DELIVERY_WAIT_S
        while self.clock.monotonic() < until_s and self.undelivered():
            await self.clock.sleep(DELIVERY_POLL_S)

    def undelivered(self) -> bool:
        """Tell whether an answer is on its way still."""
        return any(
            exchange.delivery is not None and not exchange.delivery.done()
            for exchange in self.exchanges.known.values()
        )

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

    def restore(self, live: LiveModel) -> None:
        """Offer a retired content again, because it isn't unloaded after all."""
        self.upstream.restore(live)

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


def error_part(error: GypsumpierError, not_run: bool) -> Part:
    """Return the final part that tells the error."""
    payload = {
        "code": error.code.number,
        "detail": error.detail,
        "retry_after_s": error.retry_after_s,
    }
    return Part("refused" if not_run else "failed", payload)
