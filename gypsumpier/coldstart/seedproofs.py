"""Whether every entry that uses a share counts this one.

An entry uses a share only while a majority of the seeds has told it, within the last ``LEASE_S``,
that they have known its name for ``KNOWN_MIN_S``.  Two such entries have a seed in common.  That
seed knew the name of each of them when it sent its last message to the other, as it had known both
for longer than a message counts; a seed that restarts forgets the names, and does not count until
every message of its earlier run has expired.
"""

from collections.abc import Iterable
from typing import Final

from gypsumpier.coldstart.seedproof import SeedProof
from gypsumpier.fleet.clock import boot_time_s
from gypsumpier.fleet.node import Address

LEASE_S: Final = 10.0
"""Seconds for which a seed's message counts.  At 380 entries a seed's messages are 4.75 s apart, so
one may be lost."""
KNOWN_MIN_S: Final = 12.0
"""Seconds for which a seed must have known a name: longer than a message counts, by more than a
message is under way and clocks differ in rate."""


class SeedProofs:
    """The newest message of each seed, by its address."""

    def __init__(self) -> None:
        self.proofs: dict[Address, SeedProof] = {}

    def record(self, seed: Address, proof: SeedProof) -> None:
        """Record a message, unless a newer one of that seed is known."""
        known = self.proofs.get(seed)
        if known is None or proof.sent_at_s >= known.sent_at_s:
            self.proofs[seed] = proof

    def counted_by(self, seeds: Iterable[Address], own: Address, running_s: float) -> int | None:
        """Return how many entries of the zone the seeds know; None without a majority of seeds.

        ``own`` is this entry's address and ``running_s`` the seconds since its start: where it is a
        seed itself, it counts for itself like any other.
        """
        now_s, wanted = boot_time_s(), set(seeds)
        valid, entries = 0, 0
        for seed in wanted:
            if seed == own:
                valid += running_s >= KNOWN_MIN_S
                continue
            proof = self.proofs.get(seed)
            if proof is None or now_s - proof.sent_at_s >= LEASE_S:
                continue
            if proof.known_s >= KNOWN_MIN_S:
                valid += 1
                entries = max(entries, proof.entries)
        return entries if 2 * valid > len(wanted) else None

    def retain(self, seeds: Iterable[Address]) -> None:
        """Drop the messages of processes that are no longer seeds."""
        kept = set(seeds)
        self.proofs = {seed: proof for seed, proof in self.proofs.items() if seed in kept}
