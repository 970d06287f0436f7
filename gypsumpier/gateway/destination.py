"""Explains where this entry would send a request now, without sending it.

The question reads what the choice reads.  It counts nowhere: it takes no place, token, permit or
claim, and draws no random number.  Only caches of what the records and the settings say may stay
filled.
"""

import asyncio
import heapq
import time
from collections import Counter
from collections.abc import Callable
from typing import Final

from tornado.httputil import HTTPHeaders

from gypsumpier.codes.request import (
    ENTRY_STOPPING,
    ENTRY_UNINFORMED,
    NO_ROUTE,
    NO_UPSTREAM,
    STALE_CONFIGURATION,
    SUSPECTED_OF_CRASHES,
    UPSTREAM_RESTING,
)
from gypsumpier.codes.result import ResultCode
from gypsumpier.eligibility.assessment import Assessment
from gypsumpier.eligibility.explanation import assess, least_costly, preferred, unchanged
from gypsumpier.eligibility.needs import Needs
from gypsumpier.fleet.configuration import FleetConfiguration, Workspace
from gypsumpier.fleet.route import Route, RouteTarget
from gypsumpier.fleet.upstream import UpstreamRecord
from gypsumpier.gateway.admission import COLD_WAIT_MAX_S, NO_UPSTREAM_WAIT_S, REST_WAIT_S, Admission
from gypsumpier.gateway.crashes import CrashTracker
from gypsumpier.gateway.destinationquery import DestinationQuery, invalid
from gypsumpier.gateway.destinationview import (
    DestinationView,
    PassedView,
    RefusalView,
    ServiceView,
    WaitView,
)
from gypsumpier.gateway.evacuated import EVACUATED_WAIT_S
from gypsumpier.gateway.intake import PROOF_MAX_AGE_SHARE, Intake
from gypsumpier.gateway.request import GatewayRequest
from gypsumpier.gateway.waitestimate import estimated_wait
from gypsumpier.quarantine.trait import PART_PREFIX
from gypsumpier.stopschedule import StopSchedule
from gypsumpier.upstream.head import CallerHead
from gypsumpier.upstream.selector import UPSTREAMS_COMPARED

UPSTREAMS_AT_ONCE: Final = 128
"""Upstreams that are judged before callers get their turn; 12,000 at once would hold callers up."""
UPSTREAMS_SHOWN: Final = 500
"""Most upstreams of a service that are listed; all are counted."""
REPORTERS_SHOWN: Final = 500
"""Most reporters of loads that are listed."""


class Destinations:
    """Answers where requests would go, from the parts of an entry that decide it."""

    def __init__(
        self,
        intake: Intake,
        admission: Admission,
        crashes: CrashTracker,
        stop_schedule: Callable[[], StopSchedule | None],
    ) -> None:
        self.intake = intake
        self.admission = admission
        self.crashes = crashes
        self.stop_schedule = stop_schedule
        self.fleet_state = admission.fleet_state
        self.selector = admission.selector

    async def explain(self, query: DestinationQuery) -> DestinationView:
        """Return where the request would go; raise GypsumpierError for an unknown name."""
        view = self.empty_view()
        configuration = self.fleet_state.configuration
        if configuration is None or not self.fleet_state.is_confirmed():
            detail = "the entry has not received a configuration yet"
            view["refusal"] = refusal_view(ENTRY_UNINFORMED, detail)
            return view
        zone = self.checked_zone(query.zone)
        route = find_route(configuration, query)
        if route is None:
            detail = f"configuration {configuration.version} has no matching route"
            view["refusal"] = refusal_view(NO_ROUTE, detail)
            return view
        workspace = find_workspace(configuration, query)
        view["route"] = route.name
        view["workspace"] = workspace.name if workspace else None
        needs_key = configuration.workspaces_by_key is not None and not route.is_public
        if needs_key and workspace is None:
            view["notes"].append("no workspace was given: the regions of the route alone are used")
        if workspace is not None and not needs_key:
            view["notes"].append("the route needs no key: the workspace is not looked at")
            workspace = None
        targets = [target for target in route.targets if target.weight > 0]
        if not targets:
            detail = f"route {route.name} has no service with a weight above 0"
            view["refusal"] = refusal_view(NO_UPSTREAM, detail)
            return view
        requests = [
            request_of(query, configuration, route, target, workspace) for target in targets
        ]
        regions = self.admission.region_rules.regions(requests[0])
        view["regions"] = None if regions is None else sorted(regions)
        view["refusal"] = self.refusal(requests[0], needs_key)
        view["trial"] = view["refusal"] is None and bool(self.suspected(requests[0]))
        total = sum(target.weight for target in targets)
        for target, request in zip(targets, requests, strict=True):
            view["services"].append(await self.service_view(request, target.weight / total, zone))
        return view

    def empty_view(self) -> DestinationView:
        """Return the view of a request of which only the entry is known."""
        configuration = self.fleet_state.configuration
        now_s = time.monotonic()
        reports = sorted(self.selector.peer_loads.reports.items(), key=lambda it: it[1].at_s)
        return DestinationView(
            entry=self.intake.settings.name,
            zone=self.intake.settings.zone,
            configuration=configuration.version if configuration else None,
            proof_age_s=finite(self.fleet_state.proof_age_s()),
            proof_limit_s=PROOF_MAX_AGE_SHARE * self.intake.settings.bounds.key_revoked_s,
            # The oldest first.
            loads_age_s={
                name: round(now_s - report.at_s, 3) for name, report in reports[:REPORTERS_SHOWN]
            },
            route=None,
            workspace=None,
            regions=None,
            trial=False,
            refusal=None,
            services=[],
            notes=[],
        )

    def checked_zone(self, zone: str) -> str:
        """Return the zone, or that of the entry; raise GypsumpierError if it is not known."""
        known = {record.zone for record in self.fleet_state.upstreams.values()}
        if zone and zone not in known | self.selector.regions.regions_by_zone.keys():
            raise invalid("zone: neither the settings nor an upstream has it")
        return zone or self.selector.zone

    def suspected(self, request: GatewayRequest) -> list[int]:
        """Return the positions, from 1 on, of the parts of the prompt that are refused."""
        parts = request.head.prompt_parts
        refused = set(self.crashes.quarantine.refused(PART_PREFIX + part for part in parts))
        return [at for at, part in enumerate(parts, 1) if PART_PREFIX + part in refused]

    def refusal(self, request: GatewayRequest, needs_key: bool) -> RefusalView | None:
        """Return the refusal before any upstream is looked at; None if there is none."""
        if needs_key and not self.intake.is_fresh():
            age_s = self.fleet_state.proof_age_s()
            return refusal_view(STALE_CONFIGURATION, f"the proof is {age_s:.1f} s old")
        schedule = self.stop_schedule()
        if schedule is not None and not schedule.admits(request.ends_at_s, time.monotonic()):
            return refusal_view(ENTRY_STOPPING, "the entry stops")
        refused_s = self.crashes.refused_for_s(request)
        if refused_s <= 0:
            return None
        positions = self.suspected(request)
        detail = "requests with these parts of the prompt ran when upstreams crashed"
        return refusal_view(SUSPECTED_OF_CRASHES, detail, refused_s, positions)

    async def service_view(self, request: GatewayRequest, share: float, zone: str) -> ServiceView:
        """Return where the request would go if its service is drawn."""
        admission = self.admission
        needs = Needs(
            request.service,
            admission.least_version(request.service),
            admission.region_rules.regions(request),
        )
        records = [
            record
            for record in self.fleet_state.upstreams.values()
            if record.service == request.service
        ]
        places_share = admission.headroom.places_share(request, admission.goal_start_s(request))
        assessments: list[Assessment] = []
        counts: Counter[str] = Counter()
        for begin in range(0, len(records), UPSTREAMS_AT_ONCE):
            await asyncio.sleep(0)
            some = records[begin : begin + UPSTREAMS_AT_ONCE]
            found = assess(self.selector, some, needs, admission.needed_s(request), places_share)
            counts.update(reason_of(it) or "free" for it in found)
            assessments += found
        await asyncio.sleep(0)
        compared = preferred(self.without_awaited(request, assessments), zone)
        chosen = least_costly(compared)
        await asyncio.sleep(0)
        wait: WaitView | None = None
        refusal: RefusalView | None = None
        if chosen is None:
            with unchanged(self.selector, records):
                refusal = self.waiting_refusal(request)
                if refusal is None:
                    wait, refusal = self.wait(request, assessments)
        is_contended = self.selector.place_shares.are_many()
        is_drawn = is_contended and len(compared) > UPSTREAMS_COMPARED
        await asyncio.sleep(0)
        shown = shown_first(assessments, chosen)
        return ServiceView(
            service=request.service,
            share=round(share, 4),
            chosen=chosen.id if chosen else None,
            comparable=len(compared),
            drawn=UPSTREAMS_COMPARED if is_drawn else 0,
            wait=wait,
            refusal=refusal,
            counts=dict(counts),
            upstreams=[passed_view(found) for found in shown],
            omitted=len(assessments) - len(shown),
        )

    def without_awaited(
        self, request: GatewayRequest, assessments: list[Assessment]
    ) -> list[Assessment]:
        """Return the upstreams whose places no queued request waits for, as on an arrival."""
        queue = self.admission.queues.get(request.service)
        queued = queue.waiting if queue else []
        awaited = self.admission.region_rules.all_regions(waiting.request for waiting in queued)
        if awaited is None:
            return []
        return [found for found in assessments if found.explanation.region not in awaited]

    def waiting_refusal(self, request: GatewayRequest) -> RefusalView | None:
        """Return the refusal that ``Admission.wait`` raises before it queues the request."""
        admission = self.admission
        if admission.is_evacuated(request):
            return self.caused_refusal(request, EVACUATED_WAIT_S)
        if not admission.is_upstream_expected(request):
            return self.caused_refusal(request, NO_UPSTREAM_WAIT_S)
        rest_s = admission.rest_left_s(request)
        if rest_s > REST_WAIT_S:
            return refusal_view(UPSTREAM_RESTING, "every upstream rests", rest_s)
        if not self.selector.cold.rules:
            return None
        cold_s = self.selector.cold.wait_s(admission.candidates(request))
        if cold_s and time.monotonic() + cold_s > admission.latest_start_s(request):
            code, detail = admission.refusal_cause(request, min(cold_s, COLD_WAIT_MAX_S))
            return refusal_view(code, detail, cold_s)
        return None

    def wait(
        self, request: GatewayRequest, assessments: list[Assessment]
    ) -> tuple[WaitView, RefusalView | None]:
        """Return the wait in the queue, and the refusal if it is too long."""
        found = estimated_wait(self.admission, request)
        ends_in_s = [ends for it in assessments if (ends := ends_in(it)) is not None]
        view = WaitView(
            ahead=found.ahead,
            wait_s=round(found.wait_s, 3),
            admitted_in_s=round(found.admitted_in_s, 3),
            next_place_in_s=min(ends_in_s, default=None),
        )
        return view, self.caused_refusal(request, found.wait_s) if found.is_too_long else None

    def caused_refusal(self, request: GatewayRequest, wait_s: float) -> RefusalView:
        """Return the refusal of a request with that wait, as ``Admission`` words it."""
        return refusal_view(*self.admission.refusal_cause(request, wait_s))


def find_route(configuration: FleetConfiguration, query: DestinationQuery) -> Route | None:
    """Return the route of the question; raise GypsumpierError if a named one does not exist."""
    if not query.route:
        return configuration.match(query.host, query.path)
    route = configuration.route_named(query.route)
    if route is None:
        raise invalid(f"route: configuration {configuration.version} has none of that name")
    return route


def find_workspace(configuration: FleetConfiguration, query: DestinationQuery) -> Workspace | None:
    """Return the workspace; None if none was given.  Raise GypsumpierError if it is not known."""
    if not query.workspace:
        return None
    # An operator may paste a key for a name: the error does not repeat it.
    workspace = configuration.workspaces_by_name.get(query.workspace)
    if workspace is None:
        detail = f"workspace: configuration {configuration.version} has none with a key"
        raise invalid(f"{detail} of that name; give the name, not a key")
    return workspace


def request_of(
    query: DestinationQuery,
    configuration: FleetConfiguration,
    route: Route,
    target: RouteTarget,
    workspace: Workspace | None,
) -> GatewayRequest:
    """Return the request, as if it had arrived now and its service had been drawn."""
    now_s = time.monotonic()
    head = CallerHead(
        request_id="",
        method="POST",
        target=query.path or route.prefix,
        host=query.host or route.host,
        key="",
        time_limit_s=None,
        model="",
        last_event_id="",
        prompt_tokens=query.prompt_tokens,
        answer_tokens=query.answer_tokens,
        expected_answer_tokens=query.answer_tokens,
        prompt_parts=query.parts,
        forwarded_headers=HTTPHeaders(),
    )
    return GatewayRequest(
        head=head,
        body=b"",
        route=route,
        service=target.service,
        workspace=workspace,
        received_at_s=now_s,
        ends_at_s=now_s + route.timeout_s,
        fingerprint="",
        configuration=configuration,
    )


def refusal_view(
    code: ResultCode,
    detail: str,
    ends_in_s: float | None = None,
    positions: list[int] | None = None,
) -> RefusalView:
    """Return the view of a refusal."""
    return RefusalView(
        code=code.number,
        name=code.name,
        status=code.http_status,
        detail=detail,
        positions=positions or [],
        ends_in_s=None if ends_in_s is None else finite(ends_in_s),
    )


def shown_first(assessments: list[Assessment], chosen: UpstreamRecord | None) -> list[Assessment]:
    """Return the upstreams that are listed, in order: the chosen one, free ones, all others."""
    return heapq.nsmallest(
        UPSTREAMS_SHOWN,
        assessments,
        key=lambda it: (
            it.record is not chosen,
            it.explanation.obstacle is not None,
            it.record.zone,
            it.record.id,
        ),
    )


def passed_view(found: Assessment) -> PassedView:
    """Return the view of one upstream."""
    it = found.explanation
    return PassedView(
        upstream=it.upstream,
        zone=it.zone,
        region=it.region,
        load=it.load,
        slots=found.record.slots,
        impaired=it.is_impaired,
        reason=reason_of(found),
        ends_in_s=ends_in(found),
        delay_s=None if it.delay_s is None else round(it.delay_s, 4),
    )


def reason_of(found: Assessment) -> str | None:
    """Return the name of the reason why the upstream is passed over; None if it is free."""
    obstacle = found.explanation.obstacle
    return None if obstacle is None else obstacle.reason.value


def ends_in(found: Assessment) -> float | None:
    """Return the seconds until the obstacle ends; None if there is none or its end is unknown."""
    obstacle = found.explanation.obstacle
    if obstacle is None or obstacle.ends_at_s is None:
        return None
    return finite(max(0.0, obstacle.ends_at_s - time.monotonic()))


def finite(seconds: float) -> float | None:
    """Return the seconds, rounded; None if they are infinite, which JSON does not know."""
    return round(seconds, 3) if seconds < float("inf") else None
