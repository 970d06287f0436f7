"""Tells other entries of limits: changes as they are stated, all of them on connection."""

import asyncio
import math
import time
from typing import Any, Final

from gypsumpier.mesh.link import MeshLink
from gypsumpier.mesh.mesh import ENTRY, Mesh
from gypsumpier.mesh.peer import Peer
from gypsumpier.ratelimit.limits import LimitNews, RequestLimits, RunKey
from gypsumpier.ratelimit.statedlimit import LIMIT_MAX_PER_S

LIMITS: Final = "limits"
SEND_INTERVAL_S: Final = 0.05
"""Seconds between two messages of changed limits; an upstream may change its limit with each
answer."""
SENT_MAX: Final = 512
"""Limits in one message to a peer that has connected; the newest go first."""


class LimitShare:
    """Keeps the limits of this entry in agreement with those of the others."""

    def __init__(self, mesh: Mesh, limits: RequestLimits) -> None:
        self.mesh = mesh
        self.limits = limits
        self.changed: dict[RunKey, LimitNews] = {}
        limits.listeners.append(self.record_change)
        mesh.aged_listeners[LIMITS] = self.handle_limits
        mesh.on_peer_connected.append(self.send_known)

    def record_change(self, news: LimitNews) -> None:
        """Queue a limit that an answer has changed."""
        self.changed[news.run] = news

    async def run(self) -> None:
        """Send the changed limits to all entries; never returns."""
        while True:
            await asyncio.sleep(SEND_INTERVAL_S)
            if self.changed:
                payload = limits_payload(list(self.changed.values()))
                self.changed.clear()
                self.mesh.post_all(self.mesh.peers(ENTRY), LIMITS, payload)

    def send_known(self, link: MeshLink) -> None:
        """Send all known limits to an entry that has connected; it may have just started."""
        known = [
            LimitNews(run, found.per_s, found.at_s) for run, found in self.limits.known.items()
        ]
        if link.peer.role == ENTRY and known:
            known.sort(key=lambda news: news.at_s, reverse=True)
            self.mesh.post(link.peer.name, LIMITS, limits_payload(known[:SENT_MAX]))

    def handle_limits(self, peer: Peer, payload: dict[str, Any], delay_s: float) -> None:
        """Record limits that another entry knows; their ages grew by ``delay_s`` on the way.

        Raises ValueError or TypeError for malformed ones.
        """
        now_s = time.monotonic()
        for upstream, started_ms, per_s, age_s in payload["limits"]:
            check_limit(per_s, age_s)
            at_s = now_s - delay_s - age_s
            news = LimitNews((str(upstream), int(started_ms)), per_s, at_s)
            self.limits.record_news(news, peer.name)


def limits_payload(known: list[LimitNews]) -> dict[str, Any]:
    """Return the message of limits with their ages in seconds."""
    now_s = time.monotonic()
    return {"limits": [[*news.run, news.per_s, now_s - news.at_s] for news in known]}


def check_limit(per_s: float | None, age_s: float) -> None:
    """Raise ValueError unless the limit is a rate or None, and its age a duration."""
    if not (math.isfinite(age_s) and age_s >= 0):
        raise ValueError(f"{age_s!r} is no age in seconds")
    if per_s is not None and not 0 <= per_s <= LIMIT_MAX_PER_S:
        raise ValueError(f"{per_s!r} is no rate")
