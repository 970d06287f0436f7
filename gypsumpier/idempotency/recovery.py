"""Whether a home knows every key that may have run before it.

A home is new when its process has just started, or when a document has moved keys to it.  What
ran before is known to the entries.  The home is complete once every listed entry has reported
its sent keys for the homes now in force; with the report an entry promises to send keys nowhere
else.  Until then no key runs here.

An entry that disappeared without a report takes its knowledge with it.  Keys that may be older
than the disappearance then wait until the resend horizon has passed; a key that proves by its
time-ordered UUID that it is younger may run.
"""

from typing import Final, NamedTuple

from gypsumpier.idempotency.key import made_at_s

ASK_AGAIN_S: Final = 0.5


class EntryId(NamedTuple):
    """One entry process."""

    name: str
    incarnation: str


class ReportedList(NamedTuple):
    """The entries on the member list, as one entry reported them at ``at_s``."""

    entries: frozenset[EntryId]
    at_s: float


class RecoveryLimits(NamedTuple):
    """Times of a succession, in seconds.

    ``horizon_s`` is how long callers may resend a key, ``settle_s`` how long a starting entry may
    be missing from the member list, ``clock_skew_s`` what callers' clocks may differ by.
    """

    horizon_s: float
    settle_s: float
    clock_skew_s: float


class HomeRecovery:
    """The state of one home's succession.  All times but the key's are monotonic seconds."""

    def __init__(self, limits: RecoveryLimits, now_s: float) -> None:
        self.limits = limits
        self.began_at_s = now_s
        self.revision = 0
        self.reports: dict[EntryId, int] = {}
        self.lists: dict[EntryId, ReportedList] = {}
        self.lost_at_s: dict[EntryId, float] = {}

    def begin(self, revision: int, now_s: float) -> None:
        """Start again, because the document of that revision moves keys."""
        self.revision = revision
        self.began_at_s = now_s

    def note_list(self, reporter: EntryId, entries: frozenset[EntryId], now_s: float) -> None:
        """Take in the entries that an entry finds on the member list now."""
        self.forget_old(now_s)
        self.lists[reporter] = ReportedList(entries, now_s)

    def note_lost(self, entry: EntryId, lost_at_s: float) -> None:
        """Note that an entry disappeared, as the list or another entry's report tells."""
        self.lost_at_s[entry] = max(lost_at_s, self.lost_at_s.get(entry, lost_at_s))

    def note_report(self, entry: EntryId, revision: int) -> None:
        """Take in that the entry has reported its keys for the homes of that revision."""
        self.reports[entry] = max(revision, self.reports.get(entry, 0))

    def wait_s(self, key: str, now_s: float, wall_s: float) -> float:
        """Return 0 where the key may run if the ledger doesn't know it, else when to come back."""
        limits = self.limits
        until_horizon_s = self.began_at_s + limits.settle_s + limits.horizon_s - now_s
        if until_horizon_s <= 0:
            return 0.0
        if now_s < self.began_at_s + limits.settle_s:
            return self.began_at_s + limits.settle_s - now_s
        if not self.all_reported():
            return min(ASK_AGAIN_S, until_horizon_s)
        lost_at_s = self.last_loss_s()
        if lost_at_s is None or lost_at_s + limits.horizon_s <= now_s:
            return 0.0
        if is_younger(key, wall_s - (now_s - lost_at_s), wall_s, limits):
            return 0.0
        return lost_at_s + limits.horizon_s - now_s

    def is_due(self, now_s: float) -> bool:
        """Tell whether lists that are read now would help."""
        settled_at_s = self.began_at_s + self.limits.settle_s
        is_open = now_s < settled_at_s + self.limits.horizon_s
        return is_open and now_s >= settled_at_s and not self.all_reported()

    def all_reported(self) -> bool:
        """Tell whether every entry has reported that any list read after settling names."""
        return bool(self.listed()) and not self.missing()

    def missing(self) -> frozenset[EntryId]:
        """Return the listed entries that have not reported."""
        return frozenset(entry for entry in self.listed() if not self.has_reported(entry))

    def listed(self) -> frozenset[EntryId]:
        """Return the entries that any list read after settling names, but for lost ones."""
        settled_at_s = self.began_at_s + self.limits.settle_s
        fresh = [
            reported.entries
            for reporter, reported in self.lists.items()
            if reported.at_s >= settled_at_s and reporter not in self.lost_at_s
        ]
        return frozenset[EntryId]().union(*fresh) - self.lost_at_s.keys()

    def forget_old(self, now_s: float) -> None:
        """Forget entries that disappeared longer ago than any caller resends."""
        kept_s = self.limits.horizon_s + self.limits.settle_s
        for entry, lost_at_s in list(self.lost_at_s.items()):
            if now_s - lost_at_s > kept_s:
                del self.lost_at_s[entry]
                self.reports.pop(entry, None)
                self.lists.pop(entry, None)

    def has_reported(self, entry: EntryId) -> bool:
        """Tell whether the entry's report is for the homes in force."""
        return self.reports.get(entry, -1) >= self.revision

    def last_loss_s(self) -> float | None:
        """Return when the last entry without a report disappeared."""
        losses = [
            lost_at_s for entry, lost_at_s in self.lost_at_s.items() if not self.has_reported(entry)
        ]
        return max(losses, default=None)


def is_younger(key: str, than_wall_s: float, wall_s: float, limits: RecoveryLimits) -> bool:
    """Tell whether the key proves that it was made after that wall-clock time."""
    made_s = made_at_s(key)
    if made_s is None or made_s > wall_s + limits.clock_skew_s:
        return False
    return made_s > than_wall_s + limits.settle_s + limits.clock_skew_s
