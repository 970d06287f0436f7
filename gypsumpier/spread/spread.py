"""The component that holds all sessions of the process.

``is_watcher`` is set by the code that knows the topology (``SpreadStreams``); an agent is never a
watcher.
"""

import asyncio
import random
from typing import Final

from gypsumpier.clock import Clock
from gypsumpier.document.metrics import DOCUMENT_DISTANCE
from gypsumpier.document.spread import DocumentSpread
from gypsumpier.document.table import DocumentTable
from gypsumpier.member.spread import MemberSpread
from gypsumpier.member.table import MemberTable
from gypsumpier.options import Options
from gypsumpier.spread.freshness import Freshness
from gypsumpier.spread.identity import Identity
from gypsumpier.spread.readschedule import ReadSchedule
from gypsumpier.spread.session import Session, Standing
from gypsumpier.tasks import end_task
from gypsumpier.wire.connection import Connection

TICK_S: Final = 0.25
PEERS_POLL_S: Final = 0.05


class Spread:
    """All sessions of the process, and when it reads the platform's services itself."""

    def __init__(
        self,
        options: Options,
        clock: Clock,
        randomness: random.Random,
        documents: DocumentTable,
        members: MemberTable,
    ) -> None:
        self.options = options
        self.clock = clock
        self.is_watcher = not options.spread
        self.documents = DocumentSpread(options, clock, randomness, documents)
        self.members = MemberSpread(options, clock, members)
        self.sessions: set[Session] = set()
        self.document_reads = self.read_schedule(randomness, self.documents.freshness)
        self.member_reads = self.read_schedule(randomness, self.members.freshness)
        self.task: asyncio.Task[None] | None = None

    def read_schedule(self, randomness: random.Random, freshness: Freshness) -> ReadSchedule:
        """Return the read schedule of the service that ``freshness`` measures the distance to."""
        return ReadSchedule(
            self.options,
            self.clock,
            randomness,
            freshness,
            lambda: self.is_watcher,
            self.members.member_count,
        )

    async def start(self) -> None:
        """Subscribe to member changes and start the periodic work."""
        self.members.table.subscribe(self.wake_all)
        self.task = asyncio.create_task(self.run())

    async def stop(self) -> None:
        """Stop the periodic work and end all sessions."""
        await end_task(self.task)
        for session in list(self.sessions):
            await self.detach(session)

    def attach(self, connection: Connection, peer: Identity) -> Session:
        """Start a session on a connection that has just opened, and return it."""
        session = Session(self.clock, connection, peer, self.documents, self.members)
        self.sessions.add(session)
        return session

    async def detach(self, session: Session) -> None:
        """End a session whose connection has closed."""
        self.sessions.discard(session)
        await session.close()

    def announce_leaving(self) -> None:
        """Announce to every peer that this instance accepts no new work."""
        self.members.leaving = True
        self.wake_all()

    def wake_all(self) -> None:
        """Make every session check for something to send."""
        for session in self.sessions:
            session.wake()

    async def run(self) -> None:
        """Run the periodic work every ``TICK_S`` seconds."""
        while True:
            await self.clock.sleep(TICK_S)
            self.documents.tick()
            self.members.table.sweep()
            standing = self.standing()
            DOCUMENT_DISTANCE.set(standing.document_distance)
            for session in self.sessions:
                session.report_liveness()
                if session.is_due(standing):
                    session.wake()

    def standing(self) -> Standing:
        """Return the shared state that may have changed with time alone."""
        return Standing(
            self.clock.monotonic(),
            self.documents.freshness.distance(),
            self.members.freshness.distance(),
            self.members.source(),
        )

    async def wait_for_peers(self) -> None:
        """Wait until a first entry has announced everything it holds, for at most ``start_wait_s``.

        Returns early where the member list names no other entry.
        """
        until_s = self.clock.monotonic() + self.options.start_wait_s
        while self.clock.monotonic() < until_s and not self.documents.synced.is_set():
            if self.is_only_entry():
                return
            await self.clock.sleep(PEERS_POLL_S)

    def is_only_entry(self) -> bool:
        """Return whether the platform's list names this entry and no other."""
        names = {member.name for member in self.members.table.entries()}
        return bool(names) and names <= {self.options.name}

    def inspect(self) -> dict[str, object]:
        """Return what the administration API shows about sessions, fetch requests and distances."""
        return {
            "is_watcher": self.is_watcher,
            "document_distance": self.documents.freshness.distance(),
            "member_distance": self.members.freshness.distance(),
            "open_asks": len(self.documents.fetch_requests.open),
            "sessions": sorted(session.peer.name for session in self.sessions),
        }
