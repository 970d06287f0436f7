"""The upstreams that requests can go to and how loaded each is.

Load is the number of requests in flight, summed over the entries: the own count is exact, those of
the other entries are as old as their last message.
"""

import time
from dataclasses import dataclass, field
from typing import Final

from gypsumpier.fleet.beliefs import Beliefs
from gypsumpier.fleet.service import ModelTraits
from gypsumpier.fleet.upstream import LoadedLayers, UpstreamRecord, whole_version
from gypsumpier.upstream.enginestate import EngineState
from gypsumpier.upstream.health import HealthBoard

PEER_LOAD_MAX_AGE_S: Final = 2.0
"""Seconds after which the counts of an entry that says nothing more are dropped."""
SPARE_SLOTS_SHARE: Final = 0.125
"""Share of an upstream's slots that may wait in its own queue, so that a slot that becomes free is
filled before the entries have heard of it."""


@dataclass
class PeerLoad:
    """The requests in flight of another entry, by upstream."""

    counts: dict[str, int] = field(default_factory=dict)
    at_s: float = 0.0


class UpstreamBoard:
    """Candidates and their load."""

    def __init__(self, beliefs: Beliefs, zone: str) -> None:
        self.beliefs = beliefs
        self.zone = zone
        self.health = HealthBoard()
        self.own: dict[str, int] = {}
        self.peers: dict[str, PeerLoad] = {}
        self.engines: dict[str, EngineState] = {}

    def note_peer(self, name: str, counts: dict[str, int]) -> None:
        """Take the counts of another entry."""
        self.peers[name] = PeerLoad(counts, time.monotonic())

    def note_engine(self, state: EngineState) -> bool:
        """Take what a sidecar tells; False where something newer is known already."""
        known = self.engines.get(state.address)
        if known is not None and known.run == state.run and known.sequence >= state.sequence:
            return False
        self.engines[state.address] = state
        return True

    def forget_old(self) -> None:
        """Drop what silent entries told and what belongs to upstreams that are gone."""
        oldest_s = time.monotonic() - PEER_LOAD_MAX_AGE_S
        self.peers = {name: load for name, load in self.peers.items() if load.at_s > oldest_s}
        records = self.beliefs.upstreams.values()
        self.health.keep({record.run_key() for record in records})
        addresses = {f"{record.host}:{record.port}" for record in records}
        for address in [address for address in self.engines if address not in addresses]:
            del self.engines[address]

    def engine(self, record: UpstreamRecord) -> EngineState | None:
        """Return what the sidecar of the upstream told last."""
        return self.engines.get(f"{record.host}:{record.port}")

    def layers(self, record: UpstreamRecord) -> tuple[LoadedLayers, ...]:
        """Return the layers that the upstream holds by the freshest word."""
        engine = self.engine(record)
        return record.layers if engine is None else engine.layers

    def version(self, record: UpstreamRecord, model: ModelTraits) -> int:
        """Return the version of the weights that the upstream holds whole; 0 for none."""
        return whole_version(self.layers(record), model.layers)

    def load(self, record: UpstreamRecord) -> int:
        """Return the requests in flight at the upstream, as far as is known."""
        others = sum(peer.counts.get(record.id, 0) for peer in self.peers.values())
        return self.own.get(record.id, 0) + others

    def limit(self, record: UpstreamRecord) -> int:
        """Return how many requests may be in flight at the upstream."""
        return record.slots + max(1, int(record.slots * SPARE_SLOTS_SHARE))

    def candidates(self, service: str, least_version: int = 0) -> list[UpstreamRecord]:
        """Return the upstreams of the service that can serve, whatever their load.

        Engines must hold a whole model of at least that version and not be switching.
        """
        configuration = self.beliefs.configuration
        found = configuration.services.get(service) if configuration else None
        model = found.model if found else None
        records = [
            record
            for record in self.beliefs.upstreams.values()
            if record.service == service and not record.is_leaving
        ]
        if model is not None:
            records = [
                record
                for record in records
                if self.version(record, model) >= max(1, least_version)
                and not self.is_switching(record)
            ]
        return records

    def is_switching(self, record: UpstreamRecord) -> bool:
        """Tell whether the engine starts nothing new at the moment."""
        engine = self.engine(record)
        return engine is not None and engine.is_switching

    def newest(self, records: list[UpstreamRecord], service: str) -> list[UpstreamRecord]:
        """Return the engines with the newest weights among the records; all of a plain service."""
        configuration = self.beliefs.configuration
        found = configuration.services.get(service) if configuration else None
        if found is None or found.model is None or not records:
            return records
        model = found.model
        newest = max(self.version(record, model) for record in records)
        return [record for record in records if self.version(record, model) == newest]

    def choose(
        self, records: list[UpstreamRecord], without: set[tuple[str, int]]
    ) -> UpstreamRecord | None:
        """Return the least loaded upstream with room, of the own zone where there is one."""
        free = [
            record
            for record in records
            if record.run_key() not in without
            and self.health.is_usable(record.run_key())
            and self.load(record) < self.limit(record)
        ]
        if not free:
            return None
        home = [
            record
            for record in free
            if record.zone == self.zone and self.load(record) < record.slots
        ]
        return min(home or free, key=lambda record: self.load(record) / max(1, record.slots))

    def begin(self, record: UpstreamRecord) -> None:
        """Count a request that is sent there."""
        self.own[record.id] = self.own.get(record.id, 0) + 1
        self.health.begin(record.run_key())

    def end(self, record: UpstreamRecord) -> None:
        """Take a request that is no longer there from the count."""
        left = self.own.get(record.id, 0) - 1
        if left > 0:
            self.own[record.id] = left
        else:
            self.own.pop(record.id, None)
        self.health.end(record.run_key())
