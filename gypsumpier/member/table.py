"""The instances this process knows of.

The platform's list lags, and it may be empty or contradict what is heard.  A list therefore never
removes at once: a member that it no longer names is kept while it is heard from, and for
``missing_s`` after that.  The last members of a service stay for ``LAST_KEPT_S`` even then, so a
missing or partial list does not empty a service; whether they answer is for their connections to
tell.  A member of the same name with another incarnation replaces the earlier one at once.
"""

from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

from gypsumpier.clock import Clock
from gypsumpier.codes.member import MEMBER_LIST_EMPTY, MEMBER_TABLE_FULL
from gypsumpier.log import decision
from gypsumpier.options import Options
from gypsumpier.platform.membership import Member

MEMBERS_LIMIT: Final = 16_384
LAST_KEPT_S: Final = 3600.0


class Group(NamedTuple):
    """What must not be emptied: a service's agents, or a zone's entries."""

    role: str
    label: str


class MemberTable:
    """Members by name."""

    def __init__(self, options: Options, clock: Clock) -> None:
        self.options = options
        self.clock = clock
        self.members: dict[str, Member] = {}
        self.missing_since_s: dict[str, float] = {}
        self.heard_at_s: dict[tuple[str, str], float] = {}
        self.subscribers: list[Callable[[], None]] = []

    def agents(self, service: str) -> list[Member]:
        """Return the service's agents, leaving ones included, by name."""
        return self.selected(lambda member: member.role == "agent" and member.service == service)

    def entries(self, zone: str | None = None) -> list[Member]:
        """Return the entries of the zone or of all zones, leaving ones included, by name."""
        return self.selected(
            lambda member: member.role == "entry" and (zone is None or member.zone == zone)
        )

    def selected(self, wanted: Callable[[Member], bool]) -> list[Member]:
        """Return the wanted members in the order of their names."""
        return sorted(member for member in self.members.values() if wanted(member))

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call back after each change of the table."""
        self.subscribers.append(callback)

    def heard(self, name: str, incarnation: str) -> None:
        """Note that a connection to this incarnation is alive now."""
        member = self.members.get(name)
        if member and member.incarnation == incarnation:
            self.heard_at_s[(name, incarnation)] = self.clock.monotonic()

    def take_list(self, listed: list[Member]) -> None:
        """Join a list of the platform into the table."""
        if not listed:
            if self.members:
                decision("member_list_ignored", code=MEMBER_LIST_EMPTY.number, reason="empty list")
            return
        changed = False
        for member in listed:
            changed |= self.put(member)
        names = {member.name for member in listed}
        changed |= self.drop_missing(name for name in self.members if name not in names)
        if changed:
            self.notify()

    def put(self, member: Member) -> bool:
        """Add or replace one listed member; return True where that changed the table."""
        self.missing_since_s.pop(member.name, None)
        earlier = self.members.get(member.name)
        if earlier == member:
            return False
        if earlier is None and len(self.members) >= MEMBERS_LIMIT:
            decision("member_refused", member=member.name, code=MEMBER_TABLE_FULL.number)
            return False
        if earlier and earlier.incarnation != member.incarnation:
            self.heard_at_s.pop((earlier.name, earlier.incarnation), None)
        self.members[member.name] = member
        return True

    def drop_missing(self, names: Iterable[str]) -> bool:
        """Drop those members that have been missing and silent for long enough."""
        now_s = self.clock.monotonic()
        for name in list(names):
            self.missing_since_s.setdefault(name, now_s)
        sizes = self.group_sizes()
        dropped = False
        for name in sorted(self.missing_since_s):
            group = group_of(self.members[name])
            limit_s = self.options.missing_s if sizes[group] > 1 else LAST_KEPT_S
            if self.silent_since(name, now_s) < limit_s:
                continue
            self.drop(name)
            sizes[group] -= 1
            dropped = True
        return dropped

    def silent_since(self, name: str, now_s: float) -> float:
        """Return for how many seconds the member has been both unlisted and unheard."""
        member = self.members[name]
        heard_s = self.heard_at_s.get((name, member.incarnation), float("-inf"))
        return now_s - max(heard_s, self.missing_since_s[name])

    def drop(self, name: str) -> None:
        """Remove a member and what is kept about it."""
        member = self.members.pop(name)
        self.missing_since_s.pop(name, None)
        self.heard_at_s.pop((name, member.incarnation), None)
        decision("member_dropped", member=name, reason="neither listed nor heard")

    def group_sizes(self) -> dict[Group, int]:
        """Count the members of each group."""
        sizes: dict[Group, int] = {}
        for member in self.members.values():
            group = group_of(member)
            sizes[group] = sizes.get(group, 0) + 1
        return sizes

    def notify(self) -> None:
        """Call the subscribers."""
        for subscriber in self.subscribers:
            subscriber()


def group_of(member: Member) -> Group:
    """Return the group whose last members are kept."""
    return Group(member.role, member.service or member.zone)
