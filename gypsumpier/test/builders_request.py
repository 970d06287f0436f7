"""Builders of the request path in one event loop: entries, agents and upstreams on a network."""

import asyncio
import json
from collections import Counter
from collections.abc import AsyncIterator
from random import Random
from typing import Any

from gypsumpier.agent.gate import Gate
from gypsumpier.agent.home import Home
from gypsumpier.agent.listener import Listener
from gypsumpier.agent.order import AttemptOrder
from gypsumpier.agent.statedupstream import OwnUpstream, StatedUpstream
from gypsumpier.agent.upstream import Part
from gypsumpier.codes.platform import PLATFORM_BAD_ANSWER
from gypsumpier.document.table import DocumentTable
from gypsumpier.entry.keys import EntryKeys
from gypsumpier.entry.links import Links
from gypsumpier.entry.progress import RequestProgress
from gypsumpier.entry.relay import Relay
from gypsumpier.entry.request import CallerRequest
from gypsumpier.errors import GypsumpierError
from gypsumpier.external.configuration import DocumentRevision
from gypsumpier.external.engine import LiveModel
from gypsumpier.external.membership import Member
from gypsumpier.member.table import MemberTable
from gypsumpier.options import Options
from gypsumpier.test.builders import ZONE, model_document, plain_document
from gypsumpier.test.network import Network
from gypsumpier.test.virtual import VirtualClock
from gypsumpier.wire.frame import Frame

SETTLE_TIME_S = 5.0
MODEL_SERVICE = "gypsum-llm"
PLAIN_SERVICE = "table-ops"
TOKENS = 10


class FakeUpstream:
    """An upstream that counts runs by key or attempt and answers after a delay.

    A request whose body is ``crash_body``, or whose prompt has the part ``crash_part``, makes every
    running generation of a model fail.
    """

    def __init__(self, model: bool, delay_s: float = 0.5) -> None:
        self.model = model
        self.delay_s = delay_s
        self.runs: Counter[str] = Counter()
        self.crash_body = b""
        self.crash_part = ""
        self.crashes = 0

    async def run(self, order: AttemptOrder) -> AsyncIterator[Part]:
        self.runs[order.key or order.exchange] += 1
        crashes = self.crashes
        is_fatal = self.crash_body and order.body == self.crash_body
        if is_fatal or self.crash_part in order.parts:
            await asyncio.sleep(self.delay_s)
            self.crashes += 1
        if not self.model:
            await asyncio.sleep(self.delay_s)
            yield Part("head", {"status": 200, "headers": {}})
            yield Part("data", {"content": order.body})
            yield Part("end", {"count": 1})
            return
        for number in range(TOKENS):
            if self.crashes != crashes:
                raise GypsumpierError(PLATFORM_BAD_ANSWER, "the engine died")
            await asyncio.sleep(self.delay_s)
            yield Part("token", {"text": f"{number} ", "version": "v1"})
        yield Part("end", {"count": TOKENS, "finish_reason": "stop", "version": "v1"})

    async def cancel(self, exchange: str) -> None:
        """Nothing to stop."""

    async def refresh(self) -> None:
        """Always healthy."""

    def incarnation(self) -> str:
        return ""

    def live(self) -> list[LiveModel]:
        return [LiveModel("gypsum", "v1", "digest")] if self.model else []

    def retire(self, live: LiveModel) -> None:
        """Never retired."""

    def refuse(self, live: LiveModel) -> None:
        """Never refused."""

    def restore(self, live: LiveModel) -> None:
        """Never retired."""


class AgentParts:
    """The parts of one agent that handle requests."""

    def __init__(self, world: "World", member: Member, upstream: FakeUpstream) -> None:
        options = Options(
            role="agent",
            name=member.name,
            incarnation=member.incarnation,
            service=member.service,
            zone=ZONE,
        )
        self.member = member
        self.upstream = upstream
        self.stated = StatedUpstream(upstream, OwnUpstream(member.name, member.service))
        self.home = Home(options, world.clock, world.documents, self.stated)
        for accepted in world.documents.accepted.values():
            self.home.apply_document(accepted)
        self.gate = Gate(options, world.clock, self.stated, self.home)
        self.listener = Listener(options, world.clock, self.gate)
        self.listener.healthy = True
        world.network.listen(member.host, member.port, self.listener.serve)


class EntryParts:
    """The parts of one entry that handle requests."""

    def __init__(self, world: "World", member: Member) -> None:
        options = Options(role="entry", name=member.name, incarnation=member.incarnation, zone=ZONE)
        self.member = member
        dialer = world.network.dialer(member.host)
        random = Random(1)
        self.links = Links(options, world.clock, dialer, random, world.members)
        self.keys = EntryKeys(
            options, world.clock, world.documents, world.members, self.links, random
        )
        self.keys.handle_members_change()
        self.relay = Relay(options, world.clock, self.links, self.keys, random)


class World:
    """A network with one member list and one document table, shared by all without delay."""

    def __init__(self) -> None:
        self.clock = VirtualClock()
        self.network = Network()
        self.documents = DocumentTable(self.clock)
        self.members = MemberTable(Options(), self.clock)
        self.offer(1, model_document(zones=[{"zone": ZONE, "replicas": 1}]))
        self.offer(1, plain_document(zones=[{"zone": ZONE, "replicas": 1}]))
        self.number = 0

    def offer(self, revision: int, document: dict[str, Any]) -> None:
        """Put a revision of a document in force."""
        body = json.dumps(document).encode()
        assert self.documents.offer(DocumentRevision(document["service"], revision, body), "test")

    def agent(
        self, service: str = PLAIN_SERVICE, incarnation: str = "one", number: int = 0
    ) -> AgentParts:
        """Add an agent and list it."""
        member = self.member(f"{service}/{ZONE}/{number}", incarnation, "agent", service)
        upstream = FakeUpstream(service == MODEL_SERVICE)
        parts = AgentParts(self, member, upstream)
        self.members.put(member)
        self.members.notify()
        return parts

    async def entry(self, number: int = 0, incarnation: str = "one") -> EntryParts:
        """Add an entry, list it and start its links."""
        member = self.member(f"entry/{ZONE}/{number}", incarnation, "entry", "")
        self.members.put(member)
        self.members.notify()
        parts = EntryParts(self, member)
        await parts.links.start()
        return parts

    def member(self, name: str, incarnation: str, role: str, service: str) -> Member:
        """Return a member with an address of its own."""
        self.number += 1
        host = f"host{self.number}"
        return Member(name, incarnation, role, service, "bac", ZONE, host, 1, 0, False)

    def replace(self, agent: AgentParts, incarnation: str) -> AgentParts:
        """Kill the agent and start another one in its slot."""
        del self.network.handlers[(agent.member.host, agent.member.port)]
        for link in self.network.links:
            if agent.member.host in (link.source, link.target):
                link.cut()
        return self.agent(agent.member.service, incarnation)


def plain_call(
    world: World, key: str = "", body: bytes = b"go", deadline_s: float = 30.0
) -> CallerRequest:
    """Return a call of the plain service that is not idempotent; an empty key means none."""
    world.number += 1
    return CallerRequest(
        request_id=f"request{world.number}",
        service=PLAIN_SERVICE,
        workspace="lab",
        method="POST",
        path="/commands",
        headers={},
        body=body,
        key=key,
        streamed=False,
        received_at_s=world.clock.monotonic(),
        remaining_s=deadline_s,
        idempotent=False,
        priority=1,
        prefix="",
        parts=(),
        fingerprint=body.decode(),
        progress=RequestProgress(),
    )


def chat_call(world: World, streamed: bool = True, body: bytes = b"{}") -> CallerRequest:
    """Return a chat completion request."""
    call = plain_call(world, body=body)
    return call._replace(
        service=MODEL_SERVICE, path="/v1/chat/completions", streamed=streamed, idempotent=True
    )


async def outcome(world: World, entry: EntryParts, request: CallerRequest) -> str:
    """Run the request; return the answer's body or text, or the name of the error's code.

    The result is ``deadline`` if the request takes longer than its remaining time.
    """
    document = world.documents.document(request.service)
    assert document is not None
    frames: list[Frame] = []
    try:
        async with asyncio.timeout(request.remaining_s):
            async for frame in entry.relay.run(request, document):
                frames.append(frame)
    except GypsumpierError as error:
        return error.code.name
    except TimeoutError:
        return "deadline"
    return "".join(
        frame.payload["text"] if frame.kind == "token" else frame.payload["content"].decode()
        for frame in frames
        if frame.kind in ("token", "data")
    )


async def connected_pair(world: World, service: str = "table-ops") -> tuple[AgentParts, EntryParts]:
    """Return an agent and an entry that are connected, with the home's recovery finished."""
    agent, entry = world.agent(service), await world.entry()
    await asyncio.sleep(SETTLE_TIME_S)
    return agent, entry
