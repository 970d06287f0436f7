"""Exchanges between entries the requests in flight per upstream and the states of engines.

Entries of one zone send their own loads to each other.  Other zones get the sum of the zone from
its first entry by name, as messages between regions share a narrow link.
"""

import asyncio
import time
from collections.abc import Callable
from typing import Any, Final

from gypsumpier.mesh.link import MeshLink
from gypsumpier.mesh.mesh import ENTRY, Mesh
from gypsumpier.mesh.peer import Peer
from gypsumpier.ratelimit.demand import DemandShares, finite_rate
from gypsumpier.upstream.enginestate import EngineState, engine_state_from
from gypsumpier.upstream.peerloads import Load
from gypsumpier.upstream.selector import UpstreamSelector

LOAD: Final = "load"
ENGINE: Final = "engine"
ENGINES: Final = "engines"
ZONE_INTERVAL_S: Final = 0.02
"""Seconds between two messages of changed loads within an availability zone."""
ROUNDS_PER_CROSS_ZONE_SEND: Final = 6
"""Rounds within the zone per message to other zones, whose links are narrow."""
ENGINE_SENDERS_PER_ZONE: Final = 2
"""Entries of a zone that send its engine states to the other zones."""
RESEND_INTERVAL_S: Final = 0.8
"""Seconds after which unchanged loads are sent again, before a peer drops them as stale."""


SentLoads = tuple[dict[str, Load], dict[str, int], float]
"""The loads and queue lengths that were sent last, and when, in monotonic seconds."""


class LoadShare:
    """Sends and receives loads and engine states; calls ``on_change`` after received ones."""

    def __init__(self, mesh: Mesh, selector: UpstreamSelector, demand: DemandShares) -> None:
        self.mesh = mesh
        self.selector = selector
        self.demand = demand
        self.sent_in_zone: SentLoads = ({}, {}, 0.0)
        self.sent_to_zones: SentLoads = ({}, {}, 0.0)
        self.changed_states: dict[str, EngineState] = {}
        self.on_change: list[Any] = []
        mesh.listeners[LOAD] = self.on_loads
        mesh.listeners[ENGINE] = self.on_engine
        mesh.listeners[ENGINES] = self.on_engines
        mesh.on_peer_connected.append(self.send_states)

    async def run(self) -> None:
        """Send loads and engine states whenever they have changed; never returns."""
        rounds = 0
        while True:
            await asyncio.sleep(ZONE_INTERVAL_S)
            rounds += 1
            own_zone = self.mesh.own.zone
            peers = self.mesh.peers(ENTRY)
            zone_peers = [peer for peer in peers if peer.zone == own_zone]
            self.sent_in_zone = self.send_loads(
                zone_peers,
                self.sent_in_zone,
                dict(self.selector.own_loads),
                dict(self.selector.own_waiting),
                self.demand_fields(self.demand.own_demand),
            )
            if rounds % ROUNDS_PER_CROSS_ZONE_SEND and not self.changed_states:
                continue
            rounds = 0
            rank = sum(peer.name < self.mesh.own.name for peer in zone_peers)
            other_zone_peers = [peer for peer in peers if peer.zone != own_zone]
            if rank == 0:
                names = [peer.name for peer in zone_peers]
                self.sent_to_zones = self.send_loads(
                    other_zone_peers,
                    self.sent_to_zones,
                    self.selector.summed_loads(names),
                    self.selector.summed_waiting(names),
                    {"zone": own_zone} | self.demand_fields(self.demand.zone_demand),
                )
            if self.changed_states and rank < ENGINE_SENDERS_PER_ZONE:
                states = [state.as_list() for state in self.changed_states.values()]
                self.mesh.post_all(other_zone_peers, ENGINES, {"states": states})
            self.changed_states.clear()

    def send_states(self, link: MeshLink) -> None:
        """Send the states of the own zone's engines to an entry of another zone that has connected.

        Changes that it missed while it was not connected are not sent again otherwise.
        """
        own, peer = self.mesh.own, link.peer
        zone_peers = self.mesh.peers(ENTRY, own.zone)
        rank = sum(found.name < own.name for found in zone_peers)
        if peer.role != ENTRY or peer.zone == own.zone or rank >= ENGINE_SENDERS_PER_ZONE:
            return
        states = [
            state.as_list()
            for record in self.selector.fleet_state.upstreams.values()
            if record.zone == own.zone and (state := self.selector.engine(record)) is not None
        ]
        if states:
            self.mesh.post(peer.name, ENGINES, {"states": states})

    def send_loads(
        self,
        peers: list[Peer],
        last_sent: SentLoads,
        loads: dict[str, Load],
        waiting: dict[str, int],
        extra_fields: dict[str, Any],
    ) -> SentLoads:
        """Send what has changed or is due again; return what was sent last."""
        sent_loads, sent_waiting, at_s = last_sent
        now_s = time.monotonic()
        if (loads, waiting) == (sent_loads, sent_waiting) and now_s - at_s < RESEND_INTERVAL_S:
            return last_sent
        packed = {name: list(load) for name, load in loads.items()}
        payload = {"loads": packed, "waiting": waiting, **extra_fields}
        self.mesh.post_all(peers, LOAD, payload)
        return loads, waiting, now_s

    def demand_fields(self, demand_per_s: Callable[[str], float]) -> dict[str, Any]:
        """Return the field with the demand for each service that has a limited upstream."""
        services = self.selector.limited_services()
        return {"demand": {name: demand_per_s(name) for name in services}} if services else {}

    def on_loads(self, peer: Peer, payload: dict[str, Any]) -> None:
        """Handle the loads of another entry, or the summed loads of another zone.

        Raises ValueError or TypeError if a load is malformed.
        """
        loads = {
            str(name): Load(int(count), int(unread))
            for name, (count, unread) in payload["loads"].items()
        }
        demand = {
            str(name): finite_rate(per_s) for name, per_s in payload.get("demand", {}).items()
        }
        zone = str(payload.get("zone", ""))
        found = payload.get("waiting", {}).items()
        waiting = {str(service): max(0, int(count)) for service, count in found}
        self.selector.record_peer_loads(zone or peer.name, loads, waiting)
        if demand:
            self.demand.record(peer, zone, demand)
        for listener in self.on_change:
            listener()

    def on_engines(self, peer: Peer, payload: dict[str, Any]) -> None:
        """Handle engine states that an entry of another zone forwards."""
        for state_fields in payload["states"]:
            self.selector.record_engine_state(engine_state_from(state_fields))
        for listener in self.on_change:
            listener()

    def on_engine(self, peer: Peer, payload: dict[str, Any]) -> None:
        """Handle the state that a sidecar sends, and queue relevant changes for other zones.

        A change of the counts alone is not forwarded.
        """
        state = engine_state_from(payload["state"])
        previous = self.selector.engines.get(state.address)
        if not self.selector.record_engine_state(state):
            return
        is_changed = previous is None or previous._replace(
            sequence=0, active=0, queued=0
        ) != state._replace(sequence=0, active=0, queued=0)
        if is_changed and peer.zone == self.mesh.own.zone:
            self.changed_states[state.address] = state
        for listener in self.on_change:
            listener()
