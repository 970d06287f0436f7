"""Asks the peers of the region for chunks: rarest first, a bounded number at a time."""

from typing import Final

from gypsumpier.weight.choice import Choice, choose
from gypsumpier.weight.fetch import NOT_SENT_S, Fetch
from gypsumpier.weight.pacing import Pacing
from gypsumpier.weight.peer import Peer
from gypsumpier.weight.peers import Peers

PEER_REQUESTS: Final = 4
ALL_REQUESTS: Final = 24
RACE_FACTOR: Final = 2.0
RACE_REQUESTS: Final = 2
IDLE_S: Final = 0.25


class RegionRequests:
    """The task that asks the region's peers for one transfer's chunks."""

    def __init__(self, fetch: Fetch, peers: Peers, pacing: Pacing) -> None:
        self.fetch = fetch
        self.peers = peers
        self.pacing = pacing
        self.random = fetch.context.random
        self.region = fetch.context.options.region

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            choice = self.next_choice()
            if choice is None:
                await self.fetch.wait_change(IDLE_S)
                continue
            peer = self.peers.by_name[choice.peer]
            self.fetch.begin_ask(choice.chunk, peer)
            await self.pacing.ask(self.region, self.fetch.length(choice.chunk))
            self.fetch.send_ask(choice.chunk, peer)

    def next_choice(self) -> Choice | None:
        """Return the next chunk and the peer to ask for it."""
        peers = self.peers.in_region(self.region)
        if sum(len(peer.asked) for peer in peers) >= ALL_REQUESTS:
            return None
        free = [peer for peer in peers if peer.usable and len(peer.asked) < PEER_REQUESTS]
        wanted = self.fetch.wanted()
        if not wanted:
            return self.race(free)
        offers = {peer.name: self.offered(peer) & wanted for peer in free}
        busy = {peer.name: len(peer.asked) for peer in free}
        return choose(offers, busy, self.fetch.availability.counts, self.random)

    def offered(self, peer: Peer) -> set[int]:
        """Return what the peer holds of the transfer."""
        return peer.holds.get(self.fetch.layout, set())

    def race(self, free: list[Peer]) -> Choice | None:
        """At the end, ask a second peer for a chunk that is slow to come."""
        slow_s = RACE_FACTOR * self.usual_response_s()
        now_s = self.fetch.context.clock.monotonic()
        for index, askers in self.fetch.asks.items():
            asked_at_s = askers[0].asked.get((self.fetch.layout, index), NOT_SENT_S)
            if len(askers) >= RACE_REQUESTS or now_s - asked_at_s < slow_s:
                continue
            others = [peer for peer in free if peer not in askers]
            holders = [peer for peer in others if index in self.offered(peer)]
            if holders:
                return Choice(index, min(holders, key=lambda peer: len(peer.asked)).name)
        return None

    def usual_response_s(self) -> float:
        """Return the mean time in which the region's peers have answered."""
        times = [peer.response_s for peer in self.peers.in_region(self.region)]
        known = [time_s for time_s in times if time_s is not None]
        stall_s = self.fetch.context.options.transfer_stall_s
        return sum(known) / len(known) if known else stall_s
