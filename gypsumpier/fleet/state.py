"""One process's local copy of the deployment's state, with its position and its freshness.

A freshness proof, "proof" for short, is a moment at which this copy certainly held everything that
the store had acknowledged.  It comes from an answer of the store, or from a peer together with its
age.  The age is sent as a duration, so that clocks of two machines are never compared.
"""

from collections import deque
from collections.abc import Callable
from typing import Final

from prometheus_client import Gauge

from gypsumpier.fleet.change import (
    Batch,
    ConfigurationChange,
    EvacuationChange,
    FleetChange,
    FleetSource,
    UpstreamChange,
    VersionChange,
)
from gypsumpier.fleet.clock import boot_time_s
from gypsumpier.fleet.configuration import FleetConfiguration
from gypsumpier.fleet.evacuations import Evacuations
from gypsumpier.fleet.position import Position
from gypsumpier.fleet.positiontimes import PositionTimes
from gypsumpier.fleet.record import Record
from gypsumpier.fleet.recordtable import RecordTable
from gypsumpier.fleet.upstream import UpstreamRecord
from gypsumpier.fleet.wantedversion import Evidence, WantedVersion, condensed, is_covered
from gypsumpier.log import decision
from gypsumpier.metrics import REGISTRY

LAPSE_GRACE_S: Final = 2.0
"""Seconds after an outage of the store, or after its return from an older copy, during which an
upstream whose record is missing is kept."""

PEERS_HEARD_S: Final = 0.6
"""Seconds from the start within which the entries in reach connect and tell what they know."""
VERSIONS_KEPT: Final = 128
"""Wanted versions kept for each model; many may be named before the first is in force."""
SETTLED_S: Final = 600.0
"""Seconds after its naming from which a version is due for certain; some ten are allowed."""
RETURN_NOTICED_S: Final = 1.2
"""Seconds within which every reader notices that the store answers again: its last failed call and
the wait after it.  The store may answer one process that much earlier than another."""
CONTACTS_KEPT: Final = 64
CONTACT_SPACING_S: Final = 0.25
"""Times at which the store answered some process that are kept, and the seconds between two."""
MODELS_CLAIMED_MAX: Final = 64
"""Models of which claims to versions without a record are kept; a deployment has a few."""
UNKNOWN_AGE_S: Final = 1e6
"""Seconds logged for the age of something of which no time is known."""
NAMED_GAIN_S: Final = 0.25
"""Seconds by which a peer must change the time of a version for the change to be logged and passed
on; less is the usual delay of a message."""

WANTED_VERSION: Final = Gauge(
    "gypsumpier_wanted_version", "Newest wanted version.", ["model"], registry=REGISTRY
)
WANTED_VERSION_AGE: Final = Gauge(
    "gypsumpier_wanted_version_age_seconds",
    "Seconds since the newest wanted version was named, as far as the process knows.",
    ["model"],
    registry=REGISTRY,
)
STORE_ERA: Final = Gauge(
    "gypsumpier_store_era",
    "Era of the platform's store; it rises when the store comes back from an older copy.",
    registry=REGISTRY,
)


VersionAges = dict[str, list[list[float]]]
"""Each model's versions with the seconds since they were named: ``[version, age_s]``."""


class FleetState:
    """Configuration, upstreams, versions and evacuations.  Times are those of ``boot_time_s``.

    ``era`` and ``revision`` are the position in the store's history up to which the state is known.
    ``has_heard_entries`` is set once an entry has told its position.
    ``restored_at_s`` is when this process learned that the store had come back from an older copy.
    ``proven_at_s`` is the time of the newest freshness proof.  ``lapsed`` maps upstreams that are
    kept without a record to the time at which they are removed.  ``claims`` holds, by model and
    version, what peers know of the naming of versions whose records have not arrived here yet.
    ``upstream_listeners`` are called with each record of an upstream as it arrives, ``listeners``
    after a batch that has changed something.
    """

    def __init__(self, source: FleetSource) -> None:
        self.source = source
        self.records = RecordTable(source)
        self.era = 0
        self.revision = 0
        self.started_at_s = boot_time_s()
        self.has_heard_entries = False
        self.restored_at_s = float("-inf")
        self.proven_at_s = float("-inf")
        self.previous_proof_at_s = float("-inf")
        self.position_times = PositionTimes()
        self.contacts_at_s: deque[float] = deque(maxlen=CONTACTS_KEPT)
        self.outage_began_at_s = float("-inf")
        self.outage_ended_at_s = float("-inf")
        self.configuration: FleetConfiguration | None = None
        self.configuration_record: Record | None = None
        self.upstreams: dict[str, UpstreamRecord] = {}
        self.lapsed: dict[str, float] = {}
        self.versions: dict[str, list[WantedVersion]] = {}
        self.claims: dict[str, dict[int, WantedVersion]] = {}
        self.evacuations = Evacuations()
        self.listeners: list[Callable[[], None]] = []
        self.upstream_listeners: list[Callable[[UpstreamRecord], None]] = []

    @property
    def position(self) -> Position:
        """The position in the store's history up to which the state is known."""
        return Position(self.era, self.revision)

    def proof_age_s(self) -> float:
        """Return the seconds since the newest freshness proof."""
        return boot_time_s() - self.proven_at_s

    def is_confirmed(self) -> bool:
        """Return whether entries in reach had the time to tell what a copy of the store lacks.

        A store that states no era does not come back from copies.
        """
        if not self.era or self.has_heard_entries:
            return True
        return boot_time_s() - self.started_at_s > PEERS_HEARD_S

    def record_proof(self, at_s: float) -> None:
        """Record that the store had nothing newer than ``revision`` at that time."""
        if self.record_position(self.position, at_s):
            self.proven_at_s = max(self.proven_at_s, at_s)

    def record_position(self, position: Position, at_s: float) -> bool:
        """Record that the store had nothing newer than ``position`` at that time.

        Returns False where that is refuted, see ``PositionTimes``.
        """
        self.record_contact(at_s)
        return self.position_times.record(position, at_s)

    def record_reached(self, position: Position) -> None:
        """Record that the store has reached ``position``, whose records may not be known yet."""
        if position > self.position:
            self.position_times.record_reached(position, boot_time_s())

    def record_contact(self, at_s: float) -> None:
        """Record that the store answered some process at that time.

        Within an outage, that shows that there was none: only the process that reported it was cut
        off.
        """
        if not self.contacts_at_s or at_s - self.contacts_at_s[-1] > CONTACT_SPACING_S:
            self.contacts_at_s.append(at_s)
        if self.outage_began_at_s < at_s < self.outage_ended_at_s - RETURN_NOTICED_S:
            self.revoke_outage()

    def is_refuted(self, began_at_s: float, ended_at_s: float) -> bool:
        """Return whether the store is known to have answered within such an outage."""
        latest_s = ended_at_s - RETURN_NOTICED_S
        return any(began_at_s < at_s < latest_s for at_s in self.contacts_at_s)

    def revoke_outage(self) -> None:
        """Drop the last outage, and what rests on it."""
        decision("store_outage_refuted", lasted_s=round(self.outage_lasted_s(), 3))
        self.outage_began_at_s = self.outage_ended_at_s = float("-inf")
        for model, named in self.versions.items():
            self.versions[model] = [wanted.without_outage() for wanted in named]
        if not self.is_just_restored():
            for upstream in self.lapsed:
                self.upstreams.pop(upstream, None)
            self.lapsed.clear()
        self.notify_listeners()

    def record_outage(self, lasted_s: float, ended_ago_s: float) -> None:
        """Record an outage of the store that ended ``ended_ago_s`` seconds ago."""
        ended_at_s = boot_time_s() - ended_ago_s
        began_at_s = ended_at_s - lasted_s
        if ended_at_s <= self.outage_ended_at_s:
            return
        if self.is_refuted(began_at_s, ended_at_s):
            decision("store_outage_refuted", lasted_s=round(lasted_s, 3))
            return
        self.outage_began_at_s, self.outage_ended_at_s = began_at_s, ended_at_s

    def apply(
        self,
        batch: Batch,
        proven_at_s: float,
        origin: str,
    ) -> None:
        """Apply a batch that continues from the known revision; older records are ignored.

        ``proven_at_s`` is the time of the batch's freshness proof.  ``origin`` names the source of
        the batch in the log.
        """
        if batch.position < self.position or self.lacks_earlier_changes(batch):
            return
        self.previous_proof_at_s = self.proven_at_s
        # A snapshot does not show what was written and replaced since the known position.
        dated_s = self.position_times.last_until(self.position) if batch.is_snapshot else None
        if self.record_position(batch.position, proven_at_s):
            self.proven_at_s = max(self.proven_at_s, proven_at_s)
        previous, has_returned = self.position, bool(self.revision) and batch.era > self.era
        if has_returned:
            self.restored_at_s = boot_time_s()
        if batch.era > self.era:
            self.evacuations.begin_era()
        changed = self.records.changes_of(batch)
        for record in changed:
            self.apply_record(record, origin, dated_s)
        self.era, self.revision = batch.position
        self.position_times.forget_before(self.position)
        STORE_ERA.set(self.era)
        if has_returned:
            self.log_return(previous, origin)
        if changed:
            self.notify_listeners()

    def lacks_earlier_changes(self, batch: Batch) -> bool:
        """Return whether changes made in the batch's era before it are not known here."""
        return batch.era != self.era and not batch.is_snapshot

    def log_return(self, previous: Position, origin: str) -> None:
        """Log that the store has come back from an older copy."""
        decision(
            "store_restored",
            era_before=previous.era,
            era=self.era,
            revision_before=previous.revision,
            revision=self.revision,
            outdated=len(self.records.outdated),
            lapsed=len(self.lapsed),
            source=origin,
        )

    def apply_record(self, record: Record, origin: str, dated_s: float | None = None) -> None:
        """Store or remove one record and apply the change that it contains.

        ``dated_s`` is a time before which it was not recorded; None for the last one that is known
        by the positions of the store.
        """
        self.records.apply(record)
        change = self.source.decode(record)
        if change is not None:
            self.apply_change(change, record, origin, dated_s)

    def apply_change(
        self, change: FleetChange, record: Record, origin: str, dated_s: float | None
    ) -> None:
        """Apply and log the decoded change of a record."""
        if isinstance(change, ConfigurationChange):
            self.apply_configuration(change.configuration, record, origin)
        elif isinstance(change, VersionChange):
            if dated_s is None:
                dated_s = self.position_times.last_before(record.position)
            self.apply_version(change, record, origin, dated_s)
        elif isinstance(change, EvacuationChange):
            is_copied = bool(self.revision) and record.era > self.era
            proven_at_s = self.previous_proof_at_s
            self.evacuations.apply(change, record, is_copied, proven_at_s, origin)
        else:
            self.apply_upstream(change, record, origin)

    def apply_configuration(
        self, configuration: FleetConfiguration, record: Record, origin: str
    ) -> None:
        """Put a configuration in force; an older version never replaces a newer one.

        A store that came back from an older copy may be given the same version with other content.
        What it holds then is in force, as every reader will find it there.
        """
        known, in_force = self.configuration, self.configuration_record
        if known is not None and in_force is not None:
            is_rewritten = record.era > in_force.era and record.value != in_force.value
            if configuration.version < known.version + (0 if is_rewritten else 1):
                return
        self.configuration, self.configuration_record = configuration, record
        decision(
            "configuration_in_force",
            version=configuration.version,
            era=record.era,
            revision=record.revision,
            routes=len(configuration.routes),
            source=origin,
        )

    def apply_version(
        self, change: VersionChange, record: Record, origin: str, proven_at_s: float
    ) -> None:
        """Record a newly named version of a model; an older version is ignored."""
        named = self.versions.get(change.model, [])
        if named and change.version <= named[-1].version:
            return
        now_s = boot_time_s()
        wanted = self.estimate(change.version, proven_at_s)._replace(known_by_s=now_s)
        if wanted.evidence is not Evidence.UNKNOWN:
            wanted = wanted._replace(learned_at_s=now_s)
        self.versions[change.model] = self.bounded([*named, wanted])
        for claim in self.claims.pop(change.model, {}).values():
            self.merge_claim(change.model, claim)
        wanted = self.versions[change.model][-1]
        self.set_version_metrics(change)
        decision(
            "version_wanted",
            model=change.model,
            version=change.version,
            named_ago_s=round(min(now_s - wanted.earliest_named_at_s, UNKNOWN_AGE_S), 3),
            proof_gap_s=round(min(now_s - self.previous_proof_at_s, UNKNOWN_AGE_S), 3),
            evidence=wanted.evidence.name.lower(),
            revision=record.revision,
            source=origin,
        )

    def estimate(self, version: int, proven_at_s: float) -> WantedVersion:
        """Return the estimate of the time of a naming that was not made before ``proven_at_s``."""
        wanted = WantedVersion(version, proven_at_s, Evidence.PROVEN, proven_at_s=proven_at_s)
        if self.is_after_outage() and proven_at_s < self.outage_ended_at_s:
            return wanted._replace(
                earliest_named_at_s=self.outage_ended_at_s, evidence=Evidence.AFTER_OUTAGE
            )
        is_known = proven_at_s > float("-inf")
        return wanted if is_known else wanted._replace(evidence=Evidence.UNKNOWN)

    def set_version_metrics(self, change: VersionChange) -> None:
        """Set the metrics of the newest version of a model."""
        WANTED_VERSION.labels(change.model).set(change.version)
        WANTED_VERSION_AGE.labels(change.model).set_function(
            lambda: boot_time_s() - self.versions[change.model][-1].earliest_named_at_s
        )

    def apply_upstream(self, change: UpstreamChange, record: Record, origin: str) -> None:
        """Add, update or remove an upstream.

        An upstream whose record disappears just after an outage of the store, or with its return
        from an older copy, may still be running, so it is kept for a grace period.
        """
        known, found = self.upstreams.get(change.id), change.record
        if found is not None:
            self.lapsed.pop(change.id, None)
            self.upstreams[change.id] = found
            for listener in self.upstream_listeners:
                listener(found)
            state = "leaving" if found.is_leaving else "ready"
        elif (
            known is not None
            and not known.is_leaving
            and (self.is_after_outage() or self.is_just_restored())
        ):
            self.lapsed[change.id] = max(self.outage_ended_at_s, self.restored_at_s) + LAPSE_GRACE_S
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

    def version_ages(self) -> VersionAges:
        """Return each model's versions with the seconds since they were named, for a peer."""
        return self.ages_of(lambda wanted: True)

    def version_ages_by(self, evidence: Evidence) -> VersionAges:
        """Return the same for the versions whose time rests on that evidence."""
        return self.ages_of(lambda wanted: wanted.evidence is evidence)

    def ages_of(self, is_listed: Callable[[WantedVersion], bool]) -> VersionAges:
        """Return the ages in seconds of the versions for which ``is_listed`` returns true."""
        now_s = boot_time_s()
        return {
            model: [
                [wanted.version, now_s - wanted.earliest_named_at_s]
                for wanted in named
                if is_listed(wanted)
            ]
            for model, named in self.versions.items()
        }

    def merge_version_ages(
        self, ages: VersionAges, evidence: Evidence = Evidence.PROVEN, origin: str = ""
    ) -> bool:
        """Merge the ages of versions that a peer, ``origin``, has sent, in seconds.

        Return whether a time was corrected by more than ``NAMED_GAIN_S``.  Raises ValueError or
        TypeError where the ages are malformed.
        """
        now_s = boot_time_s()
        has_changed = is_corrected = False
        for model, found in ages.items():
            for version, age_s in found:
                named_at_s = now_s - max(0.0, float(age_s))
                claim = WantedVersion(int(version), named_at_s, evidence)
                known = self.merge_claim(model, claim)
                if known is None:
                    continue
                has_changed = True
                if abs(known.earliest_named_at_s - named_at_s) > NAMED_GAIN_S:
                    is_corrected = True
                    log_corrected_time(model, known, claim, origin)
        if has_changed:
            self.notify_listeners()
        return is_corrected

    def merge_claim(self, model: str, claim: WantedVersion) -> WantedVersion | None:
        """Merge a peer's estimate; return the own one that it replaced, None where it did not.

        A version older than the newest one here is added where it is missing: a snapshot holds only
        the newest, but engines have to serve at least an older one from its own time limit on.  The
        claim to a newer one is kept until its record arrives.
        """
        named = self.versions.get(model, [])
        claim = claim._replace(known_by_s=min(claim.known_by_s, boot_time_s()))
        if not named or claim.version > named[-1].version:
            self.keep_claim(model, claim)
            return None
        if len(named) >= VERSIONS_KEPT and is_covered(claim, named):
            return None
        unknown = WantedVersion(claim.version, float("-inf"), Evidence.UNKNOWN)
        known = self.wanted_version(model, claim.version)
        if known is not None and (self.ends_before_outage(known, claim) or known.refutes(claim)):
            return None
        better = (known or unknown).better_of(claim)
        if known is not None and better.is_about(known):
            return None
        others = [wanted for wanted in named if wanted.version != claim.version]
        self.versions[model] = self.bounded(sorted([*others, better]))
        return known or unknown

    def keep_claim(self, model: str, claim: WantedVersion) -> None:
        """Keep a claim to a version whose record has not arrived."""
        if model not in self.claims and len(self.claims) >= MODELS_CLAIMED_MAX:
            return
        claims = self.claims.get(model, {})
        known = claims.get(claim.version, claim)
        if known.refutes(claim):
            return
        kept = sorted((claims | {claim.version: known.better_of(claim)}).values())
        self.claims[model] = {found.version: found for found in self.bounded(kept)}

    def bounded(self, named: list[WantedVersion]) -> list[WantedVersion]:
        """Return at most ``VERSIONS_KEPT`` of a model's versions, see ``condensed``."""
        return condensed(named, VERSIONS_KEPT, boot_time_s() - SETTLED_S)

    def ends_before_outage(self, known: WantedVersion, claim: WantedVersion) -> bool:
        """Return whether the claim is a proof from before the outage that ``known`` rests on.

        It comes from a process that did not notice the outage, and the time since does not count.
        """
        is_outage = known.evidence is Evidence.AFTER_OUTAGE and claim.evidence is Evidence.PROVEN
        return is_outage and claim.earliest_named_at_s <= self.outage_began_at_s

    def wanted_version(self, model: str, version: int) -> WantedVersion | None:
        """Return what is known of a version's naming; None where it is not among the kept ones."""
        named = self.versions.get(model, [])
        return next((wanted for wanted in named if wanted.version == version), None)

    def due_version(self, model: str, before_s: float) -> int:
        """Return the newest version that was named before ``before_s``; 0 where there is none."""
        named = self.versions.get(model, [])
        return max(
            (wanted.version for wanted in named if wanted.earliest_named_at_s < before_s), default=0
        )

    def outage_lasted_s(self) -> float:
        """Return the duration in seconds of the last outage of the store; 0 where there is none."""
        if self.outage_ended_at_s == float("-inf"):
            return 0.0
        return self.outage_ended_at_s - self.outage_began_at_s

    def is_after_outage(self) -> bool:
        """Return whether an outage of the store ended within the last ``LAPSE_GRACE_S``."""
        return boot_time_s() - self.outage_ended_at_s < LAPSE_GRACE_S

    def is_just_restored(self) -> bool:
        """Return whether the store came back from an older copy within ``LAPSE_GRACE_S``."""
        return boot_time_s() - self.restored_at_s < LAPSE_GRACE_S

    def notify_listeners(self) -> None:
        """Call the listeners, as the state has changed."""
        for listener in self.listeners:
            listener()

    def drop_expired_lapsed(self) -> None:
        """Drop what a copy of the store lacks and what was not written again in time."""
        if self.evacuations.settle(self.position, self.proven_at_s):
            self.notify_listeners()
        now_s = boot_time_s()
        for upstream in [name for name, until_s in self.lapsed.items() if until_s <= now_s]:
            del self.lapsed[upstream]
            self.upstreams.pop(upstream, None)
            decision(
                "upstream_gone",
                upstream=upstream,
                reason="its record did not return after the store's outage",
            )
            self.notify_listeners()

    def snapshot(self) -> Batch:
        """Return all known records as a snapshot, for a peer."""
        records = list(self.records.by_key.values())
        return Batch(0, self.revision, records, True, 0.0, self.era, dict(self.records.outdated))


def log_corrected_time(
    model: str, known: WantedVersion, better: WantedVersion, origin: str
) -> None:
    """Log that a peer's estimate has replaced the own one."""
    now_s = boot_time_s()
    decision(
        "version_time_corrected",
        model=model,
        version=known.version,
        named_ago_s=round(min(now_s - better.earliest_named_at_s, UNKNOWN_AGE_S), 3),
        believed_ago_s=round(min(now_s - known.earliest_named_at_s, UNKNOWN_AGE_S), 3),
        evidence=better.evidence.name.lower(),
        source=origin,
    )
