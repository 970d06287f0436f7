"""A fake platform, and full control planes of entries and agents in one virtual loop."""

import asyncio
import random
from typing import Final

from gypsumpier.codes.platform import PLATFORM_UNREACHABLE
from gypsumpier.document.reader import DocumentReader
from gypsumpier.document.table import DocumentTable
from gypsumpier.errors import GypsumpierError
from gypsumpier.external.configuration import Changes, DocumentRevision
from gypsumpier.external.membership import Member
from gypsumpier.member.poller import MemberPoller
from gypsumpier.member.table import MemberTable
from gypsumpier.options import Options
from gypsumpier.spread.identity import Identity, own_member
from gypsumpier.spread.serving import serve
from gypsumpier.spread.spread import Spread
from gypsumpier.spread.streams import SpreadStreams
from gypsumpier.test.network import Network
from gypsumpier.test.virtual import VirtualClock
from gypsumpier.wire.connection import Connection
from gypsumpier.wire.stream import Stream

WATCH_POLL_S: Final = 0.01
AGENT_LINK_REFRESH_S: Final = 0.25
PORT: Final = 1


class FakePlatform:
    """The configuration service and the member list; ``cut_hosts`` cannot reach either."""

    def __init__(self) -> None:
        self.history: list[DocumentRevision] = []
        self.members: dict[str, Member] = {}
        self.cut_hosts: set[str] = set()
        self.is_down = False
        self.stale_position: int | None = None
        self.calls = 0

    def put(self, revised: DocumentRevision) -> None:
        """Publish a revision."""
        self.history.append(revised)

    @property
    def position(self) -> int:
        """The position that clients see: ``stale_position`` where it is set."""
        return len(self.history) if self.stale_position is None else self.stale_position

    def changes(self, after: int) -> Changes:
        """Return the newest revision of each name after the position."""
        newest = {one.name: one for one in self.history[after : self.position]}
        return Changes(self.position, list(newest.values()))


class FakePlatformClient:
    """One host's client of the configuration service and of the member list."""

    def __init__(self, platform: FakePlatform, host: str) -> None:
        self.platform = platform
        self.host = host

    async def read_all(self) -> Changes:
        await self.call()
        return self.platform.changes(0)

    async def watch(self, position: int, timeout_s: float) -> Changes:
        await self.call()
        until_s = asyncio.get_running_loop().time() + timeout_s
        while self.platform.position <= position and asyncio.get_running_loop().time() < until_s:
            await asyncio.sleep(WATCH_POLL_S)
        await self.check()
        return self.platform.changes(position)

    async def members(self) -> list[Member]:
        await self.hang_if_cut_off()
        return list(self.platform.members.values())

    async def call(self) -> None:
        """Count a call to the configuration service, and ``check`` it."""
        self.platform.calls += 1
        await self.check()

    async def check(self) -> None:
        """Hang if the host is cut off; raise GypsumpierError while the service is down."""
        await self.hang_if_cut_off()
        if self.platform.is_down:
            raise GypsumpierError(PLATFORM_UNREACHABLE, "down")

    async def hang_if_cut_off(self) -> None:
        """Leave the call without an answer if the host is cut off."""
        if self.host in self.platform.cut_hosts:
            await asyncio.sleep(3600.0)


class Instance:
    """The control plane of one entry or agent."""

    def __init__(
        self, platform: FakePlatform, network: Network, options: Options, seed: int
    ) -> None:
        self.options = options
        self.network = network
        self.clock = VirtualClock()
        self.randomness = random.Random(seed)
        self.documents = DocumentTable(self.clock)
        self.members = MemberTable(options, self.clock)
        self.spread = Spread(options, self.clock, self.randomness, self.documents, self.members)
        dialer = network.dialer(options.host)
        self.streams = SpreadStreams(
            options, self.clock, dialer, self.randomness, self.members, self.spread
        )
        reader = FakePlatformClient(platform, options.host)
        self.document_keeper = DocumentReader(
            options, self.clock, reader, self.documents, self.spread, self.randomness
        )
        self.member_keeper = MemberPoller(
            options, self.clock, reader, self.members, self.spread, self.randomness
        )
        self.agent_links: dict[str, asyncio.Task[None]] = {}
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start every part; an entry also dials the agents of its zone."""
        is_entry = self.options.role == "entry"
        handler = self.streams.accept if is_entry else self.accept_entry
        self.network.listen(self.options.host, self.options.port, handler)
        await self.spread.start()
        if is_entry:
            await self.streams.start()
            self.tasks.append(asyncio.create_task(self.keep_agent_links()))
        await self.member_keeper.start()
        await self.document_keeper.start()

    async def stop(self) -> None:
        """Stop abruptly, as a killed process does: its connections close."""
        self.network.handlers.pop((self.options.host, self.options.port), None)
        await self.document_keeper.stop()
        await self.member_keeper.stop()
        for task in self.tasks + list(self.agent_links.values()):
            task.cancel()
        await self.streams.stop()
        await self.spread.stop()
        for link in self.network.links:
            if self.options.host in (link.source, link.target):
                link.cut()

    async def accept_entry(self, stream: Stream) -> None:
        """Serve an entry's connection to this agent."""
        await self.serve(stream, Identity("", "entry"))

    async def serve(self, stream: Stream, peer: Identity) -> None:
        """Run a session on the stream."""
        options = self.options
        connection = Connection(stream, self.clock, options.heartbeat_s, options.silence_s)
        await serve(connection, self.spread, peer, lambda: None)

    async def keep_agent_links(self) -> None:
        """Keep a connection to every agent of the zone."""
        while True:
            for member in list(self.members.members.values()):
                is_near = member.role == "agent" and member.zone == self.options.zone
                task = self.agent_links.get(member.name)
                if is_near and (task is None or task.done()):
                    self.agent_links[member.name] = asyncio.create_task(self.dial(member))
            await asyncio.sleep(AGENT_LINK_REFRESH_S)

    async def dial(self, member: Member) -> None:
        """Serve one connection to an agent."""
        try:
            stream = await self.network.dialer(self.options.host).dial(member.host, PORT, 1.0)
            await self.serve(stream, Identity(member.name, member.role))
        except GypsumpierError:
            return

    def revision(self, name: str) -> int:
        """Return the revision in force, 0 where there is none."""
        accepted = self.documents.accepted.get(name)
        return accepted.revision if accepted else 0


class Fleet:
    """Instances by name, on one platform and one network."""

    def __init__(self) -> None:
        self.platform = FakePlatform()
        self.network = Network()
        self.network.delay_s = 0.001
        self.instances: dict[str, Instance] = {}
        self.started = 0

    def add(self, role: str, zone: str, number: int, service: str = "") -> Instance:
        """Build an instance and list it; one of the same name is replaced in the list."""
        self.started += 1
        name = f"{service or 'entry'}/{zone}/{number}"
        options = Options(
            role=role,
            name=name,
            incarnation=f"run-{self.started}",
            region=zone,
            zone=zone,
            service=service,
            host=name,
            port=PORT,
        )
        instance = Instance(self.platform, self.network, options, self.started)
        self.instances[name] = instance
        self.platform.members[name] = own_member(options)
        return instance

    async def start(self, zones: dict[str, int], agents: dict[str, int], service: str) -> None:
        """Add and start this many entries and agents of the service in each zone."""
        for zone, count in zones.items():
            for number in range(count):
                self.add("entry", zone, number)
        for zone, count in agents.items():
            for number in range(count):
                self.add("agent", zone, number, service)
        for instance in self.instances.values():
            await instance.start()

    def in_zone(self, zone: str) -> list[Instance]:
        """Return the instances of a zone."""
        return [one for one in self.instances.values() if one.options.zone == zone]

    def cut_zone(self, zone: str, from_platform: bool) -> None:
        """Partition the zone from all others, and from the platform if ``from_platform``."""
        for near, far in self.pairs(zone):
            self.network.partition(near, far)
        if from_platform:
            self.platform.cut_hosts |= {one.options.host for one in self.in_zone(zone)}

    def heal_zone(self, zone: str) -> None:
        """Undo ``cut_zone``, except that links which it silenced stay silent."""
        for near, far in self.pairs(zone):
            self.network.heal(near, far)
        self.platform.cut_hosts -= {one.options.host for one in self.in_zone(zone)}

    def pairs(self, zone: str) -> list[tuple[str, str]]:
        """Return the pairs of a host in the zone and a host outside it."""
        near = [one.options.host for one in self.in_zone(zone)]
        far = [one.options.host for one in self.instances.values() if one.options.zone != zone]
        return [(one, other) for one in near for other in far]

    def revisions(self, name: str) -> dict[str, int]:
        """Return the revision in force at each instance, by name."""
        return {key: one.revision(name) for key, one in self.instances.items()}

    async def settle(self, name: str, revision: int, limit_s: float) -> float:
        """Wait until the revision is in force everywhere; return the seconds it took.

        Raises AssertionError after ``limit_s`` seconds.
        """
        loop = asyncio.get_running_loop()
        started_at_s = loop.time()
        while loop.time() - started_at_s < limit_s:
            if set(self.revisions(name).values()) == {revision}:
                return loop.time() - started_at_s
            await asyncio.sleep(0.01)
        raise AssertionError(f"not in force in {limit_s} s: {self.revisions(name)}")

    async def stop(self) -> None:
        """Stop all instances."""
        for instance in self.instances.values():
            await instance.stop()
