"""Contents that this process lacks and has asked a peer for.

Each content is asked of one peer at a time, however many announce it.  When the answer is late or
the peer is lost, the next peer that announced it is asked.  The number of open asks is bounded;
what does not fit is found again by the digests.
"""

from collections.abc import Hashable
from typing import Final, NamedTuple

from gypsumpier.clock import Clock
from gypsumpier.codes.document import OPEN_ASKS_FULL
from gypsumpier.log import decision
from gypsumpier.spread.message import Holding

ANSWER_TIMEOUT_S: Final = 1.0
ASKS_LIMIT: Final = 8192
SOURCES_LIMIT: Final = 8


class Ask(NamedTuple):
    """An open ask: who was asked, when, and who else has announced the content."""

    peer: Hashable
    asked_at_s: float
    others: list[Hashable]


class Asks:
    """All open asks of the process."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.open: dict[Holding, Ask] = {}
        self.is_full_logged = False

    def note_announcement(self, peer: Hashable, holding: Holding) -> bool:
        """Note that the peer holds a lacked content; return True where it should be asked now."""
        ask = self.open.get(holding)
        if ask is None:
            if len(self.open) >= ASKS_LIMIT:
                self.note_full()
                return False
            self.open[holding] = Ask(peer, self.clock.monotonic(), [])
            return True
        if peer != ask.peer and peer not in ask.others and len(ask.others) < SOURCES_LIMIT:
            ask.others.append(peer)
        return False

    def note_full(self) -> None:
        """Log that the limit is reached, once until an ask is closed."""
        if not self.is_full_logged:
            self.is_full_logged = True
            decision("asks_full", code=OPEN_ASKS_FULL.number, reason=f"{ASKS_LIMIT} are open")

    def open_for(self, name: str) -> list[Holding]:
        """Return the open asks for the name; the caller closes those that are settled."""
        return [holding for holding in self.open if holding.name == name]

    def close(self, holding: Holding) -> None:
        """Forget an ask."""
        self.open.pop(holding, None)
        self.is_full_logged = False

    def is_waiting_for(self, peer: Hashable) -> bool:
        """Tell whether a content that the peer announced has not arrived from anyone."""
        return any(peer == ask.peer or peer in ask.others for ask in self.open.values())

    def lost(self, peer: Hashable) -> list[tuple[Hashable, Holding]]:
        """Forget a lost peer; return whom to ask in its place, and for what."""
        for ask in self.open.values():
            if peer in ask.others:
                ask.others.remove(peer)
        return self.move([holding for holding, ask in self.open.items() if ask.peer == peer])

    def reassign_overdue(self) -> list[tuple[Hashable, Holding]]:
        """Return whom to ask in place of peers that have not answered in time."""
        limit_s = self.clock.monotonic() - ANSWER_TIMEOUT_S
        return self.move([key for key, ask in self.open.items() if ask.asked_at_s <= limit_s])

    def move(self, holdings: list[Holding]) -> list[tuple[Hashable, Holding]]:
        """Ask the next peer for each content, or give up where there is none."""
        moved: list[tuple[Hashable, Holding]] = []
        for holding in holdings:
            others = self.open.pop(holding).others
            if others:
                peer = others.pop(0)
                self.open[holding] = Ask(peer, self.clock.monotonic(), others)
                moved.append((peer, holding))
        return moved
