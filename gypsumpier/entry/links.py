"""The set of links of an entry, synchronised with the member list and the documents."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Final

from gypsumpier.clock import Clock
from gypsumpier.document.table import DocumentTable
from gypsumpier.entry.link import Link, ignore
from gypsumpier.entry.linkplan import plan_links
from gypsumpier.external.membership import Member
from gypsumpier.member.table import MemberTable
from gypsumpier.options import Options
from gypsumpier.spread.spread import Spread
from gypsumpier.tasks import end_task
from gypsumpier.wire.frame import Frame
from gypsumpier.wire.pace import Pace
from gypsumpier.wire.stream import Dialer

REFRESH_INTERVAL_S: Final = 0.25


class Links:
    """One link for each agent in the link plan, or for every agent without ``documents``.

    ``replaced`` holds links to processes that the member list no longer names, ``unplanned`` links
    to listed agents that the plan has dropped.  The callbacks are passed on to each new link.
    """

    def __init__(
        self,
        options: Options,
        clock: Clock,
        dialer: Dialer,
        random: Random,
        members: MemberTable,
        spread: Spread | None = None,
        documents: DocumentTable | None = None,
    ) -> None:
        self.options = options
        self.clock = clock
        self.dialer = dialer
        self.random = random
        self.members = members
        self.spread = spread
        self.documents = documents
        self.pace = Pace(options)
        self.is_stale = True
        members.subscribe(self.mark_stale)
        if documents is not None:
            documents.subscribe(lambda accepted: self.mark_stale())
        self.links: dict[str, Link] = {}
        self.replaced: list[Link] = []
        self.unplanned: list[Link] = []
        self.on_welcome: Callable[[Link], None] = ignore
        self.on_suspects: Callable[[list[list[str]]], None] = ignore
        self.on_key_frame: Callable[[Link, Frame], None] = ignore
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the task that follows the member table."""
        self.task = asyncio.create_task(self.run())

    async def stop(self) -> None:
        """Close every link."""
        await end_task(self.task)
        for link in [*self.links.values(), *self.replaced, *self.unplanned]:
            await link.stop()

    async def run(self) -> None:
        """Refresh the links periodically."""
        while True:
            await self.refresh()
            await self.clock.sleep(REFRESH_INTERVAL_S)

    async def refresh(self) -> None:
        """Open, replace and close links if the members or documents have changed."""
        await self.stop_replaced()
        await self.stop_surplus()
        if not self.is_stale:
            return
        self.is_stale = False
        agents = self.planned_agents()
        for name in list(self.links):
            if name not in agents and name in self.members.members:
                self.unplanned.append(self.links.pop(name))
            elif name not in agents or is_other_process(self.links[name].member, agents[name]):
                self.replaced.append(self.links.pop(name))
        for name, member in agents.items():
            if name not in self.links:
                self.open(member)
            elif member.leaving:
                self.links[name].leaving = True

    def mark_stale(self) -> None:
        """Make the next refresh evaluate members and documents again."""
        self.is_stale = True

    def planned_agents(self) -> dict[str, Member]:
        """Return the agents to link to, by name."""
        members = self.members.members
        agents = {name: member for name, member in members.items() if member.role == "agent"}
        if self.documents is None:
            return agents
        documents = {
            name: accepted.document
            for name, accepted in self.documents.accepted.items()
            if accepted.document is not None
        }
        names = plan_links(self.options, members.values(), documents)
        return {name: agents[name] for name in names}

    async def stop_replaced(self) -> None:
        """Stop links to processes that left the member table, once they have disconnected."""
        ended = [
            link for link in self.replaced if not link.attempts and link.open_connection is None
        ]
        for link in ended:
            self.replaced.remove(link)
            await link.stop()

    async def stop_surplus(self) -> None:
        """Stop links that the plan no longer contains, once nothing is in flight on them."""
        for link in [link for link in self.unplanned if not link.attempts]:
            self.unplanned.remove(link)
            await link.stop()

    def open(self, member: Member) -> None:
        """Start a link to a member, or restore its replaced link if that is not stopped yet."""
        for link in self.replaced:
            if link.member.name == member.name and not is_other_process(link.member, member):
                self.replaced.remove(link)
                self.links[member.name] = link
                return
        link = Link(
            self.options, self.clock, self.dialer, self.random, member, self.spread, self.pace
        )
        link.on_welcome = self.on_welcome
        link.on_key_frame = self.on_key_frame
        link.on_suspects = self.on_suspects
        self.links[member.name] = link
        link.start()

    def of_service(self, service: str) -> list[Link]:
        """Return the best link to each agent of a service."""
        return [
            self.best_link(name)
            for name, link in self.links.items()
            if link.member.service == service
        ]

    def best_link(self, name: str) -> Link:
        """Return the connected link to the youngest process in a slot.

        A stale member list may name a process that has already been replaced.
        """
        links = [link for link in self.replaced if link.member.name == name]
        connected = [link for link in [self.links[name], *links] if link.connection is not None]
        return max(connected, key=lambda link: link.started_at_s, default=self.links[name])


def is_other_process(old: Member, new: Member) -> bool:
    """Return whether the new member is another process in the same slot."""
    return old.incarnation != new.incarnation
