"""Who imports which chunk into this agent's region, and from where.

One region is the root: the store's own, where it has agents of the service.  The root draws each
chunk from the store once.  Each chunk has one *first* region among the others, in turn by index;
it takes the chunk from the root, and all the rest take it from there.  So every link between two
regions carries an equal part of one copy, and all of a region's incoming links work at once.

Within a region the chunks of one source fall into slots by index.  The importer of a chunk is the
agent of the best rendezvous rank for (layout, source, slot); the next ranks take over one after
the other when the slot makes no progress.  The plan is a pure function of the member list.
"""

from typing import Final

from gypsumpier.external.membership import Member
from gypsumpier.options import Options
from gypsumpier.weight.rank import ranked, slot_ranks

STORE: Final = ""
"""Stands for the weight store where a source region is asked for."""
SLOW_RANK: Final = 4
SLOW_RANK_FACTOR: Final = 4


class ImportPlan:
    """The plan of one layout as seen from one agent."""

    def __init__(self, options: Options, layout: str, agents: list[Member]) -> None:
        self.options = options
        self.layout = layout
        self.regions = sorted({agent.region for agent in agents} | {options.region})
        self.names = {region: agent_names(agents, region) for region in self.regions}
        if options.name not in self.names[options.region]:
            self.names[options.region].append(options.name)
        self.root = self.root_region()
        self.non_root_regions = [region for region in self.regions if region != self.root]
        self.ranked_names: dict[str, list[list[str]]] = {}
        self.own_ranks_by_source: dict[str, list[int]] = {}

    def root_region(self) -> str:
        """Return the store's region, or the best ranked one where that has no agents."""
        if self.names.get(self.options.store_region):
            return self.options.store_region
        populated = [region for region in self.regions if self.names[region]]
        return ranked("root", populated)[0]

    def source(self, index: int) -> str:
        """Return the region from which this agent's region takes the chunk, or STORE."""
        own = self.options.region
        if own == self.root:
            return STORE
        first = self.non_root_regions[index % len(self.non_root_regions)]
        return self.root if first == own else first

    def slot(self, index: int, source: str) -> int:
        """Return the slot of a chunk at a source."""
        # Chunks are dealt to sources by index, so the slot must not depend on the same remainder.
        return index // max(1, len(self.non_root_regions)) % self.slots(source)

    def slots(self, source: str) -> int:
        """Return into how many slots the chunks of a source fall."""
        wanted = self.options.importers if source == STORE else self.options.link_importers
        return max(1, wanted)

    def importers(self, index: int, source: str) -> list[str]:
        """Return the region's agents in the order in which they import the chunk."""
        return self.slot_importers(source)[self.slot(index, source)]

    def slot_importers(self, source: str) -> list[list[str]]:
        """Return the region's agents in rank order for each slot of a source."""
        if not self.ranked_names:
            self.ranked_names = self.rank_all()
        return self.ranked_names[source]

    def rank_all(self) -> dict[str, list[list[str]]]:
        """Return the rank order of each slot of every source.

        The slots of all links are ranked together, so that different agents import over different
        links as long as there are enough.
        """
        key = f"{self.layout}>{self.options.region}"
        names = self.names[self.options.region]
        ranks = {STORE: slot_ranks(key, names, self.slots(STORE))}
        links = [region for region in self.regions if region != self.options.region]
        count = max(1, self.options.link_importers)
        link_ranks = slot_ranks(f"{key}/links", names, count * len(links))
        for number, region in enumerate(links):
            ranks[region] = link_ranks[number * count : (number + 1) * count]
        return ranks

    def rank(self, index: int, source: str) -> int:
        """Return this agent's rank as the importer of the chunk from the source."""
        return self.own_ranks(source)[self.slot(index, source)]

    def own_ranks(self, source: str) -> list[int]:
        """Return this agent's rank for each slot of a source."""
        if source not in self.own_ranks_by_source:
            ranks = self.slot_importers(source)
            self.own_ranks_by_source[source] = [names.index(self.options.name) for names in ranks]
        return self.own_ranks_by_source[source]

    def exporters(self, source: str) -> list[str]:
        """Return the agents of another region in the order in which they are asked."""
        return ranked(f"{self.layout}/{source}<{self.options.region}", self.names[source])


def agent_names(agents: list[Member], region: str) -> list[str]:
    """Return the names of the region's agents that stay."""
    return [agent.name for agent in agents if agent.region == region and not agent.leaving]


def takeover_s(rank: int, stall_s: float) -> float:
    """Return for how long a slot must be without progress before that rank may import."""
    return rank * stall_s * (1 if rank < SLOW_RANK else SLOW_RANK_FACTOR)
