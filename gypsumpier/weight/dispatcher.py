"""Dispatches each message of a peer to the component that handles it."""

from gypsumpier.weight.catalogue import Catalogue
from gypsumpier.weight.fetch import Fetch
from gypsumpier.weight.message import (
    AskFiles,
    Claim,
    Content,
    Files,
    Got,
    Have,
    Message,
    Refusal,
    Standing,
    Unwant,
    Want,
    indexes_of,
)
from gypsumpier.weight.peer import Peer
from gypsumpier.weight.standings import Standings
from gypsumpier.weight.uploads import Uploads


class MessageDispatcher:
    """Dispatches every message after the hello."""

    def __init__(
        self,
        uploads: Uploads,
        catalogue: Catalogue,
        standings: Standings,
        fetches: dict[str, Fetch],
    ) -> None:
        self.uploads = uploads
        self.catalogue = catalogue
        self.standings = standings
        self.fetches = fetches

    async def dispatch(self, peer: Peer, message: Message, delay_s: float) -> None:
        """Dispatch one message that took ``delay_s`` seconds; ignore a second hello."""
        match message:
            case Content():
                await self.handle_content(peer, message)
            case Want():
                self.uploads.accept_request(peer, message)
            case Unwant():
                peer.dequeue(message.layout, message.chunk)
            case Have():
                self.handle_holds(peer, message.layout, indexes_of(message.bits))
            case Got():
                indexes = {index for index in message.indexes if isinstance(index, int)}
                self.handle_holds(peer, message.layout, indexes)
            case Claim() | Refusal():
                self.handle_notice(peer, message)
            case AskFiles():
                self.catalogue.on_ask(peer, message)
            case Files():
                self.catalogue.on_files(peer, message, delay_s)
            case Standing():
                self.standings.on_standing(peer, message, delay_s)
            case _:
                return

    async def handle_content(self, peer: Peer, message: Content) -> None:
        """Pass a chunk to its fetch; drop it where no such fetch is running."""
        fetch = self.fetches.get(message.layout)
        if fetch is not None and fetch.is_chunk(message.chunk):
            await fetch.on_content(peer, message.chunk, message.content)

    def handle_holds(self, peer: Peer, layout: str, indexes: set[int]) -> None:
        """Record what a peer holds, also of layouts that this agent doesn't know yet."""
        new = peer.add_holds(layout, indexes)
        fetch = self.fetches.get(layout)
        if fetch is not None and new:
            fetch.on_holds(peer, new)

    def handle_notice(self, peer: Peer, message: Claim | Refusal) -> None:
        """Pass a claim or a refusal to its fetch."""
        fetch = self.fetches.get(message.layout)
        if fetch is None or not fetch.is_chunk(message.chunk):
            return
        if isinstance(message, Claim):
            fetch.availability.claim(message.chunk)
        else:
            fetch.on_refusal(peer, message.chunk, message.held)
