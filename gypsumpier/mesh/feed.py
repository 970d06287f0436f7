"""Forwards the changes that watchers of the store read, with the age of the freshness proof.

A watcher sends every batch to the processes of its zone.  Other zones have watchers of their own
and get only the batch's position and the observed times of versions: an entry that does not receive
the records up to that position from its own zone reads the store itself.

Where a revision that another zone has announced is overdue, its entries first request the changes
from the process that announced it: compressed, they are a tenth of what the store sends.

After the store came back from an older copy, messages name the keys whose records in the store are
outdated.  A process that has read them requests a snapshot from the sender, which knows better.
"""

import math
import time
import zlib
from collections import deque
from typing import Any, Final

import msgpack
from prometheus_client import Counter, Gauge

from gypsumpier.fleet.change import Batch
from gypsumpier.fleet.clock import boot_time_s
from gypsumpier.fleet.position import Position
from gypsumpier.fleet.record import Record
from gypsumpier.fleet.state import UNKNOWN_AGE_S, FleetState, VersionAges
from gypsumpier.fleet.wantedversion import Evidence
from gypsumpier.log import decision
from gypsumpier.loginterval import LogInterval
from gypsumpier.mesh.link import MeshLink
from gypsumpier.mesh.mesh import ENTRY, SIDECAR, Mesh
from gypsumpier.mesh.peer import Peer
from gypsumpier.mesh.recentchanges import RecentChanges
from gypsumpier.mesh.zonereads import ZoneReads
from gypsumpier.metrics import REGISTRY

FEED: Final = "feed"
NOTICE: Final = "notice"
FEED_ASK: Final = "feed_ask"
FEED_OFFER: Final = "feed_offer"
STORE_FAILED: Final = "store_failed"
POSITION: Final = "position"
"""Message with a position of the store that an entry has just read."""
READING: Final = "reading"
"""Message of an entry that reads the store in full, or receives a large answer of it."""
AFTER: Final = "after"
"""Field of a request for the changes after a position."""
READ: Final = "read"
"""Field of a batch that its sender has read itself, as opposed to passed on."""
NAMED: Final = "named"
AGE_FIELDS: Final = {
    Evidence.OBSERVED: "observed",
    Evidence.PROVEN: "proven",
    Evidence.AFTER_OUTAGE: "after_outage",
}
"""Fields of a message with the ages of versions, by evidence; NAMED has them all."""
LOST: Final = "lost_evacuations"
"""Field of a message with the evacuations that the store has lost, see ``Evacuations``."""
WATCHER: Final = "watcher of its zone"
BEHIND: Final = "an announced revision is overdue"
TAKEN_OVER: Final = "no proof for the take-over time"
"""Reasons to read the store, as they are logged."""
WATCHERS_IN_SINGLE_ZONE: Final = 2
"""Entries that watch the store in a deployment of one zone: one may fail without any delay."""
WATCHERS_PER_ZONE: Final = 1
"""Entries that watch in each of several zones: notices of other zones reveal a missed change."""
TAKEOVER_S: Final = 3.2
"""Seconds without a freshness proof after which any entry reads the store; longer than a watch."""
SIDECAR_TAKEOVER_S: Final = 5.0
"""The same for a sidecar, in seconds; longer, so that the entries of its zone take over first."""
PROOF_GAIN_S: Final = 1.5
"""Seconds by which a proof of another zone must be fresher to be forwarded in the own zone."""
CHANGES_DELAY_S: Final = 0.1
"""Seconds after which the records of an announced revision are requested from its announcer."""
RECORDS_DELAY_S: Final = 0.35
"""Seconds that the records of an announced revision may take to arrive, also on request, before
they are read from the store."""
READER_STAGGER_S: Final = 0.2
"""Seconds by which an entry reads overdue records later than the one before it: the time in which
that one reads and shares them, so that one copy crosses a narrow link instead of one an entry."""
LEFT_TO_ONE_S: Final = 1.2
"""Seconds since the announcement of an unknown revision up to which one reading of the store in
full is awaited.  Later a second one is begun; a third would make all of them slower."""
LEFT_TO_ONE_PROOF_S: Final = 3.6
"""Age in seconds of the proof up to which the same holds; with the stagger of the last entry, a
reading begun then can end before requests are refused."""
STAGGERED_READERS: Final = 3
"""Entries that read one after the other; those behind them read together."""
ANNOUNCED_MAX: Final = 256
"""Announced revisions that are kept; far more than changes can be made while one is overdue."""
SNAPSHOT_TIMEOUT_S: Final = 0.5
"""Seconds to wait for a snapshot requested from one peer before it is requested from another."""
POSITION_ZONES_MAX: Final = 3
"""Other zones that are sent the positions read in one: the next ones by name, in a circle."""
POSITION_HEARD_S: Final = 1.0
"""Seconds for which the position that an entry of the zone has read takes the place of a check on
the watchers; the same as between two checks."""
RECENT_VERSION_S: Final = 60.0
"""Seconds after its naming in which the time of a version matters; its limit is some ten."""
CHANGES_LOG_INTERVAL_S: Final = 5.0
"""Seconds between two log lines about requests to one process."""
COMPRESSION_LEVEL: Final = 1
"""The fastest level of zlib; it compresses a configuration's routes to about a tenth."""
RECORDS_BYTES_MAX: Final = 64 * 1024 * 1024
"""Limit in bytes on a message's decompressed records, some hundred times a large configuration."""

PROOF_AGE: Final = Gauge(
    "gypsumpier_proof_age_seconds",
    "Age of the proof that nothing newer than the known state exists; 1,000,000 without one.",
    registry=REGISTRY,
)
CHANGES_REQUESTED: Final = Counter(
    "gypsumpier_changes_requested",
    "Requests for overdue changes to the process that announced them.",
    registry=REGISTRY,
)
CHANGES_RECEIVED: Final = Counter(
    "gypsumpier_changes_received",
    "Answers to such requests that brought news, by what was sent.",
    ["content"],
    registry=REGISTRY,
)
READS_LEFT: Final = Counter(
    "gypsumpier_store_reads_left",
    "Times that overdue records were not read, as another entry of the zone was reading them.",
    registry=REGISTRY,
)


class FleetStateFeed:
    """Sends the fleet state to other processes and applies what they send.

    ``announced`` holds the positions that the store has and this process lacks, oldest first, with
    the monotonic times at which it learned of them.  ``has_taken_over`` is set from the take-over
    until an entry that precedes this one reads the store again.
    ``cut_off`` names the entries of the zone whose last call to the store has failed.
    ``has_failed`` is set while the own last call to the store has failed, ``is_delivering`` from
    the first shared batch until this process stops reading or fails.  ``announcer`` is the process
    that announced the newest position, ``requested_from`` the one from which changes were requested
    at ``changes_requested_at_s``.
    ``zone_position_at_s`` is the boot time at which an entry of the zone last told a position.
    ``reading_reason`` is the last logged reason to read the store; empty while others do.
    """

    def __init__(self, mesh: Mesh, fleet_state: FleetState) -> None:
        self.mesh = mesh
        self.fleet_state = fleet_state
        self.announced: deque[tuple[Position, float]] = deque(maxlen=ANNOUNCED_MAX)
        self.announcer: Peer | None = None
        self.requested_from = ""
        self.changes_requested_at_s = float("-inf")
        self.changes_log = LogInterval(CHANGES_LOG_INTERVAL_S)
        self.recent_changes = RecentChanges()
        self.zone_reads = ZoneReads()
        self.has_failed = False
        self.is_delivering = False
        self.is_left = False
        self.snapshot_requested_at_s = float("-inf")
        self.zone_position_at_s = float("-inf")
        self.has_taken_over = False
        self.cut_off: set[str] = set()
        self.reading_reason = ""
        self.packed_snapshot: tuple[list[Record], bytes] = ([], b"")
        mesh.aged_listeners[FEED] = self.handle_feed
        mesh.aged_listeners[NOTICE] = self.handle_notice
        mesh.listeners[FEED_ASK] = self.send_snapshot
        mesh.listeners[STORE_FAILED] = self.handle_store_failed
        mesh.listeners[READING] = self.handle_reading
        mesh.aged_listeners[FEED_OFFER] = self.handle_offer
        mesh.aged_listeners[POSITION] = self.handle_position
        mesh.proof_kinds |= {FEED, NOTICE, FEED_OFFER, POSITION}
        mesh.on_peer_connected.append(self.send_offer)
        PROOF_AGE.set_function(lambda: min(fleet_state.proof_age_s(), UNKNOWN_AGE_S))

    def should_read_store(self) -> bool:
        """Return whether this process should read the store; log where the reason changes."""
        reason = self.reason_to_read()
        self.is_delivering &= bool(reason)
        if reason != self.reading_reason:
            self.reading_reason = reason
            self.log_reason()
        return bool(reason)

    def reason_to_read(self) -> str:
        """Return why this process should read the store; empty if it should not.

        That is where an announced revision is overdue, where this entry is one of its zone's
        watchers, or where no freshness proof has arrived for the take-over time.
        """
        own = self.mesh.own
        if own.role == SIDECAR:
            return TAKEN_OVER if self.fleet_state.proof_age_s() > SIDECAR_TAKEOVER_S else ""
        rank = self.rank_behind_watchers()
        if self.fleet_state.proof_age_s() > TAKEOVER_S:
            self.has_taken_over = True
        if rank < 0 and not self.has_failed:
            return WATCHER
        if rank < 0:
            # Where no entry of the zone reaches the store, all of them count as its watchers.
            self.request_overdue_changes(self.preceding_count(self.zone_names()))
            return "" if self.is_left_to_others(0) else WATCHER
        self.request_overdue_changes(rank)
        if not self.has_taken_over and not self.is_behind(rank):
            return ""
        # One that delivers changes has its watch open, which is no further reading in full.
        if not self.is_delivering and self.is_left_to_others(rank):
            return ""
        return BEHIND if self.is_behind(rank) else TAKEN_OVER

    def is_left_to_others(self, rank: int) -> bool:
        """Return whether other entries of the zone read the store in full, so that this one waits.

        Several copies over one narrow link make each other late, until all of them time out.  The
        entry of a higher rank waits longer, so that one of them takes the place of a reader.
        """
        stagger_s = READER_STAGGER_S * min(rank, STAGGERED_READERS)
        is_late = (
            self.behind_s() > LEFT_TO_ONE_S + stagger_s
            or self.fleet_state.proof_age_s() > LEFT_TO_ONE_PROOF_S + stagger_s
        )
        count = self.zone_reads.count(self.zone_names(), stagger_s)
        was_left, self.is_left = self.is_left, count > is_late
        READS_LEFT.inc(self.is_left and not was_left)
        return self.is_left

    def request_overdue_changes(self, rank: int) -> None:
        """Request overdue changes from the process that announced them, at most at intervals.

        The entries of a zone do so one after the other; those behind the first few rely on them.
        """
        delay_s = CHANGES_DELAY_S + READER_STAGGER_S * rank
        now_s = time.monotonic()
        if (
            self.announcer is None
            or rank >= STAGGERED_READERS
            or self.behind_s() <= delay_s
            or now_s - self.changes_requested_at_s < SNAPSHOT_TIMEOUT_S
        ):
            return
        self.changes_requested_at_s, self.requested_from = now_s, self.announcer.name
        CHANGES_REQUESTED.inc()
        if self.changes_log.is_due(self.announcer.name):
            decision(
                "changes_requested",
                peer=self.announcer.name,
                revision=self.fleet_state.revision,
                announced_revision=self.announced[-1][0].revision,
                announced_s=round(self.behind_s(), 3),
                proof_age_s=round(min(self.fleet_state.proof_age_s(), UNKNOWN_AGE_S), 3),
            )
        self.mesh.post(self.announcer.name, FEED_ASK, {AFTER: list(self.fleet_state.position)})

    def rank_behind_watchers(self) -> int:
        """Return how many entries of the zone stand between the watchers and this one.

        Negative for a watcher.  Entries that are cut off from the store don't count.
        """
        names = self.zone_names()
        self.cut_off &= names
        watchers = WATCHERS_PER_ZONE if self.has_other_zones() else WATCHERS_IN_SINGLE_ZONE
        return self.preceding_count(names - self.cut_off) - watchers

    def preceding_count(self, names: set[str]) -> int:
        """Return how many of the names precede that of this entry."""
        return sum(name < self.mesh.own.name for name in names)

    def zone_names(self) -> set[str]:
        """Return the names of the other entries of the zone."""
        return {peer.name for peer in self.mesh.peers(ENTRY, self.mesh.own.zone)}

    def should_check_revision(self) -> bool:
        """Return whether this entry is the first behind the watchers of its zone.

        It need not check while they tell it the positions that they read.
        """
        if boot_time_s() - self.zone_position_at_s < POSITION_HEARD_S:
            return False
        return self.mesh.own.role == ENTRY and self.rank_behind_watchers() == 0

    def log_reason(self) -> None:
        """Log why this process reads the store, with what it knows and what is announced."""
        decision(
            "store_reader",
            reason=self.reading_reason or "others read",
            revision=self.fleet_state.revision,
            announced_revision=self.announced[-1][0].revision if self.announced else 0,
            announced_s=round(self.behind_s(), 3),
            proof_age_s=round(min(self.fleet_state.proof_age_s(), UNKNOWN_AGE_S), 3),
        )

    def has_other_zones(self) -> bool:
        """Return whether entries of other zones are connected."""
        return any(peer.zone != self.mesh.own.zone for peer in self.mesh.peers(ENTRY))

    def is_behind(self, rank: int) -> bool:
        """Return whether the records of an announced revision are overdue.

        ``rank`` is the number of entries that read them first where no watcher delivers them.
        """
        return self.behind_s() > RECORDS_DELAY_S + READER_STAGGER_S * min(rank, STAGGERED_READERS)

    def behind_s(self) -> float:
        """Return the seconds since the first announcement of a revision that is not known here.

        A newer announcement does not begin that time anew: changes may follow each other faster
        than their records are given to arrive.
        """
        while self.announced and self.announced[0][0] <= self.fleet_state.position:
            self.announced.popleft()
        return time.monotonic() - self.announced[0][1] if self.announced else 0.0

    def is_news_overdue(self) -> bool:
        """Return whether an announced revision is not known here."""
        return self.behind_s() > 0.0

    def share(self, batch: Batch) -> None:
        """Send a batch just read from the store to the own zone, and its position to the others."""
        own = self.mesh.own
        self.has_failed = False
        self.is_delivering = True
        self.zone_reads.end_own()
        self.recent_changes.add(batch)
        self.post_to_zone(self.feed_payload(batch, pack_records(batch.records)) | {READ: True})
        other_zones = [peer for peer in self.mesh.peers(ENTRY) if peer.zone != own.zone]
        if not batch.records:
            # The first entry of a zone brings the proof to one that is cut off from the store.  It
            # is the one that reads the store, and learns whether others reach it.
            other_zones = list(
                {peer.zone: peer for peer in sorted(other_zones, reverse=True)}.values()
            )
        self.mesh.post_all(other_zones, NOTICE, self.position_payload(batch.position))

    def post_to_zone(self, feed: dict[str, Any]) -> None:
        """Send a batch to the own zone, to its entries first."""
        zone = self.mesh.own.zone
        recipients = [*self.mesh.peers(ENTRY, zone), *self.mesh.peers(SIDECAR, zone)]
        self.mesh.post_all(recipients, FEED, feed)

    def share_position(self, position: Position, at_s: float) -> None:
        """Send a position to the watchers of the own zone and of the next ones.

        What they read later is dated by it, so that few readings serve many zones.
        """
        own = self.mesh.own
        firsts = {peer.zone: peer for peer in sorted(self.mesh.peers(ENTRY), reverse=True)}
        zones = sorted(zone for zone in firsts if zone != own.zone)
        later = [zone for zone in zones if zone > own.zone]
        circle = [*later, *zones[: len(zones) - len(later)]][:POSITION_ZONES_MAX]
        recipients = [firsts[zone] for zone in (own.zone, *circle) if zone in firsts]
        payload = {
            "era": position.era,
            "revision": position.revision,
            "age_s": boot_time_s() - at_s,
        }
        self.mesh.post_all(recipients, POSITION, payload)

    def handle_position(self, peer: Peer, payload: dict[str, Any], delay_s: float = 0.0) -> None:
        """Record the position that another entry has read, and a proof where it is the own one."""
        position = self.position_of(payload)
        at_s = boot_time_s() - delay_s - max(0.0, float(payload["age_s"]))
        self.record_announced(position)
        if peer.zone == self.mesh.own.zone:
            self.zone_position_at_s = boot_time_s()
        if position == self.fleet_state.position:
            self.fleet_state.record_proof(at_s)
        else:
            self.fleet_state.record_position(position, at_s)

    def share_reading(self) -> None:
        """Tell the entries of the own zone that a reading of the store in full goes on."""
        if self.mesh.own.role == ENTRY and self.zone_reads.is_due():
            self.mesh.post_all(self.mesh.peers(ENTRY, self.mesh.own.zone), READING, {})

    def handle_reading(self, peer: Peer, payload: dict[str, Any]) -> None:
        """Leave the reading of the store to an entry of the zone for a moment."""
        if peer.role == ENTRY and peer.zone == self.mesh.own.zone:
            self.zone_reads.record(peer.name)

    def share_failure(self) -> None:
        """Tell the entries of the own zone that a call to the store has failed.

        The next one by name then reads it at once, and not only when its proof has become old.
        """
        self.has_failed = True
        self.is_delivering = False
        self.zone_reads.end_own()
        if self.mesh.own.role == ENTRY:
            zone_peers = self.mesh.peers(ENTRY, self.mesh.own.zone)
            self.mesh.post_all(zone_peers, STORE_FAILED, {})

    def handle_store_failed(self, peer: Peer, payload: dict[str, Any]) -> None:
        """Count an entry of the zone as cut off from the store until it shares what it has read."""
        if peer.role == ENTRY and peer.zone == self.mesh.own.zone:
            self.cut_off.add(peer.name)
            self.zone_reads.end(peer.name)

    def position_payload(self, position: Position) -> dict[str, Any]:
        """Return the message that announces a position, with ages in seconds.

        With the observed times of versions, a process that returns from a cut learns those of its
        peers, also where it is the one that reads the store for its zone.
        """
        return {
            "revision": position.revision,
            "era": position.era,
            "outdated": self.fleet_state.records.outdated,
            "age_s": self.fleet_state.proof_age_s(),
            **self.age_fields(),
            **self.lost_field(),
        }

    def age_fields(self) -> dict[str, VersionAges]:
        """Return the fields with the ages of versions, by evidence."""
        return {
            name: self.fleet_state.version_ages_by(evidence)
            for evidence, name in AGE_FIELDS.items()
        }

    def feed_payload(self, batch: Batch, records: bytes) -> dict[str, Any]:
        """Return the message for a batch and its packed records, with ages in seconds."""
        return {
            "after": batch.after,
            "revision": batch.revision,
            "era": batch.era,
            "outdated": self.fleet_state.records.outdated,
            "records": records,
            # Older builds know records of three fields only.
            "record_eras": {
                record.key: record.era for record in batch.records if record.era != batch.era
            },
            "whole": batch.is_snapshot,
            "age_s": self.fleet_state.proof_age_s(),
            NAMED: self.fleet_state.version_ages(),
            **self.age_fields(),
            "outage_ago_s": boot_time_s() - self.fleet_state.outage_ended_at_s,
            "outage_lasted_s": self.fleet_state.outage_lasted_s(),
            **self.lost_field(),
        }

    def handle_feed(self, peer: Peer, payload: dict[str, Any], delay_s: float = 0.0) -> None:
        """Apply a batch from a peer; request a snapshot where an earlier batch is missing.

        The ages in it grew by ``delay_s`` seconds on the way, here and in the other messages.
        """
        batch = self.batch_of(payload)
        if payload.get(READ) and peer.role == ENTRY:
            self.cut_off.discard(peer.name)
            self.zone_reads.end(peer.name)
            if peer.name < self.mesh.own.name:
                self.has_taken_over = False
        if not batch.is_snapshot and (batch.era, batch.after) > self.fleet_state.position:
            self.mesh.post(peer.name, FEED_ASK, {})
            return
        if "outage_lasted_s" in payload:
            # Older builds send no duration, and take one failed call for an outage.
            self.fleet_state.record_outage(
                max(0.0, float(payload["outage_lasted_s"])),
                delay_s + max(0.0, float(payload["outage_ago_s"])),
            )
        proven_at_s = boot_time_s() - delay_s - max(0.0, float(payload["age_s"]))
        is_news = batch.position > self.fleet_state.position
        self.fleet_state.apply(batch, proven_at_s, peer.name)
        if is_news and batch.position == self.fleet_state.position:
            self.recent_changes.add(batch)
            self.forward_requested(peer, batch, payload["records"])
        self.merge_ages(peer, payload, delay_s)
        self.merge_lost(peer, payload)
        self.request_newer_records(peer, payload)

    def forward_requested(self, peer: Peer, batch: Batch, records: bytes) -> None:
        """Pass news on to the own zone that were requested from a process of another one."""
        if peer.name != self.requested_from or peer.zone == self.mesh.own.zone:
            return
        self.requested_from = ""
        CHANGES_RECEIVED.labels("snapshot" if batch.is_snapshot else "changes").inc()
        self.post_to_zone(self.feed_payload(batch, records))

    def batch_of(self, payload: dict[str, Any]) -> Batch:
        """Return the batch in a message; raise ValueError or TypeError where it is malformed."""
        era, revision = self.position_of(payload)
        eras = {str(key): int(found) for key, found in payload.get("record_eras", {}).items()}
        records = [
            record._replace(era=eras.get(record.key, era))
            for record in unpack_records(payload["records"])
        ]
        is_snapshot = bool(payload["whole"])
        outdated = outdated_positions(payload) if is_snapshot else {}
        return Batch(int(payload["after"]), revision, records, is_snapshot, 0.0, era, outdated)

    def position_of(self, payload: dict[str, Any]) -> Position:
        """Return the position in a message.  Older builds state no era; theirs is the own one."""
        return Position(int(payload.get("era", self.fleet_state.era)), int(payload["revision"]))

    def request_newer_records(self, peer: Peer, payload: dict[str, Any]) -> None:
        """Request a snapshot from a peer that knows newer contents than those read here."""
        if self.fleet_state.records.is_any_outdated(outdated_positions(payload)):
            self.request_snapshot(peer)
        elif peer.role == ENTRY and payload["revision"]:
            self.fleet_state.has_heard_entries = True

    def request_snapshot(self, peer: Peer) -> None:
        """Request a snapshot from a peer, unless another one was requested just before."""
        now_s = time.monotonic()
        if now_s - self.snapshot_requested_at_s > SNAPSHOT_TIMEOUT_S:
            self.snapshot_requested_at_s = now_s
            self.mesh.post(peer.name, FEED_ASK, {})

    def merge_ages(self, peer: Peer, payload: dict[str, Any], delay_s: float) -> bool:
        """Merge the ages of versions in a message.

        Return whether the own times were corrected, see ``FleetState.merge_version_ages``.  Older
        builds send no proven ages.  Theirs count from the receipt of the news, so that they only
        serve where nothing is known, like the end of an outage.
        """
        fields = AGE_FIELDS
        if fields[Evidence.PROVEN] not in payload:
            fields = {Evidence.AFTER_OUTAGE: NAMED}
        is_corrected = False
        for evidence, name in fields.items():
            ages = aged(finite(payload.get(name, {})), delay_s)
            is_corrected |= self.fleet_state.merge_version_ages(ages, evidence, peer.name)
        return is_corrected

    def lost_field(self) -> dict[str, Any]:
        """Return the field with the evacuations that the store has lost, if there are any."""
        lost = self.fleet_state.evacuations.lost_payload()
        return {LOST: lost} if lost else {}

    def merge_lost(self, peer: Peer, payload: dict[str, Any]) -> None:
        """Begin the evacuations that a peer knows of and that the store has lost."""
        lost = payload.get(LOST, {})
        is_same_era = self.position_of(payload).era == self.fleet_state.era
        if self.fleet_state.evacuations.merge_lost(lost, is_same_era, peer.name):
            self.fleet_state.notify_listeners()

    def record_announced(self, position: Position) -> None:
        """Record that the store has that position, if it is newer than all known ones."""
        if position > self.newest_announced():
            self.announced.append((position, time.monotonic()))
            self.fleet_state.record_reached(position)

    def newest_announced(self) -> Position:
        """Return the newest position that the store is known to have."""
        newest = self.announced[-1][0] if self.announced else self.fleet_state.position
        return max(newest, self.fleet_state.position)

    def handle_notice(self, peer: Peer, payload: dict[str, Any], delay_s: float = 0.0) -> None:
        """Handle another zone's position: record a newer one, use the proof of the same one.

        A proof that is fresher by more than ``PROOF_GAIN_S`` is forwarded to the entries of the own
        zone.  Corrected times of versions are forwarded to its sidecars as well, which compute the
        turns of engines from them.
        """
        position = self.position_of(payload)
        self.record_announced(position)
        self.merge_lost(peer, payload)
        if position >= self.newest_announced() and position > self.fleet_state.position:
            self.announcer = peer
        self.request_newer_records(peer, payload)
        age_s = delay_s + max(0.0, float(payload["age_s"]))
        self.fleet_state.record_contact(boot_time_s() - age_s)
        is_fresher = (
            position == self.fleet_state.position
            and self.fleet_state.proof_age_s() - age_s > PROOF_GAIN_S
        )
        if is_fresher:
            self.fleet_state.record_proof(boot_time_s() - age_s)
        is_corrected = self.merge_ages(peer, payload, delay_s)
        recipients = (
            self.mesh.peers(ENTRY, self.mesh.own.zone) if is_fresher or is_corrected else []
        )
        if is_corrected:
            recipients += self.mesh.peers(SIDECAR, self.mesh.own.zone)
        if recipients:
            era, known = self.fleet_state.position
            feed = self.feed_payload(Batch(known, known, [], False, 0.0, era), pack_records([]))
            self.mesh.post_all(recipients, FEED, feed)

    def send_snapshot(self, peer: Peer, payload: dict[str, Any]) -> None:
        """Send the peer a snapshot of the fleet state, where there is one.

        A peer that names a position gets the changes after it, where all of them are known, and
        nothing where its position is the newer one.
        """
        if not self.fleet_state.revision:
            return
        if AFTER in payload and not self.fleet_state.records.outdated:
            era, revision = payload[AFTER]
            known = Position(int(era), int(revision))
            if known > self.fleet_state.position:
                return
            changes = self.recent_changes.since(known)
            if changes is not None and changes.position == self.fleet_state.position:
                feed = self.feed_payload(changes, pack_records(changes.records))
                self.mesh.post(peer.name, FEED, feed)
                return
        batch = self.fleet_state.snapshot()
        if self.packed_snapshot[0] != batch.records:
            self.packed_snapshot = batch.records, pack_records(batch.records)
        self.mesh.post(peer.name, FEED, self.feed_payload(batch, self.packed_snapshot[1]))

    def send_offer(self, link: MeshLink) -> None:
        """Send the own position to a peer of the zone that has just connected.

        Only a peer at an older position requests the snapshot.  When many connections break at
        once, sending every peer a snapshot would congest the links so much that more of them break.
        Entries of other zones get the offer where the store has lost records that are known here,
        and otherwise a notice where a version was named lately: one that has just started to read
        the store for its zone finds the version there, but not the time of its naming.
        """
        is_wanted = link.peer.zone == self.mesh.own.zone or (
            link.peer.role == ENTRY
            and bool(self.fleet_state.records.outdated or self.fleet_state.evacuations.lost)
        )
        if is_wanted and self.mesh.own.role == ENTRY:
            offer = self.position_payload(self.fleet_state.position)
            self.mesh.post(link.peer.name, FEED_OFFER, offer)
        elif self.mesh.own.role == link.peer.role == ENTRY and self.has_recent_version():
            notice = self.position_payload(self.fleet_state.position)
            self.mesh.post(link.peer.name, NOTICE, notice)

    def has_recent_version(self) -> bool:
        """Return whether a version was named within the last ``RECENT_VERSION_S`` seconds."""
        return any(
            age_s < RECENT_VERSION_S
            for found in self.fleet_state.version_ages().values()
            for _, age_s in found
        )

    def handle_offer(self, peer: Peer, payload: dict[str, Any], delay_s: float = 0.0) -> None:
        """Request a snapshot from a peer at a newer position; use the proof of the same one."""
        position = self.position_of(payload)
        self.merge_ages(peer, payload, delay_s)
        self.merge_lost(peer, payload)
        age_s = delay_s + max(0.0, float(payload["age_s"]))
        self.fleet_state.record_contact(boot_time_s() - age_s)
        if position == self.fleet_state.position:
            self.fleet_state.record_proof(boot_time_s() - age_s)
        if position > self.fleet_state.position:
            self.request_snapshot(peer)
        else:
            self.request_newer_records(peer, payload)


def outdated_positions(payload: dict[str, Any]) -> dict[str, Position]:
    """Return the positions of outdated records that a message names, by key.

    Raises ValueError or TypeError where they are malformed.
    """
    return {
        str(key): Position(int(era), int(revision))
        for key, (era, revision) in payload.get("outdated", {}).items()
    }


def aged(ages: VersionAges, delay_s: float) -> VersionAges:
    """Return the ages of versions in a message that took ``delay_s`` seconds."""
    return {
        model: [[version, age_s + delay_s] for version, age_s in found]
        for model, found in ages.items()
    }


def finite(ages: VersionAges) -> VersionAges:
    """Return the ages without those of versions of which no time is known."""
    return {
        model: [[version, age_s] for version, age_s in found if math.isfinite(age_s)]
        for model, found in ages.items()
    }


def pack_records(records: list[Record]) -> bytes:
    """Return the records as compressed msgpack."""
    content: bytes = msgpack.packb([list(record[:3]) for record in records])
    return zlib.compress(content, COMPRESSION_LEVEL)


def unpack_records(content: bytes) -> list[Record]:
    """Return the records of a message; raise ValueError where they can't be decoded."""
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(content, RECORDS_BYTES_MAX)
    except zlib.error as error:
        raise ValueError(f"records can't be decompressed: {error}") from error
    if not decompressor.eof:
        raise ValueError("records are truncated or exceed the size limit")
    return [record_from(fields) for fields in msgpack.unpackb(decompressed)]


def record_from(fields: Any) -> Record:
    """Return the record of a message; raise ValueError or TypeError where it is malformed."""
    key, value, revision = fields
    if value is not None and not isinstance(value, bytes):
        raise TypeError("the value of a record is not bytes")
    return Record(str(key), value, int(revision))
