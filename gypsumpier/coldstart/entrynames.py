"""Exchanges the names of entries, and tells entries for how long this seed has known them."""

import asyncio
import math
import time
from typing import Any, Final, Protocol

from gypsumpier.coldstart.knownentries import KnownEntries
from gypsumpier.coldstart.rule import ColdRule
from gypsumpier.coldstart.seedproof import SeedProof
from gypsumpier.coldstart.seedproofs import SeedProofs
from gypsumpier.coldstart.stalls import Stalls
from gypsumpier.coldstart.zoneshares import ZoneShares
from gypsumpier.fleet.clock import boot_time_s
from gypsumpier.fleet.node import Address
from gypsumpier.mesh.link import MeshLink
from gypsumpier.mesh.mesh import ENTRY
from gypsumpier.mesh.peer import Peer

COLD_ENTRIES: Final = "cold_entries"
TICK_S: Final = 0.1
"""Seconds between two looks at what is due; short enough to notice a stall of the process."""
INTERVAL_S: Final = 1.0
"""Seconds between two messages of a seed to an entry, in a small fleet."""
MESSAGES_PER_S: Final = 80.0
"""Messages a second that a seed sends at most: the interval grows with the number of entries."""
NAMES_MAX: Final = 256
"""Names in a message; the number of entries is told as well, so a longer list can't mislead."""
AFTER_STALL_S: Final = 1.0
"""Seconds after a stall in which messages don't count: they may be older than is known."""


class EntryMesh(Protocol):
    """The connections to the other entries; a mesh is one."""

    own: Peer
    seeds: tuple[Address, ...]
    aged_listeners: dict[str, Any]
    on_peer_connected: list[Any]

    def peers(self, role: str = ENTRY, zone: str = "") -> list[Peer]:
        """Return the connected peers of a role, in one zone or in all."""

    def post(self, name: str, kind: str, payload: dict[str, Any]) -> None:
        """Queue a message to a peer."""

    def post_all(self, peers: list[Peer], kind: str, payload: dict[str, Any]) -> None:
        """Queue a message to each of the peers."""


class EntryNames:
    """Keeps the known entries and this entry's shares up to date.

    Messages are sent only while a service limits its cold upstreams.  ``sent_names`` holds the
    names that each entry was sent last, ``left_runs`` the runs that said goodbye.
    """

    def __init__(self, mesh: EntryMesh, rules: dict[str, ColdRule]) -> None:
        self.mesh = mesh
        self.rules = rules
        self.known = KnownEntries()
        self.proofs = SeedProofs()
        self.shares = ZoneShares(mesh, self.known, self.proofs)
        self.stalls = Stalls()
        self.sent_names: dict[str, frozenset[str]] = {}
        self.left_runs: set[str] = set()
        self.sent_at_s = float("-inf")
        self.known.record_seen(mesh.own.zone, mesh.own.name, boot_time_s())
        mesh.aged_listeners[COLD_ENTRIES] = self.handle
        mesh.on_peer_connected.append(self.handle_connected)

    def is_seed(self) -> bool:
        """Return whether this entry is one of the seeds of its settings."""
        return Address(self.mesh.own.host, self.mesh.own.port) in self.mesh.seeds

    def handle_connected(self, link: MeshLink) -> None:
        """Count an entry that has connected, and send it the names of its zone."""
        peer = link.peer
        if peer.role != ENTRY:
            return
        self.known.record_seen(peer.zone, peer.name, boot_time_s())
        self.sent_names.pop(peer.name, None)
        if self.rules and (self.is_seed() or peer.zone == self.mesh.own.zone):
            self.mesh.post(peer.name, COLD_ENTRIES, self.payload(peer))

    async def run(self) -> None:
        """Refresh what is known, and send what seeds tell; never returns."""
        while True:
            await asyncio.sleep(TICK_S)
            self.stalls.tick()
            if self.rules:
                self.send_round()

    def send_round(self) -> None:
        """Count the connected entries; as a seed, send each of them a message when it is due."""
        now_s = time.monotonic()
        peers = self.mesh.peers(ENTRY)
        if now_s - self.sent_at_s < max(INTERVAL_S, len(peers) / MESSAGES_PER_S):
            return
        self.sent_at_s = now_s
        seen_at_s = boot_time_s()
        self.known.record_seen(self.mesh.own.zone, self.mesh.own.name, seen_at_s)
        for peer in peers:
            if peer.run not in self.left_runs:
                self.known.record_seen(peer.zone, peer.name, seen_at_s)
        self.left_runs &= {peer.run for peer in peers}
        self.known.drop_expired()
        self.proofs.retain(self.mesh.seeds)
        self.shares.chosen.clear()
        if self.is_seed():
            for peer in peers:
                self.mesh.post(peer.name, COLD_ENTRIES, self.payload(peer))

    def payload(self, peer: Peer) -> dict[str, Any]:
        """Return the message to an entry: what is known of its zone, and of its name.

        The names are left out where it was sent the same ones already.
        """
        names = self.known.names(peer.zone)
        payload: dict[str, Any] = {
            "known_s": self.known.known_s(peer.zone, peer.name),
            "entries": len(names),
        }
        kept = frozenset(names)
        if kept != self.sent_names.get(peer.name):
            self.sent_names[peer.name] = kept
            now_s = boot_time_s()
            newest = sorted(names, key=lambda name: names[name].seen_at_s, reverse=True)
            payload["names"] = [
                [name, now_s - names[name].seen_at_s] for name in newest[:NAMES_MAX]
            ]
        return payload

    def say_goodbye(self) -> None:
        """Use no share from now on, and tell the others not to count this entry any more."""
        self.shares.has_left = True
        if self.rules:
            self.mesh.post_all(self.mesh.peers(ENTRY), COLD_ENTRIES, {"leaves": True})

    def handle(self, peer: Peer, payload: dict[str, Any], delay_s: float) -> None:
        """Handle a message that was under way for ``delay_s``; raise ValueError if malformed."""
        if payload.get("leaves"):
            self.left_runs.add(peer.run)
            self.known.record_goodbye(peer.zone, peer.name)
            return
        sent_at_s = boot_time_s() - max(0.0, delay_s)
        for name, age_s in payload.get("names", ())[:NAMES_MAX]:
            if not (isinstance(name, str) and name):
                raise ValueError(f"{name!r} is no name")
            seen_at_s = sent_at_s - checked_duration(age_s)
            self.known.record_seen(self.mesh.own.zone, name, seen_at_s)
        address = Address(peer.host, peer.port)
        is_late = boot_time_s() - self.stalls.last_ended_at_s() < AFTER_STALL_S
        if address in self.mesh.seeds and not is_late:
            known_s, entries = checked_duration(payload["known_s"]), int(payload["entries"])
            self.proofs.record(address, SeedProof(sent_at_s, known_s, max(0, entries)))


def checked_duration(seconds: float) -> float:
    """Return a duration that a message holds; raise ValueError or TypeError if it is none."""
    if not (math.isfinite(seconds) and seconds >= 0):
        raise ValueError(f"{seconds!r} is no duration in seconds")
    return float(seconds)
