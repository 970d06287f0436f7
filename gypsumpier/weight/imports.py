"""Imports chunks from one other region, where the plan makes this agent the importer.

An agent of a lower rank imports only after the chunk's slot has been without progress for as
long as its rank says, and then in random order, so that several who take over seldom meet.  A
chunk that the plan takes from a third region is imported from here when that way has stalled.
"""

from typing import Final

from gypsumpier.weight.fetch import Fetch
from gypsumpier.weight.message import Claim
from gypsumpier.weight.pacing import Pacing
from gypsumpier.weight.peer import Peer
from gypsumpier.weight.peers import Peers

LINK_REQUESTS: Final = 3
IDLE_S: Final = 0.1


class Imports:
    """The task that imports from one region."""

    def __init__(self, fetch: Fetch, peers: Peers, pacing: Pacing, source: str) -> None:
        self.fetch = fetch
        self.peers = peers
        self.pacing = pacing
        self.source = source

    async def run(self) -> None:
        """Import until cancelled."""
        while True:
            peer = self.exporter()
            index = self.next_index(peer) if peer is not None else None
            if peer is None or index is None:
                await self.fetch.wait_change(IDLE_S)
                continue
            self.fetch.begin_ask(index, peer)
            self.peers.post_in_region(Claim(self.fetch.layout, index))
            await self.pacing.ask(self.source, self.fetch.length(index))
            self.fetch.send_ask(index, peer)

    def exporter(self) -> Peer | None:
        """Return the first usable peer of the region in its rank order, while it has room."""
        by_name = self.peers.by_name
        for name in self.fetch.plan.exporters(self.source):
            peer = by_name.get(name)
            if peer is not None and peer.usable and peer.holds.get(self.fetch.layout):
                return peer if len(peer.asked) < LINK_REQUESTS else None
        return None

    def next_index(self, peer: Peer) -> int | None:
        """Return the next chunk to import from the peer."""
        offered = peer.holds.get(self.fetch.layout, set()) & self.fetch.wanted()
        available = self.fetch.availability
        offered = {index for index in offered - available.seen if not available.is_claimed(index)}
        own = [index for index in offered if self.rank(index) == 0]
        if own:
            return min(own)
        taken_over = sorted(index for index in offered if self.may_import(index))
        return self.fetch.context.random.choice(taken_over) if taken_over else None

    def rank(self, index: int) -> int:
        """Return this agent's rank for the chunk; one worse where it comes another way."""
        plan = self.fetch.plan
        detour = 0 if plan.source(index) == self.source else 1
        return plan.rank(index, self.source) + detour

    def may_import(self, index: int) -> bool:
        """Tell whether this agent may import a chunk that another should."""
        return self.fetch.may_take_over(index, self.source, self.rank(index))
