"""Whether a request may go to a cold upstream, and the permits for those that do."""

import time
from collections.abc import Sequence
from typing import Final

from prometheus_client import Counter, Gauge

from gypsumpier.coldstart.permits import Permits
from gypsumpier.coldstart.rule import ColdRule
from gypsumpier.coldstart.shares import ColdShares, NoShares
from gypsumpier.coldstart.upstreams import ColdUpstreams
from gypsumpier.fleet.node import Bounds
from gypsumpier.fleet.state import FleetState
from gypsumpier.fleet.upstream import UpstreamRecord
from gypsumpier.metrics import REGISTRY

HELD_BACK: Final = Counter(
    "gypsumpier_cold_held_back_requests",
    "Requests that did not find a place at once while a cold upstream's allowance kept them from "
    "it, and those recalled at the last check.",
    ["when"],
    registry=REGISTRY,
)
OWN_SHARE: Final = Gauge(
    "gypsumpier_cold_share_per_second",
    "Requests that this entry may send in any second to one cold upstream.",
    ["service"],
    registry=REGISTRY,
)


class ColdStart:
    """The cold upstreams, this entry's shares of their allowances, and the permits in use.

    ``rules`` holds the services whose cold upstreams are limited; while it is empty, nothing needs
    to be asked or counted.
    """

    def __init__(self, fleet_state: FleetState, zone: str) -> None:
        self.zone = zone
        self.upstreams = ColdUpstreams(fleet_state, zone)
        self.rules: dict[str, ColdRule] = self.upstreams.rules
        self.permits = Permits()
        self.shares: ColdShares = NoShares()

    def set_bounds(self, bounds: Bounds) -> None:
        """Apply the bounds of the settings."""
        self.upstreams.set_bounds(bounds)

    def own_share(self, record: UpstreamRecord) -> int:
        """Return the requests that this entry may send in any second while the upstream is cold."""
        if record.zone != self.zone:
            return 0
        return self.shares.share(record.run_key(), self.rules[record.service].allowance)

    def cold_share(self, record: UpstreamRecord) -> int | None:
        """Return this entry's share of a cold upstream; None if the upstream is not cold."""
        # Most upstreams are warm: whether one is so is known sooner than the share.
        if record.service not in self.rules or self.upstreams.period(record, True) is None:
            return None
        share = self.own_share(record)
        is_cold = share > 0 or self.upstreams.period(record, False) is not None
        return share if is_cold else None

    def is_any_cold(self) -> bool:
        """Return whether any upstream counts as cold, or did so until a moment ago."""
        return bool(self.rules) and self.upstreams.has_cold()

    def lacks_share(self, record: UpstreamRecord) -> bool:
        """Return whether the upstream is cold and this entry has no share of its allowance."""
        return self.is_any_cold() and self.cold_share(record) == 0

    def has_permit(self, record: UpstreamRecord) -> bool:
        """Return whether the upstream is not cold, or one more request is within the share."""
        share = self.cold_share(record)
        if share is None:
            return True
        return share > 0 and self.permits.window(record.id).used(time.monotonic()) < share

    def used_permits(self, record: UpstreamRecord) -> int:
        """Return the permits in use at the upstream; 0 if it is not cold."""
        if not self.is_any_cold() or self.cold_share(record) is None:
            return 0
        return self.permits.window(record.id).used(time.monotonic())

    def permitted(self, records: list[UpstreamRecord]) -> list[UpstreamRecord]:
        """Return the upstreams that may get one more request.

        Cold ones come in the order of their used permits: of several that are idle, the first one
        is chosen.
        """
        if not self.is_any_cold():
            return records
        now_s, found, has_cold = time.monotonic(), [], False
        for record in records:
            share = self.cold_share(record)
            if share is None:
                found.append((0, record))
            elif share > 0 and (used := self.permits.window(record.id).used(now_s)) < share:
                found.append((used, record))
                has_cold = True
        if has_cold:
            found.sort(key=lambda item: item[0])
        return [record for _, record in found]

    def reserve(self, record: UpstreamRecord) -> None:
        """Count a request for which the upstream has been chosen."""
        if record.service in self.rules:
            self.permits.reserve(record.id)

    def give_back(self, record: UpstreamRecord) -> None:
        """Stop counting a chosen request that was not sent, also where the limit was lifted."""
        self.permits.give_back(record.id)

    def take(self, record: UpstreamRecord) -> bool:
        """Count a reserved request as sent now; return False if it must not be sent.

        The upstream may have become cold, or the share smaller, since it was chosen.
        """
        if record.service not in self.rules:
            self.permits.give_back(record.id)
            return True
        now_s = time.monotonic()
        window, share = self.permits.window(record.id), self.cold_share(record)
        if share is not None and window.sent(now_s) >= share:
            HELD_BACK.labels("sent").inc()
            return False
        window.record_sent(now_s)
        return True

    def record_failure(self, record: UpstreamRecord) -> None:
        """Record that the upstream can't be connected to, or has broken a connection."""
        if self.rules:
            self.upstreams.record_failure(record)

    def record_answered(self, record: UpstreamRecord, sent_at_s: float) -> None:
        """Record an answer to a request that was sent at that monotonic time."""
        if self.rules:
            self.upstreams.record_answered(record, sent_at_s)

    def free_at_s(self, record: UpstreamRecord) -> float | None:
        """Return when the upstream may get a request again; None if that is not known."""
        now_s, share = time.monotonic(), self.own_share(record)
        period = self.upstreams.period(record, share > 0)
        until_s = period.until_s if period else now_s
        if share > 0:
            until_s = min(until_s, self.permits.window(record.id).free_at_s(share, now_s))
        return until_s if until_s < float("inf") else None

    def wait_s(self, records: Sequence[UpstreamRecord]) -> float:
        """Return the seconds until the first of the upstreams is warm or may be used while cold.

        0 if one of them is so now, also where its permits are used up for a moment; infinite where
        it is not known when any will be.
        """
        if not self.rules or not records:
            return 0.0
        now_s, least_s = time.monotonic(), float("inf")
        for record in records:
            if self.cold_share(record) != 0:
                return 0.0
            period = self.upstreams.period(record, False)
            least_s = min(least_s, period.until_s - now_s if period else 0.0)
        return max(0.0, least_s)

    def record_held_back(self, records: Sequence[UpstreamRecord]) -> None:
        """Count a request that has found no place, if the allowance is among the reasons."""
        if self.rules and any(not self.has_permit(record) for record in records):
            HELD_BACK.labels("chosen").inc()

    def tick(self) -> None:
        """Drop what has expired; call this several times a second, also while nothing is cold."""
        self.upstreams.tick()

    def retain(self, upstreams: dict[str, UpstreamRecord]) -> None:
        """Drop the state of upstreams that no longer exist, and update the metrics."""
        self.permits.drop_idle(time.monotonic())
        self.upstreams.retain(upstreams)
        for service, rule in self.rules.items():
            OWN_SHARE.labels(service).set(self.shares.share(("", 0), rule.allowance))
