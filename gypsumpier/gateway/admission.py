"""Admission control: which upstream gets a request, and which requests wait or are refused."""

import asyncio
import random
import time
from collections.abc import Callable
from functools import partial
from typing import Final

from prometheus_client import Counter, Gauge, Histogram

from gypsumpier.codes.request import (
    NO_UPSTREAM,
    NO_UPSTREAM_IN_REGIONS,
    QUEUE_TOO_LONG,
    TIME_LIMIT_BEFORE_START,
    UPSTREAM_RESTING,
    ZONE_EVACUATED,
)
from gypsumpier.codes.result import ResultCode
from gypsumpier.eligibility.needs import Needs
from gypsumpier.fleet.regions import AllowedRegions
from gypsumpier.fleet.service import ModelTraits
from gypsumpier.fleet.state import FleetState
from gypsumpier.fleet.upstream import UpstreamRecord
from gypsumpier.gateway.candidatelog import CandidateLog
from gypsumpier.gateway.evacuated import EVACUATED_WAIT_S, could_evacuated_serve
from gypsumpier.gateway.headroom import HEADROOM_WAITS, Headroom
from gypsumpier.gateway.refusal import Refusal
from gypsumpier.gateway.regionreport import RegionReport
from gypsumpier.gateway.regionrules import RegionRules
from gypsumpier.gateway.request import GatewayRequest
from gypsumpier.gateway.requestqueue import RATE_MIN_PER_S, QueuedRequest, RequestQueue
from gypsumpier.gateway.starttimes import PLAIN_SERVICE_TIME_S, StartTimes
from gypsumpier.gateway.streamwatch import StreamWatch
from gypsumpier.metrics import REGISTRY
from gypsumpier.ratelimit.capacity import LimitedCapacity
from gypsumpier.upstream.selector import UpstreamSelector

NO_UPSTREAM_WAIT_S: Final = 0.5
"""Longest wait, in seconds, while no upstream of the service can serve; also the shortest
Retry-After before jitter."""
REST_WAIT_S: Final = 0.1
"""Seconds that a request waits for the end of a rest; a caller that is refused takes as long to
come back."""
COLD_WAIT_MAX_S: Final = 3.0
"""Longest wait in seconds that a refusal states where it is not known when an upstream is warm."""
RETRY_AFTER_JITTER_SHARE: Final = 0.25
"""Largest share by which Retry-After is extended at random, so that refused callers don't retry
all at once."""
RETRY_AFTER_MAX_SHARE: Final = 1 / 3
"""Largest share of a request's remaining time that Retry-After may take; callers do not honour a
longer one."""
DISPATCH_INTERVAL_S: Final = 0.05
"""Seconds between two passes over the queues, which refuse requests that have waited too long."""

QUEUED: Final = Gauge(
    "gypsumpier_queued_requests", "Requests that wait for a place.", ["service"], registry=REGISTRY
)
QUEUE_WAIT: Final = Histogram(
    "gypsumpier_queue_wait_seconds",
    "Time that requests waited for a place.",
    registry=REGISTRY,
)
REFUSED: Final = Counter(
    "gypsumpier_refused_requests", "Requests refused, by code.", ["code"], registry=REGISTRY
)


class Admission:
    """Admits requests to upstreams, or queues them per service.

    An admitted request counts as in flight at its upstream until ``leave``; a request that would
    wait too long is refused.
    """

    def __init__(
        self,
        fleet_state: FleetState,
        selector: UpstreamSelector,
        least_version: Callable[[str], int],
    ) -> None:
        self.fleet_state = fleet_state
        self.selector = selector
        self.least_version = least_version
        self.region_rules = RegionRules(fleet_state)
        self.region_report = RegionReport(selector.regions)
        self.random = random.Random()
        self.entry_count = 1
        self.times = StartTimes()
        self.queues: dict[str, RequestQueue] = {}
        self.streams = StreamWatch()
        self.headroom = Headroom(fleet_state)
        self.candidate_log = CandidateLog(selector)
        self.news_dispatch: asyncio.Handle | None = None

    def queue(self, service: str) -> RequestQueue:
        """Return the request queue of a service."""
        found = self.queues.get(service)
        if found is None:
            found = self.queues[service] = RequestQueue(self.region_rules.regions)
        return found

    async def enter(self, request: GatewayRequest) -> UpstreamRecord:
        """Return the upstream to send the request to; raise Refusal if there is none in time.

        The request counts as in flight at that upstream until ``leave``.
        """
        if not request.attempts:
            regions = self.region_rules.regions(request)
            self.queue(request.service).record_arrived(regions)
            self.headroom.record_arrived(request)
        try:
            record = await self.enter_again(request)
        except Refusal:
            self.headroom.record_started(request, is_on_time=False)
            raise
        is_on_time = time.monotonic() <= self.goal_start_s(request)
        self.headroom.record_started(request, is_on_time)
        return record

    async def enter_again(self, request: GatewayRequest) -> UpstreamRecord:
        """Do the same as ``enter`` for a request that counts as arrived already."""
        began_s = time.monotonic()
        record = self.try_enter(request)
        if record is None:
            record = await self.wait(request, self.queue(request.service))
        QUEUE_WAIT.observe(time.monotonic() - began_s)
        return record

    def try_enter(self, request: GatewayRequest) -> UpstreamRecord | None:
        """Admit the request without a wait, behind those that wait; return None if that fails."""
        queue = self.queue(request.service)
        awaited = self.region_rules.all_regions(waiting.request for waiting in queue.waiting)
        if not awaited:
            record = None if awaited is None else self.try_admit(request)
        else:
            record = self.admit_outside(awaited, request)
        if record is not None:
            queue.record_granted(self.region_rules.regions(request))
            if queue.is_scarce():
                queue.count_grant(request.workspace_name)
        return record

    def candidates(self, request: GatewayRequest) -> list[UpstreamRecord]:
        """Return the upstreams that may serve the request, whatever their load and health."""
        return self.selector.candidates(*self.needs(request))

    def needs(self, request: GatewayRequest) -> Needs:
        """Return what the request requires of its upstream now."""
        version = self.least_version(request.service)
        return Needs(request.service, version, self.region_rules.regions(request))

    def has_other_upstream(self, request: GatewayRequest, tried: set[tuple[str, int]]) -> bool:
        """Return whether an upstream that is not among the ``tried`` runs is usable now."""
        return any(
            record.run_key() not in tried and self.selector.is_usable(record)
            for record in self.candidates(request)
        )

    def has_place(self, request: GatewayRequest, tried: set[tuple[str, int]]) -> bool:
        """Return whether an upstream that is not among the ``tried`` runs has a place now.

        Places belong to the requests that wait for them.
        """
        queue = self.queue(request.service)
        awaited = self.region_rules.all_regions(waiting.request for waiting in queue.waiting)
        if awaited is None:
            return False
        records = self.selector.regions.outside(self.candidates(request), awaited)
        tokens = request.head.prompt_tokens
        needed_s = self.needed_s(request)
        return self.selector.choose(records, tried, needed_s, True, 1.0, tokens) is not None

    def arrivals_per_s(self, service: str) -> float:
        """Return the recent requests per second of callers for the service."""
        queue = self.queues.get(service)
        return queue.arrivals_per_s() if queue else 0.0

    def record_prompt_read(self, request: GatewayRequest, record: UpstreamRecord) -> None:
        """Stop counting the request's prompt as unread, as the upstream has begun to answer."""
        self.selector.record_prompt_read(record, request.unread_tokens)
        request.unread_tokens = 0

    def forget_prompt(self, request: GatewayRequest, record: UpstreamRecord) -> None:
        """Stop counting the request's prompt as unread, as it will wait for another upstream."""
        self.selector.add(record, 0, -request.unread_tokens)
        request.unread_tokens = 0

    def leave(self, request: GatewayRequest, record: UpstreamRecord) -> None:
        """Stop counting the request as in flight, and dispatch the queue of the service."""
        self.streams.end(request, record.run_key())
        self.selector.end(record, request.unread_tokens)
        request.unread_tokens = 0
        self.dispatch(record.service)

    def give_back(self, request: GatewayRequest, record: UpstreamRecord) -> None:
        """Do the same as ``leave`` for a request that was not sent to the upstream."""
        self.selector.give_back(record)
        self.leave(request, record)

    def try_admit(self, request: GatewayRequest, share: float = 1.0) -> UpstreamRecord | None:
        """Admit the request to an upstream with free capacity; return None if there is none.

        Only this ``share`` of the free capacity counts.
        """
        return self.admit_outside(frozenset(), request, share)

    def admit_outside(
        self, awaited: frozenset[str], request: GatewayRequest, share: float = 1.0
    ) -> UpstreamRecord | None:
        """Do the same as ``try_admit`` with the upstreams outside the ``awaited`` regions."""
        records = self.candidates(request)
        needed_s = self.needed_s(request)
        is_repeat = request.attempts > 0 or request.is_moving
        tried = request.tried
        if tried and all(
            record.run_key() in tried or self.is_unavailable(record) for record in records
        ):
            # No untried upstream is left; one that was full a moment ago may have capacity now.
            tried = set()
        if is_repeat and not request.may_repeat(tries=2 + request.is_moving):
            # The last attempt: an engine that switches before its end would cut it for good.
            records = self.last_attempt_candidates(request, records, tried, needed_s)
        records = self.selector.regions.outside(records, awaited)
        tokens = request.head.prompt_tokens
        places_share = self.places_share(request)
        record = self.selector.choose(
            records, tried, needed_s, is_repeat, share, tokens, places_share
        )
        if record is None and places_share < 1.0:
            HEADROOM_WAITS.labels(request.service).inc()
        if record is not None:
            request.unread_tokens = request.head.prompt_tokens
            self.selector.begin(record, request.unread_tokens)
            self.streams.begin(request, record.run_key())
        return record

    def places_share(self, request: GatewayRequest) -> float:
        """Return the share of an upstream's places up to which the request may take one now."""
        return self.headroom.places_share(request, self.goal_start_s(request))

    def is_unavailable(self, record: UpstreamRecord) -> bool:
        """Return whether the upstream rests, or is cold while this entry has no share of it."""
        rests, cold = self.selector.statements.rests, self.selector.cold
        return rests.is_resting(record) or cold.lacks_share(record)

    def last_attempt_candidates(
        self,
        request: GatewayRequest,
        records: list[UpstreamRecord],
        tried: set[tuple[str, int]],
        needed_s: float,
    ) -> list[UpstreamRecord]:
        """Return the upstreams that the last attempt waits for.

        These are the untried and usable ones that don't switch weights within ``needed_s`` seconds.
        Where there is none, the attempt waits for an engine that is switching now, as any other
        would cut it; without one, all ``records`` are candidates.
        """
        untried = [
            record
            for record in records
            if record.run_key() not in tried
            and self.selector.is_usable(record)
            and not self.is_unavailable(record)
        ]
        steady = self.selector.steady(untried, needed_s)
        regions = self.region_rules.regions(request)
        if steady or self.selector.is_engine_returning(request.service, tried, regions):
            return steady
        return records

    def may_serve(self, request: GatewayRequest, record: UpstreamRecord) -> bool:
        """Return whether the upstream, chosen a moment ago, may still get the request."""
        version = self.least_version(request.service)
        return self.selector.may_still_serve(record, version, self.region_rules.regions(request))

    def needed_s(self, request: GatewayRequest) -> float:
        """Return the estimated processing time of the request in seconds; 0 for a plain service."""
        model = self.selector.model(request.service)
        if model is None:
            return 0.0
        tokens = request.head.expected_answer_tokens or model.mean_answer_tokens
        return self.processing_s(model, request.head.prompt_tokens, tokens)

    def processing_s(self, model: ModelTraits, prompt_tokens: int, answer_tokens: int) -> float:
        """Return the estimated seconds that an engine needs for a request of that size."""
        return prompt_tokens / model.prompt_tokens_per_s + answer_tokens * model.step_s

    async def wait(self, request: GatewayRequest, queue: RequestQueue) -> UpstreamRecord:
        """Queue the request until it is admitted; raise Refusal if it would wait too long.

        Without any upstream it is refused at once, unless a refusal would lose its answer.
        """
        self.check_evacuated(request)
        self.check_regions(request)
        if request.is_refusable() and not self.is_upstream_expected(request):
            raise self.refusal(request, NO_UPSTREAM_WAIT_S)
        self.check_rests(request)
        self.check_cold(request)
        if self.selector.cold.rules:
            self.selector.cold.record_held_back(self.candidates(request))
        latest_start_s, goal_start_s = self.latest_start_s(request), self.goal_start_s(request)
        waiting = queue.add(request, latest_start_s, goal_start_s)
        self.dispatch(request.service)
        try:
            result = await waiting.outcome
        except asyncio.CancelledError:
            self.cancel_wait(waiting, queue)
            raise
        if isinstance(result, UpstreamRecord):
            return result
        raise self.refusal(request, result)

    def check_regions(self, request: GatewayRequest) -> None:
        """Raise Refusal if no upstream of the request's regions can serve it.

        One that may have run, such as a stream that is to be resumed, waits as long as its caller.
        """
        regions = self.region_rules.regions(request)
        if regions is None or self.is_upstream_expected(request):
            return
        self.region_report.record(request, regions, self.fleet_state.upstreams.values())
        if request.is_refusable():
            raise self.refusal(request, NO_UPSTREAM_WAIT_S)

    def check_waiting(self, cold_waits_s: dict[Needs, float], request: GatewayRequest) -> None:
        """Raise Refusal if a queued request need not wait any longer.

        ``cold_waits_s`` keeps the wait for a warm upstream within one pass over a queue.
        """
        self.check_evacuated(request)
        if request.is_refusable():
            self.check_regions(request)
        self.check_rests(request)
        self.check_cold(request, cold_waits_s)

    def check_rests(self, request: GatewayRequest) -> None:
        """Raise Refusal if every upstream rests, unless the request can wait for the first of them.

        A stream that is to be resumed waits as long as its caller does: a refusal would cut it.
        So does a request that may have run: it can't be told that it has not.
        """
        rest_s = self.rest_left_s(request)
        if rest_s <= REST_WAIT_S:
            return
        is_held = bool(request.last_event_id) or not request.is_refusable()
        if is_held and time.monotonic() + rest_s < self.latest_start_s(request):
            return
        # Callers come back one after the other, not all at the end of the rest.
        retry_after_s = rest_s * (1.0 + self.random.uniform(0.0, RETRY_AFTER_JITTER_SHARE))
        detail = f"every upstream of {request.service} rests, the first for {rest_s:.2f} s more"
        raise Refusal(UPSTREAM_RESTING, 503, detail, retry_after_s)

    def check_cold(
        self, request: GatewayRequest, waits_s: dict[Needs, float] | None = None
    ) -> None:
        """Raise Refusal if no upstream will be warm enough for this entry in time.

        A request that may have run, or continues a stream, is held like during a rest.  ``waits_s``
        holds the waits that are known, and gets those that are not.
        """
        if not self.selector.cold.rules:
            return
        needs, known = self.needs(request), {} if waits_s is None else waits_s
        wait_s = known.get(needs)
        if wait_s is None:
            wait_s = known[needs] = self.selector.cold.wait_s(self.selector.candidates(*needs))
        if not wait_s or bool(request.last_event_id) or not request.is_refusable():
            return
        if time.monotonic() + wait_s > self.latest_start_s(request):
            raise self.refusal(request, min(wait_s, COLD_WAIT_MAX_S))

    def rest_left_s(self, request: GatewayRequest) -> float:
        """Return the seconds until the first upstream has rested; 0 if one does not rest."""
        rests = self.selector.statements.rests
        if not rests.known:
            return 0.0
        return min((rests.left_s(record) for record in self.candidates(request)), default=0.0)

    def is_upstream_expected(self, request: GatewayRequest) -> bool:
        """Return whether an upstream can serve the request now or is switching its weights."""
        regions = self.region_rules.regions(request)
        if self.selector.candidates(request.service, 0, regions):
            return True
        return any(
            record.service == request.service
            and record.zone not in self.fleet_state.evacuations.zones
            and self.selector.regions.allows(record, regions)
            and self.selector.is_switching(record)
            for record in self.fleet_state.upstreams.values()
        )

    def check_evacuated(self, request: GatewayRequest) -> None:
        """Raise Refusal if only evacuated zones could serve the request.

        One that may have run, and a stream that is to be resumed, wait as long as their callers do.
        """
        is_held = bool(request.last_event_id) or not request.is_refusable()
        if is_held or not self.is_evacuated(request):
            return
        raise self.refusal(request, EVACUATED_WAIT_S)

    def is_evacuated(self, request: GatewayRequest) -> bool:
        """Return whether only evacuated zones could serve the request."""
        if not self.fleet_state.evacuations.zones or self.is_upstream_expected(request):
            return False
        needs = Needs(request.service, 0, self.region_rules.regions(request))
        return could_evacuated_serve(self.selector, needs)

    def cancel_wait(self, waiting: QueuedRequest, queue: RequestQueue) -> None:
        """Remove a cancelled request from the queue, or release it if it was just admitted."""
        if waiting in queue.waiting:
            queue.waiting.remove(waiting)
        elif waiting.outcome.done() and not waiting.outcome.cancelled():
            if waiting.outcome.exception() is not None:
                return
            result = waiting.outcome.result()
            if isinstance(result, UpstreamRecord):
                self.give_back(waiting.request, result)

    def dispatch(self, service: str) -> None:
        """Admit queued requests while there is capacity; refuse those that would wait too long."""
        queue = self.queue(service)
        if len(queue.waiting) != self.selector.own_waiting.get(service, 0):
            self.record_waiting(service)
        if not queue.waiting:
            return
        self.refuse_waiting(queue, partial(self.check_waiting, {}))
        share = self.selector.waiting_share(service)
        queue.limited = self.limited_capacity(service)
        # The largest share of places with which a request for these regions has found none.
        full: dict[AllowedRegions, float] = {}
        for waiting in queue.ordered():
            if waiting.outcome.done():
                queue.waiting.remove(waiting)
                continue
            regions = self.region_rules.regions(waiting.request)
            places_share = self.places_share(waiting.request)
            full_share = max(full.get(regions, 0.0), full.get(None, 0.0))
            if full_share and not self.headroom.may_pass(waiting.request, places_share, full_share):
                continue
            record = self.try_admit(waiting.request, share)
            if record is not None:
                queue.grant(waiting, record)
            elif not waiting.request.tried:
                if regions is None and places_share >= 1.0:
                    break
                full[regions] = places_share
        if queue.waiting:
            queue.limited = self.limited_capacity(service)
            queue.shed_excess(
                self.capacity_share_per_s(service),
                lambda regions: self.capacity_share_per_s(service, regions),
            )
        self.record_waiting(service)

    def record_waiting(self, service: str) -> None:
        """Record how many requests of the service are queued, for the metrics and other entries."""
        waiting = len(self.queue(service).waiting)
        QUEUED.labels(service).set(waiting)
        self.selector.record_waiting(service, waiting)

    def refuse_queued(self, check: Callable[[GatewayRequest], None]) -> None:
        """End the wait of each queued request for which ``check`` raises Refusal."""
        for queue in self.queues.values():
            self.refuse_waiting(queue, check)

    def refuse_waiting(self, queue: RequestQueue, check: Callable[[GatewayRequest], None]) -> None:
        """End the wait of each request in the queue for which ``check`` raises Refusal."""
        for waiting in list(queue.waiting):
            try:
                check(waiting.request)
            except Refusal as refusal:
                if not waiting.outcome.done():
                    waiting.outcome.set_exception(refusal)
                queue.waiting.remove(waiting)

    def capacity_share_per_s(self, service: str, regions: AllowedRegions = None) -> float:
        """Return this entry's share of the requests per second that the upstreams can serve.

        Those outside the regions don't count.  Cold ones count with their shares; where this entry
        has none, requests that ``check_cold`` lets wait are served once the upstreams are warm.
        """
        model = self.selector.model(service)
        request_s = PLAIN_SERVICE_TIME_S
        if model is not None:
            request_s = self.processing_s(model, model.mean_prompt_tokens, model.mean_answer_tokens)
        request_s = max(request_s, PLAIN_SERVICE_TIME_S)
        per_s = warm_per_s = 0.0
        for record in self.usable_candidates(service, regions):
            limit_per_s = self.selector.statements.limits.rate_per_s(record)
            slots_per_s = record.slots / request_s / self.entry_count
            rate = slots_per_s if limit_per_s is None else min(slots_per_s, limit_per_s)
            warm_per_s += rate
            if (
                self.selector.cold.rules
                and (share := self.selector.cold.cold_share(record)) is not None
            ):
                rate = min(rate, float(share))
            per_s += rate
        return max(RATE_MIN_PER_S, per_s or warm_per_s)

    def limited_capacity(self, service: str) -> LimitedCapacity | None:
        """Return what the limits of all upstreams together allow; None where one has no limit."""
        if not self.selector.statements.limits.limited():
            return None
        rests = self.selector.statements.rests
        records = self.selector.candidates(service)
        return self.selector.statements.limits.capacity(
            [record for record in records if not rests.is_resting(record)]
        )

    def usable_candidates(
        self, service: str, regions: AllowedRegions = None
    ) -> list[UpstreamRecord]:
        """Return the upstreams of the service in the regions that are usable now."""
        return [
            record
            for record in self.selector.candidates(service, 0, regions)
            if self.selector.is_usable(record)
        ]

    def dispatch_all(self) -> None:
        """Dispatch the queue of every service."""
        if self.news_dispatch is not None:
            self.news_dispatch.cancel()
            self.news_dispatch = None
        for service in self.queues:
            self.dispatch(service)

    def handle_peer_news(self) -> None:
        """Dispatch the queues once for all messages that arrive in one turn of the event loop."""
        is_waiting = any(queue.waiting for queue in self.queues.values())
        if is_waiting and self.news_dispatch is None:
            self.news_dispatch = asyncio.get_running_loop().call_soon(self.dispatch_all)

    async def run(self) -> None:
        """Dispatch every queue periodically, as waits and backoffs also change with time alone."""
        while True:
            await asyncio.sleep(DISPATCH_INTERVAL_S)
            self.selector.drop_expired()
            self.dispatch_all()

    def log_candidates(self) -> None:
        """Log how many upstreams of each service can serve, if that has changed."""
        configuration = self.fleet_state.configuration
        for service in configuration.services if configuration else ():
            self.candidate_log.record(service, self.least_version(service))

    def latest_start_s(self, request: GatewayRequest) -> float:
        """Return the monotonic time by which the request must start; later its caller gives up.

        Without any upstream it does not wait long, unless it may have run.
        """
        latest_start_s = self.times.latest_start_s(request)
        if not request.is_refusable():
            return latest_start_s
        regions = self.region_rules.regions(request)
        if not self.selector.candidates(request.service, 0, regions):
            latest_start_s = min(latest_start_s, time.monotonic() + NO_UPSTREAM_WAIT_S)
        return latest_start_s

    def goal_start_s(self, request: GatewayRequest) -> float:
        """Return the monotonic time by which the request must be admitted to meet its goal."""
        return self.times.goal_start_s(request)

    def record_first_event(self, service: str, took_s: float) -> None:
        """Update the service's estimate with the seconds that a request took to its first event."""
        self.times.record_first_event(service, took_s)

    def refusal(self, request: GatewayRequest, wait_s: float) -> Refusal:
        """Return the refusal of a request whose estimated wait is ``wait_s`` seconds.

        Retry-After is that wait with jitter, limited to a share of the request's remaining time.
        """
        left_s = request.left_s()
        if left_s <= 0:
            return Refusal(
                TIME_LIMIT_BEFORE_START, 503, "time limit reached while the request was queued"
            )
        jitter = 1.0 + self.random.uniform(0.0, RETRY_AFTER_JITTER_SHARE)
        retry_after_s = min(
            max(wait_s, NO_UPSTREAM_WAIT_S) * jitter, left_s * RETRY_AFTER_MAX_SHARE
        )
        code, detail = self.refusal_cause(request, wait_s)
        return Refusal(code, 503, detail, retry_after_s)

    def refusal_cause(self, request: GatewayRequest, wait_s: float) -> tuple[ResultCode, str]:
        """Return the code and the detail of that refusal."""
        if self.is_evacuated(request):
            return ZONE_EVACUATED, f"only evacuated zones could serve {request.service}"
        regions = self.region_rules.regions(request)
        if regions is not None and not self.is_upstream_expected(request):
            detail = f"no upstream of {request.service} in {', '.join(sorted(regions)) or 'none'}"
            return NO_UPSTREAM_IN_REGIONS, detail
        has_upstream = bool(self.selector.candidates(request.service, 0, regions))
        code = QUEUE_TOO_LONG if has_upstream else NO_UPSTREAM
        queue = self.queues.get(request.service)
        waiting = len(queue.waiting) if queue else 0
        return code, f"{waiting} requests wait for {request.service}, about {wait_s:.2f} s"
