"""Draws from the weight store the chunks that the plan gives to this agent.

Agents outside the root region draw only when every other way has stalled.  An agent that joins
when its peers hold most of the version waits for them as if its rank were one worse, because what
it would draw is most likely in the region already.
"""

from typing import Final

from gypsumpier.codes.weight import CHUNK_CORRUPT
from gypsumpier.errors import GypsumpierError
from gypsumpier.log import decision
from gypsumpier.weight.fetch import Fetch
from gypsumpier.weight.message import Claim
from gypsumpier.weight.pacing import Pacing
from gypsumpier.weight.peers import Peers
from gypsumpier.weight.plan import STORE

IDLE_WAIT_S: Final = 0.1
NEIGHBOURS_TIMEOUT_S: Final = 1.0
NON_ROOT_RANK_PENALTY: Final = 3


class StoreDownloads:
    """One of the tasks that draw from the store."""

    def __init__(self, fetch: Fetch, peers: Peers, pacing: Pacing) -> None:
        self.fetch = fetch
        self.peers = peers
        self.pacing = pacing
        self.store_reader = fetch.context.store_reader
        self.clock = fetch.context.clock

    async def run(self) -> None:
        """Draw until cancelled."""
        await self.wait_for_neighbours()
        while True:
            index = self.next_index()
            if index is None:
                await self.clock.sleep(IDLE_WAIT_S)
                continue
            self.fetch.downloading.add(index)
            self.peers.post_in_region(Claim(self.fetch.layout, index))
            try:
                await self.download(index)
            finally:
                self.fetch.downloading.discard(index)

    async def wait_for_neighbours(self) -> None:
        """Wait a moment for the neighbours to tell what they hold."""
        while not self.peers.all_neighbours_connected():
            if self.clock.monotonic() - self.fetch.started_at_s > NEIGHBOURS_TIMEOUT_S:
                return
            await self.clock.sleep(IDLE_WAIT_S)

    async def download(self, index: int) -> None:
        """Draw one chunk; after a failure wait until a source may be asked again."""
        try:
            await self.pacing.acquire_store_read(self.fetch.length(index))
            if index not in self.fetch.transfer.missing:
                return
            source, content = await self.store_reader.chunk(
                self.fetch.transfer, index, self.fetch.tally
            )
        except GypsumpierError as error:
            decision("draw_failed", index=index, reason=str(error))
            self.fetch.recheck_list |= error.code == CHUNK_CORRUPT
            await self.clock.sleep(max(IDLE_WAIT_S, self.store_reader.backoff_remaining_s()))
            return
        try:
            await self.fetch.receive(source, index, content)
        except GypsumpierError as error:
            self.fetch.fail(error)

    def next_index(self) -> int | None:
        """Return the next chunk to draw."""
        ranks = self.fetch.plan.own_ranks(STORE)
        penalty = self.rank_penalty()
        wanted = self.fetch.wanted() - self.fetch.availability.seen
        unclaimed = [index for index in sorted(wanted) if not self.is_claimed(index)]
        taken_over = []
        for index in unclaimed:
            rank = ranks[self.fetch.plan.slot(index, STORE)] + penalty
            if rank == 0:
                return index
            if self.fetch.may_take_over(index, STORE, rank):
                taken_over.append(index)
        return self.fetch.context.random.choice(taken_over) if taken_over else None

    def is_claimed(self, index: int) -> bool:
        """Tell whether another agent of the region is importing the chunk."""
        return self.fetch.availability.is_claimed(index)

    def rank_penalty(self) -> int:
        """Return by how much this agent's ranks are worse than the plan's."""
        if self.fetch.plan.root != self.fetch.context.options.region:
            return NON_ROOT_RANK_PENALTY
        chunks = len(self.fetch.transfer.manifest.chunks)
        peers = self.peers.in_region(self.fetch.context.options.region)
        held = [len(peer.holds.get(self.fetch.layout, set())) for peer in peers]
        return 1 if any(2 * count > chunks for count in held) else 0
