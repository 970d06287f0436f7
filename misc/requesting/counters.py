"""Counters read from the processes of a testbed."""

from pathlib import Path
from typing import Final, NamedTuple

import psutil

from misc.http import get_json
from misc.testbed import Testbed, local_url

ROUTE_EVENT: Final = "event=route "
NO_UPSTREAM: Final = "upstream= version="


class CacheCounts(NamedTuple):
    """Numbers of prompt blocks that engines found in their prefix cache, and that they missed."""

    hits: int
    misses: int

    def ratio_since(self, earlier: "CacheCounts") -> float:
        """Return the share of hits since the earlier counts."""
        hits, misses = self.hits - earlier.hits, self.misses - earlier.misses
        return hits / max(1, hits + misses)


def model_engines(testbed: Testbed) -> list[str]:
    """Return the names of the slots of model engines."""
    return [slot.name for slot in testbed.deployment.slots() if slot.kind == "model"]


async def cache_counts(testbed: Testbed) -> CacheCounts:
    """Return the sums of all engines' counts."""
    hits = misses = 0
    for name in model_engines(testbed):
        counts = await get_json(f"{local_url(testbed.upstreams[name].port)}/control/counts")
        hits += counts["cache_hits"]
        misses += counts["cache_misses"]
    return CacheCounts(hits, misses)


def entry_cpu_s(testbed: Testbed) -> float:
    """Return the CPU seconds that all entries have used."""
    total = 0.0
    for child in testbed.entries.values():
        times = psutil.Process(child.pid).cpu_times()
        total += times.user + times.system
    return total


def attempts_logged(testbed: Testbed) -> int:
    """Return how many attempts all entries sent to an upstream, by their logged decisions."""
    return sum(attempts_in(child.log_path) for child in testbed.entries.values())


def attempts_in(path: Path) -> int:
    """Return the number of routing decisions in a log that found an upstream."""
    with path.open() as lines:
        return sum(ROUTE_EVENT in line and NO_UPSTREAM not in line for line in lines)
