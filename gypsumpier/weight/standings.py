"""What the engines of this agent's zone serve, as their agents tell each other.

An agent posts its standing when it changes and at an interval; the others of the zone pass on what
is news to them, so it reaches agents that aren't neighbours.  It is used for one thing: an agent
that has to take its engine out of service waits for its turn in its zone.
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


class Standings:
    """The newest standing of each agent of the zone."""

    def __init__(self, context: RolloutContext, peers: Peers) -> None:
        self.context = context
        self.clock = context.clock
        self.options = context.options
        self.peers = peers
        self.known: dict[str, Standing] = {}
        self.received_at_s: dict[str, float] = {}
        self.out = False
        self.sequence = int(context.clock.wall() * 1000)
        self.posted_at_s = float("-inf")

    async def run(self) -> None:
        """Post this agent's standing when it changes and at an interval, until cancelled."""
        while True:
            self.post()
            await self.clock.sleep(CHECK_INTERVAL_S)

    def post(self) -> None:
        """Post this agent's standing if that is due."""
        live = [model.digest for model in self.context.monitor.live()]
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
        self.forward(standing, None)

    def forward(self, standing: Standing, source: Peer | None) -> None:
        """Post a standing to the peers of the zone."""
        for peer in self.peers.by_name.values():
            if peer is not source and self.is_in_zone(peer):
                peer.post(standing)

    def is_in_zone(self, peer: Peer) -> bool:
        """Tell whether the peer is in this agent's zone."""
        return peer.hello is not None and peer.hello.zone == self.options.zone

    def send_known(self, peer: Peer) -> None:
        """Tell a new peer of the zone what is known."""
        if self.is_in_zone(peer):
            for name, standing in self.known.items():
                if name == self.options.name or self.is_fresh(name):
                    peer.post(standing)

    def on_standing(self, peer: Peer, standing: Standing) -> None:
        """Take a standing where it is news and pass it on."""
        if standing.name == self.options.name:
            return
        known = self.known.get(standing.name)
        is_newer = known is None or standing.sequence > known.sequence
        if not is_newer and self.is_fresh(standing.name):
            return
        self.known[standing.name] = standing
        self.received_at_s[standing.name] = self.clock.monotonic()
        self.forward(standing, peer)

    def is_fresh(self, name: str) -> bool:
        """Tell whether a standing was heard lately."""
        received_at_s = self.received_at_s.get(name, float("-inf"))
        return self.clock.monotonic() - received_at_s < FRESH_S

    def may_leave_service(self, digest: str, max_unavailable: int) -> bool:
        """Tell whether this agent may take its engine out of service to load that digest.

        An agent that isn't known to serve counts as unavailable.  The agents that still have to
        change go in rank order, as many at a time as the bound leaves.
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
        """Return the service's agents in this zone that stay."""
        agents = self.context.members.agents(self.options.service)
        return [agent for agent in agents if agent.zone == self.options.zone and not agent.leaving]

    def serves(self, agent: Member) -> bool:
        """Tell whether the agent is known to serve some version now."""
        known = self.known.get(agent.name)
        if known is None or known.incarnation != agent.incarnation:
            return False
        return self.is_fresh(agent.name) and bool(known.live) and not known.out
