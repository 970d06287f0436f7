"""Exchanges between entries the requests in flight per upstream and the states of engines.

Entries of one zone send their own loads to each other.  Other zones get the sum of the zone, as
messages between regions share a narrow link: the first entry of a zone by name sends it to the
first entries of each other zone, which pass it on with their own loads.  So the messages of an
entry do not grow with the number of entries in other zones.  Two entries of a zone pass on, and the
first one that is not silent sends, so that a silent one costs a second of knowledge at most.
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
"""Shortest time, in seconds, between two messages of changed loads within an availability zone."""
ZONE_MESSAGES_PER_S: Final = 350.0
"""Messages of loads a second that an entry sends within its zone at most: the interval grows with
the zone, and so it gets no more than that from all of its zone."""
CROSS_ZONE_INTERVAL_S: Final = 0.12
"""Shortest time, in seconds, between two sums of a zone that are sent to the others, whose links
are narrow."""
CROSS_ZONE_MESSAGES_PER_S: Final = 100.0
"""Messages with the sum of a zone that its sender sends in a second at most."""
RELAYS_PER_ZONE: Final = 2
"""Entries of a zone that send engine states to other zones and pass on what these send."""
STATES_INTERVAL_S: Final = 5.0
"""Seconds between two messages with the states of all engines of a zone to the other zones."""
SILENT_S: Final = 1.0
"""Seconds without loads of an entry after which the next one sends the sum of the zone; longer than
the interval at which unchanged loads are sent again."""
RESEND_INTERVAL_S: Final = 0.8
"""Seconds after which unchanged loads are sent again, before a peer drops them as stale."""


SentLoads = tuple[dict[str, Load], dict[str, int], float]
"""The loads and queue lengths that were sent last, and when, in monotonic seconds."""


class LoadShare:
    """Sends and receives loads and engine states; calls ``on_change`` after received ones.

    ``zone_sums`` are the messages of other zones that are to be passed on, with the monotonic times
    at which they arrived.
    """

    def __init__(self, mesh: Mesh, selector: UpstreamSelector, demand: DemandShares) -> None:
        self.mesh = mesh
        self.selector = selector
        self.demand = demand
        self.sent_in_zone: SentLoads = ({}, {}, 0.0)
        self.sent_to_zones: SentLoads = ({}, {}, 0.0)
        self.began_at_s = time.monotonic()
        self.cross_zone_at_s = float("-inf")
        self.states_at_s = self.began_at_s
        self.zone_sums: dict[str, tuple[dict[str, Any], float]] = {}
        self.changed_states: dict[str, EngineState] = {}
        self.on_change: list[Any] = []
        mesh.listeners[LOAD] = self.on_loads
        mesh.listeners[ENGINE] = self.on_engine
        mesh.listeners[ENGINES] = self.on_engines
        mesh.on_peer_connected.append(self.send_states)

    async def run(self) -> None:
        """Send loads and engine states whenever they have changed; never returns."""
        while True:
            await asyncio.sleep(zone_interval_s(len(self.zone_peers())))
            self.send_round()

    def send_round(self) -> None:
        """Send what is due to the own zone and, from its first entries, to the other zones."""
        self.sent_in_zone = self.send_loads(
            self.zone_peers(),
            self.sent_in_zone,
            dict(self.selector.own_loads),
            dict(self.selector.own_waiting),
            self.demand_fields(self.demand.own_demand) | self.passed_on(),
        )
        relays = self.other_relays()
        now_s = time.monotonic()
        if self.is_relay():
            self.send_changed_states(relays, now_s)
        self.changed_states.clear()
        if now_s - self.cross_zone_at_s >= cross_zone_interval_s(len(relays)):
            self.cross_zone_at_s = now_s
            self.send_zone_sum(relays)

    def send_changed_states(self, relays: list[Peer], now_s: float) -> None:
        """Send changed engine states to the relays of other zones, and all of them at intervals.

        A relay may end before it has passed a change on.
        """
        if now_s - self.states_at_s >= STATES_INTERVAL_S:
            self.states_at_s = now_s
            self.mesh.post_all(relays, ENGINES, {"states": self.zone_states(), "all": True})
        elif self.changed_states:
            states = [state.as_list() for state in self.changed_states.values()]
            self.mesh.post_all(relays, ENGINES, {"states": states})

    def send_zone_sum(self, relays: list[Peer]) -> None:
        """Send the sum of the zone to the other zones, unless an entry before this one does."""
        running_s = time.monotonic() - self.began_at_s
        if any(
            min(running_s, self.selector.load_age_s(peer.name)) < SILENT_S
            for peer in self.preceding()
        ):
            return
        names = [peer.name for peer in self.zone_peers()]
        self.sent_to_zones = self.send_loads(
            relays,
            self.sent_to_zones,
            self.selector.summed_loads(names),
            self.selector.summed_waiting(names),
            {"zone": self.mesh.own.zone} | self.demand_fields(self.demand.zone_demand),
        )

    def zone_peers(self) -> list[Peer]:
        """Return the other entries of the own zone, by name."""
        return self.mesh.peers(ENTRY, self.mesh.own.zone)

    def preceding(self) -> list[Peer]:
        """Return the entries of the own zone that stand before this one by name."""
        return [peer for peer in self.zone_peers() if peer.name < self.mesh.own.name]

    def is_relay(self) -> bool:
        """Return whether this entry is one of the first of its zone by name."""
        return len(self.preceding()) < RELAYS_PER_ZONE

    def other_relays(self) -> list[Peer]:
        """Return the first entries of each other zone by name, which pass messages on there."""
        by_zone: dict[str, list[Peer]] = {}
        for peer in self.mesh.peers(ENTRY):
            if peer.zone != self.mesh.own.zone:
                by_zone.setdefault(peer.zone, []).append(peer)
        return [relay for found in by_zone.values() for relay in found[:RELAYS_PER_ZONE]]

    def passed_on(self) -> dict[str, Any]:
        """Return the field with the sums of other zones that have arrived here, with their ages."""
        now_s = time.monotonic()
        sums = [[zone_sum, now_s - at_s] for zone_sum, at_s in self.zone_sums.values()]
        self.zone_sums.clear()
        return {"zones": sums} if sums else {}

    def send_states(self, link: MeshLink) -> None:
        """Send the states of the own zone's engines to an entry of another zone that has connected.

        Changes that it missed while it was not connected are not sent again at once otherwise.
        """
        own, peer = self.mesh.own, link.peer
        if peer.role != ENTRY or peer.zone == own.zone or not self.is_relay():
            return
        states = self.zone_states()
        if states:
            self.mesh.post(peer.name, ENGINES, {"states": states})

    def zone_states(self) -> list[list[Any]]:
        """Return the states of the own zone's engines, for a message."""
        return [
            state.as_list()
            for record in self.selector.fleet_state.upstreams.values()
            if record.zone == self.mesh.own.zone
            and (state := self.selector.engine(record)) is not None
        ]

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
        is_same = (loads, waiting) == (sent_loads, sent_waiting) and "zones" not in extra_fields
        if is_same and now_s - at_s < RESEND_INTERVAL_S:
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
        zone = str(payload.get("zone", ""))
        self.record_loads(peer, zone, payload, 0.0)
        if zone and zone != self.mesh.own.zone and self.is_relay():
            self.zone_sums[zone] = payload, time.monotonic()
        for zone_sum, age_s in payload.get("zones", ()):
            self.record_loads(peer, str(zone_sum["zone"]), zone_sum, max(0.0, float(age_s)))
        for listener in self.on_change:
            listener()

    def record_loads(self, peer: Peer, zone: str, payload: dict[str, Any], age_s: float) -> None:
        """Record loads that were sent ``age_s`` seconds ago, by an entry or as those of a zone."""
        loads = {
            str(name): Load(int(count), int(unread))
            for name, (count, unread) in payload["loads"].items()
        }
        demand = {
            str(name): finite_rate(per_s) for name, per_s in payload.get("demand", {}).items()
        }
        found = payload.get("waiting", {}).items()
        waiting = {str(service): max(0, int(count)) for service, count in found}
        self.selector.record_peer_loads(zone or peer.name, loads, waiting, age_s, zone)
        if demand:
            self.demand.record(peer, zone, demand)

    def on_engines(self, peer: Peer, payload: dict[str, Any]) -> None:
        """Handle states of another zone's engines; the first entries of a zone pass them on.

        Only news are passed on, except from a message that is to reach all entries.
        """
        states = [engine_state_from(fields) for fields in payload["states"]]
        news = [state for state in states if self.selector.record_engine_state(state)]
        news = states if payload.get("all") else news
        if news and peer.zone != self.mesh.own.zone and self.is_relay():
            payload = {"states": [state.as_list() for state in news]}
            self.mesh.post_all(self.zone_peers(), ENGINES, payload)
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


def zone_interval_s(peer_count: int) -> float:
    """Return the seconds between two messages of loads to so many peers of the zone."""
    return max(ZONE_INTERVAL_S, peer_count / ZONE_MESSAGES_PER_S)


def cross_zone_interval_s(relay_count: int) -> float:
    """Return the seconds between two sums of a zone that are sent to so many relays."""
    return max(CROSS_ZONE_INTERVAL_S, relay_count / CROSS_ZONE_MESSAGES_PER_S)
