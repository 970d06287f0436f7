"""A version that a model's engines are to serve, and what is known of when it was named."""

from enum import IntEnum
from itertools import pairwise
from typing import NamedTuple


class Evidence(IntEnum):
    """What an estimate of the time of a naming rests on; more reliable evidence is greater.

    PROVEN: a lower bound, the last time at which the store is known not to have had the version.
    OBSERVED: the time at which a process of an older build heard of it.  It may be late by as long
    as the news was held up.
    AFTER_OUTAGE: the end of an outage of the store, in which the version was named.  The time of an
    outage does not count towards the time limit for a version.
    UNKNOWN: minus infinity, as the process had no proof before it learned of the version.
    """

    UNKNOWN = 0
    AFTER_OUTAGE = 1
    OBSERVED = 2
    PROVEN = 3


class WantedVersion(NamedTuple):
    """A version and the estimate of the time at which it was named, on ``boot_time_s``.

    ``learned_at_s`` is the time at which this process learned of it; minus infinity where it may
    have been named long before.  ``proven_at_s`` is the last proof before it, which holds
    where an outage turns out to have been none.
    """

    version: int
    earliest_named_at_s: float
    evidence: Evidence
    learned_at_s: float = float("-inf")
    proven_at_s: float = float("-inf")

    def without_outage(self) -> "WantedVersion":
        """Return the estimate that does not rest on an outage of the store."""
        if self.evidence is not Evidence.AFTER_OUTAGE:
            return self
        is_known = self.proven_at_s > float("-inf")
        evidence = Evidence.PROVEN if is_known else Evidence.UNKNOWN
        return self._replace(earliest_named_at_s=self.proven_at_s, evidence=evidence)

    def better_of(self, other: "WantedVersion") -> "WantedVersion":
        """Return the better of two estimates for the same version.

        Of two observed times, and of two ends of an outage, the earlier one holds, as neither is
        ever too early.  Of two proofs the later one says more.
        """
        if self.evidence != other.evidence:
            return max(self, other, key=lambda found: found.evidence)
        is_earlier = self.earliest_named_at_s <= other.earliest_named_at_s
        return self if is_earlier == (self.evidence is not Evidence.PROVEN) else other


def condensed(
    named: list[WantedVersion], most: int, settled_before_s: float
) -> list[WantedVersion]:
    """Return at most so many of a model's versions, which are sorted.

    Of two neighbours the newer one stays and counts from the naming of the older one: the pair for
    which that changes least.  So a version may be due too early, but none too late.  Versions named
    before ``settled_before_s`` are due in any case.
    """
    kept = list(named)
    while len(kept) > most:
        gaps_s = [gap_s(*pair, settled_before_s) for pair in pairwise(kept)]
        at = gaps_s.index(min(gaps_s))
        earliest_s = min(kept[at].earliest_named_at_s, kept[at + 1].earliest_named_at_s)
        kept[at : at + 2] = [kept[at + 1]._replace(earliest_named_at_s=earliest_s)]
    return kept


def gap_s(older: WantedVersion, newer: WantedVersion, settled_before_s: float) -> float:
    """Return by how many seconds the newer version is due earlier without the older one."""
    named_at_s = newer.earliest_named_at_s
    if named_at_s <= max(older.earliest_named_at_s, settled_before_s):
        return 0.0
    return named_at_s - older.earliest_named_at_s


def is_covered(claim: WantedVersion, named: list[WantedVersion]) -> bool:
    """Return whether a newer version that is known is due as early as the claimed one."""
    return any(
        wanted.version > claim.version and wanted.earliest_named_at_s <= claim.earliest_named_at_s
        for wanted in named
    )
