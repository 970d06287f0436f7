"""Explains which upstream a request would be sent to, and why not to the others."""

import copy
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from typing import NamedTuple

from gypsumpier.eligibility.assessment import Assessment
from gypsumpier.eligibility.needs import Needs
from gypsumpier.eligibility.obstacle import Obstacle, Reason
from gypsumpier.eligibility.upstreamexplanation import UpstreamExplanation
from gypsumpier.fleet.upstream import UpstreamRecord
from gypsumpier.upstream.selector import SWITCH_COST_S, UNREAD_MAX_S, UpstreamSelector


class Explanation(NamedTuple):
    """The upstreams of a service, and the name of the one that is chosen; None if there is none."""

    needs: Needs
    zone: str
    upstreams: list[UpstreamExplanation]
    chosen: str | None


def explain(
    selector: UpstreamSelector, needs: Needs, zone: str, needed_s: float = 0.0
) -> Explanation:
    """Return where an entry of the zone would send a request that takes ``needed_s`` seconds.

    It rests on what this entry knows.  Nothing is sent, and no state changes.  Where many entries
    report loads, the selector compares a few upstreams that it draws at random; the one that is
    named here is then the best of all.
    """
    records = [
        record
        for record in selector.fleet_state.upstreams.values()
        if record.service == needs.service
    ]
    assessments = assess(selector, records, needs, needed_s)
    chosen = least_costly(preferred(assessments, zone))
    return Explanation(
        needs, zone, [found.explanation for found in assessments], chosen.id if chosen else None
    )


def assess(
    selector: UpstreamSelector,
    records: Sequence[UpstreamRecord],
    needs: Needs,
    needed_s: float = 0.0,
    places_share: float = 1.0,
) -> list[Assessment]:
    """Return what the selector thinks of each upstream; no state changes.

    The request takes ``needed_s`` seconds and may use ``places_share`` of an upstream's places.
    """
    with unchanged(selector, records):
        return [assessment(selector, record, needs, needed_s, places_share) for record in records]


def assessment(
    selector: UpstreamSelector,
    record: UpstreamRecord,
    needs: Needs,
    needed_s: float,
    places_share: float,
) -> Assessment:
    """Return what the selector thinks of one upstream."""
    obstacle = obstacle_of(selector, record, needs, places_share)
    delay_s = None if obstacle else selector.delay_s(record)
    explanation = UpstreamExplanation(
        record.id,
        record.zone,
        selector.regions.region(record),
        selector.load(record),
        selector.is_impaired(record),
        obstacle,
        delay_s,
    )
    if delay_s is None:
        return Assessment(record, explanation, 0.0, 0)
    cost_s = delay_s + (SWITCH_COST_S if selector.switches_within(record, needed_s) else 0.0)
    return Assessment(record, explanation, cost_s, selector.cold.used_permits(record))


def obstacle_of(
    selector: UpstreamSelector, record: UpstreamRecord, needs: Needs, places_share: float = 1.0
) -> Obstacle | None:
    """Return the first obstacle for one more request, a lack of capacity last."""
    found = selector.eligibility.obstacle(record, needs)
    if found is not None:
        return found
    if selector.load(record) >= selector.limit(record) * places_share:
        return Obstacle(Reason.FULL)
    return Obstacle(Reason.PROMPTS) if selector.unread_s(record) >= UNREAD_MAX_S else None


def preferred(assessments: Sequence[Assessment], zone: str) -> list[Assessment]:
    """Return those that ``UpstreamSelector.choose`` compares: unimpaired, of the zone first."""
    free = [found for found in assessments if found.explanation.obstacle is None]
    unimpaired = [found for found in free if not found.explanation.is_impaired] or free
    local = [
        found
        for found in unimpaired
        if found.record.zone == zone and found.explanation.load < found.record.slots
    ]
    return local or unimpaired


def least_costly(assessments: Sequence[Assessment]) -> UpstreamRecord | None:
    """Return the one that the selector takes if it compares all; None if there is none.

    Of equal ones it takes the cold one with the fewest used permits, or else the first.
    """
    found = min(assessments, key=lambda it: (it.cost_s, it.used_permits), default=None)
    return found.record if found else None


@contextmanager
def unchanged(selector: UpstreamSelector, records: Sequence[UpstreamRecord]) -> Iterator[None]:
    """Restore what a question about the upstreams creates or refills.

    These are the shares of limits, the windows of permits, and the lists of candidates.
    """
    known, windows = selector.statements.limits.known, selector.cold.permits.windows
    buckets = {
        run: copy.copy(known[run].bucket)
        for run in (record.run_key() for record in records)
        if run in known
    }
    without_window = [record.id for record in records if record.id not in windows]
    candidates = dict(selector.known_candidates), selector.known_state
    try:
        yield
    finally:
        for run, bucket in buckets.items():
            known[run].bucket = bucket
        for upstream in without_window:
            windows.pop(upstream, None)
        selector.known_candidates, selector.known_state = candidates
