"""Admission of requests at an entry: a window for each service, and a fair queue before it.

The window is how many requests of the service this entry may have in flight.  It grows by one for
a window of successes and shrinks when an upstream refuses because it is full, so the entries share
the upstreams without talking to each other.

A request whose expected wait would pass its deadline is refused at once with the time to come back.
When the queue is full, the request that would be served last is refused, not the newest.
"""

import asyncio
from typing import Final

from gypsumpier.clock import Clock
from gypsumpier.codes.request import OVERLOADED
from gypsumpier.document.service import ServiceDocument
from gypsumpier.entry.fairqueue import FairQueue, QueuedItem
from gypsumpier.entry.request import CallerRequest
from gypsumpier.errors import GypsumpierError
from gypsumpier.log import decision

QUEUE_MAX: Final = 256
WINDOW_DECREASE_FACTOR: Final = 0.85
WINDOW_DECREASE_INTERVAL_S: Final = 0.2
WINDOW_MIN: Final = 1.0
DURATION_EWMA_WEIGHT: Final = 0.1
INITIAL_DURATION_S: Final = 0.1
EXPECTED_WAIT_SHARE_MAX: Final = 0.5
QUEUE_WAIT_SHARE_MAX: Final = 0.75
DEFAULT_WEIGHT: Final = 1

Slot = asyncio.Future[None]


class Admission:
    """Admits the requests of one service."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.queue: FairQueue[Slot] = FairQueue()
        self.in_flight = 0
        self.window = WINDOW_MIN
        self.limit = 0
        self.window_decreased_at_s = float("-inf")
        self.mean_duration_s = INITIAL_DURATION_S

    def set_limit(self, limit: int, entries: int) -> None:
        """Set what all upstreams together take; the window starts at an even share of it."""
        if self.limit == 0:
            self.window = limit / max(1, entries)
        self.window = max(WINDOW_MIN, min(self.window, float(limit)))
        self.limit = limit

    async def enter(self, request: CallerRequest, document: ServiceDocument) -> None:
        """Return when the request may go on; raise GypsumpierError with OVERLOADED at once."""
        slot: Slot = asyncio.get_running_loop().create_future()
        weight = weight_of(document, request.workspace)
        waiting = self.queue.tag(request.workspace, weight, request.priority, slot)
        if self.in_flight < int(self.window) and not self.queue.waiting:
            self.queue.charge(request.workspace, weight, waiting)
            self.in_flight += 1
            return
        self.check_wait(request, waiting)
        self.queue.push(request.workspace, weight, waiting)
        self.refuse_last()
        try:
            await asyncio.wait([slot], timeout=self.queue_timeout_s(request))
        except asyncio.CancelledError:
            self.abandon(waiting)
            raise
        if not slot.done():
            self.abandon(waiting)
            raise GypsumpierError(OVERLOADED, "the queue moves too slowly", 1.0)
        slot.result()

    def queue_timeout_s(self, request: CallerRequest) -> float:
        """Return after how long a request leaves the queue that moves slower than expected."""
        return max(0.0, request.remaining_at(self.clock.monotonic()) * QUEUE_WAIT_SHARE_MAX)

    def check_wait(self, request: CallerRequest, waiting: QueuedItem[Slot]) -> None:
        """Raise where the expected wait leaves too little time to answer."""
        wait_s = self.expected_wait_s(self.queue.count_ahead(waiting) + 1)
        remaining_s = request.remaining_at(self.clock.monotonic())
        if (
            wait_s > remaining_s * EXPECTED_WAIT_SHARE_MAX
            or wait_s + self.mean_duration_s > remaining_s
        ):
            decision(
                "refuse",
                request=request.request_id,
                workspace=request.workspace,
                service=request.service,
                reason="expected wait passes the deadline",
            )
            raise GypsumpierError(OVERLOADED, f"would wait {wait_s:.1f} s", max(1.0, wait_s))

    def refuse_last(self) -> None:
        """Refuse the request that would be served last while too many wait."""
        if len(self.queue) <= QUEUE_MAX:
            return
        last = self.queue.last()
        self.queue.remove(last)
        wait_s = max(1.0, self.expected_wait_s(QUEUE_MAX))
        if not last.item.done():
            last.item.set_exception(GypsumpierError(OVERLOADED, "the queue is full", wait_s))

    def abandon(self, waiting: QueuedItem[Slot]) -> None:
        """Take back a request that no longer waits; its slot may have been granted just now."""
        slot = waiting.item
        if slot.done() and slot.exception() is None:
            self.in_flight -= 1
            self.admit_next()
        slot.cancel()
        self.queue.remove(waiting)

    def expected_wait_s(self, position: int) -> float:
        """Return the seconds until the request at that place of the queue goes on."""
        return position * self.mean_duration_s / max(WINDOW_MIN, self.window)

    def leave(self, took_s: float, answered: bool) -> None:
        """Note that a request has ended after that many seconds."""
        self.in_flight -= 1
        self.mean_duration_s += DURATION_EWMA_WEIGHT * (took_s - self.mean_duration_s)
        if answered:
            self.window = min(float(max(1, self.limit)), self.window + 1.0 / self.window)
        self.admit_next()

    def decrease_window(self) -> None:
        """Make the window smaller because an upstream was full; at most once in an interval."""
        now_s = self.clock.monotonic()
        if now_s - self.window_decreased_at_s >= WINDOW_DECREASE_INTERVAL_S:
            self.window_decreased_at_s = now_s
            self.window = max(WINDOW_MIN, self.window * WINDOW_DECREASE_FACTOR)

    def admit_next(self) -> None:
        """Let waiting requests go on while the window allows."""
        while self.queue.waiting and self.in_flight < int(self.window):
            slot = self.queue.pop().item
            if not slot.done():
                self.in_flight += 1
                slot.set_result(None)


def weight_of(document: ServiceDocument, workspace: str) -> int:
    """Return the workspace's weight in fair sharing."""
    for policy in document.workspaces:
        if policy.name == workspace:
            return policy.weight
    return DEFAULT_WEIGHT
