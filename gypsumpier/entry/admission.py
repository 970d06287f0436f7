"""Admission control at an entry: a concurrency window and a fair queue for each service.

The window limits how many requests of the service this entry has in flight.  It grows by one for
each window of successful requests and shrinks when an upstream refuses a request because it is
full, so that the entries share the upstreams without communicating.

A request whose expected wait would exceed its deadline is refused at once with a retry-after time.
When the queue is full, the request that would be served last is refused, not the newest one.
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
"""A request is refused when its expected wait exceeds this share of its remaining time."""
QUEUE_WAIT_SHARE_MAX: Final = 0.75
"""Share of its remaining time after which a queued request is refused."""
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
        """Set the limit of all upstreams together; the window starts at an even share of it."""
        if self.limit == 0:
            self.window = limit / max(1, entries)
        self.window = max(WINDOW_MIN, min(self.window, float(limit)))
        self.limit = limit

    async def enter(self, request: CallerRequest, document: ServiceDocument) -> None:
        """Wait until the request is admitted.

        Raises GypsumpierError with OVERLOADED: at once where the expected wait is too long, later
        where the queue overflows or moves slower than expected.
        """
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
            raise GypsumpierError(
                OVERLOADED, "not admitted in time: the queue moves slower than expected", 1.0
            )
        slot.result()

    def queue_timeout_s(self, request: CallerRequest) -> float:
        """Return the seconds after which a request leaves a queue that is slower than expected."""
        return max(0.0, request.remaining_at(self.clock.monotonic()) * QUEUE_WAIT_SHARE_MAX)

    def check_wait(self, request: CallerRequest, waiting: QueuedItem[Slot]) -> None:
        """Raise OVERLOADED if the expected wait leaves too little time for the answer."""
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
                reason="expected wait leaves too little time before the deadline",
            )
            raise GypsumpierError(
                OVERLOADED, f"expected wait of {wait_s:.1f} s is too long", max(1.0, wait_s)
            )

    def refuse_last(self) -> None:
        """Refuse the request that would be served last if the queue is over its limit."""
        if len(self.queue) <= QUEUE_MAX:
            return
        last = self.queue.last()
        self.queue.remove(last)
        wait_s = max(1.0, self.expected_wait_s(QUEUE_MAX))
        if not last.item.done():
            last.item.set_exception(GypsumpierError(OVERLOADED, "the queue is full", wait_s))

    def abandon(self, waiting: QueuedItem[Slot]) -> None:
        """Remove a request that stops waiting; release its slot if it was granted meanwhile."""
        slot = waiting.item
        if slot.done() and slot.exception() is None:
            self.in_flight -= 1
            self.admit_next()
        slot.cancel()
        self.queue.remove(waiting)

    def expected_wait_s(self, position: int) -> float:
        """Return the expected seconds until the request at that queue position is admitted."""
        return position * self.mean_duration_s / max(WINDOW_MIN, self.window)

    def leave(self, took_s: float, answered: bool) -> None:
        """Release the slot of a request that ended after ``took_s`` seconds.

        An answered request lets the window grow.
        """
        self.in_flight -= 1
        self.mean_duration_s += DURATION_EWMA_WEIGHT * (took_s - self.mean_duration_s)
        if answered:
            self.window = min(float(max(1, self.limit)), self.window + 1.0 / self.window)
        self.admit_next()

    def decrease_window(self) -> None:
        """Shrink the window because an upstream was full, at most once per interval."""
        now_s = self.clock.monotonic()
        if now_s - self.window_decreased_at_s >= WINDOW_DECREASE_INTERVAL_S:
            self.window_decreased_at_s = now_s
            self.window = max(WINDOW_MIN, self.window * WINDOW_DECREASE_FACTOR)

    def admit_next(self) -> None:
        """Admit queued requests while the window has room."""
        while self.queue.waiting and self.in_flight < int(self.window):
            slot = self.queue.pop().item
            if not slot.done():
                self.in_flight += 1
                slot.set_result(None)


def weight_of(document: ServiceDocument, workspace: str) -> int:
    """Return the workspace's weight in fair queueing."""
    for policy in document.workspaces:
        if policy.name == workspace:
            return policy.weight
    return DEFAULT_WEIGHT
