"""The entry's link to one agent: one task that dials, reads and dials again.

A link outlives its connections.  A connection that went silent is closed and the link dials anew;
what was in flight on it fails with its code, and the agent is judged by the new connection.
"""

import asyncio
import contextlib
import math
from collections.abc import Callable
from random import Random
from typing import Any, Final

from gypsumpier.clock import Clock
from gypsumpier.codes.request import UPSTREAM_UNREACHABLE
from gypsumpier.codes.wire import CONNECTION_CLOSED
from gypsumpier.entry.attempt import Attempt
from gypsumpier.errors import GypsumpierError
from gypsumpier.external.engine import LiveModel
from gypsumpier.external.membership import Member
from gypsumpier.log import decision
from gypsumpier.options import Options
from gypsumpier.spread.identity import Identity
from gypsumpier.spread.message import is_control
from gypsumpier.spread.session import Session
from gypsumpier.spread.spread import Spread
from gypsumpier.tasks import end_task
from gypsumpier.wire.connection import Connection
from gypsumpier.wire.frame import Frame
from gypsumpier.wire.pace import Pace
from gypsumpier.wire.payload import bad_frame_on_error
from gypsumpier.wire.stream import Dialer

REDIAL_MIN_S: Final = 0.1
REDIAL_MAX_S: Final = 2.0
RETRY_AFTER_S: Final = 1.0
REPORT_HALF_LIFE_S: Final = 1.0
KEY_KINDS: Final = frozenset({"records", "inherited", "entries_wanted"})


class Link:
    """State of one agent as this entry sees it."""

    def __init__(
        self,
        options: Options,
        clock: Clock,
        dialer: Dialer,
        random: Random,
        member: Member,
        spread: Spread | None = None,
        pace: Pace | None = None,
    ) -> None:
        self.options = options
        self.clock = clock
        self.dialer = dialer
        self.random = random
        self.member = member
        self.spread = spread
        self.pace = pace
        self.session: Session | None = None
        self.opened: Connection | None = None
        self.connection: Connection | None = None
        self.attempts: dict[str, Attempt] = {}
        self.live: list[LiveModel] = []
        self.leaving = member.leaving
        self.healthy = False
        self.reported_in_flight = 0
        self.reported_at_s = 0.0
        self.incarnation = ""
        self.started_at_s = 0.0
        self.welcomed: Callable[[Link], None] = ignore
        self.own_at_report = 0
        self.suspected: Callable[[list[list[str]]], None] = ignore
        self.told: Callable[[Link, Frame], None] = ignore
        self.stopping = False
        self.closing = False
        self.answering: asyncio.Task[None] | None = None
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the task of the link."""
        self.task = asyncio.create_task(self.run())

    async def stop(self) -> None:
        """Close the connection and end the task.

        The end of a session may take a cancellation for its own, so the task looks at ``stopping``.
        """
        self.stopping = True
        await end_task(self.task)

    async def run(self) -> None:
        """Keep one connection open, with full jitter between dials."""
        wait_s = REDIAL_MIN_S
        while not self.stopping:
            try:
                await self.serve_one_connection()
                wait_s = REDIAL_MIN_S
            except GypsumpierError as error:
                decision("link_lost", upstream=self.member.name, reason=error)
            await self.clock.sleep(self.random.uniform(0, wait_s))
            wait_s = min(REDIAL_MAX_S, 2 * wait_s)

    async def serve_one_connection(self) -> None:
        """Dial and read frames until the connection closes."""
        member = self.member
        stream = await self.dialer.dial(member.host, member.port, self.options.dial_timeout_s)
        connection = Connection(
            stream, self.clock, self.options.heartbeat_s, self.options.silence_s, self.pace
        )
        keep_alive = asyncio.create_task(connection.keep_alive())
        try:
            await connection.send("hello", self.hello())
            self.opened = connection
            if self.spread is not None:
                self.session = self.spread.attach(connection, Identity(member.name, member.role))
            async for frame in connection.frames():
                with bad_frame_on_error(frame):
                    self.take(frame)
        finally:
            keep_alive.cancel()
            connection.close()
            self.lose(connection)
            await self.end_session()

    async def end_session(self) -> None:
        """End the exchange of control state on the closed connection."""
        session, self.session = self.session, None
        if self.spread is not None and session is not None:
            await self.spread.detach(session)

    def hello(self) -> dict[str, Any]:
        """Return what the entry says of itself first."""
        return {"name": self.options.name, "incarnation": self.options.incarnation}

    def take(self, frame: Frame) -> None:
        """Handle one frame from the agent."""
        if is_control(frame.kind):
            if self.session is not None:
                self.session.handle(frame)
            return
        if frame.kind == "closing":
            self.take_closing()
            return
        if frame.kind == "welcome":
            self.take_welcome(frame.payload)
            return
        if frame.kind == "state":
            self.take_state(frame.payload)
            return
        if frame.kind in KEY_KINDS:
            self.told(self, frame)
            return
        attempt = self.attempts.get(frame.exchange)
        if attempt is not None:
            attempt.deliver(frame)

    def take_closing(self) -> None:
        """Send no more requests on this connection, and say so after what was sent."""
        self.closing = True
        self.answering = asyncio.create_task(self.say_closed())

    async def say_closed(self) -> None:
        """Answer that nothing more follows."""
        with contextlib.suppress(GypsumpierError):
            await self.tell("closed", {})

    def take_welcome(self, payload: dict[str, Any]) -> None:
        """Keep which process answers on this connection; requests may be sent from now on."""
        self.incarnation = payload["incarnation"]
        self.started_at_s = self.clock.monotonic() - payload["uptime_s"]
        self.connection = self.opened
        self.closing = False
        self.welcomed(self)

    def take_state(self, payload: dict[str, Any]) -> None:
        """Keep what the agent reports of its upstream."""
        self.live = [LiveModel(*fields) for fields in payload["live"]]
        self.leaving = payload["leaving"]
        self.healthy = payload["healthy"]
        self.reported_in_flight = payload["in_flight"]
        self.reported_at_s = self.clock.monotonic()
        self.own_at_report = len(self.attempts)
        self.suspected(payload["suspects"])

    def lose(self, connection: Connection) -> None:
        """Let the attempts in flight on a closed connection know."""
        self.opened = None
        self.connection = None
        self.healthy = False
        for attempt in self.attempts.values():
            attempt.lose(connection.close_reason)

    def is_usable(self) -> bool:
        """Tell whether new work may be sent."""
        return self.connection is not None and self.healthy and not (self.leaving or self.closing)

    def load(self) -> float:
        """Return the requests in flight: the entry's own, and others' by an ageing report."""
        others = max(0, self.reported_in_flight - self.own_at_report)
        age_s = self.clock.monotonic() - self.reported_at_s
        return len(self.attempts) + others * math.exp2(-age_s / REPORT_HALF_LIFE_S)

    def serves(self, model: str, version: str) -> bool:
        """Tell whether the engine reports exactly that version live."""
        return any(live.model == model and live.version == version for live in self.live)

    async def send(self, attempt: Attempt, payload: dict[str, Any]) -> None:
        """Send the request of an attempt; raise GypsumpierError where it certainly was not sent."""
        connection = self.connection
        if connection is None or connection.closed or self.closing:
            raise GypsumpierError(UPSTREAM_UNREACHABLE, self.member.name, RETRY_AFTER_S)
        self.attempts[attempt.exchange] = attempt
        attempt.incarnation = self.incarnation
        attempt.wait_on(connection)
        with contextlib.suppress(GypsumpierError):
            # A write that fails may have sent the frame; the reader notices the lost connection.
            await connection.send("request", payload, attempt.exchange)

    async def resume(self, attempt: Attempt, age_s: float) -> None:
        """Ask after an attempt whose connection was lost."""
        attempt.wait_on(self.connection)
        payload = {"next_sequence": attempt.expected_sequence, "age_s": age_s}
        await self.tell("resume", payload, attempt.exchange)

    async def tell(self, kind: str, payload: dict[str, Any], exchange: str = "") -> None:
        """Send a frame that runs nothing."""
        if self.connection is None:
            raise GypsumpierError(CONNECTION_CLOSED, f"no connection to {self.member.name}")
        await self.connection.send(kind, payload, exchange)

    async def cancel(self, attempt: Attempt) -> None:
        """Tell the agent that nobody waits for the attempt any more."""
        if self.connection is not None:
            with contextlib.suppress(GypsumpierError):
                await self.connection.send("cancel", {}, attempt.exchange)

    def forget(self, attempt: Attempt) -> None:
        """Drop an ended attempt; late frames of it are dropped from now on."""
        self.attempts.pop(attempt.exchange, None)
        attempt.wait_on(None)


def ignore(*told: object) -> None:
    """Do nothing about what a link tells."""
