"""To which agents an entry keeps a link.

A link to every agent of a large fleet would cost each entry more than it may spend on control.  A
model request may run on any upstream, so an entry needs a share of them only:

- In its own availability zone the agents of a service are shared out among the zone's entries.
  Each agent is linked to the entries that rank first for it by rendezvous hashing, so every agent
  has the same number of entries whatever the others hold, and an entry that comes or goes moves
  few links.
- In all other zones together an entry links to a few agents of each service, for requests that
  spill.  Other entries have others, so what a whole zone spills is spread over many agents.

A service with requests that may not run twice is linked whole, because the home of a key is one
certain agent.  A small service is linked whole as well.  Entries with different member lists may
choose differently: then an agent has an entry more or less, and nothing worse.
"""

from collections import Counter
from collections.abc import Iterable
from typing import Final, NamedTuple

from gypsumpier.document.service import ServiceDocument
from gypsumpier.external.membership import Member
from gypsumpier.options import Options
from gypsumpier.spread.topology import score

ENTRIES_PER_AGENT_MIN: Final = 2
"""Entries of its zone that every agent is linked to at least, where there are as many."""


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
    """Tell whether any agent of the service may be the home of a key.

    A service without a document gets no requests; its agents are linked to so that they hear of
    documents, and a share of them is enough for that.
    """
    if document is None:
        return False
    if document.kind != "model":
        return True
    return any(not route.idempotent for route in document.routes)


def own_zone_share(options: Options, agents: list[Member], entries: set[str]) -> set[str]:
    """Return the agents for which this entry ranks among the first of its zone."""
    if len(agents) <= options.zone_links:
        return {agent.name for agent in agents}
    entries_per_agent = max(ENTRIES_PER_AGENT_MIN, options.zone_links * len(entries) // len(agents))
    return {
        agent.name for agent in agents if rank(options.name, agent, entries) < entries_per_agent
    }


def other_zone_share(options: Options, agents: list[Member]) -> set[str]:
    """Return a few of a service's agents in other zones, others for each entry.

    They are from different zones as far as possible, so that no cut takes all of them.
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
