"""Which agent imports which chunk into this agent's region, and from which source.

One region is the root: the store's region, if it has agents of the service.  The root region
downloads each chunk from the store once.  Each chunk has one *first* region among the others,
assigned in turn by index.  The first region imports the chunk from the root, and all other regions
import it from the first region.  So every link between two regions carries an equal part of one
copy, and all links into a region are used at the same time.

Within a region the chunks of one source are divided into slots by index.  The importer of a chunk
is the agent with the best rendezvous rank for (layout, source, slot); the next ranks take over one
after the other while the slot makes no progress.  The plan is a pure function of the member list
and the options.
"""

from typing import Final

from gypsumpier.external.membership import Member
from gypsumpier.options import Options
from gypsumpier.weight.rank import ranked, slot_ranks

STORE: Final = ""
"""Stands for the weight store where a source region is expected."""
SLOW_RANK: Final = 4
"""From this rank on, agents wait SLOW_RANK_FACTOR times as long before they take over."""
SLOW_RANK_FACTOR: Final = 4


class ImportPlan:
    """The import plan of one layout, as one agent computes it."""

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
        """Return the store's region, or the best-ranked region with agents if that has none."""
        if self.names.get(self.options.store_region):
            return self.options.store_region
        populated = [region for region in self.regions if self.names[region]]
        return ranked("root", populated)[0]

    def source(self, index: int) -> str:
        """Return the region from which this agent's region imports the chunk, or STORE."""
        own = self.options.region
        if own == self.root:
            return STORE
        first = self.non_root_regions[index % len(self.non_root_regions)]
        return self.root if first == own else first

    def slot(self, index: int, source: str) -> int:
        """Return the slot of a chunk at a source."""
        # The remainder of the index selects the source, so the slot must not depend on it.
        return index // max(1, len(self.non_root_regions)) % self.slots(source)

    def slots(self, source: str) -> int:
        """Return the number of slots into which the chunks of a source are divided."""
        wanted = self.options.importers if source == STORE else self.options.link_importers
        return max(1, wanted)

    def importers(self, index: int, source: str) -> list[str]:
        """Return the region's agents in their rank order as importers of the chunk."""
        return self.slot_importers(source)[self.slot(index, source)]

    def slot_importers(self, source: str) -> list[list[str]]:
        """Return the region's agents in rank order for each slot of a source."""
        if not self.ranked_names:
            self.ranked_names = self.rank_all()
        return self.ranked_names[source]

    def rank_all(self) -> dict[str, list[list[str]]]:
        """Return the rank order of each slot of every source.

        The slots of all links are ranked together, so that different agents import over different
        links if there are enough agents.
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
        """Return the agents of another region in their rank order as exporters."""
        return ranked(f"{self.layout}/{source}<{self.options.region}", self.names[source])


def agent_names(agents: list[Member], region: str) -> list[str]:
    """Return the names of the region's agents that aren't leaving."""
    return [agent.name for agent in agents if agent.region == region and not agent.leaving]


def takeover_s(rank: int, stall_s: float) -> float:
    """Return for how many seconds a slot must make no progress before that rank may import."""
    return rank * stall_s * (1 if rank < SLOW_RANK else SLOW_RANK_FACTOR)
