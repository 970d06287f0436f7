"""The agent's application: builds its components, starts them in order, stops them gracefully."""

import asyncio
from random import Random
from typing import Final

from tornado.netutil import bind_sockets

from gypsumpier.agent.closing import drain_connections
from gypsumpier.agent.gate import Gate
from gypsumpier.agent.home import Home
from gypsumpier.agent.listener import Listener
from gypsumpier.agent.monitor import Monitor
from gypsumpier.agent.statedupstream import OwnUpstream, StatedUpstream
from gypsumpier.agent.upstream import EngineUpstream, ServiceUpstream, Upstream
from gypsumpier.document.reader import DocumentReader
from gypsumpier.document.table import DocumentTable
from gypsumpier.external.configuration_http import HttpConfiguration
from gypsumpier.external.engine_http import HttpEngine
from gypsumpier.external.membership_http import HttpMembership
from gypsumpier.external.service_http import HttpService
from gypsumpier.external.store_http import HttpStore
from gypsumpier.fleet.clock import BootClock
from gypsumpier.log import decision
from gypsumpier.member.poller import MemberPoller
from gypsumpier.member.table import MemberTable
from gypsumpier.options import Options
from gypsumpier.spread.spread import Spread
from gypsumpier.weight.rollout import Rollout
from gypsumpier.wire.tcp import TcpDialer, TcpListener

LEAVE_PROPAGATION_S: Final = 0.5


class AgentApplication:
    """One agent process.  An agent beside a plain service has no rollout."""

    def __init__(self, options: Options) -> None:
        self.options = options
        self.clock = BootClock()
        self.random = Random()
        self.documents = DocumentTable(self.clock)
        self.members = MemberTable(options, self.clock)
        self.spread = Spread(options, self.clock, self.random, self.documents, self.members)
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
        self.upstream = self.build_upstream()
        self.home = Home(options, self.clock, self.documents, self.upstream)
        self.gate = Gate(options, self.clock, self.upstream, self.home)
        self.listener = Listener(options, self.clock, self.gate, self.spread)
        self.monitor = Monitor(options, self.clock, self.upstream, self.listener)
        self.rollout = self.build_rollout()
        self.server = TcpListener(self.listener.serve)
        self.bulk_server = TcpListener(self.rollout.serve) if self.rollout is not None else None
        self.stopping = False
        self.is_listed_leaving = False
        self.members.subscribe(self.check_leaving)

    def build_upstream(self) -> StatedUpstream:
        """Return the upstream of the kind that the settings name."""
        own = OwnUpstream(self.options.name, self.options.service)
        client: HttpService | HttpEngine
        upstream: Upstream
        if self.options.upstream_kind == "plain":
            client = HttpService(self.options.upstream_url)
            upstream = ServiceUpstream(client)
        else:
            client = HttpEngine(self.options.upstream_url)
            upstream = EngineUpstream(client)
        stated = StatedUpstream(upstream, own)
        client.on_statement = stated.record_answer
        client.on_status = stated.record_status
        stated.on_leaving_changed = self.check_leaving
        return stated

    def build_rollout(self) -> Rollout | None:
        """Return the component that brings versions live.

        None for a plain service, or if no store is set.
        """
        if self.options.upstream_kind == "plain" or not self.options.store_url:
            return None
        origin = HttpStore(self.options.origin_url) if self.options.origin_url else None
        return Rollout(
            self.options,
            self.clock,
            self.documents,
            self.members,
            HttpEngine(self.options.upstream_url),
            HttpStore(self.options.store_url),
            origin,
            TcpDialer(),
            self.random,
            self.gate,
        )

    def check_leaving(self) -> None:
        """Refuse new work while the member list or the upstream says that it leaves."""
        reason = self.leaving_reason()
        if bool(reason) != self.gate.leaving:
            decision("leaving" if reason else "stays", upstream=self.options.name, reason=reason)
        self.gate.leaving = bool(reason)

    def leaving_reason(self) -> str:
        """Return why this agent leaves; empty if it does not.

        Neither a stop nor the member list is called off by an upstream that does not leave.
        """
        member = self.members.members.get(self.options.name)
        if member is not None and member.incarnation == self.options.incarnation and member.leaving:
            self.is_listed_leaving = True
        if self.stopping:
            return "stop requested"
        if self.is_listed_leaving:
            return "member list"
        return "stated by the upstream" if self.upstream.is_leaving() else ""

    async def start(self) -> None:
        """Bind the ports and start every component."""
        sockets = bind_sockets(self.options.port, self.options.host)
        self.options.port = sockets[0].getsockname()[1]
        self.server.add_sockets(sockets)
        self.bind_bulk()
        await self.spread.start()
        await self.member_poller.start()
        await self.document_reader.start()
        await self.monitor.start()
        if self.rollout is not None:
            await self.rollout.start()

    def bind_bulk(self) -> None:
        """Bind the port for weight transfers."""
        if self.bulk_server is not None:
            sockets = bind_sockets(self.options.bulk_port, self.options.host)
            self.options.bulk_port = sockets[0].getsockname()[1]
            self.bulk_server.add_sockets(sockets)

    async def stop(self) -> None:
        """Refuse new work, notify the entries, drain attempts in flight, then close everything.

        What still runs at the end of the drain is ended, so that callers are told and keys handed
        over before the platform kills the process.
        """
        self.stopping = True
        self.gate.leaving = True
        self.spread.announce_leaving()
        decision("drain", in_flight=len(self.gate.running), reason="stop requested")
        await self.clock.sleep(LEAVE_PROPAGATION_S)
        try:
            await asyncio.wait_for(self.gate.drain(), self.options.drain_timeout_s)
        except TimeoutError:
            decision("drain_cut", in_flight=len(self.gate.running), reason="drain timeout")
            await self.gate.end_running()
        await drain_connections(self.listener)
        await self.listener.hand_over()
        self.server.stop()
        if self.bulk_server is not None:
            self.bulk_server.stop()
        for connection in list(self.listener.connections):
            connection.close()
        if self.rollout is not None:
            await self.rollout.stop()
        await self.monitor.stop()
        await self.document_reader.stop()
        await self.member_poller.stop()
        await self.spread.stop()

    def inspect(self) -> dict[str, object]:
        """Return the state of this process for the administration API."""
        return {
            "documents": list(self.documents.accepted.values()),
            "members": list(self.members.members.values()),
            "spread": self.spread.inspect(),
            "upstreams": [{"name": self.options.name, **self.listener.state()}],
            "transfers": self.rollout.transfers() if self.rollout is not None else [],
            "in_flight": len(self.gate.running),
            "home": self.home.inspect(),
            "stopping": self.stopping,
        }
