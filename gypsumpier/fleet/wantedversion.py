"""A version that a model's engines are to serve, and what is known of when it was named."""

from enum import IntEnum
from itertools import pairwise
from typing import Final, NamedTuple

GAIN_MIN_S: Final = 0.01
"""Seconds by which a claim must differ for the time of a version to be changed."""


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
    where an outage turns out to have been none.  ``known_by_s`` is the time at which this process
    first heard of it, from the store or a peer.  ``is_folded`` is set where the time is that of an
    older version, which was left out.
    """

    version: int
    earliest_named_at_s: float
    evidence: Evidence
    learned_at_s: float = float("-inf")
    proven_at_s: float = float("-inf")
    known_by_s: float = float("inf")
    is_folded: bool = False

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
            better = max(self, other, key=lambda found: found.evidence)
        else:
            is_earlier = self.earliest_named_at_s <= other.earliest_named_at_s
            better = self if is_earlier == (self.evidence is not Evidence.PROVEN) else other
        return self._replace(
            earliest_named_at_s=better.earliest_named_at_s,
            evidence=better.evidence,
            known_by_s=min(self.known_by_s, other.known_by_s),
        )

    def refutes(self, claim: "WantedVersion") -> bool:
        """Return whether a peer's claim is known to be later than the naming.

        It is where this process had heard of the version before; an age that lacks some of the time
        that its message took makes a claim late.  The time of a folded version is never raised.
        """
        latest_s = self.earliest_named_at_s if self.is_folded else self.known_by_s
        return claim.earliest_named_at_s > latest_s

    def is_about(self, other: "WantedVersion") -> bool:
        """Return whether both rest on the same evidence and are less than ``GAIN_MIN_S`` apart."""
        gain_s = abs(self.earliest_named_at_s - other.earliest_named_at_s)
        is_same = self.earliest_named_at_s == other.earliest_named_at_s
        return self.evidence is other.evidence and (is_same or gain_s < GAIN_MIN_S)


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
        older, newer = kept[at], kept[at + 1]
        if older.earliest_named_at_s < newer.earliest_named_at_s:
            newer = newer._replace(earliest_named_at_s=older.earliest_named_at_s, is_folded=True)
        kept[at : at + 2] = [newer]
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
