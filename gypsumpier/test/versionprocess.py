"""A process's fleet state and feed, for tests of the times of versions."""

from typing import Any, Final
from unittest import mock

from gypsumpier.fleet.change import Batch
from gypsumpier.fleet.record import Record
from gypsumpier.mesh.feed import FEED, NOTICE, FleetStateFeed, pack_records
from gypsumpier.mesh.peer import Peer
from gypsumpier.test.builders_platform import (
    MODEL,
    apply_records,
    configuration_record,
    engine_record,
    fleet_state_of,
    record,
)
from gypsumpier.test.fakes_mesh import RecordingMesh
from gypsumpier.test.fakes_piece import entry_peer

OWN: Final = entry_peer("front-bac-a-1", "bac-a")
ZONE_PEER: Final = entry_peer("front-bac-a-2", "bac-a")
ZONE_SIDECAR: Final = entry_peer("side-bac-a-1", "bac-a")._replace(role="sidecar")
FAR_PEER: Final = entry_peer("front-nam-a-1", "nam-a")
EVERYONE: Final = [OWN, ZONE_PEER, ZONE_SIDECAR, FAR_PEER]
START_S: Final = 1000.0
"""Time of the test clock at the start of a test, in seconds."""
START_REVISION: Final = 3
"""Revision of the snapshot with which each process starts."""
FIRST_REVISION: Final = 10
"""Revision at which version 2 is named; version 3 is named at the next one."""


def version_record(version: int) -> Record:
    """Return the record that names a version."""
    body = {"model": MODEL, "version": version}
    return record(f"op/version/{MODEL}", body, FIRST_REVISION - 2 + version)


class Process:
    """The fleet state and the feed of one process that has just read its first snapshot.

    ``others`` are records of that snapshot beside those of two engines, ``since_s`` is its age.
    """

    def __init__(self, own: Peer, *others: Record, since_s: float = 0.0) -> None:
        self.own = own
        self.mesh = RecordingMesh(own, [peer for peer in EVERYONE if peer != own])
        records = [configuration_record(), engine_record(1, 2), engine_record(2, 3), *others]
        self.state = fleet_state_of(*records, proven_ago_s=since_s)
        self.feed = FleetStateFeed(self.mesh, self.state)  # type: ignore[arg-type]

    def read_version(self, version: int = 2) -> None:
        """Apply the record of a version that the store did not have a moment ago."""
        now_s = self.state.proven_at_s + self.state.proof_age_s()
        apply_records(self.state, version_record(version), absent_at_s=now_s)

    def share_version(self, version: int = 2) -> dict[str, Any]:
        """Return the message with which this process passes a version on that it has just read."""
        self.mesh.posted.clear()
        news = [version_record(version)]
        self.feed.share(Batch(START_REVISION, self.state.revision, news, False, 0.0))
        return next(payload for _, kind, payload in self.mesh.posted if kind == FEED)

    def find_version(self, version: int = 2, proven_ago_s: float = 0.0) -> None:
        """Apply the record of a version as found in the store, named at an unknown time.

        The call that found it was sent ``proven_ago_s`` seconds ago.
        """
        apply_records(self.state, version_record(version), proven_ago_s=proven_ago_s)

    def return_from_cut(self, version: int = 2) -> None:
        """Read a version with the first answer of the store after calls that failed."""
        self.state.record_outage(self.state.proof_age_s(), 0.0)
        self.find_version(version)

    def feed_message(self, **fields: Any) -> dict[str, Any]:
        """Return the message of a watcher that has read no news."""
        revision = self.state.revision
        batch = Batch(revision, revision, [], False, 0.0)
        return self.feed.feed_payload(batch, pack_records([])) | fields

    def notice(self) -> dict[str, Any]:
        """Return the message of a watcher that has read no news, to another zone."""
        self.mesh.posted.clear()
        revision = self.state.revision
        self.feed.share(Batch(revision, revision, [], False, 0.0))
        return next(payload for _, kind, payload in self.mesh.posted if kind == NOTICE)

    def offer(self, peer: Peer) -> dict[str, Any]:
        """Return the message to a peer that has just connected."""
        self.mesh.posted.clear()
        self.feed.send_offer(mock.Mock(peer=peer))
        return self.mesh.posted[0][2]

    def named_at_s(self, version: int = 2) -> float:
        """Return the believed time of a version, in seconds from the start of the test."""
        found = next(one for one in self.state.versions[MODEL] if one.version == version)
        return found.earliest_named_at_s - START_S
