"""Fetch requests for contents that this process lacks and that peers announced.

Each content is requested from one peer at a time, however many announce it.  When the answer is
late or the peer is lost, it is requested from the next peer that announced it.  The number of open
fetch requests is bounded; contents beyond the limit are detected again by the digests.
"""

from collections.abc import Hashable
from typing import Final, NamedTuple

from gypsumpier.clock import Clock
from gypsumpier.codes.document import OPEN_ASKS_FULL
from gypsumpier.log import decision
from gypsumpier.spread.message import Holding

ANSWER_TIMEOUT_S: Final = 1.0
FETCH_REQUESTS_LIMIT: Final = 8192
OTHER_PEERS_LIMIT: Final = 8


class FetchRequest(NamedTuple):
    """An open fetch request.

    It holds the peer that the content was requested from, the time of the request, and the other
    peers that announced the content.
    """

    peer: Hashable
    requested_at_s: float
    other_peers: list[Hashable]


class FetchRequests:
    """All open fetch requests of the process."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.open: dict[Holding, FetchRequest] = {}
        self.is_full_logged = False

    def record_announcement(self, peer: Hashable, holding: Holding) -> bool:
        """Record that the peer announced a content that this process lacks.

        Return whether the content is to be requested from this peer now.
        """
        request = self.open.get(holding)
        if request is None:
            if len(self.open) >= FETCH_REQUESTS_LIMIT:
                self.log_full()
                return False
            self.open[holding] = FetchRequest(peer, self.clock.monotonic(), [])
            return True
        if (
            peer != request.peer
            and peer not in request.other_peers
            and len(request.other_peers) < OTHER_PEERS_LIMIT
        ):
            request.other_peers.append(peer)
        return False

    def log_full(self) -> None:
        """Log that the limit is reached, but only once until a fetch request is closed."""
        if not self.is_full_logged:
            self.is_full_logged = True
            decision(
                "asks_full",
                code=OPEN_ASKS_FULL.number,
                reason=f"{FETCH_REQUESTS_LIMIT} fetch requests are open; "
                "the digests will find further contents",
            )

    def open_for(self, name: str) -> list[Holding]:
        """Return the contents of the name that are requested.

        The caller closes the requests that are no longer needed.
        """
        return [holding for holding in self.open if holding.name == name]

    def close(self, holding: Holding) -> None:
        """Remove the fetch request for a content, if one is open."""
        self.open.pop(holding, None)
        self.is_full_logged = False

    def is_waiting_for(self, peer: Hashable) -> bool:
        """Return whether a content that the peer announced has not arrived from any peer yet."""
        return any(
            peer == request.peer or peer in request.other_peers for request in self.open.values()
        )

    def lost(self, peer: Hashable) -> list[tuple[Hashable, Holding]]:
        """Remove a lost peer; return the peers to request from instead, each with the content."""
        for request in self.open.values():
            if peer in request.other_peers:
                request.other_peers.remove(peer)
        return self.reassign(
            [holding for holding, request in self.open.items() if request.peer == peer]
        )

    def reassign_overdue(self) -> list[tuple[Hashable, Holding]]:
        """Return the peers to request from instead of those that have not answered in time."""
        limit_s = self.clock.monotonic() - ANSWER_TIMEOUT_S
        return self.reassign(
            [key for key, request in self.open.items() if request.requested_at_s <= limit_s]
        )

    def reassign(self, holdings: list[Holding]) -> list[tuple[Hashable, Holding]]:
        """Assign each content to the next peer that announced it; drop the request if none is left.

        Return the peers to request from, each with the content.
        """
        moved: list[tuple[Hashable, Holding]] = []
        for holding in holdings:
            other_peers = self.open.pop(holding).other_peers
            if other_peers:
                peer = other_peers.pop(0)
                self.open[holding] = FetchRequest(peer, self.clock.monotonic(), other_peers)
                moved.append((peer, holding))
        return moved
