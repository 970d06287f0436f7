"""Replicates documents: announcements, fetch requests and contents on every session.

An accepted or refused revision is announced to each peer that subscribes to the name and is not
known to hold it.  Refused revisions are replicated as well, so that each instance shows the same
refusal and none fetches it from the service.  A peer that lacks an announced content fetches it.
The table alone decides what comes into force; contents from peers are only offered to it.

Lost messages are repaired in two ways: a new session begins with full lists, and digests over the
names that both sides subscribe to are compared when they have changed and every DIGEST_REPEAT_S.
"""

import asyncio
import random
from collections.abc import Callable, Hashable, Iterable
from typing import Any, Final, NamedTuple

from gypsumpier.clock import Clock
from gypsumpier.document.exchange import (
    DIGEST_REPEAT_S,
    DocumentExchange,
    bucket_count,
    common_names,
)
from gypsumpier.document.record import Refusal
from gypsumpier.document.service import Accepted
from gypsumpier.document.table import DocumentTable
from gypsumpier.options import Options
from gypsumpier.spread import message
from gypsumpier.spread.asks import FetchRequests
from gypsumpier.spread.digest import bucket_of, differing_buckets, digest_of
from gypsumpier.spread.freshness import Freshness
from gypsumpier.spread.identity import Identity
from gypsumpier.spread.message import Have, Holding

DIGEST_CACHE_MAX: Final = 1024


class CachedDigest(NamedTuple):
    """A digest and the generation of the table for which it was computed."""

    generation: int
    value: bytes


class DocumentSpread:
    """Replication of documents over all sessions of this process.

    ``synced`` is set when a first entry has sent everything that it held.  ``generation`` counts
    the changes of the table.
    """

    def __init__(
        self, options: Options, clock: Clock, randomness: random.Random, table: DocumentTable
    ) -> None:
        self.options = options
        self.clock = clock
        self.randomness = randomness
        self.table = table
        self.subscription = own_subscription(options)
        self.freshness = Freshness(clock, options.fresh_s)
        self.fetch_requests = FetchRequests(clock)
        self.exchanges: set[DocumentExchange] = set()
        self.synced = asyncio.Event()
        self.generation = 0
        self.digests: dict[frozenset[str] | None, CachedDigest] = {}
        table.subscribe(self.on_accepted)
        table.refusal_subscribers.append(self.on_refused)

    def attach(self, peer: Identity, wake: Callable[[], None]) -> DocumentExchange:
        """Begin a session with a peer; ``wake`` is called when there is something to send to it."""
        exchange = DocumentExchange(peer, wake)
        delay_s = self.randomness.uniform(0.5, 1.0) * self.options.digest_interval_s
        exchange.digest_due_at_s = self.clock.monotonic() + delay_s
        self.exchanges.add(exchange)
        return exchange

    def detach(self, exchange: DocumentExchange) -> None:
        """End the session with a peer; contents requested from it are fetched from other peers."""
        self.exchanges.discard(exchange)
        self.freshness.lost(exchange)
        self.queue_fetches(self.fetch_requests.lost(exchange))

    def is_in_scope(self, name: str) -> bool:
        """Return whether this process keeps documents of the name."""
        return self.subscription is None or name in self.subscription

    def on_accepted(self, accepted: Accepted) -> None:
        """Announce a revision that came into force."""
        self.announce(accepted.name)

    def on_refused(self, refusal: Refusal) -> None:
        """Announce a refused revision."""
        self.announce(refusal.revised.name)

    def announce(self, name: str) -> None:
        """Announce the ranks held for the name to the peers that subscribe to it."""
        self.generation += 1
        for exchange in self.exchanges:
            if exchange.is_subscribed(name):
                exchange.to_announce.add(name)
                exchange.wake()

    def handle_frame(self, exchange: DocumentExchange, kind: str, payload: dict[str, Any]) -> None:
        """Handle one frame; raise GypsumpierError with BAD_FRAME where it is malformed."""
        if kind == message.DOCUMENT_WANT:
            exchange.subscription = message.optional_names(payload, "names")
            exchange.full_list_due = True
        elif kind == message.DOCUMENT_HAVE:
            self.handle_announcement(exchange, message.unpacked_have(payload))
        elif kind == message.DOCUMENT_ASK:
            asked = message.unpacked_have(payload).holdings
            held = (one.name for one in asked if self.table.contents(one.name))
            exchange.to_send.update(held)
        elif kind == message.DOCUMENT_BODY:
            self.handle_body(exchange, payload)
        elif kind == message.DOCUMENT_DIGEST:
            self.handle_digest(exchange, payload)
        elif kind == message.DOCUMENT_DISTANCE:
            self.handle_distance(exchange, message.whole_number(payload, "distance"))

    def handle_announcement(self, exchange: DocumentExchange, have: Have) -> None:
        """Request announced contents that this process lacks; record the end of the full list."""
        for holding in have.holdings:
            exchange.record_known(holding)
            if not self.is_in_scope(holding.name):
                continue
            if not self.table.lacks(holding.name, holding.rank):
                continue
            if self.fetch_requests.record_announcement(exchange, holding):
                exchange.to_fetch[holding.name] = holding.rank
        exchange.listed |= have.last
        self.check_synced(exchange)

    def handle_body(self, exchange: DocumentExchange, payload: dict[str, Any]) -> None:
        """Offer a content to the table."""
        revised = message.unpacked_body(payload)
        if self.is_in_scope(revised.name):
            self.table.offer(revised, exchange.peer.name)
        for holding in self.fetch_requests.open_for(revised.name):
            if not self.table.lacks(holding.name, holding.rank):
                self.fetch_requests.close(holding)
        self.check_synced(exchange)

    def handle_digest(self, exchange: DocumentExchange, payload: dict[str, Any]) -> None:
        """Announce again all names in the buckets where the peer's digest differs."""
        names = common_names(self.subscription, exchange.subscription)
        count = bucket_count(names)
        peer_digest = payload.get("digest")
        if not isinstance(peer_digest, bytes):
            raise message.malformed_payload(
                message.DOCUMENT_DIGEST, TypeError("digest is not bytes")
            )
        buckets = differing_buckets(self.digest(names), peer_digest)
        for holding in self.holdings(names):
            if bucket_of(holding.name, count) in buckets:
                exchange.known.pop(holding.name, None)
                exchange.to_announce.add(holding.name)

    def handle_distance(self, exchange: DocumentExchange, distance: int) -> None:
        """Store an entry's distance to the service.

        Agents are ignored, because they hold too few documents to be a source for others.
        """
        if exchange.peer.role == "entry":
            self.freshness.set_peer_distance(exchange, distance)

    def check_synced(self, exchange: DocumentExchange) -> None:
        """Set ``synced`` when all contents that a first entry announced have arrived."""
        if self.synced.is_set() or exchange.peer.role != "entry" or not exchange.listed:
            return
        if not self.fetch_requests.is_waiting_for(exchange):
            self.synced.set()

    def holdings(self, names: frozenset[str] | None) -> list[Holding]:
        """Return the contents held for the names; None stands for all names."""
        held: Iterable[str] = self.table.names() if names is None else sorted(names)
        return [Holding(name, rank) for name in held for rank in self.table.ranks(name)]

    def digest(self, names: frozenset[str] | None) -> bytes:
        """Return the digest over the names; it is cached until the table changes."""
        known = self.digests.get(names)
        if known is None or known.generation != self.generation:
            value = digest_of(self.holdings(names), bucket_count(names))
            if known is None and len(self.digests) >= DIGEST_CACHE_MAX:
                self.digests.clear()
            known = self.digests[names] = CachedDigest(self.generation, value)
        return known.value

    def due_digest(self, exchange: DocumentExchange) -> bytes | None:
        """Return the digest to send now, or None.

        An unchanged digest is repeated every DIGEST_REPEAT_S.
        """
        now_s = self.clock.monotonic()
        if now_s < exchange.digest_due_at_s or not exchange.listed:
            return None
        exchange.digest_due_at_s = now_s + self.options.digest_interval_s
        digest = self.digest(common_names(self.subscription, exchange.subscription))
        is_repeat = now_s - exchange.digest_sent_at_s >= DIGEST_REPEAT_S
        if digest == exchange.digest_sent and not is_repeat:
            return None
        exchange.digest_sent = digest
        exchange.digest_sent_at_s = now_s
        return digest

    def queue_fetches(self, asked: list[tuple[Hashable, Holding]]) -> None:
        """Queue a fetch request for each content to its peer and wake the session."""
        for exchange, holding in asked:
            if isinstance(exchange, DocumentExchange):
                exchange.to_fetch[holding.name] = holding.rank
                exchange.wake()

    def tick(self) -> None:
        """Request contents from other peers where an answer is overdue."""
        self.queue_fetches(self.fetch_requests.reassign_overdue())


def own_subscription(options: Options) -> frozenset[str] | None:
    """Return the names that this process keeps: its service at an agent, None (all) at an entry."""
    return frozenset([options.service]) if options.role == "agent" else None
