"""An entry and an agent of the own interface in one event loop, on real sockets.

There is no platform: documents and members are put into their tables directly.
"""

import asyncio
import json
from collections.abc import AsyncIterator
from typing import Any, Final

from tornado.netutil import bind_sockets

from gypsumpier.agent.application import AgentApplication
from gypsumpier.agent.order import AttemptOrder
from gypsumpier.agent.upstream import Part, Upstream
from gypsumpier.entry.application import EntryApplication
from gypsumpier.external.configuration import DocumentRevision
from gypsumpier.external.membership import Member
from gypsumpier.options import Options
from gypsumpier.test.builders import REGION, SERVICE, ZONE, model_document, plain_document
from gypsumpier.test.builders_request import FakeUpstream

POLL_S: Final = 0.01
DRAIN_S: Final = 1.0
PLAIN: Final = "table-ops"
DEADLINE_S: Final = 20.0
HOST: Final = "127.0.0.1"
PART_BYTES: Final = 100_000


class HeldUpstream(FakeUpstream):
    """An upstream that goes on after ``release``, and whose answers have so many parts."""

    def __init__(self, model: bool) -> None:
        super().__init__(model, 0.0)
        self.release = asyncio.Event()
        self.release.set()
        self.answer_parts = 1

    async def run(self, order: AttemptOrder) -> AsyncIterator[Part]:
        self.runs[order.key or order.exchange] += 1
        if self.model:
            yield Part("token", {"text": "one", "version": "v1"})
            await self.release.wait()
            yield Part("end", {"count": 1, "finish_reason": "stop", "version": "v1"})
            return
        await self.release.wait()
        yield Part("head", {"status": 200, "headers": {}})
        for _ in range(self.answer_parts):
            yield Part("data", {"content": b"x" * PART_BYTES})
        yield Part("end", {"count": self.answer_parts})


class OwnFleet:
    """One entry and one agent of a service; ``in_flight_max`` requests may run at once."""

    def __init__(self, service: str = PLAIN, in_flight_max: int = 32) -> None:
        self.service = service
        limits = {
            "in_flight_per_upstream": in_flight_max,
            "body_bytes": 65536,
            "deadline_s": DEADLINE_S,
        }
        build = model_document if service == SERVICE else plain_document
        self.document = build(zones=[{"zone": ZONE, "replicas": 1}], limits=limits)
        self.entry = EntryApplication(self.options("entry", f"entry/{ZONE}/0"))
        self.agent = AgentApplication(self.options("agent", f"{service}/{ZONE}/0"))
        self.upstream = HeldUpstream(service == SERVICE)
        self.agent.upstream.upstream = self.upstream
        self.port = 0
        self.others: list[AgentApplication] = []

    def options(self, role: str, name: str) -> Options:
        """Return the options of one process."""
        return Options(
            role=role,
            name=name,
            incarnation="one",
            region=REGION,
            zone=ZONE,
            host=HOST,
            service=self.service if role == "agent" else "",
            upstream_kind="model" if self.service == SERVICE else "plain",
            upstream_url="http://127.0.0.1:1",
            drain_timeout_s=DRAIN_S,
            key_settle_s=0.0,
        )

    async def start(self) -> None:
        """Start what serves requests, and wait until the entry may send some to the agent."""
        agent_port = self.listen(self.agent.server)
        self.port = self.listen(self.entry.server)
        members = [
            self.member(self.agent.options, agent_port),
            self.member(self.entry.options, 1),
        ]
        for application in (self.entry, self.agent):
            self.tell(application, members)
        await self.agent.monitor.start()
        await self.entry.links.start()
        await self.until_usable(1)

    async def add_agent(self, upstream: Upstream) -> None:
        """Start another agent, beside that upstream, and wait until the entry may use it."""
        name = f"{self.service}/{ZONE}/{1 + len(self.others)}"
        agent = AgentApplication(self.options("agent", name))
        agent.upstream.upstream = upstream
        self.others.append(agent)
        member = self.member(agent.options, self.listen(agent.server))
        self.tell(agent, [member, self.member(self.entry.options, 1)])
        self.entry.members.put(member)
        self.entry.members.notify()
        await agent.monitor.start()
        await self.until_usable(1 + len(self.others))

    def tell(self, application: AgentApplication | EntryApplication, members: list[Member]) -> None:
        """Put the document and members into the tables of a process."""
        body = json.dumps(self.document).encode()
        assert application.documents.offer(DocumentRevision(self.service, 1, body), "test")
        for member in members:
            application.members.put(member)
        application.members.notify()

    async def until_usable(self, count: int) -> None:
        """Wait until the entry may send requests to so many agents."""
        links = self.entry.links.links
        while sum(link.is_usable() for link in links.values()) < count:
            await asyncio.sleep(POLL_S)

    def listen(self, server: Any) -> int:
        """Let a server listen on a free port; return it."""
        sockets = bind_sockets(0, HOST)
        server.add_sockets(sockets)
        return int(sockets[0].getsockname()[1])

    def member(self, options: Options, port: int) -> Member:
        """Return the record of a process in the member list."""
        return Member(
            options.name,
            options.incarnation,
            options.role,
            options.service,
            options.region,
            options.zone,
            options.host,
            port,
            1 if options.role == "agent" else 0,
            False,
        )

    async def stop(self) -> None:
        """Stop what still runs."""
        self.upstream.release.set()
        self.entry.server.stop()
        await self.entry.server.close_all_connections()
        await self.entry.links.stop()
        for agent in (self.agent, *self.others):
            await agent.monitor.stop()
            agent.server.stop()
            for connection in list(agent.listener.connections):
                connection.close()

    def run_count(self) -> int:
        """Return how many requests have begun to run."""
        return self.upstream.runs.total()
