"""Accepts connections from entries, handles their frames and reports the upstream's state."""

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
KEY_REPLICAS: Final = 3
ANSWER_REPLICAS: Final = 2


class Listener:
    """The agent's side of its links to entries.

    ``vouched`` are lost entries whose keys this home knows completely and has handed over.
    ``awaiting_closed`` are the connections whose entry has not yet confirmed the closing.
    """

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
        gate.home.send_entries_request = self.request_entries
        self.started_at_s = clock.monotonic()
        self.connections: set[Connection] = set()
        self.entries: dict[Connection, EntryId] = {}
        self.vouched: set[EntryId] = set()
        self.awaiting_closed: set[Connection] = set()

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
                        await self.handle_frame(frame, connection)
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

    async def handle_frame(self, frame: Frame, connection: Connection) -> None:
        """Handle one frame from an entry."""
        if frame.kind == "hello":
            payload = frame.payload
            self.entries[connection] = EntryId(payload["name"], payload["incarnation"])
        elif frame.kind == "request":
            await self.handle_request(frame, connection)
        elif frame.kind == "resume":
            await self.handle_resume(frame, connection)
        elif frame.kind == "cancel":
            await self.gate.cancel(frame.exchange)
        elif frame.kind == "outcome":
            payload = frame.payload
            parts = self.gate.outcome(payload["workspace"], payload["key"])
            await send_parts(connection, frame.exchange, parts, 0)
        elif frame.kind == "keys":
            self.handle_keys(frame.payload)
        elif frame.kind == "entries":
            self.handle_entries(frame.payload, connection.buffered_s(frame))
        elif frame.kind == "closed":
            self.awaiting_closed.discard(connection)
        elif frame.kind == "farewell":
            await self.forward_keys(frame, connection)

    async def handle_request(self, frame: Frame, connection: Connection) -> None:
        """Submit a request; refuse a keyed request from an entry that was vouched for.

        The records handed over for such an entry count as complete, so it may send no more keys.
        """
        order = parse_order(frame, connection.buffered_s(frame))
        if order.has_home() and self.entries.get(connection) in self.vouched:
            error = GypsumpierError(
                HOME_UNREACHABLE, "the entry was recorded as lost, so its keys are refused"
            )
            await send_parts(connection, frame.exchange, [error_part(error, False)], 0)
            return
        self.gate.submit(order, connection)

    async def handle_resume(self, frame: Frame, connection: Connection) -> None:
        """Continue the delivery of an attempt whose connection was lost."""
        sequence = frame.payload["next_sequence"]
        age_s = frame.payload["age_s"] + connection.buffered_s(frame)
        error = self.gate.resume(frame.exchange, sequence, age_s, connection)
        if error is not None:
            part = error_part(error, error.code.outcome is Outcome.NOT_RUN)
            await send_parts(connection, frame.exchange, [part], sequence)

    def handle_keys(self, payload: dict[str, Any]) -> None:
        """Merge the keys that an entry has sent; a complete report counts for the recovery."""
        home = self.gate.home
        now_s = self.clock.monotonic()
        for key in unpack_keys(payload["keys"]):
            changed_at_s = now_s - key.age_s
            record = KeyRecord(key.fingerprint, key.state, changed_at_s, key.answer)
            home.ledger.merge(key.key_id, record)
        if payload["complete"]:
            entry = EntryId(payload["name"], payload["incarnation"])
            for reporter in [entry, *(EntryId(*fields) for fields in payload["inherited"])]:
                home.recovery.record_report(reporter, payload["revision"])

    def handle_entries(self, payload: dict[str, Any], buffered_s: float) -> None:
        """Record which entries an entry sees on the member list, and which it saw disappear.

        The list is as old as the ``buffered_s`` seconds that it spent in buffers.
        """
        recovery = self.gate.home.recovery
        now_s = self.clock.monotonic()
        for name, incarnation, age_s in payload["lost"]:
            recovery.record_loss(EntryId(name, incarnation), now_s - age_s)
        reporter = EntryId(payload["name"], payload["incarnation"])
        listed = frozenset(EntryId(*fields) for fields in payload["listed"])
        recovery.record_member_list(reporter, listed, now_s - buffered_s)
        lost = [EntryId(name, incarnation) for name, incarnation, _ in payload["lost"]]
        self.vouch(lost)

    def vouch(self, lost: list[EntryId]) -> None:
        """Hand the records over to the entries, once for each lost entry to vouch for."""
        new = [entry for entry in self.vouchable() if entry in lost and entry not in self.vouched]
        if new:
            self.vouched.update(new)
            connections = list(self.connections)
            self.spawn(hand_over(self.gate.home.own_keys(), connections, [], new))

    def vouchable(self) -> list[EntryId]:
        """Return the entries that have reported for the homes in force and are disconnected."""
        recovery = self.gate.home.recovery
        connected = set(self.entries.values())
        return [
            entry
            for entry in recovery.reports
            if recovery.has_reported(entry) and entry not in connected
        ]

    async def hand_over(self) -> None:
        """Hand the records over to the entries before this agent stops."""
        connections = list(self.connections)
        answer_replicas = self.random.sample(connections, min(ANSWER_REPLICAS, len(connections)))
        keys = self.gate.home.own_keys()
        await hand_over(keys, connections, answer_replicas, self.vouchable())

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a background task."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def request_entries(self) -> None:
        """Ask every connected entry which entries it sees on the member list."""
        for connection in self.connections:
            self.spawn(send_entries_request(connection))

    async def forward_keys(self, frame: Frame, sender: Connection) -> None:
        """Forward the keys of a stopping entry to up to ``KEY_REPLICAS`` other entries."""
        others = [connection for connection in self.connections if connection is not sender]
        for connection in self.random.sample(others, min(KEY_REPLICAS, len(others))):
            with contextlib.suppress(GypsumpierError):
                await connection.send("inherited", frame.payload)

    async def report(self, connection: Connection) -> None:
        """Identify this process, then send the upstream's state whenever it changes.

        A change of load alone waits for the interval that the entry has set: an entry with many
        links would otherwise get more reports than its budget for control traffic allows.
        """
        last: dict[str, Any] = {}
        reported_at_s = self.clock.monotonic()
        with contextlib.suppress(GypsumpierError):
            await connection.send("welcome", self.welcome())
            while not connection.closed:
                self.gate.home.request_entries_early()
                state = self.state()
                now_s = self.clock.monotonic()
                is_due = now_s - reported_at_s >= connection.peer_interval_s
                if is_urgent(last, state) or (is_due and state != last):
                    last, reported_at_s = state, now_s
                    await connection.send("state", state)
                await self.clock.sleep(STATE_INTERVAL_S)

    def welcome(self) -> dict[str, Any]:
        """Return the incarnation of this process, its uptime in seconds and what it understands."""
        return {
            "incarnation": self.options.incarnation,
            "uptime_s": self.clock.monotonic() - self.started_at_s,
            "takes_parts": True,
        }

    def state(self) -> dict[str, Any]:
        """Return the upstream's state as reported to entries."""
        return {
            "live": [list(live) for live in self.gate.upstream.live()],
            "leaving": self.gate.leaving,
            "healthy": self.healthy,
            "in_flight": len(self.gate.running),
            "suspects": self.gate.crashes.recent(self.clock.monotonic()),
        }


async def send_entries_request(connection: Connection) -> None:
    """Ask one entry which entries it sees on the member list."""
    with contextlib.suppress(GypsumpierError):
        await connection.send("entries_wanted", {})


async def send_parts(
    connection: Connection, exchange: str, parts: list[Part], sequence: int
) -> None:
    """Send parts that belong to no running attempt, with sequence numbers from ``sequence``."""
    for offset, part in enumerate(parts):
        await connection.send(part.kind, part.payload, exchange, sequence + offset)


def is_urgent(last: dict[str, Any], state: dict[str, Any]) -> bool:
    """Return whether anything but the load has changed since the last report."""
    return any(last.get(name) != value for name, value in state.items() if name != "in_flight")
