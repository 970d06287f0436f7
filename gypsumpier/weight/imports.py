"""Imports chunks from one other region, where the plan makes this agent the importer.

An agent of a lower rank imports only after the chunk's slot has made no progress for its rank's
takeover time, and then in random order, so that several agents that take over seldom import the
same chunk.  A chunk that the plan imports from another source is imported from this region when
that source has stalled.
"""

from typing import Final

from gypsumpier.weight.choice import Choice
from gypsumpier.weight.fetch import Fetch
from gypsumpier.weight.message import Claim
from gypsumpier.weight.pacing import Pacing
from gypsumpier.weight.peer import Peer
from gypsumpier.weight.peers import Peers

MAX_REQUESTS_PER_EXPORTER: Final = 3
IDLE_WAIT_S: Final = 0.1


class RegionImports:
    """The task that imports from one region."""

    def __init__(self, fetch: Fetch, peers: Peers, pacing: Pacing, source: str) -> None:
        self.fetch = fetch
        self.peers = peers
        self.pacing = pacing
        self.source = source

    async def run(self) -> None:
        """Import until cancelled."""
        while True:
            choice = self.next_choice()
            if choice is None:
                await self.fetch.wait_for_change(IDLE_WAIT_S)
                continue
            peer = self.peers.by_name[choice.peer]
            self.fetch.add_request(choice.chunk, peer)
            self.peers.post_in_region(Claim(self.fetch.layout, choice.chunk))
            await self.pacing.acquire_request(self.source, self.fetch.length(choice.chunk))
            self.fetch.send_request(choice.chunk, peer)

    def next_choice(self) -> Choice | None:
        """Return the next chunk and its exporter, the least busy one that offers any, or None."""
        for peer in sorted(self.exporters(), key=lambda peer: len(peer.open_requests)):
            index = self.next_index(peer)
            if index is not None:
                return Choice(index, peer.name)
        return None

    def exporters(self) -> list[Peer]:
        """Return the region's usable peers below the request limit, in rank order."""
        by_name = self.peers.by_name
        ranked = [by_name[n] for n in self.fetch.plan.exporters(self.source) if n in by_name]
        return [
            peer
            for peer in ranked
            if peer.usable and len(peer.open_requests) < MAX_REQUESTS_PER_EXPORTER
        ]

    def next_index(self, peer: Peer) -> int | None:
        """Return the index of the next chunk to import from the peer, or None."""
        offered = peer.holds.get(self.fetch.layout, set()) & self.fetch.wanted()
        available = self.fetch.availability
        offered = {index for index in offered - available.seen if not available.is_claimed(index)}
        own = [index for index in offered if self.rank(index) == 0]
        if own:
            return min(own)
        taken_over = sorted(index for index in offered if self.may_import(index))
        return self.fetch.context.random.choice(taken_over) if taken_over else None

    def rank(self, index: int) -> int:
        """Return this agent's rank for the chunk; one worse where the plan has another source."""
        plan = self.fetch.plan
        penalty = 0 if plan.source(index) == self.source else 1
        return plan.rank(index, self.source) + penalty

    def may_import(self, index: int) -> bool:
        """Return whether this agent may import a chunk that is assigned to another agent."""
        return self.fetch.may_take_over(index, self.source, self.rank(index))
