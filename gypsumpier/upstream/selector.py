"""Tracks the load and state of upstreams, and selects one for each request.

Load is the number of requests in flight, summed over the entries: this entry's own count is exact,
the counts of other entries are as old as their last message.
"""

import math
import random
import time
from collections import Counter
from typing import Final

from gypsumpier.coldstart.coldstart import ColdStart
from gypsumpier.coldstart.constraint import ColdConstraint
from gypsumpier.eligibility.backoff import BackoffConstraint
from gypsumpier.eligibility.eligibility import Eligibility
from gypsumpier.eligibility.evacuated import EvacuatedConstraint
from gypsumpier.eligibility.leaving import LeavingConstraint
from gypsumpier.eligibility.momentary import add_momentary
from gypsumpier.eligibility.needs import Needs
from gypsumpier.eligibility.regions import RegionConstraint
from gypsumpier.eligibility.weights import WeightsConstraint
from gypsumpier.fleet.clock import boot_time_s
from gypsumpier.fleet.regions import AllowedRegions
from gypsumpier.fleet.service import ModelTraits
from gypsumpier.fleet.state import FleetState
from gypsumpier.fleet.upstream import LoadedLayers, UpstreamRecord, whole_version
from gypsumpier.piece.turns import SwitchSchedule
from gypsumpier.ratelimit.limits import WholeShare
from gypsumpier.statement.statements import UpstreamStatements
from gypsumpier.upstream import sharemetrics
from gypsumpier.upstream.claims import CLAIM_PERIOD_S, ZONE_CLAIM_PERIOD_S, Claims
from gypsumpier.upstream.enginestate import EngineState
from gypsumpier.upstream.health import HealthTracker
from gypsumpier.upstream.peerloads import NO_LOAD, Load, PeerLoads
from gypsumpier.upstream.placeshares import PlaceShares
from gypsumpier.upstream.silences import Silences

PEER_LOAD_MAX_AGE_S: Final = 2.0
"""Seconds after its last message after which the loads of another entry are dropped."""
SPARE_SLOTS_SHARE: Final = 0.0625
"""Extra requests per upstream, as a share of its slots, that may wait in its own queue, so that a
free slot is filled before the entries learn of it."""


IN_FLIGHT_COST_S: Final = 0.001
"""Estimated seconds by which each request in flight delays a new one, besides unread prompts."""
QUEUED_COST_S: Final = 0.06
"""Estimated seconds by which each request beyond the slots delays a new one: about the interval at
which slots become free at an engine whose requests take a second."""
UNREAD_MAX_S: Final = 0.12
"""Seconds of unread prompts from which an engine gets no new request; its running streams pause
while it reads prompts."""
CHOICE_JITTER_S: Final = 0.05
"""Random delay, in seconds, added to each upstream's cost when many requests select at once."""
UPSTREAMS_COMPARED: Final = 2
"""Upstreams drawn at random of which the less loaded one gets a request."""
SWITCH_COST_S: Final = 0.08
"""Extra delay, in seconds, that a request accepts to avoid being cut by a weight switch, which
makes one of its events late in about half of the cases."""
SLOW_PACE_MIN: Final = 1.6
"""Multiple of the usual processing time above which an engine is used only if others are full."""
SWITCH_MARGIN_S: Final = 0.4
"""Seconds before an engine's weight switch by which its requests should have ended."""
SWITCH_MAX_S: Final = 1.0
"""Seconds after its first report of a switch within which an engine serves again: the sidecar waits
up to 0.5 s for requests and pieces, and loading takes 0.3 s.  Later it is not waited for."""
PROMPT_TOKENS_PER_S: Final = 30_000.0
"""Assumed rate at which an upstream reads prompts whose service publishes none."""
ZONE_UNREACHABLE_MIN: Final = 2
"""Upstreams of another zone that can't be connected to, with no answer from that zone in between,
before all of it goes into backoff: one may be down by itself."""
ZONE_SILENCE_S: Final = 0.35
"""Seconds without an answer from another zone after which a silent upstream counts against all of
it: the shortest silence after which a request is given up."""
FORGET_INTERVAL_S: Final = 1.0
"""Seconds between two times at which the state of upstreams that no longer exist is dropped."""


class UpstreamSelector:
    """The load, health and engine state of upstreams, by which one is selected for each request.

    ``health`` is kept per run of an upstream, ``zone_health`` per availability zone.
    ``heard_at_s`` is the monotonic time of the last answer from each other zone, ``unreachable``
    the ids of its upstreams that could not be connected to since then.
    ``switching_since_s`` holds the monotonic time at which an engine, by its address, was first
    reported as switching.  ``statements`` are what upstreams have stated in their answers.
    ``cold`` limits the requests to cold upstreams.  ``place_shares`` tells how many of the
    places that many entries see free a first choice may take.
    ``eligibility`` holds the constraints on the choice.  ``regions`` knows the regions of zones;
    without any, requests that are limited to regions are sent nowhere.  ``known_candidates`` holds
    the candidates by needs until something changes that they depend on.
    """

    def __init__(
        self,
        fleet_state: FleetState,
        zone: str,
        schedule: SwitchSchedule,
        regions_by_zone: dict[str, str] | None = None,
    ) -> None:
        self.fleet_state = fleet_state
        self.zone = zone
        self.schedule = schedule
        self.health = HealthTracker()
        self.zone_health = HealthTracker()
        self.heard_at_s: dict[str, float] = {}
        self.unreachable: dict[str, set[str]] = {}
        self.own_loads: dict[str, Load] = {}
        self.own_waiting: dict[str, int] = {}
        self.peer_loads = PeerLoads()
        self.silences = Silences(self.health, self.own_loads, self.peer_loads)
        self.claims = Claims()
        self.place_shares = PlaceShares(zone, self.peer_loads)
        self.engines: dict[str, EngineState] = {}
        self.switching_since_s: dict[str, float] = {}
        self.statements = UpstreamStatements(WholeShare())
        self.regions = RegionConstraint(regions_by_zone or {})
        self.cold = ColdStart(fleet_state, zone)
        self.eligibility = Eligibility()
        self.eligibility.standing += [
            self.regions,
            LeavingConstraint(self.statements.leaving),
            WeightsConstraint(self),
            # The last: an upstream that only it excludes could serve after the evacuation.
            EvacuatedConstraint(fleet_state.evacuations),
        ]
        backoff = BackoffConstraint(self.health, self.zone_health, zone)
        add_momentary(self.eligibility, self.statements, self.silences, backoff)
        self.eligibility.listed.append(ColdConstraint(self.cold))
        self.services: dict[str, str] = {}
        self.known_candidates: dict[Needs, list[UpstreamRecord]] = {}
        self.known_state = (0, 0)
        self.forgot_at_s = float("-inf")
        fleet_state.listeners.append(self.handle_fleet_change)
        self.handle_fleet_change()

    def handle_fleet_change(self) -> None:
        """Work the candidates out anew, and drop the state of upstreams that no longer exist."""
        self.known_candidates.clear()
        self.forgot_at_s = float("-inf")
        upstreams = self.fleet_state.upstreams.values()
        self.services = {record.id: record.service for record in upstreams}

    def set_regions(self, regions_by_zone: dict[str, str]) -> None:
        """Replace the regions of the zones."""
        self.regions.regions_by_zone = regions_by_zone
        self.known_candidates.clear()

    def record_peer_loads(
        self,
        name: str,
        loads: dict[str, Load],
        waiting: dict[str, int] | None = None,
        age_s: float = 0.0,
        zone: str = "",
    ) -> None:
        """Replace what another entry, or another ``zone`` as a sum, has reported ``age_s`` ago."""
        before = self.peer_loads.reports.get(name)
        is_news = self.peer_loads.record(name, loads, waiting or {}, age_s)
        if self.place_shares.is_enabled and is_news and before is not None:
            self.place_shares.record_report(zone, before.loads, loads, self.services)

    def load_age_s(self, name: str) -> float:
        """Return the seconds since another entry's newest report; infinite without one."""
        report = self.peer_loads.reports.get(name)
        return time.monotonic() - report.at_s if report else float("inf")

    def summed_loads(self, entries: list[str]) -> dict[str, Load]:
        """Return the sum of the own loads and those of the named entries."""
        total = dict(self.own_loads)
        for name in entries:
            peer = self.peer_loads.reports.get(name)
            for upstream, load in peer.loads.items() if peer else ():
                known = total.get(upstream, NO_LOAD)
                total[upstream] = Load(
                    known.in_flight + load.in_flight, known.unread_tokens + load.unread_tokens
                )
        return total

    def record_waiting(self, service: str, waiting: int) -> None:
        """Record how many requests of the service are queued at this entry."""
        if waiting:
            self.own_waiting[service] = waiting
        else:
            self.own_waiting.pop(service, None)

    def summed_waiting(self, entries: list[str]) -> dict[str, int]:
        """Return the sum by service of the own queued requests and those of the named entries."""
        total = Counter(self.own_waiting)
        for name in entries:
            peer = self.peer_loads.reports.get(name)
            total.update(peer.waiting if peer else {})
        return dict(total)

    def waiting_share(self, service: str) -> float:
        """Return the own share of all known queued requests of the service."""
        own = self.own_waiting.get(service, 0)
        others = self.peer_loads.waiting.get(service, 0)
        return own / (own + others) if own else 1.0

    def record_engine_state(self, state: EngineState) -> bool:
        """Store the state reported by a sidecar; return False if a newer one is known already."""
        known = self.engines.get(state.address)
        if known is not None and known.run == state.run and known.sequence >= state.sequence:
            return False
        is_same = known is not None and known.is_switching == state.is_switching
        if known is None or not is_same or known.layers != state.layers:
            self.known_candidates.clear()
        self.engines[state.address] = state
        if state.is_switching:
            self.switching_since_s.setdefault(state.address, time.monotonic())
        else:
            self.switching_since_s.pop(state.address, None)
        return True

    def drop_expired(self) -> None:
        """Drop stale loads of other entries, and the state of upstreams that no longer exist."""
        now_s = time.monotonic()
        self.peer_loads.drop_before(now_s - PEER_LOAD_MAX_AGE_S)
        self.cold.tick()
        if now_s - self.forgot_at_s < FORGET_INTERVAL_S:
            return
        self.forgot_at_s = now_s
        records = self.fleet_state.upstreams.values()
        runs = {record.run_key() for record in records}
        self.health.retain(runs)
        self.statements.retain(runs)
        self.cold.retain(self.fleet_state.upstreams)
        ids = {record.id for record in records}
        self.claims.retain(ids)
        self.place_shares.arrivals.retain(set(self.services.values()))
        for unreachable in self.unreachable.values():
            unreachable &= ids
        addresses = {f"{record.host}:{record.port}" for record in records}
        for address in [address for address in self.engines if address not in addresses]:
            del self.engines[address]
            self.switching_since_s.pop(address, None)
            self.known_candidates.clear()

    def limited_services(self) -> set[str]:
        """Return the services of which an upstream states a limit."""
        upstreams = self.fleet_state.upstreams
        return {
            upstreams[name].service
            for name in self.statements.limits.limited()
            if name in upstreams
        }

    def engine(self, record: UpstreamRecord) -> EngineState | None:
        """Return the state last reported by the sidecar of the upstream; None if there is none."""
        return self.engines.get(f"{record.host}:{record.port}")

    def layers(self, record: UpstreamRecord) -> tuple[LoadedLayers, ...]:
        """Return the layers that the upstream holds; its sidecar's report overrides its record."""
        engine = self.engine(record)
        return record.layers if engine is None else engine.layers

    def version(self, record: UpstreamRecord, model: ModelTraits) -> int:
        """Return the version of the weights that the upstream holds completely; 0 if none."""
        return whole_version(self.layers(record), model.layers)

    def held_version(self, record: UpstreamRecord) -> int:
        """Return the version of the weights that the upstream holds; 0 for none or no model."""
        model = self.model(record.service)
        return self.version(record, model) if model else 0

    def model(self, service: str) -> ModelTraits | None:
        """Return the model traits of the service's engines; None for a plain service."""
        configuration = self.fleet_state.configuration
        found = configuration.services.get(service) if configuration else None
        return found.model if found else None

    def load(self, record: UpstreamRecord) -> int:
        """Return the known number of requests in flight at the upstream."""
        own = self.own_loads.get(record.id, NO_LOAD).in_flight
        return own + self.peer_loads.in_flight.get(record.id, 0)

    def unread_s(self, record: UpstreamRecord) -> float:
        """Return the estimated seconds until the engine has read the prompts not answered yet."""
        own_tokens = self.own_loads.get(record.id, NO_LOAD).unread_tokens
        if not own_tokens and record.id not in self.peer_loads.unread:
            return 0.0
        tokens_per_s = self.prompt_tokens_per_s(record)
        return own_tokens / tokens_per_s + self.peer_loads.unread_s(record.id, tokens_per_s)

    def prompt_tokens_per_s(self, record: UpstreamRecord) -> float:
        """Return the rate at which the upstream reads prompts, as its service publishes it."""
        model = self.model(record.service)
        return (model.prompt_tokens_per_s if model else 0.0) or PROMPT_TOKENS_PER_S

    def delay_s(self, record: UpstreamRecord) -> float:
        """Return the estimated seconds that a new request waits there for its first event.

        Prompts are read one after another; other requests in flight add little delay.
        """
        load = self.load(record)
        queued = max(0, load + 1 - record.slots)
        return self.unread_s(record) + IN_FLIGHT_COST_S * load + QUEUED_COST_S * queued

    def limit(self, record: UpstreamRecord) -> int:
        """Return how many requests may be in flight at the upstream."""
        return record.slots + max(1, int(record.slots * SPARE_SLOTS_SHARE))

    def candidates(
        self, service: str, least_version: int = 0, regions: AllowedRegions = None
    ) -> list[UpstreamRecord]:
        """Return the upstreams of the service that no standing constraint excludes.

        Load and health are not looked at.  The list is kept for later calls and must not be
        changed.
        """
        state = (len(self.fleet_state.upstreams), self.statements.leaving.changes)
        if state != self.known_state:
            self.known_candidates.clear()
            self.known_state = state
        needs = Needs(service, least_version, regions)
        found = self.known_candidates.get(needs)
        if found is None:
            found = self.known_candidates[needs] = [
                record
                for record in self.fleet_state.upstreams.values()
                if record.service == service
                and self.eligibility.standing_obstacle(record, needs) is None
            ]
        return found

    def may_still_serve(
        self, record: UpstreamRecord, least_version: int, regions: AllowedRegions = None
    ) -> bool:
        """Return whether an upstream chosen a moment ago is unchanged and still a candidate.

        It may have asked for a rest since then, in the answer to another request.
        """
        known = self.fleet_state.upstreams.get(record.id)
        if known is None or known.run_key() != record.run_key():
            return False
        needs = Needs(record.service, least_version, regions)
        return self.eligibility.recalling_obstacle(known, needs) is None

    def is_switching(self, record: UpstreamRecord) -> bool:
        """Return whether the engine is switching its weights and starts no new request."""
        engine = self.engine(record)
        return engine is not None and engine.is_switching

    def is_engine_returning(
        self, service: str, excluded: set[tuple[str, int]], regions: AllowedRegions = None
    ) -> bool:
        """Return whether an engine is switching and will soon serve with its new weights.

        Those outside the regions, or whose run keys are in ``excluded``, don't count.
        """
        began_after_s = time.monotonic() - SWITCH_MAX_S
        return any(
            record.service == service
            and record.run_key() not in excluded
            and not record.is_leaving
            and record.zone not in self.fleet_state.evacuations.zones
            and self.regions.allows(record, regions)
            and self.switching_since_s.get(f"{record.host}:{record.port}", 0.0) > began_after_s
            for record in self.fleet_state.upstreams.values()
        )

    def choose(
        self,
        records: list[UpstreamRecord],
        excluded: set[tuple[str, int]],
        needed_s: float = 0.0,
        any_zone: bool = False,
        share: float = 1.0,
        prompt_tokens: int = 0,
        places_share: float = 1.0,
    ) -> UpstreamRecord | None:
        """Return the upstream with capacity and the least estimated delay; None if there is none.

        An upstream has capacity up to its slots and to what it states.  Those whose run
        keys are in ``excluded`` are left out.  Impaired upstreams are chosen only if no other has
        capacity; upstreams of the own zone with free slots are preferred.  A request that takes
        ``needed_s`` seconds prefers engines that don't switch weights before its end.  With
        ``any_zone`` the own zone is not preferred, and the choice is random among about equal
        delays: streams that were cut together must not all resume at one engine.

        With a ``share`` below 1, only that share of an upstream's free places is used between two
        exchanges of loads.  Where many entries choose, a first choice uses no more than its share
        among those whose requests will have come since their reports.  With a ``places_share``
        below 1, the rest of the places of each upstream is left to other requests.
        """
        is_shared = not any_zone and self.place_shares.is_active()
        if not any_zone:
            # Most requests find a place in the own zone; the others are then not looked at.
            local = [record for record in records if record.zone == self.zone]
            free = [
                record
                for record in self.with_capacity(local, excluded, places_share)
                if self.load(record) < record.slots and not self.is_impaired(record)
            ]
            if is_shared:
                found = self.first_claimed(free, share, prompt_tokens, needed_s)
            else:
                free = self.claimable(free, share, prompt_tokens)
                found = self.least_delayed(free, needed_s, False)
            if found is not None:
                return found
        free = self.with_capacity(records, excluded, places_share)
        unimpaired = [record for record in free if not self.is_impaired(record)]
        if is_shared:
            return self.first_claimed(unimpaired or free, share, prompt_tokens, needed_s)
        free = self.claimable(unimpaired or free, share, prompt_tokens)
        local = [
            record
            for record in free
            if not any_zone and record.zone == self.zone and self.load(record) < record.slots
        ]
        return self.least_delayed(local or free, needed_s, any_zone)

    def with_capacity(
        self,
        records: list[UpstreamRecord],
        excluded: set[tuple[str, int]],
        places_share: float = 1.0,
    ) -> list[UpstreamRecord]:
        """Return the upstreams that may get one more request now, impaired ones included."""
        if not records:
            return []
        needs = Needs(records[0].service)
        found = [
            record
            for record in records
            if self.load(record) < self.limit(record)
            and (not excluded or record.run_key() not in excluded)
            and self.unread_s(record) < UNREAD_MAX_S
            and self.eligibility.unlisted_obstacle(record, needs) is None
        ]
        if places_share < 1.0:
            found = [
                record for record in found if self.load(record) < self.limit(record) * places_share
            ]
        # The constraint in ``listed``, asked once for all of them.
        return self.cold.permitted(found) if self.cold.rules else found

    def claimable(
        self, records: list[UpstreamRecord], share: float, prompt_tokens: int
    ) -> list[UpstreamRecord]:
        """Return the upstreams of which one more request is within this entry's share."""
        if share >= 1.0:
            return records
        return [record for record in records if self.may_claim(record, share, prompt_tokens)]

    def least_delayed(
        self, records: list[UpstreamRecord], needed_s: float, is_jittered: bool
    ) -> UpstreamRecord | None:
        """Return the upstream with the least estimated delay; None if there is none.

        Where many entries choose, a few drawn at random are compared: they know each other's loads
        late, and would all send to the one that was the least loaded a moment ago.  Some are drawn
        from those that don't switch weights within ``needed_s`` seconds.  With shares of places,
        ``first_claimed`` has drawn them.
        """
        is_contended = not self.place_shares.is_enabled and self.place_shares.are_many()
        if is_contended and not is_jittered and len(records) > UPSTREAMS_COMPARED:
            steady = self.steady(records, needed_s)
            is_any_switching = len(steady) < len(records)
            records = [*drawn(records), *(drawn(steady) if is_any_switching else [])]

        def cost_s(record: UpstreamRecord) -> float:
            switches = self.switches_within(record, needed_s)
            jitter_s = random.uniform(0, CHOICE_JITTER_S) if is_jittered else 0.0
            return self.delay_s(record) + jitter_s + (SWITCH_COST_S if switches else 0.0)

        return min(records, key=cost_s, default=None)

    def first_claimed(
        self, records: list[UpstreamRecord], share: float, prompt_tokens: int, needed_s: float
    ) -> UpstreamRecord | None:
        """Return the better of two upstreams drawn at random that is within this entry's share.

        Many entries know each other's loads late, and would all send to the one that was the least
        loaded a moment ago.  If one of those drawn switches weights within ``needed_s`` seconds,
        two are also drawn from those that don't.  While none is within the share, others are drawn.
        """
        shares: dict[str, float] = {}
        left = list(records)
        while left:
            is_any_left = len(left) > UPSTREAMS_COMPARED
            compared = drawn(left)
            if is_any_left and len(self.steady(compared, needed_s)) < len(compared):
                compared += drawn(self.steady(left, needed_s))
            record = self.least_delayed(compared, needed_s, False)
            assert record is not None
            if record.zone not in shares:
                shares[record.zone] = self.contended_share(record, share)
            if shares[record.zone] >= 1.0:
                return record
            if self.may_claim(record, shares[record.zone], prompt_tokens):
                sharemetrics.CLAIMED.inc()
                return record
            left.remove(record)
        if records:
            self.place_shares.record_not_claimed(records, shares)
        return None

    def contended_share(self, record: UpstreamRecord, share: float) -> float:
        """Return this entry's share of the free places in the zone of the upstream."""
        own_waiting = self.own_waiting.get(record.service, 0) or 1
        return self.place_shares.contended(record, share, own_waiting)

    def may_claim(self, record: UpstreamRecord, share: float, prompt_tokens: int) -> bool:
        """Return whether one more request is within this entry's share of the free places.

        There are only as many places as prompts of that size can be read soon.
        """
        own = self.own_loads.get(record.id, NO_LOAD).in_flight
        is_claimed = self.claims.is_claimed(record.id, own)
        if is_claimed is not None:
            return is_claimed
        places = self.limit(record) - self.load(record)
        if prompt_tokens:
            unread_s = UNREAD_MAX_S - self.unread_s(record)
            tokens_per_s = self.prompt_tokens_per_s(record)
            places = min(places, math.ceil(unread_s * tokens_per_s / prompt_tokens))
        is_near = record.zone == self.zone and self.place_shares.is_active()
        period_s = ZONE_CLAIM_PERIOD_S if is_near else CLAIM_PERIOD_S
        return own < self.claims.most(record.id, own, places, share, period_s)

    def is_usable(self, record: UpstreamRecord) -> bool:
        """Return whether neither a rest nor a backoff, its own or its zone's, holds.

        Nor may it be an engine that other entries find silent.
        """
        return self.eligibility.lasting_obstacle(record, Needs(record.service)) is None

    def record_unreachable(self, record: UpstreamRecord) -> None:
        """Record that an upstream can't be connected to.

        Another zone of which several can't be goes into backoff as a whole: it may be cut off, and
        each of its upstreams would otherwise delay requests again before failing.
        """
        self.health.record_failure(record.run_key())
        self.cold.record_failure(record)
        if record.zone == self.zone:
            return
        unreachable = self.unreachable.setdefault(record.zone, set())
        unreachable.add(record.id)
        if len(unreachable) >= ZONE_UNREACHABLE_MIN:
            self.zone_health.record_failure((record.zone, 0))

    def record_silence(self, record: UpstreamRecord, sent_at_s: float) -> None:
        """Record that a request, sent at that monotonic time, was given up as nothing arrived.

        Another zone goes into backoff if nothing arrives from any of its upstreams.  One silence is
        enough: unlike a failed connection it costs the request one of its attempts.
        """
        self.silences.record_found(record.run_key())
        self.health.record_silence(record.run_key(), sent_at_s)
        silent_from_s = self.heard_at_s.get(record.zone, float("-inf")) + ZONE_SILENCE_S
        if record.zone != self.zone and time.monotonic() >= silent_from_s:
            self.zone_health.record_silence((record.zone, 0), sent_at_s)

    def record_heard(self, record: UpstreamRecord) -> None:
        """Record that an answer begins or goes on: the upstream and its zone are not silent."""
        self.silences.record_heard(record.run_key())
        self.health.record_heard(record.run_key())
        self.record_zone_reached(record.zone)

    def record_success(self, record: UpstreamRecord) -> None:
        """Record a complete answer: the upstream and its zone are reachable."""
        self.silences.record_heard(record.run_key())
        self.health.record_success(record.run_key())
        self.record_zone_reached(record.zone)

    def record_zone_reached(self, zone: str) -> None:
        """Record that an answer arrives from the zone, which ends its backoff."""
        if zone != self.zone:
            self.heard_at_s[zone] = time.monotonic()
        self.unreachable.pop(zone, None)
        self.zone_health.record_success((zone, 0))

    def is_impaired(self, record: UpstreamRecord) -> bool:
        """Return whether the upstream fails many requests or is slow."""
        engine = self.engine(record)
        is_slow = engine is not None and engine.pace > SLOW_PACE_MIN
        return is_slow or self.health.is_failing(record.run_key())

    def steady(self, records: list[UpstreamRecord], needed_s: float) -> list[UpstreamRecord]:
        """Return the upstreams that don't switch weights within ``needed_s`` seconds."""
        return [record for record in records if not self.switches_within(record, needed_s)]

    def switches_within(self, record: UpstreamRecord, needed_s: float) -> bool:
        """Return whether the engine switches weights within ``needed_s`` seconds.

        An engine whose turn has passed and that still holds older weights may switch at any time.
        """
        turn = self.schedule.turn(record.service, f"{record.host}:{record.port}")
        if turn is None or boot_time_s() + needed_s + SWITCH_MARGIN_S < turn.at_s:
            return False
        return any(loaded.version < turn.version for loaded in self.layers(record))

    def begin(self, record: UpstreamRecord, prompt_tokens: int) -> None:
        """Count a request that is sent to the upstream."""
        if self.load(record) >= record.slots:
            sharemetrics.BEYOND_SLOTS.inc()
        self.add(record, 1, prompt_tokens)
        self.health.begin(record.run_key())
        self.statements.take(record)
        self.cold.reserve(record)

    def give_back(self, record: UpstreamRecord) -> None:
        """Count a request as not sent to the upstream; ``end`` has to follow."""
        self.statements.give_back(record)
        self.cold.give_back(record)

    def record_prompt_read(self, record: UpstreamRecord, prompt_tokens: int) -> None:
        """Stop counting the prompt tokens of a request as unread, as its answer has begun."""
        self.add(record, 0, -prompt_tokens)
        self.record_heard(record)

    def end(self, record: UpstreamRecord, unread_tokens: int) -> None:
        """Stop counting a request that has ended at the upstream."""
        self.add(record, -1, -unread_tokens)
        self.health.end(record.run_key())

    def add(self, record: UpstreamRecord, in_flight: int, unread_tokens: int) -> None:
        """Add to the own load of an upstream; amounts may be negative."""
        known = self.own_loads.get(record.id, NO_LOAD)
        load = Load(known.in_flight + in_flight, max(0, known.unread_tokens + unread_tokens))
        if load.in_flight > 0:
            self.own_loads[record.id] = load
        else:
            self.own_loads.pop(record.id, None)


def drawn(records: list[UpstreamRecord]) -> list[UpstreamRecord]:
    """Return a few of the upstreams, drawn at random."""
    if len(records) <= UPSTREAMS_COMPARED:
        return list(records)
    return random.sample(records, UPSTREAMS_COMPARED)
