"""The plan of links: to which agents an entry keeps a link.

Links to every agent of a large fleet would exceed the entry's budget for control traffic.  A model
request may run on any upstream, so an entry needs links to a share of them only:

- In its own availability zone, the agents of a service are divided among the zone's entries.  Each
  agent is linked to the entries that rank first for it by rendezvous hashing.  So every agent has
  the same number of entries, independent of all other links, and an entry that joins or leaves
  moves few links.
- In all other zones together, an entry links to a few agents of each service, for requests that
  spill over.  Each entry picks other agents, so the overflow of a zone is spread over many agents.

An entry links to all agents of a service with requests that may not run twice, because the home of
a key is one specific agent, and to all agents of a small service.  Entries with different member
lists may choose differently; the only effect is that an agent has an entry more or less.
"""

from collections import Counter
from collections.abc import Iterable
from typing import Final, NamedTuple

from gypsumpier.document.service import ServiceDocument
from gypsumpier.external.membership import Member
from gypsumpier.options import Options
from gypsumpier.spread.topology import score

ENTRIES_PER_AGENT_MIN: Final = 2
"""Minimum number of entries of its zone that link to each agent, if there are as many."""


class Group(NamedTuple):
    """The agents of one service in one availability zone."""

    service: str
    zone: str


def plan_links(
    options: Options, members: Iterable[Member], documents: dict[str, ServiceDocument]
) -> set[str]:
    """Return the names of the agents to link to."""
    groups: dict[Group, list[Member]] = {}
    entries = {options.name}
    for member in members:
        if member.role == "agent":
            groups.setdefault(Group(member.service, member.zone), []).append(member)
        elif member.zone == options.zone and not member.leaving:
            entries.add(member.name)
    names: set[str] = set()
    others: dict[str, list[Member]] = {}
    for group, agents in groups.items():
        if has_key_homes(documents.get(group.service)):
            names.update(agent.name for agent in agents)
        elif group.zone == options.zone:
            names |= own_zone_share(options, agents, entries)
        else:
            others.setdefault(group.service, []).extend(agents)
    for agents in others.values():
        names |= other_zone_share(options, agents)
    return names


def has_key_homes(document: ServiceDocument | None) -> bool:
    """Return whether any agent of the service may be the home of a key.

    A service without a document gets no requests.  Its agents are linked only so that documents
    reach them, for which links to a share of them suffice.
    """
    if document is None:
        return False
    if document.kind != "model":
        return True
    return any(not route.idempotent for route in document.routes)


def own_zone_share(options: Options, agents: list[Member], entries: set[str]) -> set[str]:
    """Return the names of the agents for which this entry ranks among the first of its zone."""
    if len(agents) <= options.zone_links:
        return {agent.name for agent in agents}
    entries_per_agent = max(ENTRIES_PER_AGENT_MIN, options.zone_links * len(entries) // len(agents))
    return {
        agent.name for agent in agents if rank(options.name, agent, entries) < entries_per_agent
    }


def other_zone_share(options: Options, agents: list[Member]) -> set[str]:
    """Return the names of a few of a service's agents in other zones, different for each entry.

    They are in different zones as far as possible, so that a network partition does not cut off
    all of them.
    """
    ordered = sorted(agents, key=lambda agent: (score(options.name, agent.name), agent.name))
    earlier: Counter[str] = Counter()
    places: dict[str, int] = {}
    for agent in ordered:
        places[agent.name] = earlier[agent.zone]
        earlier[agent.zone] += 1
    ordered.sort(key=lambda agent: places[agent.name])
    return {agent.name for agent in ordered[: options.other_zone_links]}


def rank(own: str, agent: Member, entries: set[str]) -> int:
    """Return how many entries rank before this one for the agent."""
    own_score = (score(agent.name, own), own)
    return sum((score(agent.name, entry), entry) < own_score for entry in entries if entry != own)
