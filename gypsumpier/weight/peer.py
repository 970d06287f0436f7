"""One connection to another agent: the chunks it holds and the requests in both directions.

Short messages wait in an outbox, and the peer's requests for chunks in a queue of their own.
Separate tasks send from each, so posting a message never waits for a slow peer.  Both are bounded:
a request beyond the limit is refused, and the connection is closed when the outbox is full.
"""

import asyncio
from collections import deque
from typing import Final, NamedTuple

from gypsumpier.clock import Clock
from gypsumpier.errors import GypsumpierError
from gypsumpier.options import Options
from gypsumpier.weight.message import Hello, Message, Want, kind_of
from gypsumpier.wire.connection import Connection
from gypsumpier.wire.stream import Stream

MAX_QUEUED_CHUNKS: Final = 8
MAX_OUTBOX_MESSAGES: Final = 4096
MAX_LAYOUTS: Final = 16
INITIAL_AVOID_S: Final = 1.0
MAX_AVOID_S: Final = 30.0
RESPONSE_EWMA_WEIGHT: Final = 0.2
"""Weight of the newest response time in the moving average."""


class PostedMessage(NamedTuple):
    """A message that was made at ``made_at_s``, in monotonic seconds, and waits to be sent."""

    message: Message
    made_at_s: float


class Peer:
    """A connected agent, from the start of its connection.

    ``open_requests`` maps (layout, index) of each chunk requested from the peer to the monotonic
    send time; ``response_s`` is the moving average of the response times.
    """

    def __init__(self, options: Options, clock: Clock, stream: Stream, dialled: bool) -> None:
        self.clock = clock
        self.connection = Connection(stream, clock, options.heartbeat_s, options.silence_s)
        self.dialled = dialled
        self.hello: Hello | None = None
        self.holds: dict[str, set[int]] = {}
        self.outbox: deque[PostedMessage] = deque()
        self.posted = asyncio.Event()
        self.queue: deque[Want] = deque()
        self.queued = asyncio.Event()
        self.open_requests: dict[tuple[str, int], float] = {}
        self.avoid_until_s = 0.0
        self.faults = 0
        self.response_s: float | None = None

    @property
    def name(self) -> str:
        """The peer's stable name, once it has said hello."""
        return self.hello.name if self.hello is not None else ""

    @property
    def region(self) -> str:
        """The peer's region, once it has said hello."""
        return self.hello.region if self.hello is not None else ""

    @property
    def usable(self) -> bool:
        """Whether chunks may be requested from the peer now."""
        return not self.connection.closed and self.avoid_until_s <= self.clock.monotonic()

    def post(self, message: Message, made_at_s: float | None = None) -> None:
        """Queue a short message for sending; close the connection where the outbox is full.

        The peer counts the time since ``made_at_s``, in monotonic seconds, as time on the way.  The
        default is now.
        """
        if len(self.outbox) >= MAX_OUTBOX_MESSAGES:
            self.connection.close()
            return
        now_s = self.clock.monotonic()
        self.outbox.append(PostedMessage(message, now_s if made_at_s is None else made_at_s))
        self.posted.set()

    async def send_posted(self) -> None:
        """Send the posted messages in order until the connection closes."""
        while not self.connection.closed:
            while self.outbox:
                await self.send(*self.outbox.popleft())
            self.posted.clear()
            await self.posted.wait()

    async def send(self, message: Message, made_at_s: float | None = None) -> None:
        """Send a message; close the connection where that fails.

        The peer counts the time since ``made_at_s`` as time on the way.
        """
        try:
            await self.connection.send(kind_of(message), message._asdict(), queued_at_s=made_at_s)
        except GypsumpierError:
            self.connection.close()

    def add_holds(self, layout: str, indexes: set[int]) -> set[int]:
        """Add chunks that the peer holds; return the indexes that are new."""
        if layout not in self.holds and len(self.holds) >= MAX_LAYOUTS:
            del self.holds[next(iter(self.holds))]
        known = self.holds.setdefault(layout, set())
        new = indexes - known
        known |= new
        return new

    def enqueue(self, want: Want) -> bool:
        """Queue a request of the peer; return whether it is within the limit."""
        if len(self.queue) >= MAX_QUEUED_CHUNKS:
            return False
        self.queue.append(want)
        self.queued.set()
        return True

    def dequeue(self, layout: str, index: int) -> None:
        """Remove a request that the peer has cancelled."""
        want = Want(layout, index)
        if want in self.queue:
            self.queue.remove(want)

    async def next_want(self) -> Want:
        """Wait for the peer's next request and return it."""
        while not self.queue:
            self.queued.clear()
            await self.queued.wait()
        return self.queue.popleft()

    def record_response(self, layout: str, index: int) -> None:
        """Remove a request that was answered with content and record its response time."""
        requested_at_s = self.open_requests.pop((layout, index), None)
        if requested_at_s is None:
            return
        took_s = self.clock.monotonic() - requested_at_s
        if self.response_s is None:
            self.response_s = took_s
        self.response_s += RESPONSE_EWMA_WEIGHT * (took_s - self.response_s)
        self.faults = 0

    def record_fault(self) -> None:
        """Avoid the peer for a time that doubles with each consecutive fault."""
        self.faults += 1
        avoid_s = min(MAX_AVOID_S, INITIAL_AVOID_S * 2.0 ** (self.faults - 1))
        self.avoid_until_s = self.clock.monotonic() + avoid_s
