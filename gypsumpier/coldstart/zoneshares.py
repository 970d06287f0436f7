"""This entry's shares, by the entries of its zone that may use one."""

from typing import Final, Protocol

from gypsumpier.coldstart.knownentries import KnownEntries
from gypsumpier.coldstart.seedproofs import SeedProofs
from gypsumpier.coldstart.share import equal_share, is_chosen
from gypsumpier.fleet.clock import boot_time_s
from gypsumpier.fleet.node import Address
from gypsumpier.mesh.peer import Peer

JOIN_S: Final = 2.0
"""Seconds from its start in which an entry uses no share: what an earlier process of the same name
sent in its last second counts against the same share."""
COUNT_KEPT_S: Final = 0.01
"""Seconds for which a count of entries is used again: a choice asks for each cold upstream.  An
entry that is not counted yet uses no share for far longer."""


class SeedSource(Protocol):
    """This process and the seeds of its settings; a mesh is one."""

    own: Peer
    seeds: tuple[Address, ...]


class ZoneShares:
    """Shares by the number of entries of the zone, as this entry and the seeds know it.

    Once it ``has_left``, this entry uses no share.  ``chosen`` keeps for which runs it is one of
    those with a request a second, where there are more entries than the allowance has requests.
    """

    def __init__(self, mesh: SeedSource, known: KnownEntries, proofs: SeedProofs) -> None:
        self.mesh = mesh
        self.known = known
        self.proofs = proofs
        self.started_at_s = boot_time_s()
        self.has_left = False
        self.chosen: dict[tuple[tuple[str, int], float], bool] = {}
        self.chosen_among = 0
        self.counted: int | None = None
        self.counted_at_s = float("-inf")

    def entry_count(self) -> int | None:
        """Return how many entries may use a share, this one among them.

        None while this entry must not use any.
        """
        now_s = boot_time_s()
        if now_s - self.counted_at_s >= COUNT_KEPT_S:
            self.counted = self.counted_now(now_s)
            self.counted_at_s = now_s
        return None if self.has_left else self.counted

    def counted_now(self, now_s: float) -> int | None:
        """Return the same without the use of an earlier count."""
        own, running_s = self.mesh.own, now_s - self.started_at_s
        if running_s < JOIN_S:
            return None
        address = Address(own.host, own.port)
        counted = self.proofs.counted_by(self.mesh.seeds, address, running_s)
        if counted is None:
            return None
        return max(counted, self.known_count())

    def known_count(self) -> int:
        """Return how many entries of the zone are known here, this one among them."""
        names = self.known.names(self.mesh.own.zone)
        return len(names) + (self.mesh.own.name not in names)

    def share(self, run: tuple[str, int], allowance: float) -> int:
        entries = self.entry_count()
        if entries is None:
            return 0
        equal = equal_share(allowance, entries)
        if equal or entries > self.known_count():
            # Which entries are chosen can only be told by the names of all of them.
            return equal
        if entries != self.chosen_among:
            self.chosen.clear()
            self.chosen_among = entries
        key = run, allowance
        if key not in self.chosen:
            own = self.mesh.own
            names = self.known.names(own.zone)
            self.chosen[key] = is_chosen(allowance, run, own.name, names)
        return int(self.chosen[key])
