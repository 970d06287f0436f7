"""The state of fetching one transfer: open requests by peer, and what has been received.

The tasks that use this state (``RegionRequests``, ``RegionImports``, ``StoreDownloads``) choose
which chunks to request; the swarm passes on what peers send.  A chunk is requested from one peer
at a time, except at the end, when a slow response may be hedged by a second request.  Requests
that wait too long are cancelled.
"""

import asyncio
from collections.abc import Iterable
from contextlib import suppress
from typing import Final

from gypsumpier.codes.weight import CHUNK_CORRUPT
from gypsumpier.errors import GypsumpierError
from gypsumpier.log import decision
from gypsumpier.weight.availability import Availability, Slot
from gypsumpier.weight.context import RolloutContext
from gypsumpier.weight.message import Unwant, Want
from gypsumpier.weight.peer import Peer
from gypsumpier.weight.plan import ImportPlan, takeover_s
from gypsumpier.weight.tally import OTHER_REGION, REGION, Tally
from gypsumpier.weight.transfer import Transfer

STALL_FACTOR: Final = 6.0
"""A request expires after this many mean response times of its peer, if that is longer than
``transfer_stall_s``."""
FAULTS_LIMIT: Final = 2
"""Consecutive faults from which a peer counts as not holding what it left unanswered."""
NOT_SENT_S: Final = float("inf")
"""Stands for the send time of a request that waits for pacing, so that it never expires."""


class Fetch:
    """The requests and the progress of one transfer."""

    def __init__(
        self, context: RolloutContext, transfer: Transfer, tally: Tally, plan: ImportPlan
    ) -> None:
        self.context = context
        self.transfer = transfer
        self.layout = transfer.manifest.layout
        self.tally = tally
        self.plan = plan
        self.availability = Availability(
            context.clock, len(transfer.manifest.chunks), context.options.transfer_stall_s
        )
        self.requested_from: dict[int, list[Peer]] = {}
        self.downloading: set[int] = set()
        self.unannounced: set[int] = set()
        self.announcement_due = asyncio.Event()
        self.failure: GypsumpierError | None = None
        self.recheck_list = False
        self.changed = asyncio.Event()
        self.started_at_s = context.clock.monotonic()
        self.received_at_s = self.started_at_s
        self.taken_over: set[Slot] = set()

    def wanted(self) -> set[int]:
        """Return the missing chunks that may be requested and aren't being fetched or staged."""
        wanted = (
            self.transfer.missing
            - self.transfer.staging
            - self.requested_from.keys()
            - self.downloading
        )
        window = self.transfer.window()
        if window < len(self.transfer.manifest.chunks):
            wanted = {index for index in wanted if index < window}
        return wanted

    def length(self, index: int) -> int:
        """Return a chunk's length in bytes."""
        return self.transfer.manifest.chunks[index].length

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait until the state changes, at most that many seconds."""
        self.changed.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self.changed.wait()

    def add_request(self, index: int, peer: Peer) -> None:
        """Register a request to the peer that waits for pacing and is not sent yet."""
        self.requested_from.setdefault(index, []).append(peer)
        peer.open_requests[(self.layout, index)] = NOT_SENT_S

    def send_request(self, index: int, peer: Peer) -> None:
        """Send the registered request, unless the chunk has arrived or the peer is gone."""
        if index not in self.transfer.missing or peer.connection.closed:
            self.remove_request(index, peer)
            return
        peer.open_requests[(self.layout, index)] = self.context.clock.monotonic()
        peer.post(Want(self.layout, index))

    def remove_request(self, index: int, peer: Peer) -> None:
        """Remove a request to the peer from the open ones."""
        peer.open_requests.pop((self.layout, index), None)
        asked_peers = self.requested_from.get(index, [])
        if peer in asked_peers:
            asked_peers.remove(peer)
        if not asked_peers:
            self.requested_from.pop(index, None)
        self.changed.set()

    def cancel_requests(self, index: int) -> None:
        """Cancel all open requests for a chunk."""
        for peer in list(self.requested_from.get(index, [])):
            peer.post(Unwant(self.layout, index))
            self.remove_request(index, peer)

    async def on_content(self, peer: Peer, index: int, content: bytes) -> None:
        """Handle a chunk that a peer has sent; a corrupt one counts as a fault of the peer."""
        peer.record_response(self.layout, index)
        self.remove_request(index, peer)
        source = REGION if peer.region == self.context.options.region else OTHER_REGION
        try:
            await self.receive(source, index, content)
        except GypsumpierError as error:
            if error.code == CHUNK_CORRUPT:
                peer.record_fault()
                self.on_refusal(peer, index, held=False)
                decision("chunk_corrupt", peer=peer.name, index=index, reason=str(error))
            else:
                self.fail(error)

    async def receive(self, source: str, index: int, content: bytes) -> None:
        """Verify, stage and count a chunk; raise GypsumpierError where one of these fails."""
        try:
            used = await self.transfer.receive(index, content)
        except GypsumpierError as error:
            if error.code == CHUNK_CORRUPT:
                self.tally.add_corrupt(source, len(content))
            raise
        self.tally.add(source, len(content), used)
        self.received_at_s = self.context.clock.monotonic()
        places = self.transfer.indexes_by_digest[self.transfer.manifest.chunks[index].digest]
        for place in places:
            self.cancel_requests(place)
        self.queue_announcement(set(places))
        self.availability.mark_seen(set(places), self.plan)
        self.changed.set()

    def may_take_over(self, index: int, source: str, rank: int) -> bool:
        """Return whether this agent may import a chunk that is assigned to another agent.

        It may once the chunk's slot has made no progress, and this agent has received nothing, for
        the rank's takeover time.  From then on it may import every chunk of the slot.
        """
        slot = (source, self.plan.slot(index, source))
        if slot in self.taken_over:
            return True
        idle_s = self.context.clock.monotonic() - self.received_at_s
        stalled_s = min(idle_s, self.availability.stalled_s(index, self.plan))
        if stalled_s < takeover_s(rank, self.context.options.transfer_stall_s):
            return False
        self.taken_over.add(slot)
        decision("import_taken_over", source=source, rank=rank, reason="the slot made no progress")
        return True

    def queue_announcement(self, indexes: set[int]) -> None:
        """Queue chunks that the cache holds for the next announcement to the peers."""
        cache = self.context.cache
        chunks = self.transfer.manifest.chunks
        self.unannounced |= {
            index for index in indexes if cache.get(chunks[index].digest) is not None
        }
        self.announcement_due.set()

    def fail(self, error: GypsumpierError) -> None:
        """Record the error that ends the fetch."""
        self.failure = error
        self.changed.set()

    def on_refusal(self, peer: Peer, index: int, held: bool) -> None:
        """Remove a refused request; unless ``held``, record that the peer lacks the chunk."""
        self.remove_request(index, peer)
        if not held and index in peer.holds.get(self.layout, set()):
            peer.holds[self.layout].discard(index)
            if peer.region == self.context.options.region:
                self.availability.remove({index})

    def on_holds(self, peer: Peer, indexes: set[int]) -> None:
        """Count the chunks that a peer newly holds."""
        if peer.region == self.context.options.region:
            self.availability.add(self.chunks_of(indexes), self.plan)
        self.changed.set()

    def chunks_of(self, indexes: set[int]) -> set[int]:
        """Return those indexes that are chunks of the transfer."""
        return {index for index in indexes if self.is_chunk(index)}

    def is_chunk(self, index: int) -> bool:
        """Return whether the index is one of the transfer's chunks."""
        return 0 <= index < len(self.transfer.manifest.chunks)

    def on_peer_lost(self, peer: Peer) -> None:
        """Remove the requests to a peer and what it held."""
        for index in [
            index for index, asked_peers in self.requested_from.items() if peer in asked_peers
        ]:
            self.remove_request(index, peer)
        if peer.region == self.context.options.region:
            self.availability.remove(self.chunks_of(peer.holds.get(self.layout, set())))

    def expire(self, peers: Iterable[Peer]) -> None:
        """Cancel overdue requests; each peer that has any gets one fault."""
        now_s = self.context.clock.monotonic()
        for peer in peers:
            limit_s = self.context.options.transfer_stall_s
            limit_s = max(limit_s, STALL_FACTOR * (peer.response_s or 0.0))
            overdue = [
                index
                for (layout, index), requested_at_s in peer.open_requests.items()
                if layout == self.layout and now_s - requested_at_s > limit_s
            ]
            if overdue:
                peer.record_fault()
            for index in overdue:
                peer.post(Unwant(self.layout, index))
                # A chunk that only a stalled peer holds must become available for import again.
                self.on_refusal(peer, index, held=peer.faults < FAULTS_LIMIT)
            if overdue:
                decision(
                    "peer_stalled",
                    peer=peer.name,
                    chunks=len(overdue),
                    reason="no response in time",
                )
