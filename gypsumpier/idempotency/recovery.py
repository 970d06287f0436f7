"""Recovery of a new home: whether it knows every key that may have run before.

A home is new when its process has just started, or when a document has moved keys to it.  The
entries know which keys may have run before.  Recovery is complete once every listed entry has
reported its sent keys for the home assignment in force; with the report an entry promises to send
keys to no other home.  Until then no unknown key runs here.

The keys of an entry that disappeared without a report are lost.  Keys that may be older than the
disappearance then wait until the resend horizon has passed; a key whose time-ordered UUID proves
that it is younger may run.
"""

from typing import Final, NamedTuple

from gypsumpier.idempotency.key import created_at_s

REPORT_POLL_S: Final = 0.5


class EntryId(NamedTuple):
    """One entry process."""

    name: str
    incarnation: str


class MemberListReport(NamedTuple):
    """The entries on the member list, as reported by one entry at ``at_s`` (monotonic)."""

    entries: frozenset[EntryId]
    at_s: float


class RecoveryLimits(NamedTuple):
    """Time limits of a recovery, in seconds.

    ``horizon_s`` is how long callers may resend a key, ``settle_s`` how long a starting entry may
    be missing from the member list, ``clock_skew_s`` the largest error of callers' clocks.
    """

    horizon_s: float
    settle_s: float
    clock_skew_s: float


class HomeRecovery:
    """The state of one home's recovery.  Times are monotonic seconds, except for wall-clock ones.

    ``reports`` holds the document revision of each entry's last complete report, ``lists`` the
    last member list from each entry, and ``lost_at_s`` when entries disappeared.
    """

    def __init__(self, limits: RecoveryLimits, now_s: float) -> None:
        self.limits = limits
        self.started_at_s = now_s
        self.revision = 0
        self.reports: dict[EntryId, int] = {}
        self.lists: dict[EntryId, MemberListReport] = {}
        self.lost_at_s: dict[EntryId, float] = {}

    def restart(self, revision: int, now_s: float) -> None:
        """Restart the recovery, because the document of that revision moves keys."""
        self.revision = revision
        self.started_at_s = now_s

    def record_member_list(
        self, reporter: EntryId, entries: frozenset[EntryId], now_s: float
    ) -> None:
        """Record the entries that an entry currently sees on the member list."""
        self.evict_expired(now_s)
        self.lists[reporter] = MemberListReport(entries, now_s)

    def record_loss(self, entry: EntryId, lost_at_s: float) -> None:
        """Record an entry's disappearance, seen on the member list or reported by an entry."""
        self.lost_at_s[entry] = max(lost_at_s, self.lost_at_s.get(entry, lost_at_s))

    def record_report(self, entry: EntryId, revision: int) -> None:
        """Record that the entry has reported its keys for the homes of that revision."""
        self.reports[entry] = max(revision, self.reports.get(entry, 0))

    def wait_s(self, key: str, now_s: float, wall_s: float) -> float:
        """Return 0 if a key unknown to the ledger may run, else the seconds until the next try."""
        limits = self.limits
        until_horizon_s = self.started_at_s + limits.settle_s + limits.horizon_s - now_s
        if until_horizon_s <= 0:
            return 0.0
        if now_s < self.started_at_s + limits.settle_s:
            return self.started_at_s + limits.settle_s - now_s
        if not self.all_reported():
            return min(REPORT_POLL_S, until_horizon_s)
        lost_at_s = self.last_unreported_loss_s()
        if lost_at_s is None or lost_at_s + limits.horizon_s <= now_s:
            return 0.0
        if is_created_after(key, wall_s - (now_s - lost_at_s), wall_s, limits):
            return 0.0
        return lost_at_s + limits.horizon_s - now_s

    def needs_member_lists(self, now_s: float) -> bool:
        """Return whether member lists that are read now would advance the recovery."""
        settled_at_s = self.started_at_s + self.limits.settle_s
        is_open = now_s < settled_at_s + self.limits.horizon_s
        return is_open and now_s >= settled_at_s and not self.all_reported()

    def all_reported(self) -> bool:
        """Return whether lists were read after settling and every entry on them has reported."""
        return bool(self.listed_entries()) and not self.unreported_entries()

    def unreported_entries(self) -> frozenset[EntryId]:
        """Return the listed entries that have not reported."""
        return frozenset(entry for entry in self.listed_entries() if not self.has_reported(entry))

    def listed_entries(self) -> frozenset[EntryId]:
        """Return the entries on any list read after settling, except for lost ones."""
        settled_at_s = self.started_at_s + self.limits.settle_s
        fresh = [
            reported.entries
            for reporter, reported in self.lists.items()
            if reported.at_s >= settled_at_s and reporter not in self.lost_at_s
        ]
        return frozenset[EntryId]().union(*fresh) - self.lost_at_s.keys()

    def evict_expired(self, now_s: float) -> None:
        """Evict entries that disappeared so long ago that no caller resends their keys."""
        retention_s = self.limits.horizon_s + self.limits.settle_s
        for entry, lost_at_s in list(self.lost_at_s.items()):
            if now_s - lost_at_s > retention_s:
                del self.lost_at_s[entry]
                self.reports.pop(entry, None)
                self.lists.pop(entry, None)

    def has_reported(self, entry: EntryId) -> bool:
        """Return whether the entry has reported for the home assignment in force."""
        return self.reports.get(entry, -1) >= self.revision

    def last_unreported_loss_s(self) -> float | None:
        """Return when the last entry without a report disappeared, or None without such a loss."""
        losses = [
            lost_at_s for entry, lost_at_s in self.lost_at_s.items() if not self.has_reported(entry)
        ]
        return max(losses, default=None)


def is_created_after(
    key: str, threshold_wall_s: float, wall_s: float, limits: RecoveryLimits
) -> bool:
    """Return whether the key's UUID proves that it was created after ``threshold_wall_s``.

    The proof allows for the settling time and the clock skew.
    """
    created_s = created_at_s(key)
    if created_s is None or created_s > wall_s + limits.clock_skew_s:
        return False
    return created_s > threshold_wall_s + limits.settle_s + limits.clock_skew_s
