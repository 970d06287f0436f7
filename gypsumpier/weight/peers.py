"""The connected peers of an agent and the neighbours to which it keeps connections."""

from collections.abc import Iterable
from typing import Final

from gypsumpier.external.membership import Member
from gypsumpier.options import Options
from gypsumpier.weight.message import Message
from gypsumpier.weight.peer import Peer
from gypsumpier.weight.rank import score

SAME_ZONE_SHARE: Final = 0.75
"""Share of the neighbours that are chosen from the agent's own zone."""


class Peers:
    """Connected peers by name."""

    def __init__(self, options: Options) -> None:
        self.options = options
        self.by_name: dict[str, Peer] = {}
        self.neighbours: list[str] = []

    def add(self, peer: Peer) -> bool:
        """Add a peer that has sent its hello; return False where the connection is redundant.

        Where two agents have dialled each other, both keep the connection that the agent with the
        lower name has dialled.  A new incarnation replaces its predecessor's entry.
        """
        known = self.by_name.get(peer.name)
        if known is not None and not known.connection.closed and known.hello == peer.hello:
            if not self.is_preferred(peer):
                return False
            known.connection.close()
        self.by_name[peer.name] = peer
        return True

    def is_preferred(self, peer: Peer) -> bool:
        """Return whether the connection was dialled by the agent with the lower name."""
        return peer.dialled == (self.options.name < peer.name)

    def remove(self, peer: Peer) -> None:
        """Remove a peer whose connection has ended, unless another connection has replaced it."""
        if self.by_name.get(peer.name) is peer:
            del self.by_name[peer.name]

    def in_region(self, region: str) -> list[Peer]:
        """Return the connected peers of the region."""
        return [peer for peer in self.by_name.values() if peer.region == region]

    def post(self, message: Message) -> None:
        """Post a message to every peer."""
        for peer in self.by_name.values():
            peer.post(message)

    def post_in_region(self, message: Message) -> None:
        """Post a message to the peers of this agent's region."""
        for peer in self.in_region(self.options.region):
            peer.post(message)

    def all_neighbours_connected(self) -> bool:
        """Return whether every neighbour is connected."""
        return all(name in self.by_name for name in self.neighbours)


def pick_neighbours(options: Options, agents: Iterable[Member]) -> list[str]:
    """Return the names of the region's agents to connect to, those of the own zone first.

    Both agents of a pair compute the same score, so that they choose each other; the graph is
    random, and each agent has about ``weight_neighbours`` neighbours.
    """
    others = [agent for agent in agents if is_candidate(options, agent)]
    others.sort(key=lambda agent: pair_score(options.name, agent.name))
    same_zone = [agent.name for agent in others if agent.zone == options.zone]
    other_zones = [agent.name for agent in others if agent.zone != options.zone]
    same_zone_count = round(options.weight_neighbours * SAME_ZONE_SHARE)
    same_zone_count = max(same_zone_count, options.weight_neighbours - len(other_zones))
    chosen = same_zone[:same_zone_count]
    return chosen + other_zones[: options.weight_neighbours - len(chosen)]


def is_candidate(options: Options, agent: Member) -> bool:
    """Return whether the agent may be a neighbour."""
    return agent.region == options.region and agent.name != options.name and not agent.leaving


def pair_score(one: str, other: str) -> bytes:
    """Return the score of a pair of agents, the same for both orders."""
    return score(min(one, other), max(one, other))
