"""The upstreams that requests can go to and how loaded each is.

Load is the number of requests in flight, summed over the entries: the own count is exact, those of
the other entries are as old as their last message.
"""

import random
import time
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from gypsumpier.fleet.clock import boot_time_s
from gypsumpier.fleet.service import ModelTraits
from gypsumpier.fleet.state import FleetState
from gypsumpier.fleet.upstream import LoadedLayers, UpstreamRecord, whole_version
from gypsumpier.piece.turns import Turns
from gypsumpier.upstream.enginestate import EngineState
from gypsumpier.upstream.health import HealthBoard

PEER_LOAD_MAX_AGE_S: Final = 2.0
"""Seconds after which the counts of an entry that says nothing more are dropped."""
SPARE_SLOTS_SHARE: Final = 0.0625
"""Share of an upstream's slots that may wait in its own queue, so that a slot that becomes free is
filled before the entries have heard of it."""


IN_FLIGHT_COST_S: Final = 0.001
"""Seconds by which each request in flight delays a new one, beside the prompts to be read."""
QUEUED_COST_S: Final = 0.06
"""Seconds by which each request beyond the slots delays a new one: a slot becomes free about that
often at an engine whose requests take a second."""
UNREAD_MAX_S: Final = 0.12
"""Seconds of reading that an engine may have before it; while it reads, what it writes pauses."""
CHOICE_JITTER_S: Final = 0.05
"""Differences of delay, in seconds, that are ignored where many requests choose at one moment."""
SWITCH_COST_S: Final = 0.08
"""Seconds of waiting that a request takes rather than to be cut by a switch, which makes one of its
events late in about half of the cases."""
SLOW_PACE_MIN: Final = 1.6
"""Multiple of the usual time from which an engine is used only where the others are full."""
SWITCH_MARGIN_S: Final = 0.4
"""Seconds before an engine's turn by which what it runs should have ended."""
PROMPT_TOKENS_PER_S: Final = 30_000.0
"""Rate at which prompts are read where the engine's own rate is not known."""


class Load(NamedTuple):
    """Requests in flight at one upstream, and the prompt tokens of those without an answer yet."""

    in_flight: int = 0
    unread_tokens: int = 0


NO_LOAD: Final = Load()


@dataclass
class PeerLoad:
    """The load that another entry has put on each upstream."""

    loads: dict[str, Load] = field(default_factory=dict)
    at_s: float = 0.0


class UpstreamBoard:
    """Candidates and their load."""

    def __init__(self, beliefs: FleetState, zone: str, turns: Turns) -> None:
        self.beliefs = beliefs
        self.zone = zone
        self.turns = turns
        self.health = HealthBoard()
        self.zone_health = HealthBoard()
        self.own_loads: dict[str, Load] = {}
        self.peer_loads: dict[str, PeerLoad] = {}
        self.engines: dict[str, EngineState] = {}

    def note_peer_loads(self, name: str, loads: dict[str, Load]) -> None:
        """Take what another entry has in flight."""
        self.peer_loads[name] = PeerLoad(loads, time.monotonic())

    def summed_loads(self, entries: list[str]) -> dict[str, Load]:
        """Return the own loads and those of the named entries together."""
        total = dict(self.own_loads)
        for name in entries:
            peer = self.peer_loads.get(name)
            for upstream, load in peer.loads.items() if peer else ():
                known = total.get(upstream, NO_LOAD)
                total[upstream] = Load(
                    known.in_flight + load.in_flight, known.unread_tokens + load.unread_tokens
                )
        return total

    def note_engine_state(self, state: EngineState) -> bool:
        """Take what a sidecar tells; False where something newer is known already."""
        known = self.engines.get(state.address)
        if known is not None and known.run == state.run and known.sequence >= state.sequence:
            return False
        self.engines[state.address] = state
        return True

    def drop_expired(self) -> None:
        """Drop what silent entries told and what belongs to upstreams that are gone."""
        oldest_s = time.monotonic() - PEER_LOAD_MAX_AGE_S
        self.peer_loads = {
            name: load for name, load in self.peer_loads.items() if load.at_s > oldest_s
        }
        records = self.beliefs.upstreams.values()
        self.health.retain({record.run_key() for record in records})
        addresses = {f"{record.host}:{record.port}" for record in records}
        for address in [address for address in self.engines if address not in addresses]:
            del self.engines[address]

    def engine(self, record: UpstreamRecord) -> EngineState | None:
        """Return what the sidecar of the upstream told last."""
        return self.engines.get(f"{record.host}:{record.port}")

    def layers(self, record: UpstreamRecord) -> tuple[LoadedLayers, ...]:
        """Return the layers that the upstream holds by the freshest word."""
        engine = self.engine(record)
        return record.layers if engine is None else engine.layers

    def version(self, record: UpstreamRecord, model: ModelTraits) -> int:
        """Return the version of the weights that the upstream holds whole; 0 for none."""
        return whole_version(self.layers(record), model.layers)

    def load(self, record: UpstreamRecord) -> int:
        """Return the requests in flight at the upstream, as far as is known."""
        others = sum(
            peer.loads.get(record.id, NO_LOAD).in_flight for peer in self.peer_loads.values()
        )
        return self.own_loads.get(record.id, NO_LOAD).in_flight + others

    def unread_s(self, record: UpstreamRecord) -> float:
        """Return about how long the engine reads the prompts that it has not answered yet."""
        now_s = time.monotonic()
        unread_s = self.own_loads.get(record.id, NO_LOAD).unread_tokens / PROMPT_TOKENS_PER_S
        for peer in self.peer_loads.values():
            reported_s = peer.loads.get(record.id, NO_LOAD).unread_tokens / PROMPT_TOKENS_PER_S
            unread_s += max(0.0, reported_s - (now_s - peer.at_s))
        return unread_s

    def delay_s(self, record: UpstreamRecord) -> float:
        """Return about how long a new request waits there for its first event.

        Prompts are read one after the other; what runs beside them delays little.
        """
        load = self.load(record)
        queued = max(0, load + 1 - record.slots)
        return self.unread_s(record) + IN_FLIGHT_COST_S * load + QUEUED_COST_S * queued

    def limit(self, record: UpstreamRecord) -> int:
        """Return how many requests may be in flight at the upstream."""
        return record.slots + max(1, int(record.slots * SPARE_SLOTS_SHARE))

    def candidates(self, service: str, least_version: int = 0) -> list[UpstreamRecord]:
        """Return the upstreams of the service that can serve, whatever their load.

        Engines must hold a whole model of at least that version and not be switching.
        """
        configuration = self.beliefs.configuration
        found = configuration.services.get(service) if configuration else None
        model = found.model if found else None
        records = [
            record
            for record in self.beliefs.upstreams.values()
            if record.service == service and not record.is_leaving
        ]
        if model is not None:
            records = [
                record
                for record in records
                if self.version(record, model) >= max(1, least_version)
                and not self.is_switching(record)
            ]
        return records

    def is_switching(self, record: UpstreamRecord) -> bool:
        """Tell whether the engine starts nothing new at the moment."""
        engine = self.engine(record)
        return engine is not None and engine.is_switching

    def choose(
        self,
        records: list[UpstreamRecord],
        excluded: set[tuple[str, int]],
        needed_s: float = 0.0,
        any_zone: bool = False,
    ) -> UpstreamRecord | None:
        """Return the upstream with room that answers soonest, of the own zone where there is one.

        A request that needs ``needed_s`` rather goes to engines that don't switch before its end.
        With ``anywhere`` the own zone is not preferred, and the choice is random where delays are
        about equal: streams that are cut together must not all go on at one engine.
        """
        free = [
            record
            for record in records
            if record.run_key() not in excluded
            and self.is_usable(record)
            and self.load(record) < self.limit(record)
            and self.unread_s(record) < UNREAD_MAX_S
        ]
        if not free:
            return None
        unimpaired = [record for record in free if not self.is_impaired(record)]
        free = unimpaired or free

        def cost_s(record: UpstreamRecord) -> float:
            switches = self.switches_within(record, needed_s)
            jitter_s = random.uniform(0, CHOICE_JITTER_S) if any_zone else 0.0
            return self.delay_s(record) + jitter_s + (SWITCH_COST_S if switches else 0.0)

        if any_zone:
            return min(free, key=cost_s)
        local = [
            record
            for record in free
            if record.zone == self.zone and self.load(record) < record.slots
        ]
        return min(local or free, key=cost_s)

    def is_usable(self, record: UpstreamRecord) -> bool:
        """Tell whether neither the upstream nor the way to its zone has just failed."""
        if not self.health.is_usable(record.run_key()):
            return False
        return record.zone == self.zone or self.zone_health.is_usable((record.zone, 0))

    def note_unreachable(self, record: UpstreamRecord) -> None:
        """Note an upstream that can't be connected or has gone silent.

        Another zone is then left alone as a whole for a moment: it may be cut off, and each of its
        upstreams would cost requests as much again to find out.
        """
        self.health.note_failure(record.run_key())
        if record.zone != self.zone:
            self.zone_health.note_failure((record.zone, 0))

    def note_success(self, record: UpstreamRecord) -> None:
        """Note a whole answer."""
        self.health.note_success(record.run_key())
        self.zone_health.note_success((record.zone, 0))

    def is_impaired(self, record: UpstreamRecord) -> bool:
        """Tell whether the upstream fails many requests or works slowly."""
        engine = self.engine(record)
        is_slow = engine is not None and engine.pace > SLOW_PACE_MIN
        return is_slow or self.health.is_failing(record.run_key())

    def switches_within(self, record: UpstreamRecord, needed_s: float) -> bool:
        """Tell whether the engine switches before so many seconds have passed.

        One whose turn has come and that still holds older weights may do so at any moment.
        """
        turn = self.turns.turn(record.service, f"{record.host}:{record.port}")
        if turn is None or boot_time_s() + needed_s + SWITCH_MARGIN_S < turn.at_s:
            return False
        return any(loaded.version < turn.version for loaded in self.layers(record))

    def begin(self, record: UpstreamRecord, prompt_tokens: int) -> None:
        """Count a request that is sent there."""
        self.add(record, 1, prompt_tokens)
        self.health.begin(record.run_key())

    def note_prompt_read(self, record: UpstreamRecord, prompt_tokens: int) -> None:
        """Note that the request's prompt has been read."""
        self.add(record, 0, -prompt_tokens)

    def end(self, record: UpstreamRecord, unread_tokens: int) -> None:
        """Take a request that is no longer there from the count."""
        self.add(record, -1, -unread_tokens)
        self.health.end(record.run_key())

    def add(self, record: UpstreamRecord, in_flight: int, unread_tokens: int) -> None:
        """Change the own load of an upstream."""
        known = self.own_loads.get(record.id, NO_LOAD)
        load = Load(known.in_flight + in_flight, max(0, known.unread_tokens + unread_tokens))
        if load.in_flight > 0:
            self.own_loads[record.id] = load
        else:
            self.own_loads.pop(record.id, None)
