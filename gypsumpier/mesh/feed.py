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
WATCHERS_IN_SINGLE_ZONE: Final = 2
"""Entries that watch the store where there is one zone only, so that one may fail without delay."""
WATCHERS_PER_ZONE: Final = 1
"""Entries of each of several zones that watch: the others' notices show what one of them missed."""
TAKEOVER_S: Final = 3.2
"""Seconds without a proof after which an entry reads for itself; a watch waits for less."""
SIDECAR_TAKEOVER_S: Final = 5.0
"""The same for a sidecar, whose entries come first."""
PROOF_GAIN_S: Final = 1.5
"""Seconds by which a proof from another zone must be fresher to be passed on in the own one."""
RECORDS_DELAY_S: Final = 0.15
"""Seconds that a newer revision may be known of without its records."""
SNAPSHOT_TIMEOUT_S: Final = 0.5
"""Seconds for which one peer is waited for that was asked for everything, before another is."""
COMPRESSION_LEVEL: Final = 1
"""The fastest level of zlib; the routes of a configuration shrink to about a tenth by it."""
RECORDS_BYTES_MAX: Final = 64 * 1024 * 1024
"""Bytes of records that a message may unfold to, some hundred times a large configuration."""


class FleetStateFeed:
    """Gives and takes beliefs between processes."""

    def __init__(self, mesh: Mesh, fleet_state: FleetState) -> None:
        self.mesh = mesh
        self.fleet_state = fleet_state
        self.random = random.Random()
        self.announced_revision = 0
        self.behind_since_s = 0.0
        self.snapshot_requested_at_s = float("-inf")
        self.packed_snapshot: tuple[int, bytes] = (0, b"")
        mesh.listeners[FEED] = self.handle_feed
        mesh.listeners[NOTICE] = self.handle_notice
        mesh.listeners[FEED_ASK] = self.send_snapshot
        mesh.listeners[FEED_OFFER] = self.handle_offer
        mesh.on_peer_connected.append(self.send_offer)

    def should_read_store(self) -> bool:
        """Tell whether this process is to read the store."""
        own = self.mesh.own
        if self.is_behind():
            return True
        if own.role == SIDECAR:
            return self.fleet_state.proof_age_s() > SIDECAR_TAKEOVER_S
        names = sorted(peer.name for peer in self.mesh.peers(ENTRY, own.zone))
        preceding = sum(name < own.name for name in names)
        watchers = WATCHERS_PER_ZONE if self.has_other_zones() else WATCHERS_IN_SINGLE_ZONE
        return preceding < watchers or self.fleet_state.proof_age_s() > TAKEOVER_S

    def has_other_zones(self) -> bool:
        """Tell whether entries of other zones are connected."""
        return any(peer.zone != self.mesh.own.zone for peer in self.mesh.peers(ENTRY))

    def is_behind(self) -> bool:
        """Tell whether a newer revision is known of for longer than its records may take."""
        if self.announced_revision <= self.fleet_state.revision:
            return False
        return time.monotonic() - self.behind_since_s > RECORDS_DELAY_S

    def share(self, batch: Batch) -> None:
        """Pass on a batch that the store has just answered."""
        own = self.mesh.own
        feed = self.feed_payload(batch, pack_records(batch.records))
        own_zone = [*self.mesh.peers(ENTRY, own.zone), *self.mesh.peers(SIDECAR, own.zone)]
        self.mesh.post_all(own_zone, FEED, feed)
        other_zones = [peer for peer in self.mesh.peers(ENTRY) if peer.zone != own.zone]
        if not batch.records:
            # One peer of each zone is enough to bring a proof to a zone that has lost the store.
            other_zones = list(
                {
                    peer.zone: peer for peer in self.random.sample(other_zones, len(other_zones))
                }.values()
            )
        notice = {"revision": batch.revision, "age_s": self.fleet_state.proof_age_s()}
        self.mesh.post_all(other_zones, NOTICE, notice)

    def feed_payload(self, batch: Batch, records: bytes) -> dict[str, Any]:
        """Return a batch and its packed records as they travel, with the age of the proof."""
        return {
            "after": batch.after,
            "revision": batch.revision,
            "records": records,
            "whole": batch.is_snapshot,
            "age_s": self.fleet_state.proof_age_s(),
            "named": self.fleet_state.version_ages(),
            "outage_ago_s": boot_time_s() - self.fleet_state.outage_ended_at_s,
        }

    def handle_feed(self, peer: Peer, payload: dict[str, Any]) -> None:
        """Apply a batch from a peer, or ask for everything where one is missing."""
        records = unpack_records(payload["records"])
        batch = Batch(
            int(payload["after"]), int(payload["revision"]), records, bool(payload["whole"]), 0.0
        )
        if not batch.is_snapshot and batch.after > self.fleet_state.revision:
            self.mesh.post(peer.name, FEED_ASK, {})
            return
        self.fleet_state.record_outage_end(max(0.0, float(payload["outage_ago_s"])))
        proven_at_s = boot_time_s() - max(0.0, float(payload["age_s"]))
        self.fleet_state.apply(batch, proven_at_s, peer.name)
        self.fleet_state.merge_version_ages(payload["named"])

    def handle_notice(self, peer: Peer, payload: dict[str, Any]) -> None:
        """Note that a newer revision exists."""
        revision = int(payload["revision"])
        if revision > max(self.announced_revision, self.fleet_state.revision):
            self.announced_revision = revision
            self.behind_since_s = time.monotonic()
        age_s = max(0.0, float(payload["age_s"]))
        if (
            revision == self.fleet_state.revision
            and self.fleet_state.proof_age_s() - age_s > PROOF_GAIN_S
        ):
            self.fleet_state.record_proof(boot_time_s() - age_s)
            batch = Batch(revision, revision, [], False, 0.0)
            near = self.mesh.peers(ENTRY, self.mesh.own.zone)
            self.mesh.post_all(near, FEED, self.feed_payload(batch, pack_records([])))

    def send_snapshot(self, peer: Peer, payload: dict[str, Any]) -> None:
        """Send everything that is known."""
        if not self.fleet_state.revision:
            return
        batch = self.fleet_state.snapshot()
        if self.packed_snapshot[0] != batch.revision:
            self.packed_snapshot = batch.revision, pack_records(batch.records)
        self.mesh.post(peer.name, FEED, self.feed_payload(batch, self.packed_snapshot[1]))

    def send_offer(self, link: MeshLink) -> None:
        """Offer a peer of the zone that has just connected what is known.

        Only who knows less asks for it: where many connections break at once, everything sent to
        everyone would keep the links so full that more of them break.
        """
        if link.peer.zone == self.mesh.own.zone and self.mesh.own.role == ENTRY:
            offer = {"revision": self.fleet_state.revision, "age_s": self.fleet_state.proof_age_s()}
            self.mesh.post(link.peer.name, FEED_OFFER, offer)

    def handle_offer(self, peer: Peer, payload: dict[str, Any]) -> None:
        """Ask for everything where the peer knows more; take its proof where it knows the same."""
        revision, now_s = int(payload["revision"]), time.monotonic()
        if revision == self.fleet_state.revision:
            self.fleet_state.record_proof(boot_time_s() - max(0.0, float(payload["age_s"])))
        elif (
            revision > self.fleet_state.revision
            and now_s - self.snapshot_requested_at_s > SNAPSHOT_TIMEOUT_S
        ):
            self.snapshot_requested_at_s = now_s
            self.mesh.post(peer.name, FEED_ASK, {})


def pack_records(records: list[Record]) -> bytes:
    """Return the records as they travel."""
    content: bytes = msgpack.packb([list(record) for record in records])
    return zlib.compress(content, COMPRESSION_LEVEL)


def unpack_records(content: bytes) -> list[Record]:
    """Return the records of a message; raise ValueError where they can't be read."""
    decompressor = zlib.decompressobj()
    try:
        found = decompressor.decompress(content, RECORDS_BYTES_MAX)
    except zlib.error as error:
        raise ValueError(f"records that can't be unfolded: {error}") from error
    if not decompressor.eof:
        raise ValueError("records that are cut or too large")
    return [
        Record(str(key), value, int(revision)) for key, value, revision in msgpack.unpackb(found)
    ]
