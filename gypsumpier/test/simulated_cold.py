"""Entries in virtual time before upstreams that become cold: real admission, permits and names.

Each entry has a copy of the fleet state of its own.  Entries of different sides are cut off from
each other.  A frozen entry handles nothing until it wakes; then the requests that it held go on
before it reads what has arrived meanwhile.
"""

import asyncio
import random
import time
from collections import defaultdict
from collections.abc import Callable
from functools import partial
from typing import Any, Final, NamedTuple
from unittest import mock

from gypsumpier.coldstart.entrynames import EntryNames
from gypsumpier.fleet.clock import boot_time_s
from gypsumpier.fleet.node import Address
from gypsumpier.fleet.record import Record
from gypsumpier.gateway.refusal import Refusal
from gypsumpier.gateway.request import GatewayRequest
from gypsumpier.mesh.peer import Peer
from gypsumpier.test.builders_gateway import admission_of, request_of, selector_of
from gypsumpier.test.builders_platform import (
    BOUNDS,
    apply_records,
    configuration_record,
    engine_record,
    engine_service_body,
    fleet_state_of,
)

ZONES: Final = ("bac-a", "nam-a", "trung-a")
ALLOWANCE: Final = 44
COLD_BOUNDS: Final = BOUNDS._replace(cold_excess=1.5, cold_slack=5.0)
COLD_S: Final = 3.0
COLD_PER_S: Final = 26.0
MESSAGE_S: Final = 0.003
RECORD_S: Final = 0.02
"""Seconds until a record has reached every entry, which get it at random times within them."""
PROOF_INTERVAL_S: Final = 0.5
RUN_S: Final = 0.05
"""Seconds from a request's arrival to the end of its answer: without a limit, an upstream would get
far more than its allowance."""
SILENCE_S: Final = 2.0
"""Seconds after which the connections to a frozen entry are closed."""
BACKLOG_S: Final = 0.01
"""Seconds after its end until a frozen entry has read what has arrived meanwhile."""


class Arrival(NamedTuple):
    """A request that was sent to an upstream from an entry, at a monotonic time."""

    at_s: float
    entry: str


class ColdUpstream:
    """An upstream; ``cold_s`` holds the times from and until which it was cold."""

    def __init__(self, number: int, zone: str) -> None:
        self.number = number
        self.id = f"i-{number}"
        self.zone = zone
        self.born = 1000
        self.is_up = True
        self.cold_s: list[tuple[float, float]] = []
        self.arrivals: list[Arrival] = []

    def become_cold(self) -> None:
        """Begin a cold time."""
        now_s = time.monotonic()
        self.cold_s.append((now_s, now_s + COLD_S))

    def cold_arrivals_s(self) -> list[float]:
        """Return when requests arrived while it was cold."""
        return sorted(
            arrival.at_s
            for arrival in self.arrivals
            if any(from_s <= arrival.at_s < until_s for from_s, until_s in self.cold_s)
        )


class SimulatedMesh:
    """The connections of one entry."""

    def __init__(self, fleet: "ColdFleet", own: Peer) -> None:
        self.fleet = fleet
        self.own = own
        self.seeds = fleet.seeds
        self.aged_listeners: dict[str, Any] = {}
        self.on_peer_connected: list[Any] = []

    def peers(self, role: str = "entry", zone: str = "") -> list[Peer]:
        return sorted(
            entry.mesh.own
            for entry in self.fleet.entries.values()
            if entry.mesh is not self
            and self.fleet.are_connected(self.own.name, entry.name)
            and (not zone or entry.mesh.own.zone == zone)
        )

    def post(self, name: str, kind: str, payload: dict[str, Any]) -> None:
        asyncio.get_running_loop().call_later(
            MESSAGE_S, self.deliver, name, kind, payload, time.monotonic()
        )

    def post_all(self, peers: list[Peer], kind: str, payload: dict[str, Any]) -> None:
        for peer in peers:
            self.post(peer.name, kind, payload)

    def deliver(self, name: str, kind: str, payload: dict[str, Any], sent_at_s: float) -> None:
        """Hand a message to its recipient, unless that has ended or been cut off meanwhile."""
        entry = self.fleet.entries.get(name)
        if entry is None or not self.fleet.are_connected(self.own.name, name):
            return

        def handle() -> None:
            entry.mesh.aged_listeners[kind](self.own, payload, time.monotonic() - sent_at_s)

        entry.do(handle)


class ColdEntry:
    """One entry; it is frozen while ``awake`` is not set."""

    def __init__(self, fleet: "ColdFleet", name: str, zone: str, number: int) -> None:
        self.fleet = fleet
        self.name = name
        self.zone = zone
        self.awake = asyncio.Event()
        self.awake.set()
        self.frozen_at_s = float("-inf")
        self.backlog: list[Callable[[], None]] = []
        fleet.runs += 1
        own = Peer(name, "entry", zone, "r", f"10.0.0.{number}", 1, f"run-{fleet.runs}")
        self.mesh = SimulatedMesh(fleet, own)
        self.state = fleet_state_of(*fleet.records.values())
        self.selector = selector_of(self.state, zone)
        self.selector.cold.set_bounds(COLD_BOUNDS)
        self.names = EntryNames(self.mesh, self.selector.cold.rules)
        self.selector.cold.shares = self.names.shares
        self.admission = admission_of(self.state, self.selector)
        self.admission.entry_count = 15
        self.tasks: set[asyncio.Task[None]] = set()
        self.start_tasks()

    def start_tasks(self) -> None:
        """Start what runs all the time."""
        for work in (self.names.run(), self.admission.run(), self.prove()):
            self.begin(work)

    def begin(self, work: Any) -> None:
        """Start a task that ends with the process."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def prove(self) -> None:
        """Get freshness proofs, while the store can be reached."""
        while True:
            if self.name not in self.fleet.without_store:
                self.state.record_proof(boot_time_s())
            await asyncio.sleep(PROOF_INTERVAL_S)

    def do(self, action: Callable[[], None]) -> None:
        """Handle something that arrives, after the freeze if there is one."""
        if self.awake.is_set():
            action()
        else:
            self.backlog.append(action)

    def learn(self, records: list[Record]) -> None:
        """Read records of the store."""
        apply_records(self.state, *records)
        self.admission.dispatch_all()

    async def serve(self) -> None:
        """Admit a request and send it to an upstream; choose anew where it may not be sent."""
        await self.awake.wait()
        request: GatewayRequest | None = None
        while True:
            try:
                request = request or request_of(self.state, prompt_tokens=10)
                record = await self.admission.enter(request)
            except Refusal:
                self.fleet.refused_after_s.append(request.age_s() if request else 0.0)
                return
            await asyncio.sleep(self.fleet.connect_s())
            await self.awake.wait()
            upstream = self.fleet.upstreams[record.id]
            if not upstream.is_up:
                self.selector.record_unreachable(record)
            elif self.selector.cold.take(record):
                break
            else:
                self.fleet.recalled += 1
            self.admission.give_back(request, record)
        await self.run_at(upstream, record, request)

    async def run_at(self, upstream: ColdUpstream, record: Any, request: Any) -> None:
        """Let the upstream run the request; it may break the connection."""
        born, sent_at_s = upstream.born, time.monotonic()
        upstream.arrivals.append(Arrival(sent_at_s, self.name))
        await asyncio.sleep(RUN_S)
        await self.awake.wait()
        if upstream.is_up and upstream.born == born:
            self.selector.cold.record_answered(record, sent_at_s)
            self.selector.record_success(record)
            self.admission.record_prompt_read(request, record)
        else:
            self.selector.health.record_failure(record.run_key())
            self.selector.cold.record_failure(record)
        self.admission.leave(request, record)

    def stop(self) -> None:
        """End the process at once."""
        for task in list(self.tasks):
            task.cancel()


class ColdFleet:
    """Upstreams by turns in the zones, and entries; ``counts`` of them in each zone.

    The first entry of each zone is a seed.  ``sides`` holds the side of each entry of a cut.
    """

    def __init__(self, counts: tuple[int, ...] = (15, 15, 14), upstreams: int = 12) -> None:
        self.entries: dict[str, ColdEntry] = {}
        self.sides: dict[str, int] = defaultdict(int)
        self.without_store: set[str] = set()
        self.refused_after_s: list[float] = []
        self.recalled = 0
        self.runs = 0
        self.numbers: dict[str, int] = {}
        self.connect_s: Callable[[], float] = lambda: 0.001
        self.zones = ZONES[: len(counts)]
        self.seeds = tuple(Address(f"10.0.0.{number + 1}", 1) for number in range(len(counts)))
        service = engine_service_body(cold_s=COLD_S, cold_per_s=COLD_PER_S)
        self.revision = 1
        self.records = {"op/config": configuration_record(services=[service])}
        self.upstreams: dict[str, ColdUpstream] = {}
        for number in range(1, upstreams + 1):
            upstream = ColdUpstream(number, self.zones[(number - 1) % len(self.zones)])
            self.upstreams[upstream.id] = upstream
        names = [
            (f"front-{zone}-{number:02}", zone)
            for number in range(max(counts))
            for zone, count in zip(self.zones, counts, strict=True)
            if number < count
        ]
        for name, zone in names:
            self.start(name, zone)

    def start(self, name: str, zone: str) -> None:
        """Start an entry, which connects to those of its side."""
        number = self.numbers.setdefault(name, len(self.numbers) + 1)
        entry = self.entries[name] = ColdEntry(self, name, zone, number)
        self.connect(entry)

    def connect(self, entry: ColdEntry) -> None:
        """Connect an entry to the others that it can reach."""
        for other in list(self.entries.values()):
            if other is not entry and self.are_connected(entry.name, other.name):
                self.connect_pair(entry, other)

    def connect_pair(self, one: ColdEntry, two: ColdEntry) -> None:
        """Call the listeners of a new connection on both sides."""
        for entry, other in ((one, two), (two, one)):
            link = mock.Mock(peer=other.mesh.own)
            for listener in entry.mesh.on_peer_connected:
                entry.do(lambda listener=listener, link=link: listener(link))  # type: ignore[misc]

    def stop(self, name: str) -> str:
        """End an entry at once; return its zone."""
        entry = self.entries.pop(name)
        entry.stop()
        return entry.zone

    def restart(self, names: list[str]) -> None:
        """End entries and start them again at the same moment, without what they knew."""
        zones = {name: self.stop(name) for name in names}
        for name, zone in zones.items():
            self.start(name, zone)

    def in_zone(self, zone: str) -> list[str]:
        """Return the names of the entries of a zone, in order."""
        return sorted(name for name, entry in self.entries.items() if entry.zone == zone)

    def are_connected(self, one: str, two: str) -> bool:
        """Return whether messages pass between the two entries."""
        now_s = time.monotonic()
        for name in (one, two):
            entry = self.entries.get(name)
            if entry is None or now_s - entry.frozen_at_s > SILENCE_S and not entry.awake.is_set():
                return False
        return self.sides[one] == self.sides[two]

    def cut(self, names: list[str], side: int = 1) -> None:
        """Cut entries off from all that are not on the same side."""
        for name in names:
            self.sides[name] = side

    def heal(self) -> None:
        """End all cuts; the entries connect to each other again."""
        before, self.sides = self.sides, defaultdict(int)
        entries = list(self.entries.values())
        for number, one in enumerate(entries):
            for two in entries[:number]:
                if before[one.name] != before[two.name]:
                    self.connect_pair(one, two)

    async def freeze(self, name: str, seconds: float) -> None:
        """Freeze an entry for a while."""
        entry = self.entries[name]
        entry.awake.clear()
        entry.frozen_at_s = time.monotonic()
        kept = [task for task in entry.tasks if "serve" in str(task.get_coro())]
        for task in list(entry.tasks):
            if task not in kept:
                task.cancel()
        await asyncio.sleep(seconds)
        entry.awake.set()
        loop = asyncio.get_running_loop()
        loop.call_later(BACKLOG_S, self.read_backlog, entry)

    def read_backlog(self, entry: ColdEntry) -> None:
        """Let an entry that has woken up handle what has arrived, and go on."""
        entry.start_tasks()
        backlog, entry.backlog = entry.backlog, []
        for action in backlog:
            action()
        if time.monotonic() - entry.frozen_at_s > SILENCE_S:
            self.connect(entry)

    def publish(self, upstreams: list[ColdUpstream], **fields: Any) -> None:
        """Write the records of upstreams; entries read them within a moment."""
        records = []
        for upstream in upstreams:
            self.revision += 1
            fields |= {"zone": upstream.zone, "born": upstream.born, "slots": 12}
            self.records[upstream.id] = engine_record(upstream.number, self.revision, **fields)
            records.append(self.records[upstream.id])
        loop = asyncio.get_running_loop()
        for entry in self.entries.values():
            if entry.name not in self.without_store:
                delay_s = random.uniform(0.0, RECORD_S)
                loop.call_later(delay_s, entry.do, partial(entry.learn, records))

    def publish_warm(self) -> None:
        """Write the records of all upstreams, which have run for long."""
        self.publish(list(self.upstreams.values()), cold_left_ms=0)

    def begin_cold(self, upstreams: list[ColdUpstream], is_restart: bool = True) -> None:
        """Let upstreams become cold at once and state so, with or without a restart."""
        for upstream in upstreams:
            upstream.is_up = True
            upstream.born += is_restart
            upstream.become_cold()
        self.publish(upstreams, cold_left_ms=int(COLD_S * 1000))

    def send(self, per_entry: int) -> None:
        """Let each entry get so many requests at once."""
        for entry in list(self.entries.values()):
            for _ in range(per_entry):
                entry.begin(entry.serve())

    async def load(self, seconds: float, per_s: float) -> None:
        """Send requests at random times to entries at random."""
        until_s = time.monotonic() + seconds
        while time.monotonic() < until_s:
            await asyncio.sleep(random.expovariate(per_s))
            entry = random.choice(list(self.entries.values()))
            entry.begin(entry.serve())


def most_in_second(times_s: list[float]) -> int:
    """Return the largest number of the times, in order, that are within one second."""
    most = first = 0
    for last, at_s in enumerate(times_s):
        while at_s - times_s[first] >= 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most
