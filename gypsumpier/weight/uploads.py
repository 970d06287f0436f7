"""Serves chunks from the cache and announces the chunks that can be served."""

from gypsumpier.weight.cache import ChunkCache
from gypsumpier.weight.message import Content, Have, Refusal, Want, bits_of
from gypsumpier.weight.pacing import Pacing
from gypsumpier.weight.peer import Peer
from gypsumpier.weight.transfer import Transfer


class Uploads:
    """The transfers whose chunks this agent serves, by layout."""

    def __init__(self, cache: ChunkCache, pacing: Pacing) -> None:
        self.cache = cache
        self.pacing = pacing
        self.transfers: dict[str, Transfer] = {}

    def add(self, transfer: Transfer) -> None:
        """Start serving the chunks of a transfer."""
        self.transfers[transfer.manifest.layout] = transfer

    def remove(self, transfer: Transfer) -> None:
        """Stop serving the chunks of a transfer."""
        self.transfers.pop(transfer.manifest.layout, None)

    def announce_all(self, peer: Peer) -> None:
        """Announce to a peer all chunks that can be served."""
        for transfer in self.transfers.values():
            self.announce(peer, transfer)

    def announce(self, peer: Peer, transfer: Transfer) -> None:
        """Announce to a peer the chunks of one transfer that can be served."""
        chunks = transfer.manifest.chunks
        held = {
            index
            for index, chunk in enumerate(chunks)
            if index in transfer.held and self.cache.get(chunk.digest) is not None
        }
        peer.post(Have(transfer.manifest.layout, bits_of(held, len(chunks))))

    def accept_request(self, peer: Peer, want: Want) -> None:
        """Queue a peer's request, or refuse it at once where the peer's queue is full."""
        if not peer.enqueue(want):
            peer.post(Refusal(want.layout, want.chunk, held=True))

    async def send_to(self, peer: Peer) -> None:
        """Send the peer the chunks that it requests, until cancelled."""
        while True:
            want = await peer.next_want()
            content = self.content(want)
            if content is None:
                peer.post(Refusal(want.layout, want.chunk, held=False))
                continue
            await self.pacing.acquire_send(peer.region, len(content))
            await peer.send(Content(want.layout, want.chunk, content))

    def content(self, want: Want) -> bytes | None:
        """Return the requested chunk, or None where it can't be served."""
        transfer = self.transfers.get(want.layout)
        if transfer is None or not 0 <= want.chunk < len(transfer.manifest.chunks):
            return None
        return self.cache.get(transfer.manifest.chunks[want.chunk].digest)
