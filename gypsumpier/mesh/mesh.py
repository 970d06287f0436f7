"""Discovers the other processes and keeps connections to them.

A process dials the seeds and every entry that it learns of; entries accept.  The dialling side
sends its identity first, and a seed's answer lists the entries that it knows.  Others list theirs
only while no seed is connected: in a large fleet, the lists would fill the links between regions
when many processes start at once.  Either side may send over a connection, whichever of them opened
it.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Final

from gypsumpier.errors import GypsumpierError
from gypsumpier.fleet.clock import BootClock
from gypsumpier.fleet.node import Address
from gypsumpier.log import decision
from gypsumpier.mesh.link import ANSWER, FAILED, MeshLink
from gypsumpier.mesh.peer import Peer, peer_from
from gypsumpier.tasks import end_task
from gypsumpier.wire.connection import Connection
from gypsumpier.wire.frame import Frame, pack_payload
from gypsumpier.wire.pace import Pace
from gypsumpier.wire.stream import Dialer, Stream

HELLO: Final = "hello"
WELCOME: Final = "welcome"
ENTRY: Final = "entry"
SIDECAR: Final = "sidecar"
DIAL_INTERVAL_S: Final = 0.5
"""Seconds between rounds of dialling addresses that are not connected."""
DIAL_TIMEOUT_S: Final = 1.0
"""Seconds for opening a connection; the latency to the farthest region is milliseconds."""
HEARTBEAT_S: Final = 0.5
"""Seconds without a sent message after which a heartbeat is sent."""
CROSS_ZONE_HEARTBEATS_PER_S: Final = 60.0
"""Heartbeats a second that a process sends to other zones at most: their entries are the most
numerous peers by far, and little depends on how soon one of them is found silent."""
SILENCE_TIMEOUT_S: Final = 2.0
"""Seconds without a received message after which a connection is closed and dialled again; three
intervals of heartbeats if that is longer."""
UNREACHABLE_TIMEOUT_S: Final = 30.0
"""Seconds after which an unreachable entry is removed and no longer dialled."""

BAD_MESSAGE_ERRORS: Final = (
    LookupError,
    TypeError,
    ValueError,
    AttributeError,
    ArithmeticError,
    RecursionError,
)
"""What a handler raises for fields that are missing, of another type, out of range or too deep."""

Listener = Callable[[Peer, dict[str, Any]], None]
AgedListener = Callable[[Peer, dict[str, Any], float], None]
RequestHandler = Callable[[Peer, dict[str, Any]], Awaitable[dict[str, Any]]]


@dataclass
class CrossZonePace:
    """The settings of the pace of connections to other zones, as ``PaceSettings``."""

    heartbeat_s: float = HEARTBEAT_S
    idle_heartbeats_per_s: float = CROSS_ZONE_HEARTBEATS_PER_S


class Mesh:
    """Connections to the other processes.

    ``known`` holds the entries learned of by address.  ``links`` holds the open connections by the
    peer's name, the newest first; ``listed`` the peers by role and zone until a link changes.
    ``listeners`` and ``request_handlers`` handle messages and requests by kind; ``aged_listeners``
    handle messages that carry ages, and also get the seconds that the message spent in queues and
    buffers; of the ``proof_kinds`` the longest time that it may have taken, as a proof must not
    seem fresher than it is.  ``bulk_kinds`` are the requests whose answers are sent after all other
    messages.
    """

    def __init__(self, own: Peer, seeds: tuple[Address, ...], dialer: Dialer) -> None:
        self.own = own
        self.seeds = seeds
        self.dialer = dialer
        self.clock = BootClock()
        self.cross_zone_pace = Pace(CrossZonePace())
        self.listeners: dict[str, Listener] = {}
        self.aged_listeners: dict[str, AgedListener] = {}
        self.request_handlers: dict[str, RequestHandler] = {}
        self.proof_kinds: set[str] = set()
        self.bulk_kinds: set[str] = set()
        self.known: dict[Address, Peer] = {}
        self.last_seen_at_s: dict[Address, float] = {}
        self.dial_tasks: dict[Address, asyncio.Task[None]] = {}
        self.links: dict[str, list[MeshLink]] = {}
        self.listed: dict[tuple[str, str], list[Peer]] = {}
        self.on_peer_connected: list[Callable[[MeshLink], None]] = []
        self.answer_tasks: set[asyncio.Task[None]] = set()
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the dialling task."""
        self.task = asyncio.create_task(self.run())

    async def stop(self) -> None:
        """Stop dialling and close every connection."""
        await end_task(self.task)
        for dial_task in list(self.dial_tasks.values()):
            await end_task(dial_task)
        for links in list(self.links.values()):
            for link in list(links):
                link.shut_down()

    def peers(self, role: str = ENTRY, zone: str = "") -> list[Peer]:
        """Return the connected peers of a role, in one zone or in all, sorted by name."""
        found = self.listed.get((role, zone))
        if found is None:
            connected = {links[0].peer for links in self.links.values() if links}
            found = self.listed[role, zone] = sorted(
                peer for peer in connected if peer.role == role and (not zone or peer.zone == zone)
            )
        return list(found)

    def link(self, name: str) -> MeshLink | None:
        """Return the newest open connection to the peer of that name; None without one."""
        return next(iter(self.links.get(name, ())), None)

    def post(self, name: str, kind: str, payload: dict[str, Any] | bytes) -> None:
        """Queue a message to a peer; it is dropped where the peer is not connected."""
        link = self.link(name)
        if link is not None:
            link.post(kind, payload)

    def post_all(self, peers: list[Peer], kind: str, payload: dict[str, Any]) -> None:
        """Queue a message to each of the peers; its payload is packed once for all of them."""
        packed = pack_payload(payload)
        for peer in peers:
            self.post(peer.name, kind, packed)

    async def run(self) -> None:
        """Dial addresses that are not connected, until the task is cancelled."""
        while True:
            self.close_other_zone_links()
            for address in self.addresses_to_dial():
                self.dial_tasks[address] = asyncio.create_task(self.dial(address))
            await asyncio.sleep(DIAL_INTERVAL_S)

    def addresses_to_dial(self) -> list[Address]:
        """Remove unreachable entries and return the addresses to dial now."""
        now_s = self.clock.monotonic()
        for address in [
            seen_address
            for seen_address, at_s in self.last_seen_at_s.items()
            if now_s - at_s > UNREACHABLE_TIMEOUT_S
        ]:
            if address not in self.dial_tasks:
                self.known.pop(address, None)
                del self.last_seen_at_s[address]
        own = Address(self.own.host, self.own.port)
        known = set(self.known)
        if self.own.role == SIDECAR and self.peers(ENTRY, self.own.zone):
            # A sidecar needs only the entries of its zone; other links cost inter-region traffic.
            known = {
                known_address
                for known_address, peer in self.known.items()
                if peer.zone == self.own.zone
            }
        else:
            known |= set(self.seeds)
        return [address for address in known if address != own and address not in self.dial_tasks]

    async def dial(self, address: Address) -> None:
        """Connect to an entry and serve the connection until it closes."""
        try:
            stream = await self.dialer.dial(address.host, address.port, DIAL_TIMEOUT_S)
            await self.serve_dialled(stream, address)
        except GypsumpierError:
            # Not logged: a dead address fails in every round, and remove() logs a lost peer.
            return
        finally:
            self.dial_tasks.pop(address, None)

    async def serve_dialled(self, stream: Stream, address: Address) -> None:
        """Serve a connection that this process has opened."""
        connection = Connection(stream, self.clock, HEARTBEAT_S, SILENCE_TIMEOUT_S)
        try:
            wants_known = address in self.seeds or not self.has_seed_link()
            await connection.send(HELLO, {"peer": self.own.as_list(), "wants_known": wants_known})
            await self.serve(connection, WELCOME, address)
        except GypsumpierError as error:
            decision("mesh_connection_failed", address=str(address), reason=error.detail)
        finally:
            connection.close()

    async def accept(self, stream: Stream) -> None:
        """Serve a connection that a peer has opened."""
        connection = Connection(stream, self.clock, HEARTBEAT_S, SILENCE_TIMEOUT_S)
        try:
            await self.serve(connection, HELLO, None)
        except GypsumpierError as error:
            decision("mesh_connection_failed", address="accepted", reason=error.detail)
        finally:
            connection.close()

    async def serve(self, connection: Connection, first: str, address: Address | None) -> None:
        """Complete the handshake, then handle messages until the connection closes.

        ``first`` is the kind that the peer's first message must have.  ``address`` is the dialled
        address, None for an accepted connection.
        """
        keep_alive = asyncio.create_task(connection.keep_alive())
        link: MeshLink | None = None
        writer: asyncio.Task[None] | None = None
        try:
            async for frame in connection.frames():
                if link is not None:
                    self.dispatch(link, frame)
                    continue
                if frame.kind != first:
                    return
                peer = peer_from(frame, frame.payload.get("peer"))
                self.record_known_peers(frame, peer, address)
                if first == WELCOME:
                    await connection.confirm_first(frame)
                if first == HELLO:
                    # Older builds do not say whether they want the list.
                    wants_known = bool(frame.payload.get("wants_known", True))
                    await connection.send(WELCOME, self.welcome_payload(wants_known))
                if peer.zone != self.own.zone:
                    connection.use_pace(self.cross_zone_pace)
                link = MeshLink(peer, connection)
                writer = asyncio.create_task(self.send_queued(link))
                self.add(link)
        finally:
            if link is not None:
                self.remove(link)
            await end_task(writer)
            await end_task(keep_alive)

    async def send_queued(self, link: MeshLink) -> None:
        """Send the link's queued messages; a failure closes its connection."""
        try:
            await link.send_queued()
        except GypsumpierError:
            # The task that reads the connection logs its loss.
            link.connection.close()

    def welcome_payload(self, wants_known: bool) -> dict[str, Any]:
        """Return this process's identity and, if they are wanted, the entries that it knows."""
        known = [peer.as_list() for peer in self.known.values()] if wants_known else []
        return {"peer": self.own.as_list(), "known": known}

    def has_seed_link(self) -> bool:
        """Return whether a seed is connected: it knows every entry, as all of them dial it."""
        return any(
            Address(links[0].peer.host, links[0].peer.port) in self.seeds
            for links in self.links.values()
            if links
        )

    def record_known_peers(self, frame: Frame, peer: Peer, address: Address | None) -> None:
        """Record the peer and the entries that it knows, and the time at which they were seen."""
        now_s = self.clock.monotonic()
        if peer.port:
            self.known[Address(peer.host, peer.port)] = peer
            self.last_seen_at_s[Address(peer.host, peer.port)] = now_s
        if address is not None:
            self.last_seen_at_s[address] = now_s
        for found in frame.payload.get("known", []):
            other = peer_from(frame, found)
            other_address = Address(other.host, other.port)
            if other.port and other_address not in self.known and other.name != self.own.name:
                self.known[other_address] = other
                self.last_seen_at_s[other_address] = now_s

    def close_other_zone_links(self) -> None:
        """Close a sidecar's connections to other zones once it has one in its own."""
        if self.own.role != SIDECAR or not self.peers(ENTRY, self.own.zone):
            return
        for links in self.links.values():
            for link in links:
                if link.peer.zone != self.own.zone:
                    link.connection.close()

    def add(self, link: MeshLink) -> None:
        """Register an open link and notify the listeners of new connections."""
        links = self.links.setdefault(link.peer.name, [])
        is_new = not links
        links.insert(0, link)
        self.listed.clear()
        if is_new:
            decision("peer_connected", peer=link.peer.name, role=link.peer.role, run=link.peer.run)
        for listener in self.on_peer_connected:
            listener(link)

    def remove(self, link: MeshLink) -> None:
        """Shut the link down and remove it; log where it was the last to its peer."""
        link.shut_down()
        links = self.links.get(link.peer.name, [])
        self.listed.clear()
        if link in links:
            links.remove(link)
        if not links:
            self.links.pop(link.peer.name, None)
            decision("peer_lost", peer=link.peer.name, reason=link.connection.close_reason.name)
        peer_address = Address(link.peer.host, link.peer.port)
        if peer_address in self.known:
            self.last_seen_at_s[peer_address] = self.clock.monotonic()

    def dispatch(self, link: MeshLink, frame: Frame) -> None:
        """Pass a frame to the request that it answers, or to the handler of its kind."""
        if frame.kind == ANSWER:
            link.resolve(frame.exchange, frame.payload)
            return
        if frame.kind in self.listeners or frame.kind in self.aged_listeners:
            try:
                self.notify(link, frame)
            except BAD_MESSAGE_ERRORS as error:
                log_bad_message(link, frame, error)
        elif frame.kind in self.request_handlers:
            task = asyncio.create_task(self.answer(link, frame))
            self.answer_tasks.add(task)
            task.add_done_callback(self.answer_tasks.discard)

    def notify(self, link: MeshLink, frame: Frame) -> None:
        """Call the listener of the frame's kind; raise what it raises."""
        if frame.kind in self.listeners:
            self.listeners[frame.kind](link.peer, frame.payload)
            return
        is_proof = frame.kind in self.proof_kinds
        connection = link.connection
        delay_s = connection.longest_transit_s(frame) if is_proof else connection.buffered_s(frame)
        # What was read together is handled one after the other.
        delay_s += max(0.0, self.clock.monotonic() - connection.received_at_s)
        self.aged_listeners[frame.kind](link.peer, frame.payload, delay_s)

    async def answer(self, link: MeshLink, frame: Frame) -> None:
        """Handle a request and send its answer; a failure is sent as the answer."""
        try:
            answer = await self.request_handlers[frame.kind](link.peer, frame.payload)
        except (GypsumpierError, TimeoutError, *BAD_MESSAGE_ERRORS) as error:
            log_bad_message(link, frame, error)
            answer = {FAILED: repr(error)}
        link.post(ANSWER, answer, frame.exchange, frame.kind in self.bulk_kinds)


def log_bad_message(link: MeshLink, frame: Frame, error: Exception) -> None:
    """Log a message that could not be handled."""
    decision("mesh_message_failed", peer=link.peer.name, kind=frame.kind, reason=repr(error))
