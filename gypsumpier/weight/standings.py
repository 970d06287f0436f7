"""What the engines of this agent's zone serve, as reported by their agents.

A standing is the status that an agent reports of its engine.  An agent sends it to the peers of
its zone when it changes and at an interval; they forward a standing that is new to them, so it
also reaches agents that aren't neighbours.  The time since it was made counts as time on the way.
The standings serve one purpose: an agent that has to take its engine out of service waits for its
turn in its zone.
"""

from typing import Final

from gypsumpier.external.membership import Member
from gypsumpier.weight.context import RolloutContext
from gypsumpier.weight.message import Standing
from gypsumpier.weight.peer import Peer
from gypsumpier.weight.peers import Peers
from gypsumpier.weight.rank import ranked

POST_INTERVAL_S: Final = 10.0
CHECK_INTERVAL_S: Final = 0.25
FRESH_S: Final = 25.0
"""A standing made longer ago than this is stale and isn't used."""


class Standings:
    """The newest standing of each agent of the zone, and when it was made, in monotonic seconds."""

    def __init__(self, context: RolloutContext, peers: Peers) -> None:
        self.context = context
        self.clock = context.clock
        self.options = context.options
        self.peers = peers
        self.known: dict[str, Standing] = {}
        self.made_at_s: dict[str, float] = {}
        self.out = False
        self.sequence = int(context.clock.wall() * 1000)
        self.posted_at_s = float("-inf")

    async def run(self) -> None:
        """Send this agent's standing when it changes and at an interval, until cancelled."""
        while True:
            self.post()
            await self.clock.sleep(CHECK_INTERVAL_S)

    def post(self) -> None:
        """Send this agent's standing if it has changed or POST_INTERVAL_S has passed."""
        live = [model.digest for model in self.context.unloads.live()]
        last = self.known.get(self.options.name)
        unchanged = last is not None and (last.live, last.out) == (live, self.out)
        if unchanged and self.clock.monotonic() - self.posted_at_s < POST_INTERVAL_S:
            return
        self.sequence += 1
        self.posted_at_s = self.clock.monotonic()
        standing = Standing(
            self.options.name, self.options.incarnation, self.sequence, live, self.out
        )
        self.known[standing.name] = standing
        self.forward(standing, self.posted_at_s, None)

    def forward(self, standing: Standing, made_at_s: float, source: Peer | None) -> None:
        """Send a standing made at that time to the peers of the zone other than ``source``."""
        for peer in self.peers.by_name.values():
            if peer is not source and self.is_in_zone(peer):
                peer.post(standing, made_at_s)

    def is_in_zone(self, peer: Peer) -> bool:
        """Return whether the peer is in this agent's zone."""
        return peer.hello is not None and peer.hello.zone == self.options.zone

    def send_known(self, peer: Peer) -> None:
        """Send this agent's own and all fresh standings to a new peer of the zone."""
        if self.is_in_zone(peer):
            for name, standing in self.known.items():
                if name == self.options.name:
                    peer.post(standing)
                elif self.is_fresh(name):
                    peer.post(standing, self.made_at_s[name])

    def on_standing(self, peer: Peer, standing: Standing, delay_s: float) -> None:
        """Store and forward a standing that is newer or replaces one that isn't fresh.

        It was made ``delay_s`` seconds ago; one that isn't fresh itself is ignored.
        """
        if standing.name == self.options.name or delay_s >= FRESH_S:
            return
        known = self.known.get(standing.name)
        is_newer = known is None or standing.sequence > known.sequence
        if not is_newer and self.is_fresh(standing.name):
            return
        self.known[standing.name] = standing
        made_at_s = self.clock.monotonic() - delay_s
        self.made_at_s[standing.name] = made_at_s
        self.forward(standing, made_at_s, peer)

    def is_fresh(self, name: str) -> bool:
        """Return whether the agent's standing was made less than FRESH_S ago."""
        made_at_s = self.made_at_s.get(name, float("-inf"))
        return self.clock.monotonic() - made_at_s < FRESH_S

    def may_leave_service(self, digest: str, max_unavailable: int) -> bool:
        """Return whether this agent may take its engine out of service to load that digest.

        An agent that isn't known to serve counts as unavailable.  Agents that still have to change
        versions leave service in rank order, as many at a time as ``max_unavailable`` permits.
        """
        others = [agent for agent in self.zone_agents() if agent.name != self.options.name]
        unavailable = [agent for agent in others if not self.serves(agent)]
        order = ranked(digest, [agent.name for agent in others] + [self.options.name])
        own_rank = order.index(self.options.name)
        ahead = [
            agent
            for agent in others
            if self.serves(agent)
            and order.index(agent.name) < own_rank
            and digest not in self.known[agent.name].live
        ]
        return len(unavailable) + len(ahead) < max_unavailable

    def zone_agents(self) -> list[Member]:
        """Return the service's agents in this zone that aren't leaving."""
        agents = self.context.members.agents(self.options.service)
        return [agent for agent in agents if agent.zone == self.options.zone and not agent.leaving]

    def serves(self, agent: Member) -> bool:
        """Return whether a fresh standing shows that the agent's engine serves some version."""
        known = self.known.get(agent.name)
        if known is None or known.incarnation != agent.incarnation:
            return False
        return self.is_fresh(agent.name) and bool(known.live) and not known.out
