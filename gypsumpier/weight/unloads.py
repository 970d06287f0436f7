"""Unloads contents, and keeps those out of use whose unload may still take effect.

An unload counts as carried out from the moment it is sent: its caller may be cancelled or get no
answer, and the engine may carry it out seconds later.  Until a report shows that the content is
gone, it isn't offered or staged again, nor ordered to be unloaded once more, so no unload is
left on its way when the content is loaded again.  An unload without effect is given up after
``EFFECT_TIMEOUT_S``, or when the engine's run has ended that it was sent to.
"""

import asyncio
from typing import Final, NamedTuple

from gypsumpier.clock import Clock
from gypsumpier.errors import GypsumpierError
from gypsumpier.external.engine import LiveModel
from gypsumpier.log import decision
from gypsumpier.weight.inputs import Retirement
from gypsumpier.weight.monitor import EngineMonitor
from gypsumpier.weight.order import Decision, Orders, may_take_effect

EFFECT_TIMEOUT_S: Final = 30.0
"""Time after which an unload without effect is taken for lost."""


class SentUnload(NamedTuple):
    """When an unload was sent, and the incarnation of the engine at that time."""

    sent_at_s: float
    incarnation: str


class Unloads:
    """The unloads that one engine may still carry out.

    ``turn`` is held from the retirement of contents until each is unloaded or offered again, so
    that no other task offers them meanwhile.
    """

    def __init__(
        self, clock: Clock, monitor: EngineMonitor, orders: Orders, retirement: Retirement
    ) -> None:
        self.clock = clock
        self.monitor = monitor
        self.orders = orders
        self.retirement = retirement
        self.sent: dict[LiveModel, SentUnload] = {}
        self.turn = asyncio.Lock()

    async def run(self) -> None:
        """Settle unloads by the engine's reports until cancelled."""
        while True:
            await self.monitor.next_report()
            self.settle()

    async def retire(self, live: LiveModel) -> None:
        """Stop offering a content; return once no request runs on it or a timeout passes."""
        await self.retirement.retire(live)

    async def unload(self, decided: Decision, live: LiveModel) -> None:
        """Order the engine to unload a content.

        Raises GypsumpierError where the order is refused or has no answer; in the latter case the
        content stays out of use as after an answer.
        """
        self.sent[live] = SentUnload(self.clock.monotonic(), self.monitor.incarnation())
        try:
            await self.orders.unload(decided, *live)
        except GypsumpierError as error:
            if not may_take_effect(error):
                self.sent.pop(live, None)
            raise

    def restore(self, live: LiveModel) -> None:
        """Offer a retired content again, unless an unload of it may still take effect."""
        if live not in self.sent:
            self.retirement.restore(live)

    def settle(self) -> None:
        """End the unloads that the last report shows as carried out, and give up the lost ones."""
        for live, sent in list(self.sent.items()):
            if live not in self.monitor.live():
                del self.sent[live]
            elif self.is_lost(sent):
                del self.sent[live]
                decision("unload_lost", version=live.version, reason="it has had no effect")
                self.retirement.restore(live)

    def is_lost(self, sent: SentUnload) -> bool:
        """Return whether an unload that has had no effect will have none any more."""
        if sent.incarnation != self.monitor.incarnation():
            return True
        return self.clock.monotonic() - sent.sent_at_s > EFFECT_TIMEOUT_S

    async def wait_settled(self, model: str, version: str) -> None:
        """Wait until no unload of the version may still take effect."""
        while any((live.model, live.version) == (model, version) for live in self.sent):
            await self.monitor.next_report()

    def live(self) -> list[LiveModel]:
        """Return the contents last reported as live that no unload has been sent for."""
        return [live for live in self.monitor.live() if live not in self.sent]
