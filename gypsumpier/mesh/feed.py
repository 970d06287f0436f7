"""Passes on what watchers of the store learn, with the age of its proof.

A watcher sends every batch to the processes of its zone.  Other zones, which watch for themselves,
get only its revision: who does not hear of that revision from its own zone reads the store.
"""

import random
import time
import zlib
from typing import Any, Final

import msgpack

from gypsumpier.fleet.change import Batch
from gypsumpier.fleet.clock import boot_time_s
from gypsumpier.fleet.record import Record
from gypsumpier.fleet.state import FleetState
from gypsumpier.mesh.link import MeshLink
from gypsumpier.mesh.mesh import ENTRY, SIDECAR, Mesh
from gypsumpier.mesh.peer import Peer

FEED: Final = "feed"
NOTICE: Final = "notice"
FEED_ASK: Final = "feed_ask"
FEED_OFFER: Final = "feed_offer"
WATCHERS_ALONE: Final = 2
"""Entries that watch the store where there is one zone only, so that one may fail without delay."""
WATCHERS_PER_ZONE: Final = 1
"""Entries of each of several zones that watch: the others' notices show what one of them missed."""
TAKEOVER_S: Final = 3.2
"""Seconds without a proof after which an entry reads for itself; a watch waits for less."""
SIDECAR_TAKEOVER_S: Final = 5.0
"""The same for a sidecar, whose entries come first."""
STALE_S: Final = 1.5
"""Seconds by which a proof from another zone must be fresher to be passed on in the own one."""
BEHIND_S: Final = 0.15
"""Seconds that a newer revision may be known of without its records."""
ASKED_S: Final = 0.5
"""Seconds for which one peer is waited for that was asked for everything, before another is."""
COMPRESSION_LEVEL: Final = 1
"""The fastest level of zlib; the routes of a configuration shrink to about a tenth by it."""
RECORDS_BYTES_MAX: Final = 64 * 1024 * 1024
"""Bytes of records that a message may unfold to, some hundred times a large configuration."""


class FleetStateFeed:
    """Gives and takes beliefs between processes."""

    def __init__(self, mesh: Mesh, beliefs: FleetState) -> None:
        self.mesh = mesh
        self.beliefs = beliefs
        self.random = random.Random()
        self.heard_revision = 0
        self.behind_since_s = 0.0
        self.asked_at_s = float("-inf")
        self.packed_snapshot: tuple[int, bytes] = (0, b"")
        mesh.listeners[FEED] = self.take
        mesh.listeners[NOTICE] = self.note_revision
        mesh.listeners[FEED_ASK] = self.give_everything
        mesh.listeners[FEED_OFFER] = self.take_offer
        mesh.on_peer.append(self.greet)

    def should_read_store(self) -> bool:
        """Tell whether this process is to read the store."""
        own = self.mesh.own
        if self.is_behind():
            return True
        if own.role == SIDECAR:
            return self.beliefs.proof_age_s() > SIDECAR_TAKEOVER_S
        names = sorted(peer.name for peer in self.mesh.peers(ENTRY, own.zone))
        before_own = sum(name < own.name for name in names)
        watchers = WATCHERS_PER_ZONE if self.has_other_zones() else WATCHERS_ALONE
        return before_own < watchers or self.beliefs.proof_age_s() > TAKEOVER_S

    def has_other_zones(self) -> bool:
        """Tell whether entries of other zones are connected."""
        return any(peer.zone != self.mesh.own.zone for peer in self.mesh.peers(ENTRY))

    def is_behind(self) -> bool:
        """Tell whether a newer revision is known of for longer than its records may take."""
        if self.heard_revision <= self.beliefs.revision:
            return False
        return time.monotonic() - self.behind_since_s > BEHIND_S

    def share(self, batch: Batch) -> None:
        """Pass on a batch that the store has just answered."""
        own = self.mesh.own
        feed = self.message(batch, packed(batch.records))
        near = [*self.mesh.peers(ENTRY, own.zone), *self.mesh.peers(SIDECAR, own.zone)]
        self.mesh.post_all(near, FEED, feed)
        far = [peer for peer in self.mesh.peers(ENTRY) if peer.zone != own.zone]
        if not batch.records:
            # One peer of each zone is enough to bring a proof to a zone that has lost the store.
            far = list({peer.zone: peer for peer in self.random.sample(far, len(far))}.values())
        notice = {"revision": batch.revision, "age_s": self.beliefs.proof_age_s()}
        self.mesh.post_all(far, NOTICE, notice)

    def message(self, batch: Batch, records: bytes) -> dict[str, Any]:
        """Return a batch and its packed records as they travel, with the age of the proof."""
        return {
            "after": batch.after,
            "revision": batch.revision,
            "records": records,
            "whole": batch.is_snapshot,
            "age_s": self.beliefs.proof_age_s(),
            "named": self.beliefs.named_ages(),
            "outage_ago_s": boot_time_s() - self.beliefs.outage_ended_at_s,
        }

    def take(self, peer: Peer, payload: dict[str, Any]) -> None:
        """Apply a batch from a peer, or ask for everything where one is missing."""
        records = unpacked(payload["records"])
        batch = Batch(
            int(payload["after"]), int(payload["revision"]), records, bool(payload["whole"]), 0.0
        )
        if not batch.is_snapshot and batch.after > self.beliefs.revision:
            self.mesh.post(peer.name, FEED_ASK, {})
            return
        self.beliefs.note_outage_ended(max(0.0, float(payload["outage_ago_s"])))
        proven_at_s = boot_time_s() - max(0.0, float(payload["age_s"]))
        self.beliefs.apply(batch, proven_at_s, peer.name)
        self.beliefs.note_named_ages(payload["named"])

    def note_revision(self, peer: Peer, payload: dict[str, Any]) -> None:
        """Note that a newer revision exists."""
        revision = int(payload["revision"])
        if revision > max(self.heard_revision, self.beliefs.revision):
            self.heard_revision = revision
            self.behind_since_s = time.monotonic()
        age_s = max(0.0, float(payload["age_s"]))
        if revision == self.beliefs.revision and self.beliefs.proof_age_s() - age_s > STALE_S:
            self.beliefs.prove(boot_time_s() - age_s)
            batch = Batch(revision, revision, [], False, 0.0)
            near = self.mesh.peers(ENTRY, self.mesh.own.zone)
            self.mesh.post_all(near, FEED, self.message(batch, packed([])))

    def give_everything(self, peer: Peer, payload: dict[str, Any]) -> None:
        """Send everything that is known."""
        if not self.beliefs.revision:
            return
        batch = self.beliefs.snapshot()
        if self.packed_snapshot[0] != batch.revision:
            self.packed_snapshot = batch.revision, packed(batch.records)
        self.mesh.post(peer.name, FEED, self.message(batch, self.packed_snapshot[1]))

    def greet(self, link: MeshLink) -> None:
        """Offer a peer of the zone that has just connected what is known.

        Only who knows less asks for it: where many connections break at once, everything sent to
        everyone would keep the links so full that more of them break.
        """
        if link.peer.zone == self.mesh.own.zone and self.mesh.own.role == ENTRY:
            offer = {"revision": self.beliefs.revision, "age_s": self.beliefs.proof_age_s()}
            self.mesh.post(link.peer.name, FEED_OFFER, offer)

    def take_offer(self, peer: Peer, payload: dict[str, Any]) -> None:
        """Ask for everything where the peer knows more; take its proof where it knows the same."""
        revision, now_s = int(payload["revision"]), time.monotonic()
        if revision == self.beliefs.revision:
            self.beliefs.prove(boot_time_s() - max(0.0, float(payload["age_s"])))
        elif revision > self.beliefs.revision and now_s - self.asked_at_s > ASKED_S:
            self.asked_at_s = now_s
            self.mesh.post(peer.name, FEED_ASK, {})


def packed(records: list[Record]) -> bytes:
    """Return the records as they travel."""
    content: bytes = msgpack.packb([list(record) for record in records])
    return zlib.compress(content, COMPRESSION_LEVEL)


def unpacked(content: bytes) -> list[Record]:
    """Return the records of a message; raise ValueError where they can't be read."""
    unfolding = zlib.decompressobj()
    try:
        found = unfolding.decompress(content, RECORDS_BYTES_MAX)
    except zlib.error as error:
        raise ValueError(f"records that can't be unfolded: {error}") from error
    if not unfolding.eof:
        raise ValueError("records that are cut or too large")
    return [
        Record(str(key), value, int(revision)) for key, value, revision in msgpack.unpackb(found)
    ]
