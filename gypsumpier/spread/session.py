"""Control state on one connection, whichever side dialled it.

The connection's owner hands over each frame whose kind ``message.is_control`` tells, and closes
the session when the connection is closed.  One task writes what is due.
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
    """What changes with time alone and is the same for all sessions of the process."""

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
        self.woken = asyncio.Event()
        self.document_exchange = documents.attach(peer, self.wake)
        self.member_exchange = members.attach(peer)
        self.task = asyncio.create_task(self.run())

    @property
    def peer(self) -> Identity:
        """Return who is at the other end, as far as is known."""
        return self.member_exchange.peer

    def handle(self, frame: Frame) -> None:
        """Handle one control frame; raise GypsumpierError with BAD_FRAME on a malformed one."""
        if frame.kind.startswith("member."):
            self.members.take(self.member_exchange, frame.kind, frame.payload)
            self.document_exchange.peer = self.member_exchange.peer
        else:
            self.documents.take(self.document_exchange, frame.kind, frame.payload)
        self.wake()

    def wake(self) -> None:
        """Let the task look for something to send."""
        self.woken.set()

    def is_due(self, standing: Standing) -> bool:
        """Tell whether time alone has made something due."""
        documents, members = self.document_exchange, self.member_exchange
        return (
            documents.distance_sent != standing.document_distance
            or members.distance_sent != standing.member_distance
            or members.asked != (members is standing.member_source)
            or documents.digest_due_at_s <= standing.now_s
        )

    async def run(self) -> None:
        """Send what is due, a little coalesced, until the connection closes.

        However the task ends, the connection does not stay open without it.
        """
        try:
            while not self.connection.closed:
                self.woken.clear()
                await send_members(self.members, self.member_exchange, self.connection)
                await send_documents(self.documents, self.document_exchange, self.connection)
                await self.woken.wait()
                await self.clock.sleep(COALESCE_S)
        except GypsumpierError as error:
            decision("session_ended", peer=self.peer.name, code=error.code.number, reason=error)
        finally:
            self.connection.close()

    def note_heard(self) -> None:
        """Tell the member table that the peer is alive where that is so."""
        if self.connection.is_peer_alive():
            exchange = self.member_exchange
            self.members.table.heard(exchange.peer.name, exchange.incarnation)

    async def close(self) -> None:
        """End the session."""
        self.documents.detach(self.document_exchange)
        self.members.detach(self.member_exchange)
        await end_task(self.task)
