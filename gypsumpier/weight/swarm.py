"""Exchanges chunks with other agents, without a coordinator.

The swarm keeps connections to a few agents of the region and, while this agent may import, to the
exporting agents of other regions.  Each connection has one task that reads the peer's messages.
The chunks that this agent holds are announced in small batches; a peer's requests are served from
the cache.
"""

import asyncio
from contextlib import suppress
from typing import Final

from gypsumpier.errors import GypsumpierError
from gypsumpier.external.membership import Member
from gypsumpier.log import decision
from gypsumpier.weight.catalogue import Catalogue
from gypsumpier.weight.context import RolloutContext
from gypsumpier.weight.dispatcher import MessageDispatcher
from gypsumpier.weight.fetch import Fetch
from gypsumpier.weight.message import Hello, parse
from gypsumpier.weight.pacing import Pacing
from gypsumpier.weight.peer import Peer
from gypsumpier.weight.peers import Peers, pick_neighbours
from gypsumpier.weight.plan import ImportPlan, takeover_s
from gypsumpier.weight.standings import Standings
from gypsumpier.weight.uploads import Uploads
from gypsumpier.wire.stream import Dialer, Stream

DIAL_INTERVAL_S: Final = 0.25
DIAL_BACKOFF_S: Final = 1.0
MAX_DIAL_BACKOFF_S: Final = 15.0
MAX_PEERS: Final = 64
EXPORTERS_PER_REGION: Final = 2
UPLOAD_TASKS: Final = 2
STANDBY_RANKS: Final = 2
"""Agents with a rank below this one connect to exporters before they may have to import."""


class Swarm:
    """The connections of one agent to the other agents of its service."""

    def __init__(self, context: RolloutContext, dialer: Dialer) -> None:
        self.context = context
        self.options = context.options
        self.clock = context.clock
        self.dialer = dialer
        self.pacing = Pacing(context.options, context.clock)
        self.peers = Peers(context.options)
        self.uploads = Uploads(context.cache, self.pacing)
        self.catalogue = Catalogue(context, self.peers)
        self.standings = Standings(context, self.peers)
        self.fetches: dict[str, Fetch] = {}
        self.dispatcher = MessageDispatcher(
            self.uploads, self.catalogue, self.standings, self.fetches
        )
        self.agents: list[Member] = []
        self.woken = asyncio.Event()
        self.failures: dict[str, int] = {}
        self.dial_not_before_s: dict[str, float] = {}
        self.dialling: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Keep the wanted connections until cancelled, then close all connections."""
        try:
            while True:
                self.update_members()
                for name in self.wanted_names():
                    self.start_dial(name)
                await self.wait_for_wake(DIAL_INTERVAL_S)
        finally:
            self.close()

    async def wait_for_wake(self, timeout_s: float) -> None:
        """Wait until a new fetch may need other connections, at most ``timeout_s``."""
        self.woken.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self.woken.wait()

    def close(self) -> None:
        """Close every connection."""
        for task in list(self.dialling.values()):
            task.cancel()
        for peer in list(self.peers.by_name.values()):
            peer.connection.close()

    def update_members(self) -> None:
        """Apply changes of the member list to the neighbours and to the running fetches."""
        agents = self.context.members.agents(self.options.service)
        if agents == self.agents:
            return
        self.agents = agents
        self.peers.neighbours = pick_neighbours(self.options, agents)
        for layout, fetch in self.fetches.items():
            fetch.plan = self.plan(layout)

    def plan(self, layout: str) -> ImportPlan:
        """Return the import plan of a layout for the current member list."""
        return ImportPlan(self.options, layout, self.agents)

    def wanted_names(self) -> list[str]:
        """Return the names of the agents to connect to."""
        names = list(self.peers.neighbours)
        for fetch in self.fetches.values():
            for region in fetch.plan.regions:
                if region != self.options.region and self.may_import(fetch, region):
                    names += self.reachable(fetch.plan.exporters(region))[:EXPORTERS_PER_REGION]
        return list(dict.fromkeys(names))

    def may_import(self, fetch: Fetch, region: str) -> bool:
        """Return whether this agent imports from the region or may soon have to take over."""
        rank = min(fetch.plan.own_ranks(region))
        stalled_s = self.clock.monotonic() - fetch.availability.last_progress_at_s()
        return rank < STANDBY_RANKS or stalled_s > takeover_s(rank, self.options.transfer_stall_s)

    def reachable(self, names: list[str]) -> list[str]:
        """Return the names without those whose last dial failed; all where none is left."""
        return [name for name in names if self.failures.get(name, 0) == 0] or names

    def start_dial(self, name: str) -> None:
        """Dial the agent, unless it is connected, being dialled or in backoff."""
        if name in self.peers.by_name or name in self.dialling:
            return
        if self.dial_not_before_s.get(name, 0.0) > self.clock.monotonic():
            return
        for agent in self.agents:
            if agent.name == name and agent.bulk_port > 0:
                self.dialling[name] = asyncio.create_task(self.dial(agent))

    async def dial(self, agent: Member) -> None:
        """Dial the agent and exchange messages with it until the connection ends."""
        try:
            stream = await self.dialer.dial(
                agent.host, agent.bulk_port, self.options.dial_timeout_s
            )
            self.failures.pop(agent.name, None)
            await self.run_connection(stream, dialled=True)
        except GypsumpierError as error:
            self.failures[agent.name] = self.failures.get(agent.name, 0) + 1
            decision("peer_unreachable", peer=agent.name, reason=str(error))
        finally:
            self.dialling.pop(agent.name, None)
            self.schedule_redial(agent.name)

    def schedule_redial(self, name: str) -> None:
        """Start the agent's jittered dial backoff, which doubles with each failure in a row."""
        backoff_s = DIAL_BACKOFF_S * 2.0 ** self.failures.get(name, 0)
        backoff_s = min(MAX_DIAL_BACKOFF_S, backoff_s) * self.context.random.random()
        self.dial_not_before_s[name] = self.clock.monotonic() + backoff_s

    async def serve(self, stream: Stream) -> None:
        """Serve the connection of an agent that has dialled this one, until it ends.

        The connection is closed at once where there are already MAX_PEERS peers.
        """
        if len(self.peers.by_name) >= MAX_PEERS:
            stream.close()
            return
        await self.run_connection(stream, dialled=False)

    async def run_connection(self, stream: Stream, dialled: bool) -> None:
        """Exchange messages with one peer; return when the connection has ended."""
        peer = Peer(self.options, self.clock, stream, dialled)
        tasks = [
            asyncio.create_task(peer.connection.keep_alive()),
            asyncio.create_task(peer.send_posted()),
            *(asyncio.create_task(self.uploads.send_to(peer)) for _ in range(UPLOAD_TASKS)),
        ]
        peer.post(self.hello())
        try:
            await self.read(peer)
        except GypsumpierError as error:
            decision("peer_lost", peer=peer.name, reason=str(error))
        finally:
            peer.connection.close()
            for task in tasks:
                task.cancel()
            self.remove_peer(peer)

    async def read(self, peer: Peer) -> None:
        """Handle the peer's messages; the first one must be its hello."""
        async for frame in peer.connection.frames():
            message = parse(frame)
            if peer.hello is not None:
                await self.dispatcher.dispatch(peer, message, peer.connection.buffered_s(frame))
            elif not isinstance(message, Hello) or not self.accept_hello(peer, message):
                return

    def accept_hello(self, peer: Peer, hello: Hello) -> bool:
        """Add a peer that has sent its hello; return False where the connection isn't needed."""
        peer.hello = hello
        if hello.service != self.options.service or not self.peers.add(peer):
            return False
        self.uploads.announce_all(peer)
        self.standings.send_known(peer)
        self.catalogue.send_known_lists(peer)
        return True

    def remove_peer(self, peer: Peer) -> None:
        """Remove a peer whose connection has ended, and the requests to it."""
        self.peers.remove(peer)
        for fetch in self.fetches.values():
            fetch.on_peer_lost(peer)

    def hello(self) -> Hello:
        """Return the hello message that identifies this agent."""
        options = self.options
        return Hello(
            options.name, options.incarnation, options.service, options.region, options.zone
        )
