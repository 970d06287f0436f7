"""Exchange of control state on one connection, whichever side dialled it.

The connection's owner passes on each frame for whose kind ``message.is_control`` is true, and
closes the session when the connection is closed.  One task sends what is due.
"""

import asyncio
from collections.abc import Hashable
from typing import Final, NamedTuple

from gypsumpier.clock import Clock
from gypsumpier.document.sender import send_documents
from gypsumpier.document.spread import DocumentSpread
from gypsumpier.errors import GypsumpierError
from gypsumpier.log import decision
from gypsumpier.member.spread import MemberSpread, send_members
from gypsumpier.spread.identity import Identity
from gypsumpier.tasks import end_task
from gypsumpier.wire.connection import Connection
from gypsumpier.wire.frame import Frame

COALESCE_S: Final = 0.02


class Standing(NamedTuple):
    """State that changes with time alone and is the same for all sessions of the process."""

    now_s: float
    document_distance: int
    member_distance: int
    member_source: Hashable | None


class Session:
    """Exchanges documents and members with one peer."""

    def __init__(
        self,
        clock: Clock,
        connection: Connection,
        peer: Identity,
        documents: DocumentSpread,
        members: MemberSpread,
    ) -> None:
        self.clock = clock
        self.connection = connection
        self.documents = documents
        self.members = members
        self.wake_event = asyncio.Event()
        self.document_exchange = documents.attach(peer, self.wake)
        self.member_exchange = members.attach(peer)
        self.task = asyncio.create_task(self.run())

    @property
    def peer(self) -> Identity:
        """The instance at the other end, as far as it is known."""
        return self.member_exchange.peer

    def handle(self, frame: Frame) -> None:
        """Handle one control frame; raise GypsumpierError with BAD_FRAME on a malformed one."""
        if frame.kind.startswith("member."):
            self.members.handle_frame(self.member_exchange, frame.kind, frame.payload)
            self.document_exchange.peer = self.member_exchange.peer
        else:
            self.documents.handle_frame(self.document_exchange, frame.kind, frame.payload)
        self.wake()

    def wake(self) -> None:
        """Make the task check for something to send."""
        self.wake_event.set()

    def is_due(self, standing: Standing) -> bool:
        """Return whether the passing of time alone has made something due to be sent."""
        documents, members = self.document_exchange, self.member_exchange
        return (
            documents.distance_sent != standing.document_distance
            or members.distance_sent != standing.member_distance
            or members.is_list_requested != (members is standing.member_source)
            or documents.digest_due_at_s <= standing.now_s
        )

    async def run(self) -> None:
        """Send what is due until the connection closes; coalesce changes for ``COALESCE_S``.

        However the task ends, it closes the connection, which must not stay open without it.
        """
        try:
            while not self.connection.closed:
                self.wake_event.clear()
                await send_members(self.members, self.member_exchange, self.connection)
                await send_documents(self.documents, self.document_exchange, self.connection)
                await self.wake_event.wait()
                await self.clock.sleep(COALESCE_S)
        except GypsumpierError as error:
            decision("session_ended", peer=self.peer.name, code=error.code.number, reason=error)
        finally:
            self.connection.close()

    def report_liveness(self) -> None:
        """Report the peer to the member table as alive, if it is."""
        if self.connection.is_peer_alive():
            exchange = self.member_exchange
            self.members.table.mark_alive(exchange.peer.name, exchange.incarnation)

    async def close(self) -> None:
        """End the session."""
        self.documents.detach(self.document_exchange)
        self.members.detach(self.member_exchange)
        await end_task(self.task)
