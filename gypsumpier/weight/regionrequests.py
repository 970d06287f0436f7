"""Requests chunks from the peers of the region: rarest first, a bounded number at a time."""

from typing import Final

from gypsumpier.weight.choice import Choice, choose
from gypsumpier.weight.fetch import NOT_SENT_S, Fetch
from gypsumpier.weight.pacing import Pacing
from gypsumpier.weight.peer import Peer
from gypsumpier.weight.peers import Peers

MAX_REQUESTS_PER_PEER: Final = 4
MAX_REQUESTS: Final = 24
HEDGE_FACTOR: Final = 2.0
"""A request is hedged after this many mean response times."""
MAX_PEERS_PER_CHUNK: Final = 2
"""Peers from which one chunk is requested at the same time, with hedging."""
IDLE_WAIT_S: Final = 0.25


class RegionRequests:
    """The task that requests one transfer's chunks from the region's peers."""

    def __init__(self, fetch: Fetch, peers: Peers, pacing: Pacing) -> None:
        self.fetch = fetch
        self.peers = peers
        self.pacing = pacing
        self.random = fetch.context.random
        self.region = fetch.context.options.region

    async def run(self) -> None:
        """Request chunks until cancelled."""
        while True:
            choice = self.next_choice()
            if choice is None:
                await self.fetch.wait_for_change(IDLE_WAIT_S)
                continue
            peer = self.peers.by_name[choice.peer]
            self.fetch.add_request(choice.chunk, peer)
            await self.pacing.acquire_request(self.region, self.fetch.length(choice.chunk))
            self.fetch.send_request(choice.chunk, peer)

    def next_choice(self) -> Choice | None:
        """Return the next chunk and the peer to request it from, or None where there is none."""
        peers = self.peers.in_region(self.region)
        if sum(len(peer.open_requests) for peer in peers) >= MAX_REQUESTS:
            return None
        free = [
            peer
            for peer in peers
            if peer.usable and len(peer.open_requests) < MAX_REQUESTS_PER_PEER
        ]
        wanted = self.fetch.wanted()
        if not wanted:
            return self.hedge(free)
        offers = {peer.name: self.offered(peer) & wanted for peer in free}
        busy = {peer.name: len(peer.open_requests) for peer in free}
        return choose(offers, busy, self.fetch.availability.counts, self.random)

    def offered(self, peer: Peer) -> set[int]:
        """Return the chunks of the transfer that the peer holds."""
        return peer.holds.get(self.fetch.layout, set())

    def hedge(self, free: list[Peer]) -> Choice | None:
        """Return a second peer for a chunk whose response is slow, once nothing else is wanted."""
        slow_s = HEDGE_FACTOR * self.mean_response_s()
        now_s = self.fetch.context.clock.monotonic()
        for index, asked_peers in self.fetch.requested_from.items():
            requested_at_s = asked_peers[0].open_requests.get(
                (self.fetch.layout, index), NOT_SENT_S
            )
            if len(asked_peers) >= MAX_PEERS_PER_CHUNK or now_s - requested_at_s < slow_s:
                continue
            others = [peer for peer in free if peer not in asked_peers]
            holders = [peer for peer in others if index in self.offered(peer)]
            if holders:
                return Choice(index, min(holders, key=lambda peer: len(peer.open_requests)).name)
        return None

    def mean_response_s(self) -> float:
        """Return the mean response time of the region's peers, ``transfer_stall_s`` if unknown."""
        times = [peer.response_s for peer in self.peers.in_region(self.region)]
        known = [time_s for time_s in times if time_s is not None]
        stall_s = self.fetch.context.options.transfer_stall_s
        return sum(known) / len(known) if known else stall_s
