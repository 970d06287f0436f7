"""Tells other entries what upstreams state: changes at once, all that is known on connection.

Rests are not told: an upstream asks each entry for its own.
"""

import asyncio
import math
import time
from typing import Any, Final

from gypsumpier.mesh.link import MeshLink
from gypsumpier.mesh.mesh import ENTRY, Mesh
from gypsumpier.mesh.peer import Peer
from gypsumpier.ratelimit.limits import LimitNews
from gypsumpier.statement.run import RunKey
from gypsumpier.statement.statedlimit import LIMIT_MAX_PER_S
from gypsumpier.statement.statements import UpstreamStatements

LIMITS: Final = "limits"
LEAVING: Final = "leaving"
SEND_INTERVAL_S: Final = 0.05
"""Seconds between two messages of changes; an upstream may change its limit with each answer."""
SENT_MAX: Final = 512
"""Limits or leaving upstreams in one message to a peer that has connected; the newest go first."""


class StatementShare:
    """Keeps what this entry knows of upstreams' statements in agreement with the other entries."""

    def __init__(self, mesh: Mesh, statements: UpstreamStatements) -> None:
        self.mesh = mesh
        self.limits = statements.limits
        self.leaving = statements.leaving
        self.changed_limits: dict[RunKey, LimitNews] = {}
        self.newly_leaving: list[RunKey] = []
        self.limits.listeners.append(self.record_change)
        self.leaving.listeners.append(self.newly_leaving.append)
        mesh.aged_listeners[LIMITS] = self.handle_limits
        mesh.listeners[LEAVING] = self.handle_leaving
        mesh.on_peer_connected.append(self.send_known)

    def record_change(self, news: LimitNews) -> None:
        """Queue a limit that an answer has changed."""
        self.changed_limits[news.run] = news

    async def run(self) -> None:
        """Send the changes to all entries; never returns."""
        while True:
            await asyncio.sleep(SEND_INTERVAL_S)
            if self.changed_limits:
                payload = limits_payload(list(self.changed_limits.values()))
                self.changed_limits.clear()
                self.mesh.post_all(self.mesh.peers(ENTRY), LIMITS, payload)
            if self.newly_leaving:
                payload = leaving_payload(self.newly_leaving)
                self.newly_leaving.clear()
                self.mesh.post_all(self.mesh.peers(ENTRY), LEAVING, payload)

    def send_known(self, link: MeshLink) -> None:
        """Send all that is known to an entry that has connected; it may have just started."""
        if link.peer.role != ENTRY:
            return
        known = [
            LimitNews(run, found.per_s, found.at_s) for run, found in self.limits.known.items()
        ]
        if known:
            known.sort(key=lambda news: news.at_s, reverse=True)
            self.mesh.post(link.peer.name, LIMITS, limits_payload(known[:SENT_MAX]))
        leaving = sorted(self.leaving.known, key=self.leaving.known.__getitem__, reverse=True)
        if leaving:
            self.mesh.post(link.peer.name, LEAVING, leaving_payload(leaving[:SENT_MAX]))

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

    def handle_leaving(self, peer: Peer, payload: dict[str, Any]) -> None:
        """Record upstreams of which another entry knows that they leave.

        Raises ValueError or TypeError for malformed ones.
        """
        for upstream, started_ms in payload["upstreams"]:
            self.leaving.record_news((str(upstream), int(started_ms)), peer.name)


def limits_payload(known: list[LimitNews]) -> dict[str, Any]:
    """Return the message of limits with their ages in seconds."""
    now_s = time.monotonic()
    return {"limits": [[*news.run, news.per_s, now_s - news.at_s] for news in known]}


def leaving_payload(runs: list[RunKey]) -> dict[str, Any]:
    """Return the message of upstreams that leave."""
    return {"upstreams": [list(run) for run in runs]}


def check_limit(per_s: float | None, age_s: float) -> None:
    """Raise ValueError unless the limit is a rate or None, and its age a duration."""
    if not (math.isfinite(age_s) and age_s >= 0):
        raise ValueError(f"{age_s!r} is no age in seconds")
    if per_s is not None and not 0 <= per_s <= LIMIT_MAX_PER_S:
        raise ValueError(f"{per_s!r} is no rate")
