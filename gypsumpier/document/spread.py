"""Passes documents on: announcements, asks and contents on every session.

An accepted or refused revision is announced to each peer that wants the name and is not known to
hold it.  Refused ones are passed on as well, so that each instance shows the same refusal and
none fetches it from the service.  A peer that lacks an announced content asks for it.  The table
alone decides what comes into force; whatever a peer sends is only offered to it.

Losses heal in two ways: a new session begins with whole lists, and digests over the names that
both sides want are compared when they have changed and every DIGEST_REPEAT_S.
"""

import asyncio
import random
from collections.abc import Callable, Hashable, Iterable
from typing import Any, Final, NamedTuple

from gypsumpier.clock import Clock
from gypsumpier.document.exchange import DIGEST_REPEAT_S, DocumentExchange, bucket_count, scope
from gypsumpier.document.record import Refusal
from gypsumpier.document.service import Accepted
from gypsumpier.document.table import DocumentTable
from gypsumpier.options import Options
from gypsumpier.spread import message
from gypsumpier.spread.asks import Asks
from gypsumpier.spread.digest import bucket_of, differing_buckets, digest_of
from gypsumpier.spread.freshness import Freshness
from gypsumpier.spread.identity import Identity
from gypsumpier.spread.message import Have, Holding

DIGESTS_LIMIT: Final = 1024


class KnownDigest(NamedTuple):
    """A digest and the generation of the table it was computed at."""

    generation: int
    value: bytes


class DocumentSpread:
    """The documents of all sessions of this process."""

    def __init__(
        self, options: Options, clock: Clock, randomness: random.Random, table: DocumentTable
    ) -> None:
        self.options = options
        self.clock = clock
        self.randomness = randomness
        self.table = table
        self.wants = wanted_names(options)
        self.freshness = Freshness(clock, options.fresh_s)
        self.asks = Asks(clock)
        self.exchanges: set[DocumentExchange] = set()
        self.synced = asyncio.Event()
        self.generation = 0
        self.digests: dict[frozenset[str] | None, KnownDigest] = {}
        table.subscribe(self.on_accepted)
        table.refusal_subscribers.append(self.on_refused)

    def attach(self, peer: Identity, wake: Callable[[], None]) -> DocumentExchange:
        """Begin with a peer; ``wake`` is called when something is to be sent to it."""
        exchange = DocumentExchange(peer, wake)
        delay_s = self.randomness.uniform(0.5, 1.0) * self.options.digest_interval_s
        exchange.digest_due_at_s = self.clock.monotonic() + delay_s
        self.exchanges.add(exchange)
        return exchange

    def detach(self, exchange: DocumentExchange) -> None:
        """End with a peer; what it was asked for is asked of others."""
        self.exchanges.discard(exchange)
        self.freshness.lost(exchange)
        self.ask_all(self.asks.lost(exchange))

    def is_wanted(self, name: str) -> bool:
        """Tell whether this process keeps documents of the name."""
        return self.wants is None or name in self.wants

    def on_accepted(self, accepted: Accepted) -> None:
        """Announce a revision that came into force."""
        self.on_news(accepted.name)

    def on_refused(self, refusal: Refusal) -> None:
        """Announce a refused revision."""
        self.on_news(refusal.revised.name)

    def on_news(self, name: str) -> None:
        """Announce what is held of the name to those whom it concerns."""
        self.generation += 1
        for exchange in self.exchanges:
            if exchange.is_for_peer(name):
                exchange.to_announce.add(name)
                exchange.wake()

    def take(self, exchange: DocumentExchange, kind: str, payload: dict[str, Any]) -> None:
        """Handle one frame; raise GypsumpierError with BAD_FRAME where it is malformed."""
        if kind == message.DOCUMENT_WANT:
            exchange.wants = message.optional_names(payload, "names")
            exchange.whole_due = True
        elif kind == message.DOCUMENT_HAVE:
            self.take_have(exchange, message.unpacked_have(payload))
        elif kind == message.DOCUMENT_ASK:
            asked = message.unpacked_have(payload).holdings
            held = (one.name for one in asked if self.table.contents(one.name))
            exchange.to_send.update(held)
        elif kind == message.DOCUMENT_BODY:
            self.take_body(exchange, payload)
        elif kind == message.DOCUMENT_DIGEST:
            self.take_digest(exchange, payload)
        elif kind == message.DOCUMENT_DISTANCE:
            self.take_distance(exchange, message.whole_number(payload, "distance"))

    def take_have(self, exchange: DocumentExchange, have: Have) -> None:
        """Ask for announced contents that are lacked."""
        for holding in have.holdings:
            exchange.note_known(holding)
            if not self.is_wanted(holding.name):
                continue
            if not self.table.lacks(holding.name, holding.rank):
                continue
            if self.asks.note_announcement(exchange, holding):
                exchange.to_ask[holding.name] = holding.rank
        exchange.listed |= have.last
        self.check_synced(exchange)

    def take_body(self, exchange: DocumentExchange, payload: dict[str, Any]) -> None:
        """Offer a content to the table."""
        revised = message.unpacked_body(payload)
        if self.is_wanted(revised.name):
            self.table.offer(revised, exchange.peer.name)
        for holding in self.asks.open_for(revised.name):
            if not self.table.lacks(holding.name, holding.rank):
                self.asks.close(holding)
        self.check_synced(exchange)

    def take_digest(self, exchange: DocumentExchange, payload: dict[str, Any]) -> None:
        """Announce again whatever lies in a bucket that differs."""
        names = scope(self.wants, exchange.wants)
        count = bucket_count(names)
        other = payload.get("digest")
        if not isinstance(other, bytes):
            raise message.malformed_payload(message.DOCUMENT_DIGEST, TypeError("a digest is bytes"))
        buckets = differing_buckets(self.digest(names), other)
        for holding in self.holdings(names):
            if bucket_of(holding.name, count) in buckets:
                exchange.known.pop(holding.name, None)
                exchange.to_announce.add(holding.name)

    def take_distance(self, exchange: DocumentExchange, distance: int) -> None:
        """Keep an entry's distance to the service; agents hold too little to feed anyone."""
        if exchange.peer.role == "entry":
            self.freshness.set_peer_distance(exchange, distance)

    def check_synced(self, exchange: DocumentExchange) -> None:
        """Note when all that a first entry holds has arrived."""
        if self.synced.is_set() or exchange.peer.role != "entry" or not exchange.listed:
            return
        if not self.asks.is_waiting_for(exchange):
            self.synced.set()

    def holdings(self, names: frozenset[str] | None) -> list[Holding]:
        """Return what is held of the names."""
        held: Iterable[str] = self.table.names() if names is None else sorted(names)
        return [Holding(name, rank) for name in held for rank in self.table.ranks(name)]

    def digest(self, names: frozenset[str] | None) -> bytes:
        """Return the digest over the names; it is computed once for each change."""
        known = self.digests.get(names)
        if known is None or known.generation != self.generation:
            value = digest_of(self.holdings(names), bucket_count(names))
            if known is None and len(self.digests) >= DIGESTS_LIMIT:
                self.digests.clear()
            known = self.digests[names] = KnownDigest(self.generation, value)
        return known.value

    def due_digest(self, exchange: DocumentExchange) -> bytes | None:
        """Return the digest to send now, or None; an unchanged one is repeated seldom."""
        now_s = self.clock.monotonic()
        if now_s < exchange.digest_due_at_s or not exchange.listed:
            return None
        exchange.digest_due_at_s = now_s + self.options.digest_interval_s
        digest = self.digest(scope(self.wants, exchange.wants))
        is_repeat = now_s - exchange.digest_sent_at_s >= DIGEST_REPEAT_S
        if digest == exchange.digest_sent and not is_repeat:
            return None
        exchange.digest_sent = digest
        exchange.digest_sent_at_s = now_s
        return digest

    def ask_all(self, asked: list[tuple[Hashable, Holding]]) -> None:
        """Ask these peers for these contents."""
        for exchange, holding in asked:
            if isinstance(exchange, DocumentExchange):
                exchange.to_ask[holding.name] = holding.rank
                exchange.wake()

    def tick(self) -> None:
        """Ask others where answers are late."""
        self.ask_all(self.asks.reassign_overdue())


def wanted_names(options: Options) -> frozenset[str] | None:
    """Return the names this process keeps: an agent its service's, an entry all."""
    return frozenset([options.service]) if options.role == "agent" else None
