"""Downloads from the weight store the chunks that the plan assigns to this agent.

Agents outside the root region download from the store only when every other source has stalled.
An agent that joins when some peer of its region holds more than half of the version uses a rank
that is worse by one, because what it would download is most likely in the region already.
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
"""Longest wait at the start for connections to all neighbours."""
NON_ROOT_RANK_PENALTY: Final = 3
"""Added to the ranks of agents outside the root region."""


class StoreDownloads:
    """One of a fetch's tasks that download from the store."""

    def __init__(self, fetch: Fetch, peers: Peers, pacing: Pacing) -> None:
        self.fetch = fetch
        self.peers = peers
        self.pacing = pacing
        self.store_reader = fetch.context.store_reader
        self.clock = fetch.context.clock

    async def run(self) -> None:
        """Download until cancelled."""
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
        """Wait until all neighbours are connected, and so may report what they hold."""
        while not self.peers.all_neighbours_connected():
            if self.clock.monotonic() - self.fetch.started_at_s > NEIGHBOURS_TIMEOUT_S:
                return
            await self.clock.sleep(IDLE_WAIT_S)

    async def download(self, index: int) -> None:
        """Download one chunk; after a failure wait until a source may be read again."""
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
        """Return the index of the next chunk to download, or None where there is none now."""
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
        """Return whether another agent of the region claims to be importing the chunk."""
        return self.fetch.availability.is_claimed(index)

    def rank_penalty(self) -> int:
        """Return the number to be added to this agent's ranks in the plan."""
        if self.fetch.plan.root != self.fetch.context.options.region:
            return NON_ROOT_RANK_PENALTY
        chunks = len(self.fetch.transfer.manifest.chunks)
        peers = self.peers.in_region(self.fetch.context.options.region)
        held = [len(peer.holds.get(self.fetch.layout, set())) for peer in peers]
        return 1 if any(2 * count > chunks for count in held) else 0
