"""What one process believes of the deployment, with the revision and the age of each belief.

A proof is the moment at which this process certainly knew everything that the store had
acknowledged.  It comes from an answer of the store, or from a peer together with its age, which
travels as a duration, so that clocks are never compared.
"""

from collections.abc import Callable
from typing import Final, NamedTuple

from gypsumpier.fleet.change import (
    Batch,
    ConfigurationChange,
    FleetChange,
    FleetSource,
    UpstreamChange,
    VersionChange,
)
from gypsumpier.fleet.clock import boot_time_s
from gypsumpier.fleet.configuration import FleetConfiguration
from gypsumpier.fleet.record import Record
from gypsumpier.fleet.upstream import UpstreamRecord
from gypsumpier.log import decision

LAPSE_GRACE_S: Final = 2.0
"""Seconds after an outage of the store within which a lapsed upstream's record may come back."""


VERSIONS_KEPT: Final = 8
"""Versions of a model that are remembered; several may be named before the first is in force."""
CONTINUOUS_PROOF_S: Final = 3.5
"""Seconds since the proof before it up to which news counts as heard at once."""


class WantedVersion(NamedTuple):
    """The version that a model's engines are to serve, and the earliest that it can be named.

    That is minus infinity where the process has just started.
    """

    version: int
    earliest_named_at_s: float


class FleetState:
    """Configuration, upstreams and wanted versions.  Times are those of ``boot_time_s``."""

    def __init__(self, source: FleetSource) -> None:
        self.source = source
        self.records: dict[str, Record] = {}
        self.revision = 0
        self.proven_at_s = float("-inf")
        self.previous_proof_at_s = float("-inf")
        self.outage_ended_at_s = float("-inf")
        self.configuration: FleetConfiguration | None = None
        self.upstreams: dict[str, UpstreamRecord] = {}
        self.lapsed: dict[str, float] = {}
        self.versions: dict[str, list[WantedVersion]] = {}
        self.listeners: list[Callable[[], None]] = []

    def proof_age_s(self) -> float:
        """Return the seconds since this process certainly knew everything."""
        return boot_time_s() - self.proven_at_s

    def record_proof(self, at_s: float) -> None:
        """Note that nothing newer than ``revision`` existed at that time."""
        if at_s <= self.proven_at_s:
            return
        self.proven_at_s = at_s

    def record_outage_end(self, ago_s: float) -> None:
        """Note that the store has answered again, so many seconds ago, after it had not."""
        self.outage_ended_at_s = max(self.outage_ended_at_s, boot_time_s() - ago_s)

    def apply(self, batch: Batch, proven_at_s: float, origin: str) -> None:
        """Take the records of a batch that follows on what is known; older ones are ignored."""
        if batch.revision < self.revision:
            return
        self.previous_proof_at_s = self.proven_at_s
        self.record_proof(proven_at_s)
        changed = [record for record in batch.records if self.is_newer(record)]
        if batch.is_snapshot:
            listed = {record.key for record in batch.records}
            changed += [
                Record(key, None, batch.revision)
                for key, record in self.records.items()
                if key not in listed and record.value is not None
            ]
        for record in sorted(changed, key=lambda found: found.revision):
            self.apply_record(record, origin)
        self.revision = batch.revision
        if changed:
            for listener in self.listeners:
                listener()

    def is_newer(self, record: Record) -> bool:
        """Tell whether the record is newer than what is known under its key."""
        known = self.records.get(record.key)
        return known is None or record.revision > known.revision

    def apply_record(self, record: Record, origin: str) -> None:
        """Take one record."""
        if record.value is None:
            self.records.pop(record.key, None)
        else:
            self.records[record.key] = record
        change = self.source.decode(record)
        if change is not None:
            self.apply_change(change, record, origin)

    def apply_change(self, change: FleetChange, record: Record, origin: str) -> None:
        """Change the belief that the record is about, and log it."""
        if isinstance(change, ConfigurationChange):
            self.apply_configuration(change.configuration, record, origin)
        elif isinstance(change, VersionChange):
            self.apply_version(change, record, origin)
        else:
            self.apply_upstream(change, record, origin)

    def apply_configuration(
        self, configuration: FleetConfiguration, record: Record, origin: str
    ) -> None:
        """Put a configuration in force; an older version never replaces a newer one."""
        if self.configuration is not None and configuration.version <= self.configuration.version:
            return
        self.configuration = configuration
        decision(
            "configuration_in_force",
            version=configuration.version,
            revision=record.revision,
            routes=len(configuration.routes),
            source=origin,
        )

    def apply_version(self, change: VersionChange, record: Record, origin: str) -> None:
        """Note the version that engines are to serve."""
        named = self.versions.setdefault(change.model, [])
        if named and change.version <= named[-1].version:
            return
        now_s = boot_time_s()
        is_continuous = now_s - self.previous_proof_at_s < CONTINUOUS_PROOF_S
        # After a gap the version may have been named as early as the last proof.  Time in which the
        # store was away does not count towards the bound.
        is_recent = is_continuous or self.is_after_outage()
        learned_at_s = now_s if is_recent else self.previous_proof_at_s
        named.append(WantedVersion(change.version, learned_at_s))
        del named[:-VERSIONS_KEPT]
        decision(
            "version_wanted",
            model=change.model,
            version=change.version,
            revision=record.revision,
            source=origin,
        )

    def apply_upstream(self, change: UpstreamChange, record: Record, origin: str) -> None:
        """Note an upstream, or that it is gone.

        One that disappears because of an outage of the store may live; it stays for a while.
        """
        known, found = self.upstreams.get(change.id), change.record
        if found is not None:
            self.lapsed.pop(change.id, None)
            self.upstreams[change.id] = found
            state = "leaving" if found.is_leaving else "ready"
        elif known is not None and not known.is_leaving and self.is_after_outage():
            self.lapsed[change.id] = self.outage_ended_at_s + LAPSE_GRACE_S
            state = "lapsed"
        else:
            self.upstreams.pop(change.id, None)
            state = "gone"
        decision(
            "upstream_record",
            upstream=change.id,
            service=found.service if found else "",
            address=f"{found.host}:{found.port}" if found else "",
            state=state,
            layers=[tuple(part) for part in found.layers] if found else [],
            revision=record.revision,
            source=origin,
        )

    def version_ages(self) -> dict[str, list[list[float]]]:
        """Return the versions of each model with the seconds since they were named, for a peer."""
        now_s = boot_time_s()
        return {
            model: [[it.version, now_s - it.earliest_named_at_s] for it in named]
            for model, named in self.versions.items()
        }

    def merge_version_ages(self, ages: dict[str, list[list[float]]]) -> None:
        """Take what a peer knows better of when versions were named.

        Each process errs towards too early, so the later time is the better one.
        """
        now_s = boot_time_s()
        for model, found in ages.items():
            peer_times_s = {int(version): now_s - float(age_s) for version, age_s in found}
            self.versions[model] = [
                it._replace(
                    earliest_named_at_s=max(
                        it.earliest_named_at_s, peer_times_s.get(it.version, it.earliest_named_at_s)
                    )
                )
                for it in self.versions.get(model, [])
            ]

    def due_version(self, model: str, before_s: float) -> int:
        """Return the newest version that was named before that time; 0 where there is none."""
        named = self.versions.get(model, [])
        return max((it.version for it in named if it.earliest_named_at_s < before_s), default=0)

    def is_after_outage(self) -> bool:
        """Tell whether records may have lapsed because the store was away."""
        return boot_time_s() - self.outage_ended_at_s < LAPSE_GRACE_S

    def drop_expired_lapsed(self) -> None:
        """Take upstreams as gone whose records have not come back in time."""
        now_s = boot_time_s()
        for upstream in [name for name, until_s in self.lapsed.items() if until_s <= now_s]:
            del self.lapsed[upstream]
            self.upstreams.pop(upstream, None)
            decision("upstream_gone", upstream=upstream, reason="its record did not come back")
            for listener in self.listeners:
                listener()

    def snapshot(self) -> Batch:
        """Return everything that is known, for a peer."""
        return Batch(0, self.revision, list(self.records.values()), True, 0.0)
