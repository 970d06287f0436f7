"""The entry's application object: builds, starts and gracefully stops its components."""

from random import Random
from typing import Final

from tornado.netutil import bind_sockets
from tornado.web import Application

from gypsumpier.document.reader import DocumentReader
from gypsumpier.document.table import DocumentTable
from gypsumpier.entry.caller import (
    ChatHandler,
    OutcomeHandler,
    ServiceHandler,
    UnknownPathHandler,
)
from gypsumpier.entry.callerserver import CallerServer
from gypsumpier.entry.keys import EntryKeys
from gypsumpier.entry.links import Links
from gypsumpier.entry.relay import Relay
from gypsumpier.external.configuration_http import HttpConfiguration
from gypsumpier.external.membership_http import HttpMembership
from gypsumpier.fleet.clock import BootClock
from gypsumpier.log import decision
from gypsumpier.member.poller import MemberPoller
from gypsumpier.member.table import MemberTable
from gypsumpier.options import Options
from gypsumpier.spread.spread import Spread
from gypsumpier.spread.streams import SpreadStreams
from gypsumpier.stopschedule import LAST_ANSWERS_S, StopSchedule
from gypsumpier.wire.tcp import TcpDialer, TcpListener

DRAIN_POLL_S: Final = 0.05
LISTEN_AFTER_STOP_S: Final = 0.5
"""Seconds for which new connections are still accepted after a stop was requested."""
DRAIN_IDLE_S: Final = 0.25
"""Seconds without requests in flight after which draining ends."""


class EntryApplication:
    """One entry process."""

    def __init__(self, options: Options) -> None:
        self.options = options
        self.clock = BootClock()
        self.random = Random()
        self.documents = DocumentTable(self.clock)
        self.members = MemberTable(options, self.clock)
        self.spread = Spread(options, self.clock, self.random, self.documents, self.members)
        self.streams = SpreadStreams(
            options, self.clock, TcpDialer(), self.random, self.members, self.spread
        )
        self.listener = TcpListener(self.streams.accept)
        self.document_reader = DocumentReader(
            options,
            self.clock,
            HttpConfiguration(options.configuration_url),
            self.documents,
            self.spread,
        )
        self.member_poller = MemberPoller(
            options,
            self.clock,
            HttpMembership(options.membership_url),
            self.members,
            self.spread,
        )
        self.links = Links(
            options,
            self.clock,
            TcpDialer(),
            self.random,
            self.members,
            self.spread,
            self.documents,
        )
        self.keys = EntryKeys(
            options, self.clock, self.documents, self.members, self.links, self.random
        )
        self.relay = Relay(options, self.clock, self.links, self.keys, self.random)
        self.stop_schedule: StopSchedule | None = None
        self.server = CallerServer(self.routes(), max_buffer_size=2 * options.body_limit_bytes)

    @property
    def in_flight(self) -> int:
        """The number of active requests."""
        return len(self.server.active)

    def routes(self) -> Application:
        """Return the caller-facing HTTP application."""
        arguments = {"entry": self}
        return Application(
            [
                (r"/v1/chat/completions", ChatHandler, arguments),
                (r"/services/([^/]+)/(.*)", ServiceHandler, arguments),
                (r"/outcomes/([^/]+)", OutcomeHandler, arguments),
            ],
            default_handler_class=UnknownPathHandler,
            default_handler_args=arguments,
            log_function=lambda handler: None,
        )

    async def start(self) -> None:
        """Bind the ports and start every component."""
        stream_sockets = bind_sockets(self.options.port, self.options.host)
        self.options.port = stream_sockets[0].getsockname()[1]
        self.listener.add_sockets(stream_sockets)
        await self.spread.start()
        await self.streams.start()
        await self.member_poller.start()
        await self.document_reader.start()
        await self.links.start()
        sockets = bind_sockets(self.options.http_port, self.options.host)
        self.options.http_port = sockets[0].getsockname()[1]
        self.server.add_sockets(sockets)

    async def stop(self) -> None:
        """Stop accepting connections, let requests in flight finish, then close everything.

        Requests that still arrive on open connections are served if their time limit ends before
        the drain does, and refused otherwise.  What is left at the end of the drain gets an answer
        of the entry's own.  Each answer closes its connection.
        """
        listens_until_s = self.clock.monotonic() + LISTEN_AFTER_STOP_S
        closes_at_s = listens_until_s + self.options.drain_timeout_s
        schedule = StopSchedule(listens_until_s, closes_at_s - LAST_ANSWERS_S)
        self.stop_schedule = schedule
        self.server.begin_stop(schedule)
        decision("drain", in_flight=self.in_flight, reason="stop requested")
        await self.clock.sleep(LISTEN_AFTER_STOP_S)
        self.server.stop()
        idle_since_s = self.clock.monotonic()
        while (now_s := self.clock.monotonic()) < closes_at_s:
            if now_s >= schedule.answers_by_s:
                self.server.refuse_incomplete()
            # Nothing may be read between this check and the close.
            if not self.server.is_idle():
                idle_since_s = now_s
            elif now_s - idle_since_s >= DRAIN_IDLE_S:
                break
            await self.clock.sleep(DRAIN_POLL_S)
        if now_s >= schedule.answers_by_s:
            decision("drain_cut", in_flight=self.in_flight, reason="drain timeout")
        await self.server.close_all_connections()
        await self.keys.hand_over()
        await self.links.stop()
        await self.document_reader.stop()
        await self.member_poller.stop()
        self.listener.stop()
        await self.streams.stop()
        await self.spread.stop()

    def inspect(self) -> dict[str, object]:
        """Return the state of this process for the administration API."""
        return {
            "documents": list(self.documents.accepted.values()),
            "spread": self.spread.inspect(),
            "members": list(self.members.members.values()),
            "upstreams": [
                {
                    "name": link.member.name,
                    "connected": link.connection is not None,
                    "healthy": link.healthy,
                    "leaving": link.leaving,
                    "live": [live._asdict() for live in link.live],
                    "in_flight": len(link.attempts),
                }
                for link in self.links.links.values()
            ],
            "in_flight": self.in_flight,
            "requests": self.relay.inspect(),
            "stopping": self.stop_schedule is not None,
        }
