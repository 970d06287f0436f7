"""The entry's link to one agent: one task that connects, reads and reconnects.

A link outlives its connections.  A silent connection is closed and the link reconnects.  The
attempts in flight on it get an error with the code of the loss, and the agent's health is read
from the new connection.
"""

import asyncio
import contextlib
import math
from collections.abc import Callable
from random import Random
from typing import Any, Final

from gypsumpier.clock import Clock
from gypsumpier.codes.request import NO_LIVE_UPSTREAM, UPSTREAM_UNREACHABLE
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
    """One agent, as this entry sees it.

    ``open_connection`` is the open connection, and ``connection`` is the same one once the agent
    has identified itself.  Until ``refuses_until_s`` the agent refuses requests, as its upstream
    takes no more; ``refusal`` says why.  ``started_at_s`` is when the agent's process started, or
    earlier by at most the time from the dial at ``dialled_at_s`` to the sending of its welcome.
    ``on_welcome`` is called when the agent has identified itself, ``on_suspects`` with the requests
    that it reports after a crash, ``on_key_frame`` with each frame of KEY_KINDS.
    """

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
        self.open_connection: Connection | None = None
        self.connection: Connection | None = None
        self.attempts: dict[str, Attempt] = {}
        self.live: list[LiveModel] = []
        self.leaving = member.leaving
        self.healthy = False
        self.reported_in_flight = 0
        self.reported_at_s = 0.0
        self.incarnation = ""
        self.dialled_at_s = 0.0
        self.started_at_s = 0.0
        self.refusal = GypsumpierError(NO_LIVE_UPSTREAM, member.name)
        self.refuses_until_s = 0.0
        self.takes_parts = False
        self.on_welcome: Callable[[Link], None] = ignore
        self.own_in_flight_at_report = 0
        self.on_suspects: Callable[[list[list[str]]], None] = ignore
        self.on_key_frame: Callable[[Link, Frame], None] = ignore
        self.stopping = False
        self.closing = False
        self.closed_reply: asyncio.Task[None] | None = None
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the task of the link."""
        self.task = asyncio.create_task(self.run())

    async def stop(self) -> None:
        """Close the connection and end the task.

        The end of a session may swallow the cancellation, so the task also checks ``stopping``.
        """
        self.stopping = True
        await end_task(self.task)

    async def run(self) -> None:
        """Keep one connection open; reconnect with exponential backoff and full jitter."""
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
        """Connect, and handle frames until the connection closes."""
        member = self.member
        self.dialled_at_s = self.clock.monotonic()
        stream = await self.dialer.dial(member.host, member.port, self.options.dial_timeout_s)
        connection = Connection(
            stream, self.clock, self.options.heartbeat_s, self.options.silence_s, self.pace
        )
        keep_alive = asyncio.create_task(connection.keep_alive())
        try:
            await connection.send("hello", self.hello())
            self.open_connection = connection
            if self.spread is not None:
                self.session = self.spread.attach(connection, Identity(member.name, member.role))
            async for frame in connection.frames():
                with bad_frame_on_error(frame):
                    self.handle_frame(frame)
        finally:
            keep_alive.cancel()
            connection.close()
            self.handle_connection_loss(connection)
            await self.end_session()

    async def end_session(self) -> None:
        """End the control session of the closed connection."""
        session, self.session = self.session, None
        if self.spread is not None and session is not None:
            await self.spread.detach(session)

    def hello(self) -> dict[str, Any]:
        """Return the payload of the first frame, which identifies this entry."""
        return {"name": self.options.name, "incarnation": self.options.incarnation}

    def handle_frame(self, frame: Frame) -> None:
        """Handle one frame from the agent."""
        if is_control(frame.kind):
            if self.session is not None:
                self.session.handle(frame)
            return
        if frame.kind == "closing":
            self.handle_closing()
            return
        if frame.kind == "welcome":
            self.handle_welcome(frame.payload)
            return
        if frame.kind == "state":
            self.handle_state(frame.payload)
            return
        if frame.kind in KEY_KINDS:
            self.on_key_frame(self, frame)
            return
        attempt = self.attempts.get(frame.exchange)
        if attempt is not None:
            attempt.deliver(frame)

    def handle_closing(self) -> None:
        """Send no more requests on this connection, and confirm this after those already sent."""
        self.closing = True
        self.closed_reply = asyncio.create_task(self.send_closed())

    async def send_closed(self) -> None:
        """Send the confirmation that no more requests follow."""
        with contextlib.suppress(GypsumpierError):
            await self.send_frame("closed", {})

    def handle_welcome(self, payload: dict[str, Any]) -> None:
        """Record which process answers on this connection; requests may be sent from now on.

        Its uptime counts from the dial: a welcome that is late must not make it seem younger than
        the process that has replaced it.
        """
        self.incarnation = payload["incarnation"]
        self.started_at_s = self.dialled_at_s - payload["uptime_s"]
        # An agent of an earlier build refuses requests with a field that it doesn't know.
        self.takes_parts = payload.get("takes_parts") is True
        self.connection = self.open_connection
        self.closing = False
        self.on_welcome(self)

    def handle_state(self, payload: dict[str, Any]) -> None:
        """Record what the agent reports about its upstream."""
        self.live = [LiveModel(*fields) for fields in payload["live"]]
        self.leaving = payload["leaving"]
        self.healthy = payload["healthy"]
        self.reported_in_flight = payload["in_flight"]
        self.reported_at_s = self.clock.monotonic()
        self.own_in_flight_at_report = len(self.attempts)
        self.on_suspects(payload["suspects"])

    def handle_connection_loss(self, connection: Connection) -> None:
        """Mark the agent as disconnected and report the loss to the attempts in flight."""
        self.open_connection = None
        self.connection = None
        self.healthy = False
        for attempt in self.attempts.values():
            attempt.report_connection_loss(connection.close_reason)

    def is_usable(self) -> bool:
        """Return whether new requests may be sent."""
        return self.connection is not None and self.healthy and not (self.leaving or self.closing)

    def load(self) -> float:
        """Return the estimated number of requests in flight at the agent.

        This entry's own requests count in full.  Those of other entries come from the agent's last
        report and decay exponentially with its age.
        """
        others = max(0, self.reported_in_flight - self.own_in_flight_at_report)
        age_s = self.clock.monotonic() - self.reported_at_s
        return len(self.attempts) + others * math.exp2(-age_s / REPORT_HALF_LIFE_S)

    def serves(self, model: str, version: str) -> bool:
        """Return whether the engine reports exactly that version as live."""
        return any(live.model == model and live.version == version for live in self.live)

    async def send(self, attempt: Attempt, payload: dict[str, Any]) -> None:
        """Send the request of an attempt; raise GypsumpierError if it was certainly not sent."""
        connection = self.connection
        if connection is None or connection.closed or self.closing:
            raise GypsumpierError(UPSTREAM_UNREACHABLE, self.member.name, RETRY_AFTER_S)
        self.attempts[attempt.exchange] = attempt
        attempt.incarnation = self.incarnation
        attempt.set_connection(connection)
        with contextlib.suppress(GypsumpierError):
            # A failed write may still have sent the frame; the reader detects the lost connection.
            await connection.send("request", payload, attempt.exchange)

    async def resume(self, attempt: Attempt, age_s: float) -> None:
        """Ask for the rest of an attempt whose connection was lost.

        ``age_s`` is the time since the request was sent.
        """
        attempt.set_connection(self.connection)
        payload = {"next_sequence": attempt.expected_sequence, "age_s": age_s}
        await self.send_frame("resume", payload, attempt.exchange)

    async def send_frame(self, kind: str, payload: dict[str, Any], exchange: str = "") -> None:
        """Send a frame that starts no request; raise CONNECTION_CLOSED without a connection."""
        if self.connection is None:
            raise GypsumpierError(CONNECTION_CLOSED, f"no connection to {self.member.name}")
        await self.connection.send(kind, payload, exchange)

    async def cancel(self, attempt: Attempt) -> None:
        """Notify the agent that the answer of the attempt is no longer needed."""
        if self.connection is not None:
            with contextlib.suppress(GypsumpierError):
                await self.connection.send("cancel", {}, attempt.exchange)

    def discard(self, attempt: Attempt) -> None:
        """Remove an ended attempt; its late frames are dropped from now on."""
        self.attempts.pop(attempt.exchange, None)
        attempt.set_connection(None)


def ignore(*arguments: object) -> None:
    """Ignore the event: the default callback of a link."""
