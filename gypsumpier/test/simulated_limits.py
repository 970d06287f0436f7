"""Entries in virtual time before upstreams that state limits: real selection, admission, sharing.

Messages between entries take a moment; entries of zones that are cut off from each other get none.
"""

import asyncio
import random
import time
from collections import Counter
from typing import Any, Final, NamedTuple
from unittest import mock

from gypsumpier.fleet.clock import boot_time_s
from gypsumpier.fleet.state import FleetState
from gypsumpier.fleet.upstream import UpstreamRecord
from gypsumpier.gateway.loadshare import LoadShare
from gypsumpier.gateway.refusal import Refusal
from gypsumpier.mesh.peer import Peer
from gypsumpier.ratelimit.demand import DemandShares
from gypsumpier.statement.share import StatementShare
from gypsumpier.statement.statedlimit import StatedLimit, stated_limit
from gypsumpier.test.builders_gateway import admission_of, request_of, selector_of
from gypsumpier.test.builders_platform import ENGINES
from gypsumpier.test.fakes_piece import entry_peer

MESSAGE_S: Final = 0.003
"""Seconds that a message takes from one entry to another."""
WAY_S: Final = 0.003
"""Seconds that a request takes to its upstream, and an answer back."""
FIRST_EVENT_S: Final = 0.05
RUN_S: Final = 0.4
"""Seconds from a request's arrival to the head of its answer, and to its end."""


class Arrival(NamedTuple):
    """A request that reached an upstream from an entry, at a monotonic time."""

    entry: str
    at_s: float


class LimitedUpstream:
    """An upstream; ``limit`` is the text that its answers state, None for no limit."""

    def __init__(self, record: UpstreamRecord) -> None:
        self.record = record
        self.limit: str | None = None
        self.arrivals: list[Arrival] = []


class EntryMesh:
    """The connections of one entry to those others that run and are not cut off from it."""

    def __init__(self, fleet: "LimitedFleet", own: Peer) -> None:
        self.fleet = fleet
        self.own = own
        self.listeners: dict[str, Any] = {}
        self.aged_listeners: dict[str, Any] = {}
        self.on_peer_connected: list[Any] = []

    def peers(self, role: str = "entry", zone: str = "") -> list[Peer]:
        return sorted(
            entry.mesh.own
            for entry in self.fleet.entries.values()
            if entry.mesh is not self
            and self.fleet.are_connected(self.own, entry.mesh.own)
            and (not zone or entry.mesh.own.zone == zone)
        )

    def post(self, name: str, kind: str, payload: dict[str, Any]) -> None:
        asyncio.get_running_loop().call_later(MESSAGE_S, self.deliver, name, kind, payload)

    def post_all(self, peers: list[Peer], kind: str, payload: dict[str, Any]) -> None:
        for peer in peers:
            self.post(peer.name, kind, payload)

    def deliver(self, name: str, kind: str, payload: dict[str, Any]) -> None:
        """Hand a message to its recipient, unless that has ended or been cut off meanwhile."""
        entry = self.fleet.entries.get(name)
        if entry is None or not self.fleet.are_connected(self.own, entry.mesh.own):
            return
        if kind in entry.mesh.listeners:
            entry.mesh.listeners[kind](self.own, payload)
        else:
            entry.mesh.aged_listeners[kind](self.own, payload, MESSAGE_S)


class LimitedEntry:
    """One entry, ``started_at_s`` in monotonic seconds."""

    def __init__(self, fleet: "LimitedFleet", name: str, zone: str) -> None:
        self.fleet = fleet
        self.name = name
        self.started_at_s = time.monotonic()
        self.mesh = EntryMesh(fleet, entry_peer(name, zone))
        self.selector = selector_of(fleet.state, zone)
        self.admission = admission_of(fleet.state, self.selector)
        mesh: Any = self.mesh
        demand = DemandShares(mesh, fleet.zones, self.admission.arrivals_per_s)
        self.selector.statements.limits.shares = demand
        self.statement_share = StatementShare(mesh, self.selector.statements)
        self.load_share = LoadShare(mesh, self.selector, demand)
        self.load_share.on_change.append(self.admission.handle_peer_news)
        self.tasks = [
            asyncio.create_task(work)
            for work in (self.statement_share.run(), self.load_share.run(), self.admission.run())
        ]

    async def serve(self, **fields: Any) -> None:
        """Admit a request and let an upstream run it; count its end."""
        self.fleet.state.record_proof(boot_time_s())
        request = request_of(self.fleet.state, **fields)
        try:
            record = await self.admission.enter(request)
        except Refusal:
            self.fleet.refused_after_s.append(request.age_s())
            self.fleet.ends[request.workspace_name, "refused"] += 1
            return
        sent_at_s = time.monotonic()
        await asyncio.sleep(WAY_S)
        upstream = self.fleet.upstreams[record.id]
        upstream.arrivals.append(Arrival(self.name, time.monotonic()))
        await asyncio.sleep(FIRST_EVENT_S)
        stated = stated_limit(upstream.limit)
        await asyncio.sleep(WAY_S)
        self.learn(record, stated, sent_at_s)
        await asyncio.sleep(RUN_S - FIRST_EVENT_S)
        self.admission.leave(request, record)
        self.fleet.ends[request.workspace_name, "served"] += 1

    def learn(self, record: UpstreamRecord, stated: StatedLimit, sent_at_s: float) -> None:
        """Record what an answer states, as the relay does."""
        self.admission.record_first_event(ENGINES, FIRST_EVENT_S)
        self.selector.statements.limits.record_answer(record, stated, sent_at_s)

    def stop(self) -> None:
        """End the process at once."""
        for task in self.tasks:
            task.cancel()


class LimitedFleet:
    """Upstreams and entries, by turns in each of the zones."""

    def __init__(self, state: FleetState, entries: int, zones: tuple[str, ...]) -> None:
        self.state = state
        self.zones = frozenset(zones)
        self.cut: set[frozenset[str]] = set()
        self.upstreams = {record.id: LimitedUpstream(record) for record in state.upstreams.values()}
        self.entries: dict[str, LimitedEntry] = {}
        self.refused_after_s: list[float] = []
        self.ends: Counter[tuple[str, str]] = Counter()
        for number in range(entries):
            self.start(f"front-{number:02}", zones[number % len(zones)])

    def start(self, name: str, zone: str) -> None:
        """Start an entry, which connects to the others."""
        entry = self.entries[name] = LimitedEntry(self, name, zone)
        for other in list(self.entries.values()):
            if other is not entry and self.are_connected(entry.mesh.own, other.mesh.own):
                self.connect(entry, other)
                self.connect(other, entry)

    def connect(self, entry: LimitedEntry, other: LimitedEntry) -> None:
        """Call the listeners of new connections of one entry."""
        for listener in entry.mesh.on_peer_connected:
            listener(mock.Mock(peer=other.mesh.own))

    def stop(self, name: str) -> str:
        """End an entry at once; return its zone."""
        entry = self.entries.pop(name)
        entry.stop()
        return entry.mesh.own.zone

    def are_connected(self, one: Peer, other: Peer) -> bool:
        """Return whether messages pass between the two entries."""
        return frozenset((one.zone, other.zone)) not in self.cut

    def heal(self) -> None:
        """End all cuts; the entries connect to each other again."""
        zones, self.cut = self.cut, set()
        for entry in self.entries.values():
            for other in self.entries.values():
                if frozenset((entry.mesh.own.zone, other.mesh.own.zone)) in zones:
                    self.connect(entry, other)

    def state_limit(self, limit: str | None, upstreams: list[str] | None = None) -> None:
        """Let these upstreams, or all, state the limit in their answers from now on."""
        for name in upstreams if upstreams is not None else self.upstreams:
            self.upstreams[name].limit = limit

    async def load(
        self, seconds: float, per_s: float, weights: dict[str, float], **fields: Any
    ) -> None:
        """Send requests at random times to entries at random, by ``weights`` of their names.

        An entry without a weight counts 1.
        """
        until_s = time.monotonic() + seconds
        tasks = set()
        while time.monotonic() < until_s:
            await asyncio.sleep(random.expovariate(per_s))
            entries = list(self.entries.values())
            chances = [weights.get(entry.name, 1.0) for entry in entries]
            entry = random.choices(entries, chances)[0]
            tasks.add(asyncio.create_task(entry.serve(prompt_tokens=100, **fields)))

    def arrivals_s(self, upstream: str, from_s: float) -> list[float]:
        """Return the times from then on at which requests reached the upstream, in order."""
        arrivals = self.upstreams[upstream].arrivals
        return sorted(arrival.at_s for arrival in arrivals if arrival.at_s >= from_s)
