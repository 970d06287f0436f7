"""Tells other entries which engines are silent.

Entries of one zone tell each other what each of them finds.  The first entries of a zone tell other
zones what it finds of its own engines: that an engine is silent to entries of another zone may be
due to what is between them.
"""

import asyncio
import time
from typing import Any, Final

from gypsumpier.gateway.loadshare import LoadShare
from gypsumpier.gateway.streamwatch import StreamWatch
from gypsumpier.log import decision
from gypsumpier.mesh.mesh import Mesh
from gypsumpier.mesh.peer import Peer
from gypsumpier.statement.run import RunKey
from gypsumpier.upstream.selector import UpstreamSelector

SILENT: Final = "silent"
CHECK_INTERVAL_S: Final = 0.05
"""Seconds between two looks at what is silent; changes are sent at once."""
RESEND_INTERVAL_S: Final = 0.4
"""Seconds after which an unchanged report is sent again, before it expires at the others."""
STALL_S: Final = 0.25
"""Seconds by which a look is late if this process stood still, so that all engines were silent."""
AFTER_STALL_S: Final = 0.5
"""Seconds after such a stall in which silences that are found say nothing of engines."""

NONE: Final[frozenset[RunKey]] = frozenset()


class SentSilences:
    """What was sent last to some entries, and when, in monotonic seconds."""

    def __init__(self) -> None:
        self.runs = NONE
        self.at_s = float("-inf")

    def is_due(self, runs: frozenset[RunKey]) -> bool:
        """Return whether the runs have to be sent, and count them as sent then."""
        now_s = time.monotonic()
        if runs == self.runs and (not runs or now_s - self.at_s < RESEND_INTERVAL_S):
            return False
        self.runs, self.at_s = runs, now_s
        return True


class SilenceShare:
    """Sends and receives reports of silent engines; calls ``on_change`` after a change."""

    def __init__(
        self,
        mesh: Mesh,
        selector: UpstreamSelector,
        load_share: LoadShare,
        streams: StreamWatch,
    ) -> None:
        self.mesh = mesh
        self.selector = selector
        self.streams = streams
        self.silences = selector.silences
        self.load_share = load_share
        self.looked_at_s = time.monotonic()
        self.stalled_until_s = float("-inf")
        self.sent_in_zone = SentSilences()
        self.sent_to_zones = SentSilences()
        self.logged = NONE
        self.on_change: list[Any] = []
        mesh.listeners[SILENT] = self.handle_report

    async def run(self) -> None:
        """Report silent engines; never returns."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.look()

    def look(self) -> None:
        """Work out which engines are silent, and send what is due."""
        now_s = time.monotonic()
        if now_s - self.looked_at_s > CHECK_INTERVAL_S + STALL_S:
            self.stalled_until_s = now_s + AFTER_STALL_S
        self.looked_at_s = now_s
        for run in self.streams.paused():
            self.silences.record_found(run)
        own = self.own_report()
        peers = self.load_share.zone_peers()
        here = self.silences.update(own, [peer.name for peer in peers])
        self.log_change()
        if self.sent_in_zone.is_due(own):
            self.mesh.post_all(peers, SILENT, {"runs": packed(own)})
        if not self.load_share.is_relay():
            return
        local = frozenset(run for run in here if self.zone_of(run) == self.mesh.own.zone)
        if self.sent_to_zones.is_due(local):
            payload = {"runs": packed(local), "zone": self.mesh.own.zone}
            self.mesh.post_all(self.load_share.other_relays(), SILENT, payload)

    def own_report(self) -> frozenset[RunKey]:
        """Return the engines that this entry finds silent.

        A plain service may just be slow, and after a stall of this process none is known to be.
        """
        found_at_s = self.silences.found
        return frozenset(
            run
            for run in self.silences.own()
            if found_at_s[run] > self.stalled_until_s and self.is_engine(run)
        )

    def is_engine(self, run: RunKey) -> bool:
        """Return whether the upstream is an engine."""
        record = self.selector.fleet_state.upstreams.get(run[0])
        return record is not None and self.selector.model(record.service) is not None

    def zone_of(self, run: RunKey) -> str:
        """Return the availability zone of an upstream; empty if it is gone."""
        record = self.selector.fleet_state.upstreams.get(run[0])
        return record.zone if record else ""

    def log_change(self) -> None:
        """Log which engines are taken for silent, if that has changed."""
        known = self.silences.known
        if known == self.logged:
            return
        self.logged = known
        decision("silent_engines", upstreams=sorted(run[0] for run in known))
        for listener in self.on_change:
            listener()

    def handle_report(self, peer: Peer, payload: dict[str, Any]) -> None:
        """Record what another entry or zone reports; the first entries of a zone pass that on.

        Raises ValueError or TypeError if the report is malformed.
        """
        runs = frozenset((str(upstream), int(started)) for upstream, started in payload["runs"])
        zone = str(payload.get("zone", ""))
        if not zone:
            self.silences.record(self.silences.entries, peer.name, runs)
        elif zone != self.mesh.own.zone:
            self.silences.record(self.silences.zones, zone, runs)
            if peer.zone == zone and self.load_share.is_relay():
                self.mesh.post_all(self.load_share.zone_peers(), SILENT, payload)


def packed(runs: frozenset[RunKey]) -> list[list[Any]]:
    """Return the runs for a message."""
    return [list(run) for run in sorted(runs)]
