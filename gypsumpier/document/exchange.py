"""Document replication state of one session.

It has the peer's subscription, the ranks it is known to hold, and the frames due to it.  Only names
are queued, each at most once, so the memory that a slow peer needs is bounded, and when it reads
again it gets only the newest content of each name.
"""

from collections.abc import Callable, Iterable
from typing import Any, Final

from gypsumpier.document.record import Rank
from gypsumpier.spread.digest import BUCKETS_FOR_ALL_NAMES, BUCKETS_FOR_WANTED_NAMES
from gypsumpier.spread.identity import Identity
from gypsumpier.spread.message import Holding

DIGEST_REPEAT_S: Final = 30.0
KNOWN_NAMES_MAX: Final = 8192

Payload = dict[str, Any]


class DocumentExchange:
    """State kept for one peer; compared by identity.

    ``subscription`` has the names that the peer subscribes to, None for all.  ``known`` has the
    highest rank that the peer is known to hold of each name.  ``listed`` is set when the peer has
    sent its full list.  ``to_announce``, ``to_fetch`` and ``to_send`` are the names to announce, to
    request and to send the contents of.
    """

    def __init__(self, peer: Identity, wake: Callable[[], None]) -> None:
        self.peer = peer
        self.wake = wake
        self.subscription_sent = False
        self.subscription: frozenset[str] | None = frozenset()
        self.known: dict[str, Rank] = {}
        self.full_list_due = False
        self.listed = False
        self.to_announce: set[str] = set()
        self.to_fetch: dict[str, Rank] = {}
        self.to_send: set[str] = set()
        self.distance_sent: int | None = None
        self.digest_sent = b""
        self.digest_sent_at_s = float("-inf")
        self.digest_due_at_s = 0.0

    def is_subscribed(self, name: str) -> bool:
        """Return whether the peer subscribes to the name."""
        return self.subscription is None or name in self.subscription

    def record_known(self, holding: Holding) -> None:
        """Record a content that the peer holds; the highest rank of each name is kept."""
        known = self.known.get(holding.name)
        if known is None and len(self.known) >= KNOWN_NAMES_MAX:
            # Names removed here may be announced once more, which is harmless.
            self.known.clear()
        if known is None or known < holding.rank:
            self.known[holding.name] = holding.rank

    def knows(self, holding: Holding) -> bool:
        """Return whether the peer is known to hold this content or one of higher rank."""
        known = self.known.get(holding.name)
        return known is not None and known >= holding.rank


def common_names(own: frozenset[str] | None, other: frozenset[str] | None) -> frozenset[str] | None:
    """Return the names that both sides subscribe to; None stands for all names."""
    if own is None:
        return other
    return own if other is None else own & other


def bucket_count(names: frozenset[str] | None) -> int:
    """Return the number of buckets of a digest over these names."""
    return BUCKETS_FOR_ALL_NAMES if names is None else BUCKETS_FOR_WANTED_NAMES


def chunks(holdings: list[Holding], size: int) -> Iterable[list[Holding]]:
    """Split the list into pieces of at most ``size``; an empty list is one empty piece."""
    for start in range(0, max(1, len(holdings)), size):
        yield holdings[start : start + size]
