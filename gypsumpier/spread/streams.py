"""The streams between entries, which follow the member list and the reachability of peers.

An entry dials the peers that ``topology`` chooses.  While one of them fails, the next by rank is
dialled as a substitute.  The failing one is still redialled; when it answers again, the substitute
is closed.  An entry that is among the first of its zone's reachable entries watches the platform,
so a zone whose watchers are paused or cut off gets new ones as soon as their silence is noticed.
"""

import asyncio
import random
from typing import Final

from gypsumpier.clock import Clock
from gypsumpier.codes.document import STREAMS_FULL
from gypsumpier.errors import GypsumpierError
from gypsumpier.external.membership import Member
from gypsumpier.log import decision
from gypsumpier.member.table import MemberTable
from gypsumpier.options import Options
from gypsumpier.spread import topology
from gypsumpier.spread.identity import Identity, own_member
from gypsumpier.spread.link import SpreadLink
from gypsumpier.spread.serving import serve
from gypsumpier.spread.spread import Spread
from gypsumpier.tasks import end_task
from gypsumpier.wire.connection import Connection
from gypsumpier.wire.stream import Dialer, Stream

REFRESH_S: Final = 0.25
ACCEPTED_LIMIT: Final = 512


class SpreadStreams:
    """Component of an entry: its links to other entries and the streams that others dial to it."""

    def __init__(
        self,
        options: Options,
        clock: Clock,
        dialer: Dialer,
        randomness: random.Random,
        members: MemberTable,
        spread: Spread,
    ) -> None:
        self.options = options
        self.clock = clock
        self.dialer = dialer
        self.randomness = randomness
        self.members = members
        self.spread = spread
        self.links: dict[str, SpreadLink] = {}
        self.accepted: set[Connection] = set()
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the task that maintains the links."""
        self.task = asyncio.create_task(self.run())

    async def stop(self) -> None:
        """Close all streams."""
        await end_task(self.task)
        for link in self.links.values():
            await link.stop()
        for connection in list(self.accepted):
            connection.close()

    async def accept(self, stream: Stream) -> None:
        """Serve a stream that another entry has dialled, or close it where too many are open."""
        if len(self.accepted) >= ACCEPTED_LIMIT:
            reason = f"{ACCEPTED_LIMIT} accepted streams are open; the new one was closed"
            decision("spread_stream_refused", code=STREAMS_FULL.number, reason=reason)
            stream.close()
            return
        options = self.options
        connection = Connection(stream, self.clock, options.heartbeat_s, options.silence_s)
        self.accepted.add(connection)
        try:
            await serve(connection, self.spread, Identity("", "entry"), lambda: None)
        except GypsumpierError as error:
            decision("spread_stream_lost", reason=error)
        finally:
            self.accepted.discard(connection)

    async def run(self) -> None:
        """Refresh the links and the watcher role every ``REFRESH_S`` seconds."""
        while True:
            await self.refresh()
            await self.clock.sleep(REFRESH_S)

    async def refresh(self) -> None:
        """Open and close links, and decide whether this entry is a watcher."""
        if not self.options.spread:
            return
        entries = self.entries()
        failing = {name for name, link in self.links.items() if link.is_failing}
        self.update_watcher([entry for entry in entries if entry.name not in failing])
        ideal = self.targets(entries, set())
        targets = ideal | self.targets(entries, failing)
        for member in targets.values():
            self.open(member)
        await self.close_unwanted(targets, is_degraded=not failing.isdisjoint(ideal))

    def targets(self, entries: list[Member], failing: set[str]) -> dict[str, Member]:
        """Return, by name, the entries to which this entry should have a stream."""
        own = own_member(self.options)
        chosen = topology.peers(own, entries, failing, self.options.watchers_per_zone)
        return {member.name: member for member in chosen if member.name != own.name}

    def entries(self) -> list[Member]:
        """Return the other entries of the member list, and this one."""
        own = own_member(self.options, self.spread.members.leaving)
        return [entry for entry in self.members.entries() if entry.name != own.name] + [own]

    def update_watcher(self, reachable: list[Member]) -> None:
        """Make this entry a watcher exactly if it is among its zone's first reachable entries."""
        count = self.options.watchers_per_zone
        names = [one.name for one in topology.watchers(self.options.zone, reachable, count)]
        is_watcher = self.options.name in names
        if is_watcher != self.spread.is_watcher:
            decision("watch_duty", is_watcher=is_watcher, reason=f"watchers of the zone: {names}")
        self.spread.is_watcher = is_watcher

    def open(self, member: Member) -> None:
        """Open a link to the member unless there is one."""
        if member.name not in self.links:
            self.links[member.name] = SpreadLink(
                self.options, self.clock, self.dialer, self.randomness, member, self.spread
            )

    async def close_unwanted(self, targets: dict[str, Member], is_degraded: bool) -> None:
        """Close links that are no longer targets or lead to an instance that was replaced.

        ``is_degraded`` states that a first choice is failing.  Failing substitutes are then kept;
        otherwise their failure would be forgotten and they would be chosen again.
        """
        known = self.members.members
        for name, link in list(self.links.items()):
            is_kept = name in targets or (is_degraded and link.is_failing and name in known)
            target = targets.get(name, known.get(name))
            if not is_kept or target is None or is_replaced(link.member, target):
                await self.links.pop(name).stop()


def is_replaced(old: Member, new: Member) -> bool:
    """Return whether another process has replaced the member under the same name."""
    return (old.incarnation, old.host, old.port) != (new.incarnation, new.host, new.port)
