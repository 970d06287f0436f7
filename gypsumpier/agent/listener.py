"""Accepts connections from entries: one task for each, and state reports on each."""

import asyncio
import contextlib
from typing import Any, Final

from gypsumpier.agent.gate import Gate
from gypsumpier.agent.order import parse_order
from gypsumpier.clock import Clock
from gypsumpier.errors import GypsumpierError
from gypsumpier.log import decision
from gypsumpier.options import Options
from gypsumpier.spread.identity import Identity
from gypsumpier.spread.message import is_control
from gypsumpier.spread.spread import Spread
from gypsumpier.wire.connection import Connection
from gypsumpier.wire.frame import Frame
from gypsumpier.wire.pace import Pace
from gypsumpier.wire.stream import Stream

STATE_INTERVAL_S: Final = 0.25


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
        self.connections: set[Connection] = set()

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
                if is_control(frame.kind):
                    if session is not None:
                        session.take(frame)
                    continue
                await self.take(frame, connection)
        except GypsumpierError as error:
            decision("connection_lost", reason=error)
        finally:
            self.connections.discard(connection)
            for task in tasks:
                task.cancel()
            if self.spread is not None and session is not None:
                await self.spread.detach(session)

    async def take(self, frame: Frame, connection: Connection) -> None:
        """Handle one frame from an entry."""
        if frame.kind == "request":
            self.gate.submit(parse_order(frame, connection.buffered_s(frame)), connection)
        elif frame.kind == "cancel":
            await self.gate.cancel(frame.exchange)

    async def report(self, connection: Connection) -> None:
        """Send the upstream's state when it changes.

        A change of load alone waits for the entry's own interval: an entry with many links would
        otherwise get more reports than it may spend on control.
        """
        last: dict[str, Any] = {}
        reported_at_s = self.clock.monotonic()
        while not connection.closed:
            state = self.state()
            now_s = self.clock.monotonic()
            is_due = now_s - reported_at_s >= connection.peer_interval_s
            if is_urgent(last, state) or (is_due and state != last):
                last, reported_at_s = state, now_s
                with contextlib.suppress(GypsumpierError):
                    await connection.send("state", state)
            await self.clock.sleep(STATE_INTERVAL_S)

    def state(self) -> dict[str, Any]:
        """Return what entries need to know of the upstream."""
        return {
            "live": [list(live) for live in self.gate.upstream.live()],
            "leaving": self.gate.leaving,
            "healthy": self.healthy,
            "in_flight": len(self.gate.running),
        }


def is_urgent(last: dict[str, Any], state: dict[str, Any]) -> bool:
    """Tell whether more than the load has changed since the last report."""
    return any(last.get(name) != value for name, value in state.items() if name != "in_flight")
