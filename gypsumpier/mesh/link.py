"""One open connection to a peer, in whichever direction it was opened."""

import asyncio
import itertools
from collections import deque
from typing import Any, Final, NamedTuple

from gypsumpier.codes.wire import CONNECTION_CLOSED, PEER_FAILED
from gypsumpier.errors import GypsumpierError
from gypsumpier.mesh.peer import Peer
from gypsumpier.wire.connection import Connection

ANSWER: Final = "answer"
FAILED: Final = "failed"
"""Field of an answer that holds the error where the request failed."""
SEND_QUEUE_MAX: Final = 256
"""Messages that may be queued for a slow peer; one more closes its connection."""
BULK_QUEUE_MAX: Final = 1024
"""The same for bulk messages, which wait long beside others: a zone's first entry may be asked for
some hundred pieces at once.  Those that wait are shared with the cache, unless they are parts."""


class QueuedMessage(NamedTuple):
    """A message that waits to be sent since ``queued_at_s``, in monotonic seconds.

    The payload of a message to many peers is packed.  ``is_bulk`` is set for pieces of weights.
    """

    kind: str
    payload: dict[str, Any] | bytes
    exchange: str
    queued_at_s: float
    is_bulk: bool


class SendQueue(asyncio.Queue[QueuedMessage]):
    """Messages to one peer in the order in which they were queued, those that are bulk last."""

    def has_room(self, is_bulk: bool) -> bool:
        """Return whether one more message fits; bulk ones take no places of the others."""
        return len(self.bulk) < BULK_QUEUE_MAX if is_bulk else len(self.urgent) < SEND_QUEUE_MAX

    def _init(self, maxsize: int) -> None:
        self.urgent: deque[QueuedMessage] = deque()
        self.bulk: deque[QueuedMessage] = deque()

    def _put(self, item: QueuedMessage) -> None:
        (self.bulk if item.is_bulk else self.urgent).append(item)

    def _get(self) -> QueuedMessage:
        return (self.urgent or self.bulk).popleft()

    def qsize(self) -> int:
        return len(self.urgent) + len(self.bulk)

    def empty(self) -> bool:
        return not self.urgent and not self.bulk


class MeshLink:
    """Sends messages and requests to one peer.

    Messages wait in a bounded queue, so that a peer that does not read blocks no sender.  Bulk
    messages wait for all others: a freshness proof must not be late for pieces of weights.
    ``pending_requests`` holds the futures of open requests by exchange number.
    """

    def __init__(self, peer: Peer, connection: Connection) -> None:
        self.peer = peer
        self.connection = connection
        self.queue = SendQueue()
        self.pending_requests: dict[str, asyncio.Future[dict[str, Any]]] = {}
        self.request_numbers = itertools.count()

    def post(
        self,
        kind: str,
        payload: dict[str, Any] | bytes,
        exchange: str = "",
        is_bulk: bool = False,
    ) -> None:
        """Queue a message; where the queue is full, close the connection instead."""
        if not self.queue.has_room(is_bulk):
            self.connection.close()
            return
        queued_at_s = self.connection.clock.monotonic()
        self.queue.put_nowait(QueuedMessage(kind, payload, exchange, queued_at_s, is_bulk))

    async def send_queued(self) -> None:
        """Send queued messages until the connection closes."""
        while not self.connection.closed:
            found = await self.queue.get()
            await self.connection.send(
                found.kind, found.payload, found.exchange, queued_at_s=found.queued_at_s
            )

    async def request(self, kind: str, payload: dict[str, Any], timeout_s: float) -> dict[str, Any]:
        """Send a request and return its answer.

        Raises TimeoutError where none arrives within ``timeout_s`` seconds, and GypsumpierError
        where the peer reports a failure or the connection closes.
        """
        exchange = str(next(self.request_numbers))
        future: asyncio.Future[dict[str, Any]] = asyncio.get_running_loop().create_future()
        self.pending_requests[exchange] = future
        try:
            self.post(kind, payload, exchange)
            async with asyncio.timeout(timeout_s):
                payload = await future
        finally:
            self.pending_requests.pop(exchange, None)
        if FAILED in payload:
            raise GypsumpierError(PEER_FAILED, str(payload[FAILED]))
        return payload

    def resolve(self, exchange: str, payload: dict[str, Any]) -> None:
        """Complete the request of an exchange; an answer that comes too late is dropped."""
        future = self.pending_requests.get(exchange)
        if future is not None and not future.done():
            future.set_result(payload)

    def shut_down(self) -> None:
        """Close the connection and fail the pending requests."""
        self.connection.close()
        for future in self.pending_requests.values():
            if not future.done():
                future.set_exception(
                    GypsumpierError(CONNECTION_CLOSED, "the connection to the peer closed")
                )
