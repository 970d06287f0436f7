"""A version that a model's engines are to serve, and what is known of when it was named."""

from typing import NamedTuple


class WantedVersion(NamedTuple):
    """A version and the estimate of the time at which it was named, on ``boot_time_s``.

    An observed time is the earliest known at which some process learned of the version while its
    freshness proofs were continuous, or as an outage of the store ended.  News and messages arrive
    with a delay, so it is never too early.  A time that was not observed is a lower bound: the
    previous proof of a process that learned of the version later, or minus infinity where that
    process has just started.
    """

    version: int
    earliest_named_at_s: float
    is_observed: bool

    def better_of(self, other: "WantedVersion") -> "WantedVersion":
        """Return the more precise of two estimates for the same version.

        An observed time goes before a lower bound.  Of two observed times the earlier one is the
        more precise, of two lower bounds the later one.
        """
        if self.is_observed != other.is_observed:
            return self if self.is_observed else other
        is_earlier = self.earliest_named_at_s <= other.earliest_named_at_s
        return self if is_earlier == self.is_observed else other
