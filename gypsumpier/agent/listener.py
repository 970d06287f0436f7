"""Accepts connections from entries: one task for each, and state reports on each."""

import asyncio
import contextlib
from collections.abc import Coroutine
from random import Random
from typing import Any, Final

from gypsumpier.agent.gate import Gate, error_part
from gypsumpier.agent.handover import hand_over
from gypsumpier.agent.order import parse_order
from gypsumpier.agent.upstream import Part
from gypsumpier.clock import Clock
from gypsumpier.codes.request import HOME_UNREACHABLE
from gypsumpier.codes.result import Outcome
from gypsumpier.errors import GypsumpierError
from gypsumpier.idempotency.record import KeyRecord
from gypsumpier.idempotency.recovery import EntryId
from gypsumpier.idempotency.reported import unpack_keys
from gypsumpier.log import decision
from gypsumpier.options import Options
from gypsumpier.spread.identity import Identity
from gypsumpier.spread.message import is_control
from gypsumpier.spread.spread import Spread
from gypsumpier.wire.connection import Connection
from gypsumpier.wire.frame import Frame
from gypsumpier.wire.pace import Pace
from gypsumpier.wire.payload import bad_frame_on_error
from gypsumpier.wire.stream import Stream

STATE_INTERVAL_S: Final = 0.25
INHERITORS: Final = 3
ANSWER_HOLDERS: Final = 2


class Listener:
    """The agent's side of the links."""

    def __init__(
        self, options: Options, clock: Clock, gate: Gate, spread: Spread | None = None
    ) -> None:
        self.options = options
        self.clock = clock
        self.gate = gate
        self.spread = spread
        self.pace = Pace(options)
        self.healthy = False
        self.random = Random()
        self.tasks: set[asyncio.Task[None]] = set()
        gate.home.ask = self.ask_entries
        self.started_at_s = clock.monotonic()
        self.connections: set[Connection] = set()
        self.entries: dict[Connection, EntryId] = {}
        self.vouched: set[EntryId] = set()
        self.unclosed: set[Connection] = set()

    async def serve(self, stream: Stream) -> None:
        """Serve one connection until it closes."""
        connection = Connection(
            stream, self.clock, self.options.heartbeat_s, self.options.silence_s, self.pace
        )
        self.connections.add(connection)
        session = None
        if self.spread is not None:
            session = self.spread.attach(connection, Identity("", "entry"))
        tasks = [
            asyncio.create_task(connection.keep_alive()),
            asyncio.create_task(self.report(connection)),
        ]
        try:
            async for frame in connection.frames():
                with bad_frame_on_error(frame):
                    if not is_control(frame.kind):
                        await self.take(frame, connection)
                    elif session is not None:
                        session.handle(frame)
        except GypsumpierError as error:
            decision("connection_lost", reason=error)
        finally:
            self.connections.discard(connection)
            self.entries.pop(connection, None)
            connection.close()
            for task in tasks:
                task.cancel()
            if self.spread is not None and session is not None:
                await self.spread.detach(session)

    async def take(self, frame: Frame, connection: Connection) -> None:
        """Handle one frame from an entry."""
        if frame.kind == "hello":
            payload = frame.payload
            self.entries[connection] = EntryId(payload["name"], payload["incarnation"])
        elif frame.kind == "request":
            await self.take_request(frame, connection)
        elif frame.kind == "resume":
            await self.take_resume(frame, connection)
        elif frame.kind == "cancel":
            await self.gate.cancel(frame.exchange)
        elif frame.kind == "outcome":
            payload = frame.payload
            parts = self.gate.outcome(payload["workspace"], payload["key"])
            await send_parts(connection, frame.exchange, parts, 0)
        elif frame.kind == "keys":
            self.take_keys(frame.payload)
        elif frame.kind == "entries":
            self.take_entries(frame.payload)
        elif frame.kind == "closed":
            self.unclosed.discard(connection)
        elif frame.kind == "farewell":
            await self.pass_on(frame, connection)

    async def take_request(self, frame: Frame, connection: Connection) -> None:
        """Submit a request; an entry that was vouched for may send no keys any more."""
        order = parse_order(frame, connection.buffered_s(frame))
        if order.has_home() and self.entries.get(connection) in self.vouched:
            error = GypsumpierError(HOME_UNREACHABLE, "the entry was taken for lost")
            await send_parts(connection, frame.exchange, [error_part(error, False)], 0)
            return
        self.gate.submit(order, connection)

    async def take_resume(self, frame: Frame, connection: Connection) -> None:
        """Go on with an attempt whose connection was lost."""
        sequence = frame.payload["next_sequence"]
        age_s = frame.payload["age_s"] + connection.buffered_s(frame)
        error = self.gate.resume(frame.exchange, sequence, age_s, connection)
        if error is not None:
            part = error_part(error, error.code.outcome is Outcome.NOT_RUN)
            await send_parts(connection, frame.exchange, [part], sequence)

    def take_keys(self, payload: dict[str, Any]) -> None:
        """Learn the keys that an entry has sent."""
        home = self.gate.home
        now_s = self.clock.monotonic()
        for key in unpack_keys(payload["keys"]):
            changed_at_s = now_s - key.age_s
            record = KeyRecord(key.fingerprint, key.state, changed_at_s, key.answer)
            home.ledger.learn(key.key_id, record)
        if payload["complete"]:
            entry = EntryId(payload["name"], payload["incarnation"])
            for reporter in [entry, *(EntryId(*fields) for fields in payload["inherited"])]:
                home.succession.note_report(reporter, payload["revision"])

    def take_entries(self, payload: dict[str, Any]) -> None:
        """Learn which entries an entry finds listed, and which it saw disappear."""
        succession = self.gate.home.succession
        now_s = self.clock.monotonic()
        for name, incarnation, age_s in payload["lost"]:
            succession.note_lost(EntryId(name, incarnation), now_s - age_s)
        reporter = EntryId(payload["name"], payload["incarnation"])
        listed = frozenset(EntryId(*fields) for fields in payload["listed"])
        succession.note_list(reporter, listed, now_s)
        lost = [EntryId(name, incarnation) for name, incarnation, _ in payload["lost"]]
        self.vouch(lost)

    def vouch(self, lost: list[EntryId]) -> None:
        """Pass the records on, once for each lost entry whose keys this home knows."""
        new = [entry for entry in self.vouchable() if entry in lost and entry not in self.vouched]
        if new:
            self.vouched.update(new)
            connections = list(self.connections)
            self.spawn(hand_over(self.gate.home.own_keys(), connections, [], new))

    def vouchable(self) -> list[EntryId]:
        """Return the entries that have reported and from which nothing more will come."""
        succession = self.gate.home.succession
        connected = set(self.entries.values())
        return [
            entry
            for entry in succession.reports
            if succession.has_reported(entry) and entry not in connected
        ]

    async def hand_over(self) -> None:
        """Leave the records to the entries before this agent stops."""
        connections = list(self.connections)
        holders = self.random.sample(connections, min(ANSWER_HOLDERS, len(connections)))
        keys = self.gate.home.own_keys()
        await hand_over(keys, connections, holders, self.vouchable())

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine beside the caller."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def ask_entries(self) -> None:
        """Ask every connected entry for the entries it finds listed."""
        for connection in self.connections:
            self.spawn(ask(connection))

    async def pass_on(self, frame: Frame, sender: Connection) -> None:
        """Pass the keys of a stopping entry on to a few others."""
        others = [connection for connection in self.connections if connection is not sender]
        for connection in self.random.sample(others, min(INHERITORS, len(others))):
            with contextlib.suppress(GypsumpierError):
                await connection.send("inherited", frame.payload)

    async def report(self, connection: Connection) -> None:
        """Introduce this process, then send the upstream's state when it changes.

        A change of load alone waits for the entry's own interval: an entry with many links would
        otherwise get more reports than it may spend on control.
        """
        last: dict[str, Any] = {}
        reported_at_s = self.clock.monotonic()
        with contextlib.suppress(GypsumpierError):
            await connection.send("welcome", self.welcome())
            while not connection.closed:
                self.gate.home.prepare()
                state = self.state()
                now_s = self.clock.monotonic()
                is_due = now_s - reported_at_s >= connection.peer_interval_s
                if is_urgent(last, state) or (is_due and state != last):
                    last, reported_at_s = state, now_s
                    await connection.send("state", state)
                await self.clock.sleep(STATE_INTERVAL_S)

    def welcome(self) -> dict[str, Any]:
        """Return which process this is, and for how long it has run."""
        return {
            "incarnation": self.options.incarnation,
            "uptime_s": self.clock.monotonic() - self.started_at_s,
        }

    def state(self) -> dict[str, Any]:
        """Return what entries need to know of the upstream."""
        return {
            "live": [list(live) for live in self.gate.upstream.live()],
            "leaving": self.gate.leaving,
            "healthy": self.healthy,
            "in_flight": len(self.gate.running),
            "suspects": self.gate.crashes.recent(self.clock.monotonic()),
        }


async def ask(connection: Connection) -> None:
    """Ask one entry for the entries it finds listed."""
    with contextlib.suppress(GypsumpierError):
        await connection.send("entries_wanted", {})


async def send_parts(
    connection: Connection, exchange: str, parts: list[Part], sequence: int
) -> None:
    """Send parts that belong to no running attempt."""
    for offset, part in enumerate(parts):
        await connection.send(part.kind, part.payload, exchange, sequence + offset)


def is_urgent(last: dict[str, Any], state: dict[str, Any]) -> bool:
    """Tell whether more than the load has changed since the last report."""
    return any(last.get(name) != value for name, value in state.items() if name != "in_flight")
