"""How long a request would wait in a queue, without putting it there."""

import copy
import time
from typing import NamedTuple

from gypsumpier.fleet.regions import AllowedRegions
from gypsumpier.gateway.admission import Admission
from gypsumpier.gateway.queueflow import QueueFlow
from gypsumpier.gateway.request import GatewayRequest
from gypsumpier.gateway.requestqueue import (
    LIMITED_WAIT_S,
    RANK_LATE,
    RANK_LATE_REPEAT,
    RequestQueue,
)


class WaitEstimate(NamedTuple):
    """The requests that would be served before this one, and the estimated wait in seconds.

    ``wait_s`` is for those requests alone; the entry judges by it, and ``is_too_long`` is set if
    the request would be refused for it.  ``admitted_in_s`` includes the wait for its own place.
    """

    ahead: int
    wait_s: float
    admitted_in_s: float
    is_too_long: bool


def estimated_wait(admission: Admission, request: GatewayRequest) -> WaitEstimate:
    """Return the wait by which ``RequestQueue.shed_excess`` would judge the request."""
    service = request.service
    queue = copied(admission.queues.get(service) or RequestQueue(admission.region_rules.regions))
    queue.limited = admission.limited_capacity(service)
    latest_start_s = admission.latest_start_s(request)
    own = queue.add(request, latest_start_s, admission.goal_start_s(request))
    now_s, is_scarce = time.monotonic(), queue.is_scarce()
    flows: dict[AllowedRegions, QueueFlow] = {
        None: queue.flow(admission.capacity_share_per_s(service))
    }
    for waiting in queue.ordered():
        regions = queue.regions_of(waiting.request)
        if regions is not None and regions not in flows:
            share_per_s = admission.capacity_share_per_s(service, regions)
            flows[regions] = queue.flow_in(regions, share_per_s)
        is_late = waiting.rank(now_s) in (RANK_LATE_REPEAT, RANK_LATE)
        if waiting is own:
            break
        flows[regions].add(is_late)
    flow = flows[regions]
    wait_s = flow.wait_s(is_late)
    if is_scarce and not flow.is_first():
        latest_start_s = min(latest_start_s, now_s + LIMITED_WAIT_S)
    ahead = flow.timely + flow.late
    admitted_in_s = wait_s
    if not flow.first_in_s:
        # Where limits state when the next request may be sent, the wait includes it already.
        flow.add(is_late)
        admitted_in_s = flow.wait_s(is_late)
    return WaitEstimate(ahead, wait_s, admitted_in_s, now_s + wait_s > latest_start_s)


def copied(queue: RequestQueue) -> RequestQueue:
    """Return a copy of a queue to which a request can be added without a change of the queue.

    The requests, and the times of arrivals and admissions, are shared: they are only read, or
    dropped where they have expired.
    """
    found = copy.copy(queue)
    found.waiting = list(queue.waiting)
    found.finish_tags = dict(queue.finish_tags)
    found.regional = dict(queue.regional)
    return found
