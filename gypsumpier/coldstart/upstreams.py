"""Which upstreams count as cold, and on what evidence."""

import time
from collections.abc import Callable, Mapping
from typing import Final

from prometheus_client import Gauge

from gypsumpier.coldstart.evidence import Evidence
from gypsumpier.coldstart.failure import Failure
from gypsumpier.coldstart.period import ColdPeriod
from gypsumpier.coldstart.rule import ColdRule, rules_of
from gypsumpier.coldstart.stalls import Stalls
from gypsumpier.fleet.clock import boot_time_s
from gypsumpier.fleet.configuration import FleetConfiguration
from gypsumpier.fleet.node import Bounds
from gypsumpier.fleet.state import FleetState
from gypsumpier.fleet.upstream import UpstreamRecord
from gypsumpier.log import decision
from gypsumpier.metrics import REGISTRY

MARGIN_S: Final = 0.25
"""Seconds added to each cold period: the upstream measures it with another clock, and requests that
are sent at its end arrive a little later or earlier."""
HEARTBEATS_S: Final = 4.0
"""Seconds within which the record of a new start arrives: three of the record's heartbeats."""
FRESH_S: Final = 3.0
"""Age of the freshness proof in seconds from which an upstream may have become cold unnoticed."""
LOGGED_MAX: Final = 16
"""Upstreams named in the log whose periods begin or end at once; of more only the number is."""

COLD_UPSTREAMS: Final = Gauge(
    "gypsumpier_cold_upstreams",
    "Upstreams that count as cold, without those for which only the age of the fleet state speaks.",
    registry=REGISTRY,
)


class ColdUpstreams:
    """The cold periods by the id of the upstream, in monotonic seconds.

    ``rules`` holds the services with a limit on cold upstreams; without one, nothing is kept.
    ``next_end_s`` is no later than the end of the first period.
    ``runs`` holds the start times of the known runs.  ``failures`` are those of upstreams that may
    have restarted under their old records.  ``ended_evacuations`` returns the boot time at which
    the evacuation of a zone ended, by zone.  ``began`` and ``ended`` are to be logged.
    """

    def __init__(self, fleet_state: FleetState, zone: str) -> None:
        self.fleet_state = fleet_state
        self.zone = zone
        self.bounds: Bounds | None = None
        self.configuration: FleetConfiguration | None = None
        self.rules: dict[str, ColdRule] = {}
        self.runs: dict[str, int] = {}
        self.periods: dict[str, ColdPeriod] = {}
        self.failures: dict[str, Failure] = {}
        self.stalls = Stalls()
        self.ended_evacuations: Callable[[], Mapping[str, float]] = (
            lambda: fleet_state.evacuations.ended_at_s
        )
        self.next_end_s = float("inf")
        self.was_stale = False
        self.began: list[tuple[str, ColdPeriod]] = []
        self.ended: list[tuple[str, ColdPeriod]] = []
        fleet_state.upstream_listeners.append(self.learn)
        fleet_state.listeners.append(self.update_rules)
        self.update_rules()

    def set_bounds(self, bounds: Bounds) -> None:
        """Apply the bounds of the settings."""
        self.bounds, self.configuration = bounds, None
        self.update_rules()

    def update_rules(self) -> None:
        """Apply a changed configuration; learn the records of newly limited services."""
        configuration = self.fleet_state.configuration
        if configuration is self.configuration:
            return
        self.configuration = configuration
        found = rules_of(configuration.services if configuration else {}, self.bounds)
        added = found.keys() - self.rules.keys()
        self.rules.clear()
        self.rules.update(found)
        for record in self.fleet_state.upstreams.values() if added else ():
            if record.service in added:
                self.learn(record)

    def learn(self, record: UpstreamRecord) -> None:
        """Learn from a record that has just arrived.

        A new run that does not state how long it is cold is so as long as its service says.  What
        is known of an upstream is not shortened by a record, which may be older than it is.
        """
        rule = self.rules.get(record.service)
        if rule is None:
            return
        now_s = time.monotonic()
        if record.cold_left_s > 0:
            until_s = now_s + record.cold_left_s + MARGIN_S
            self.begin(record.id, ColdPeriod(Evidence.RECORD, until_s))
        if self.runs.get(record.id) == record.started_ms:
            return
        self.runs[record.id] = record.started_ms
        if not record.states_cold:
            self.begin(record.id, ColdPeriod(Evidence.NEW_RUN, now_s + rule.cold_s + MARGIN_S))
        self.drop_failure(record.id)

    def begin(self, upstream: str, period: ColdPeriod) -> None:
        """Begin a period, or extend the one that is known."""
        known = self.periods.get(upstream)
        if known is not None and known.until_s >= period.until_s:
            return
        self.periods[upstream] = period
        self.next_end_s = min(self.next_end_s, period.until_s)
        if known is None:
            self.began.append((upstream, period))

    def record_failure(self, record: UpstreamRecord) -> None:
        """Record that the upstream can't be connected to, or has broken a connection.

        It may have restarted, and its record may be the old one for a while.
        """
        rule = self.rules.get(record.service)
        if rule is None:
            return
        now_s = time.monotonic()
        if record.id not in self.failures:
            until_s = now_s + rule.cold_s + HEARTBEATS_S
            self.began.append((record.id, ColdPeriod(Evidence.FAILURE, until_s)))
        self.failures[record.id] = Failure(now_s, now_s + rule.cold_s + HEARTBEATS_S)

    def drop_failure(self, upstream: str) -> None:
        """Drop a failure; the upstream is warm unless another period holds."""
        failure = self.failures.pop(upstream, None)
        if failure is not None and upstream not in self.periods:
            self.ended.append((upstream, ColdPeriod(Evidence.FAILURE, time.monotonic())))

    def record_answered(self, record: UpstreamRecord, sent_at_s: float) -> None:
        """Record an answer to a request that was sent at that monotonic time.

        If it was sent after the failure, the upstream runs again, and has since a moment ago.
        """
        failure = self.failures.get(record.id) if self.failures else None
        rule = self.rules.get(record.service)
        if failure is None or rule is None or sent_at_s <= failure.at_s:
            return
        del self.failures[record.id]
        until_s = time.monotonic() + rule.cold_s + MARGIN_S
        known = self.periods.get(record.id)
        if known is None or known.until_s < until_s:
            self.periods[record.id] = ColdPeriod(Evidence.FAILURE, until_s)
            self.next_end_s = min(self.next_end_s, until_s)

    def has_cold(self) -> bool:
        """Return whether any upstream counts as cold, or did so until a moment ago."""
        if self.periods or self.failures or self.is_stale():
            return True
        ended = self.ended_evacuations()
        if not ended:
            return False
        longest_s = max((rule.cold_s for rule in self.rules.values()), default=0.0) + MARGIN_S
        return max(ended.values()) + longest_s > boot_time_s()

    def period(self, record: UpstreamRecord, is_used_here: bool) -> ColdPeriod | None:
        """Return why and how long the upstream counts as cold; None if it does not.

        After a failure it does so until it answers, in an entry that may send requests there
        while it is cold (``is_used_here``); elsewhere until the record of a new start is overdue.
        """
        rule = self.rules.get(record.service)
        if rule is None:
            return None
        now_s = time.monotonic()
        if self.is_stale():
            return ColdPeriod(Evidence.STALE, now_s + self.proof_in_s())
        period = self.periods.get(record.id)
        if period is not None and now_s < period.until_s:
            return period
        failure = self.failures.get(record.id) if self.failures else None
        if failure is not None and (is_used_here or now_s < failure.until_s):
            until_s = float("inf") if is_used_here else failure.until_s
            return ColdPeriod(Evidence.FAILURE, until_s)
        ended_at_s = self.ended_evacuations().get(record.zone)
        if ended_at_s is not None:
            left_s = ended_at_s + rule.cold_s + MARGIN_S - boot_time_s()
            if left_s > 0:
                return ColdPeriod(Evidence.EVACUATION, now_s + left_s)
        return None

    def is_stale(self) -> bool:
        """Return whether an upstream may have become cold without a notice to this process.

        That is so without a recent freshness proof, and after a stall until there is a proof from
        after it: the news of a cold start may still be unread.
        """
        proven_at_s = self.fleet_state.proven_at_s
        if boot_time_s() - proven_at_s > FRESH_S:
            return True
        return proven_at_s < self.stalls.last_ended_at_s()

    def proof_in_s(self) -> float:
        """Return the estimated seconds until the next freshness proof; infinite if it is overdue.

        After a stall it follows the last one about as soon as that followed the one before.
        """
        state = self.fleet_state
        if state.proof_age_s() > FRESH_S:
            return float("inf")
        return min(FRESH_S, max(0.0, state.proven_at_s - state.previous_proof_at_s))

    def tick(self) -> None:
        """Drop the periods that have ended, log what has begun and ended since the last tick."""
        self.stalls.tick()
        if not self.rules:
            self.forget()
            return
        now_s = time.monotonic()
        if now_s >= self.next_end_s:
            self.end_periods(now_s)
        if self.began or self.ended:
            log_periods("upstream_cold", self.began, now_s)
            log_periods("upstream_warm", self.ended, now_s)
            self.began.clear()
            self.ended.clear()
            COLD_UPSTREAMS.set(len(self.periods.keys() | self.failures.keys()))
        if self.is_stale() != self.was_stale:
            self.was_stale = not self.was_stale
            decision(
                "upstreams_cold_as_stale" if self.was_stale else "upstreams_known_again",
                proof_age_s=round(self.fleet_state.proof_age_s(), 3),
            )

    def end_periods(self, now_s: float) -> None:
        """Remove the periods that have ended; an upstream that has failed since stays cold."""
        periods = self.periods.items()
        for name, period in [item for item in periods if item[1].until_s <= now_s]:
            del self.periods[name]
            if name not in self.failures:
                self.ended.append((name, period))
        ends_s = (period.until_s for period in self.periods.values())
        self.next_end_s = min(ends_s, default=float("inf"))

    def forget(self) -> None:
        """Drop everything, as no service limits its cold upstreams."""
        if self.runs:
            for kept in (self.runs, self.periods, self.failures):
                kept.clear()
            self.began.clear()
            self.ended.clear()
            COLD_UPSTREAMS.set(0)

    def retain(self, upstreams: Mapping[str, UpstreamRecord]) -> None:
        """Drop what is known of upstreams that no longer exist, and failures that have lapsed."""
        now_s = time.monotonic()
        for name in [name for name in self.runs if name not in upstreams]:
            del self.runs[name]
        for name, failure in list(self.failures.items()):
            record = upstreams.get(name)
            is_over = record is None or record.zone != self.zone and now_s >= failure.until_s
            if is_over:
                self.drop_failure(name)


def log_periods(event: str, found: list[tuple[str, ColdPeriod]], now_s: float) -> None:
    """Log periods that begin or end."""
    if len(found) > LOGGED_MAX:
        decision(event, upstreams=len(found))
        return
    for upstream, period in found:
        decision(
            event,
            upstream=upstream,
            evidence=period.evidence.value,
            left_s=round(max(0.0, period.until_s - now_s), 3),
        )
