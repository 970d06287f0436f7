"""What is staged at an engine, and the orders that may still take it.

An engine keeps one set of staged pieces for all versions and loads what is staged when it accepts
an order.  A call without an answer may have its effect at any later time, so that

- a write counts as under way until the engine has answered or its connection has failed, whatever
  becomes of its caller;
- an order names the number of orders that the engine had accepted when it was given, and is void
  once the engine has accepted another;
- while a write is under way, or an order may still be accepted, no other version is staged.
"""

import asyncio
from typing import Final, NamedTuple

from gypsumpier.codes.platform import PLATFORM_UNREACHABLE
from gypsumpier.errors import GypsumpierError, NotSentError
from gypsumpier.fleet.clock import boot_time_s
from gypsumpier.fleet.upstream import whole_version
from gypsumpier.log import decision
from gypsumpier.piece.engine import Engine, EngineReport, OrderRefusedError, SwitchOrder

CHECK_VALID_S: Final = 1.5
"""Seconds after the start of a check of all pieces for which an order may rely on it.  An engine is
not at fault for pieces that became corrupt in the 3 s before it took them; the rest of that is for
the order's way."""
ASSUMED_ORDER_S: Final = 30.0
"""Seconds for which an assumed order is believed if its pieces can't be completed; engines were
seen to accept orders up to 11 s after they were sent."""
WRITE_ANSWER_S: Final = 2.0
"""Seconds to wait for the answer to a write, which takes milliseconds on the same machine."""


class PendingOrder(NamedTuple):
    """An order that the engine may still accept.

    ``after_orders`` is the number of accepted orders at which it does.  ``unanswered`` counts the
    copies of the order that were sent and not answered.  ``is_assumed`` is set if an earlier run of
    this process may have given it, rather than this one.
    """

    model: str
    version: int
    after_orders: int
    unanswered: int
    is_assumed: bool = False

    def is_settled(self, report: EngineReport, layer_count: int) -> bool:
        """Return whether the engine has accepted the order, or never will.

        An engine that holds the version accepts an order for it without loading anything.  A lower
        count is that of a new run, which may come to accept the order.
        """
        return (
            report.orders > self.after_orders
            or not self.unanswered
            or whole_version(report.layers, layer_count) == self.version
        )


class Stage:
    """The staged pieces of one engine.

    ``owner`` is the model and version whose pieces may be staged; None until the keeper claims the
    stage for one.  ``writes`` are those under way, all of the owner's pieces.
    """

    def __init__(self, engine: Engine) -> None:
        self.engine = engine
        self.owner: tuple[str, int] | None = None
        self.pending: PendingOrder | None = None
        self.writes: set[asyncio.Task[None]] = set()
        self.assumed_until_s = 0.0

    def claim(self, model: str, version: int) -> bool:
        """Make a version the owner; return False while writes or an order of another may follow."""
        pending = self.pending
        if pending is not None and (pending.model, pending.version) != (model, version):
            return False
        if self.writes and self.owner != (model, version):
            return False
        self.owner = model, version
        return True

    async def write(self, model: str, version: int, number: int, content: bytes) -> bool:
        """Stage one piece; return False if the version is not the owner.

        Raises GypsumpierError where the write fails or has no answer in ``WRITE_ANSWER_S``; in the
        latter case, or if the caller is cancelled, it is still under way.
        """
        if self.owner != (model, version):
            return False
        writing = asyncio.create_task(self.engine.stage(model, number, content))
        self.writes.add(writing)
        writing.add_done_callback(self.end_write)
        done, _ = await asyncio.wait({writing}, timeout=WRITE_ANSWER_S)
        if not done:
            detail = f"no answer to the staging of piece {number} in {WRITE_ANSWER_S:g} s"
            raise GypsumpierError(PLATFORM_UNREACHABLE, detail)
        await writing
        return True

    def end_write(self, writing: "asyncio.Task[None]") -> None:
        """Record that a write has ended; log a failure, as the caller may be gone."""
        self.writes.discard(writing)
        error = None if writing.cancelled() else writing.exception()
        if error is not None:
            decision("staging_failed", reason=repr(error))

    async def finish_writes(self) -> None:
        """Wait for the writes under way, up to ``WRITE_ANSWER_S``."""
        if self.writes:
            await asyncio.wait(self.writes, timeout=WRITE_ANSWER_S)

    async def order(
        self, model: str, version: int, report: EngineReport, checked_at_s: float
    ) -> bool:
        """Order the engine to load the staged pieces; return whether it has begun or holds them.

        ``checked_at_s`` is the boot time at which their check began.  Raises GypsumpierError where
        the outcome is unknown or the order was not sent; ``pending`` tells which.
        """
        known = self.pending
        unanswered = known.unanswered if known is not None else 0
        self.pending = PendingOrder(model, version, report.orders, unanswered + 1)
        order = SwitchOrder(model, version, True, report.orders, checked_at_s + CHECK_VALID_S)
        decision(
            "switch_sent",
            model=model,
            version=version,
            after_orders=report.orders,
            unanswered=unanswered,
            check_age_s=round(boot_time_s() - checked_at_s, 3),
        )
        try:
            accepted = await self.engine.start(order)
        except (NotSentError, OrderRefusedError):
            self.pending = self.pending._replace(unanswered=unanswered)
            raise
        self.pending = self.pending._replace(unanswered=unanswered)
        return accepted

    def settle(self, report: EngineReport, layer_count: int) -> None:
        """Free the staged pieces if the fate of the pending order is known from the report."""
        pending = self.pending
        if pending is None or not pending.is_settled(report, layer_count):
            return
        self.pending = None
        decision(
            "switch_settled",
            model=pending.model,
            version=pending.version,
            after_orders=pending.after_orders,
            orders=report.orders,
            unanswered=pending.unanswered,
            is_busy=report.is_busy,
        )

    def assume_order(self, model: str, version: int, report: EngineReport) -> None:
        """Take it that an earlier run of this process has given an order for what is staged."""
        self.pending = PendingOrder(model, version, report.orders, 1, is_assumed=True)
        self.assumed_until_s = boot_time_s() + ASSUMED_ORDER_S
        decision("order_assumed", model=model, version=version, after_orders=report.orders)

    def drop_assumed_order(self, reason: str) -> None:
        """Forget an assumed order whose pieces can't be completed, after ``ASSUMED_ORDER_S``."""
        is_assumed = self.pending is not None and self.pending.is_assumed
        if self.pending is not None and is_assumed and boot_time_s() > self.assumed_until_s:
            decision("assumed_order_dropped", version=self.pending.version, reason=reason)
            self.pending = None
