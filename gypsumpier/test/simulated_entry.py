"""An entry in virtual time: real selection, admission and exchange of loads, no network."""

import asyncio
from typing import TYPE_CHECKING, Any, Final

from gypsumpier.gateway.loadshare import LoadShare
from gypsumpier.gateway.refusal import Refusal
from gypsumpier.gateway.silenceshare import SilenceShare
from gypsumpier.mesh.peer import Peer
from gypsumpier.test.builders_gateway import admission_of, demand_of, request_of, selector_of
from gypsumpier.test.builders_platform import ENGINES
from gypsumpier.test.fakes_piece import entry_peer
from gypsumpier.upstream.enginestate import EngineState

if TYPE_CHECKING:
    from gypsumpier.test.simulated_entries import SimulatedEntries

IN_ZONE_S: Final = 0.002
"""Seconds until a message within a zone is handled."""
CROSS_ZONE_S: Final = 0.004
"""Seconds until a message to another zone is handled."""
ADMITTED_BEFORE: Final = 16
"""Requests that an entry has admitted just before; admission estimates waits by them."""


class EntryMesh:
    """The connections of one entry to all others, over which it has ``sent`` so many messages.

    While it ``is_silent``, nothing that it sends or is sent arrives.
    """

    def __init__(self, fleet: "SimulatedEntries", own: Peer) -> None:
        self.fleet = fleet
        self.own = own
        self.listeners: dict[str, Any] = {}
        self.on_peer_connected: list[Any] = []
        self.sent = 0
        self.is_silent = False

    def peers(self, role: str, zone: str = "") -> list[Peer]:
        return [peer for peer in self.fleet.peers(zone) if peer is not self.own]

    def post_all(self, peers: list[Peer], kind: str, payload: dict[str, Any]) -> None:
        loop = asyncio.get_running_loop()
        for peer in peers:
            self.sent += 1
            delay_s = IN_ZONE_S if peer.zone == self.own.zone else CROSS_ZONE_S
            mesh = self.fleet.meshes[peer.name]
            loop.call_later(delay_s, mesh.receive, self, kind, payload)

    def receive(self, sender: "EntryMesh", kind: str, payload: dict[str, Any]) -> None:
        """Handle a message, unless one of its ends is silent."""
        if not (self.is_silent or sender.is_silent):
            self.listeners[kind](sender.own, payload)


class SimulatedEntry:
    """One entry; ``admitted_after_s`` and ``refused`` tell what became of its requests."""

    def __init__(self, fleet: "SimulatedEntries", name: str, zone: str, count: int) -> None:
        self.fleet = fleet
        self.mesh = EntryMesh(fleet, entry_peer(name, zone))
        self.selector = selector_of(fleet.state, zone)
        self.admission = admission_of(fleet.state, self.selector)
        self.admission.entry_count = count
        self.share = LoadShare(self.mesh, self.selector, demand_of(self.mesh))  # type: ignore[arg-type]
        self.share.on_change.append(self.admission.handle_peer_news)
        streams = self.admission.streams
        self.silence_share = SilenceShare(self.mesh, self.selector, self.share, streams)  # type: ignore[arg-type]
        self.silence_share.on_change.append(self.admission.handle_peer_news)
        self.admitted_after_s: list[float] = []
        self.first_event_after_s: list[float] = []
        self.refused = 0
        self.tasks: list[asyncio.Task[None]] = []
        for _ in range(ADMITTED_BEFORE):
            self.admission.queue(ENGINES).record_granted()

    async def run(self, delay_s: float) -> None:
        """Exchange news and dispatch the queue until cancelled, from ``delay_s`` on."""
        await asyncio.sleep(delay_s)
        await asyncio.gather(self.share.run(), self.silence_share.run(), self.admission.run())

    def send(self, **fields: Any) -> None:
        """Start a request to the engines, as from a caller."""
        self.tasks.append(asyncio.create_task(self.serve(**fields)))

    async def serve(self, **fields: Any) -> None:
        """Admit a request and let an engine run it."""
        request = request_of(self.fleet.state, **fields)
        try:
            record = await self.admission.enter(request)
        except Refusal:
            self.refused += 1
            return
        self.admitted_after_s.append(request.age_s())

        def on_read() -> None:
            self.admission.record_prompt_read(request, record)
            self.first_event_after_s.append(request.age_s())

        await self.fleet.engines[record.id].run(request.head.prompt_tokens, on_read)
        self.admission.leave(request, record)

    def learn(self, state: EngineState) -> None:
        """Learn of an engine's state."""
        self.selector.record_engine_state(state)
        self.admission.dispatch_all()
