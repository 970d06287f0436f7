"""The documents' side of one session: what this peer wants, knows, has asked and is to get.

Nothing is queued but names, each at most once, so a slow peer costs no memory and gets only the
newest content of a name when it reads again.
"""

from collections.abc import Callable, Iterable
from typing import Any, Final

from gypsumpier.document.record import Rank
from gypsumpier.spread.digest import BUCKETS_FOR_ALL_NAMES, BUCKETS_FOR_WANTED_NAMES
from gypsumpier.spread.identity import Identity
from gypsumpier.spread.message import Holding

DIGEST_REPEAT_S: Final = 30.0
KNOWN_LIMIT: Final = 8192

Payload = dict[str, Any]


class DocumentExchange:
    """State kept for one peer; compared by identity."""

    def __init__(self, peer: Identity, wake: Callable[[], None]) -> None:
        self.peer = peer
        self.wake = wake
        self.introduced = False
        self.wants: frozenset[str] | None = frozenset()
        self.known: dict[str, Rank] = {}
        self.whole_due = False
        self.listed = False
        self.to_announce: set[str] = set()
        self.to_ask: dict[str, Rank] = {}
        self.to_send: set[str] = set()
        self.distance_sent: int | None = None
        self.digest_sent = b""
        self.digest_sent_at_s = float("-inf")
        self.digest_due_at_s = 0.0

    def is_for_peer(self, name: str) -> bool:
        """Tell whether the peer wants to hear of the name."""
        return self.wants is None or name in self.wants

    def note_known(self, holding: Holding) -> None:
        """Keep the highest rank that the peer is known to hold of a name."""
        known = self.known.get(holding.name)
        if known is None and len(self.known) >= KNOWN_LIMIT:
            # What is forgotten may be announced once more, which does no harm.
            self.known.clear()
        if known is None or known < holding.rank:
            self.known[holding.name] = holding.rank

    def knows(self, holding: Holding) -> bool:
        """Tell whether the peer holds this content or a higher one."""
        known = self.known.get(holding.name)
        return known is not None and known >= holding.rank


def scope(own: frozenset[str] | None, other: frozenset[str] | None) -> frozenset[str] | None:
    """Return the names that both sides want; None stands for all names."""
    if own is None:
        return other
    return own if other is None else own & other


def bucket_count(names: frozenset[str] | None) -> int:
    """Return how many buckets a digest over these names has."""
    return BUCKETS_FOR_ALL_NAMES if names is None else BUCKETS_FOR_WANTED_NAMES


def chunks(holdings: list[Holding], size: int) -> Iterable[list[Holding]]:
    """Cut the list into pieces; an empty list is one empty piece."""
    for start in range(0, max(1, len(holdings)), size):
        yield holdings[start : start + size]
