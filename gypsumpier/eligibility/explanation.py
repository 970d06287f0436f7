"""Explains which upstream a request would be sent to, and why not to the others."""

import copy
from collections.abc import Iterator
from contextlib import contextmanager
from typing import NamedTuple

from gypsumpier.eligibility.needs import Needs
from gypsumpier.eligibility.obstacle import Obstacle, Reason
from gypsumpier.fleet.upstream import UpstreamRecord
from gypsumpier.ratelimit.limits import RequestLimits
from gypsumpier.upstream.selector import SWITCH_COST_S, UNREAD_MAX_S, UpstreamSelector


class UpstreamExplanation(NamedTuple):
    """One upstream of the service.  ``delay_s`` is estimated, and None where it has an obstacle.

    ``region`` is empty where it is not known.
    """

    upstream: str
    zone: str
    region: str
    load: int
    is_impaired: bool
    obstacle: Obstacle | None
    delay_s: float | None


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
    with unchanged(selector.statements.limits):
        records = [
            record
            for record in selector.fleet_state.upstreams.values()
            if record.service == needs.service
        ]
        obstacles = {record.id: obstacle_of(selector, record, needs) for record in records}
    free = [record for record in records if obstacles[record.id] is None]

    def cost_s(record: UpstreamRecord) -> float:
        switches = selector.switches_within(record, needed_s)
        return selector.delay_s(record) + (SWITCH_COST_S if switches else 0.0)

    chosen = min(preferred(selector, free, zone), key=cost_s, default=None)
    return Explanation(
        needs,
        zone,
        [explained(selector, record, obstacles[record.id]) for record in records],
        chosen.id if chosen else None,
    )


def explained(
    selector: UpstreamSelector, record: UpstreamRecord, obstacle: Obstacle | None
) -> UpstreamExplanation:
    """Return what is known of one upstream."""
    return UpstreamExplanation(
        record.id,
        record.zone,
        selector.regions.region(record),
        selector.load(record),
        selector.is_impaired(record),
        obstacle,
        None if obstacle else selector.delay_s(record),
    )


def obstacle_of(
    selector: UpstreamSelector, record: UpstreamRecord, needs: Needs
) -> Obstacle | None:
    """Return the first obstacle for one more request, a lack of capacity last."""
    found = selector.eligibility.obstacle(record, needs)
    if found is not None:
        return found
    if selector.load(record) >= selector.limit(record):
        return Obstacle(Reason.FULL)
    return Obstacle(Reason.PROMPTS) if selector.unread_s(record) >= UNREAD_MAX_S else None


def preferred(
    selector: UpstreamSelector, free: list[UpstreamRecord], zone: str
) -> list[UpstreamRecord]:
    """Return those that ``UpstreamSelector.choose`` compares: unimpaired, of the zone first."""
    unimpaired = [record for record in free if not selector.is_impaired(record)] or free
    local = [
        record
        for record in unimpaired
        if record.zone == zone and selector.load(record) < record.slots
    ]
    return local or unimpaired


@contextmanager
def unchanged(limits: RequestLimits) -> Iterator[None]:
    """Restore the shares of limits after the context: a first question about one creates it."""
    buckets = {run: copy.copy(known.bucket) for run, known in limits.known.items()}
    try:
        yield
    finally:
        for run, bucket in buckets.items():
            limits.known[run].bucket = bucket
