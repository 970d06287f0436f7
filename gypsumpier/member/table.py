"""The instances this process knows of.

Three sources are joined.  The platform's list, read here or passed on by a peer, lags and may be
empty or contradictory.  An instance introduces itself on each connection, and a living connection
tells that its incarnation is there.  The rules:

- A list never removes at once.  A member that it does not name stays while it is heard from and
  for ``missing_s`` after that.  Where the list names no member at all of a service, or of a zone's
  entries, the known ones stay for LAST_KEPT_S: whether they answer is for their connections to
  tell.
- An empty list is ignored.
- Another incarnation of a name replaces the earlier one, except that a list does not replace an
  incarnation that is heard from now: the list is then older than the connection.
- A member that said itself that it is leaving is leaving, whatever a list says.

An agent's table holds the agents of its own service, and the entries that have introduced
themselves; an entry's holds all.
"""

from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

from gypsumpier.clock import Clock
from gypsumpier.codes.member import (
    MEMBER_LIST_CONTRADICTORY,
    MEMBER_LIST_EMPTY,
    MEMBER_MALFORMED,
    MEMBER_TABLE_FULL,
)
from gypsumpier.external.membership import Member
from gypsumpier.log import decision
from gypsumpier.member.journal import Journal
from gypsumpier.options import Options

MEMBERS_LIMIT: Final = 16_384
UNLISTED_GROUP_RETENTION_S: Final = 3600.0
LIVENESS_WINDOW_S: Final = 2.0
TEXT_MAX_CHARACTERS: Final = 255
PORT_MAX: Final = 65_535


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
        self.journal = Journal()
        self.missing_since_s: dict[str, float] = {}
        self.alive_at_s: dict[str, float] = {}
        self.leaving_incarnations: dict[str, str] = {}
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

    def mark_alive(self, name: str, incarnation: str) -> None:
        """Note that a connection to this incarnation is alive now."""
        member = self.members.get(name)
        if member and member.incarnation == incarnation:
            self.alive_at_s[name] = self.clock.monotonic()

    def merge_self_report(self, member: Member) -> None:
        """Take what an instance says of itself on a connection to it."""
        known = member.name in self.members
        changed = self.put(member)
        if member.name not in self.members:
            return
        if member.leaving:
            self.leaving_incarnations[member.name] = member.incarnation
        if not known:
            self.missing_since_s[member.name] = self.clock.monotonic()
        self.mark_alive(member.name, member.incarnation)
        if changed:
            self.notify()

    def merge_list(self, listed: list[Member]) -> None:
        """Join a whole list of the platform into the table."""
        if not listed:
            if self.members:
                decision("member_list_ignored", code=MEMBER_LIST_EMPTY.number, reason="empty list")
            return
        names = {member.name for member in listed}
        concerned = [name for name, member in self.members.items() if self.is_in_scope(member)]
        self.merge_changes(listed, [name for name in concerned if name not in names])

    def merge_changes(self, put: list[Member], gone: Iterable[str]) -> None:
        """Join changes of a list into the table."""
        changed = False
        for member in put:
            if self.is_in_scope(member):
                changed |= self.put_listed(member)
        now_s = self.clock.monotonic()
        for name in gone:
            if name in self.members:
                self.missing_since_s.setdefault(name, now_s)
        if changed | self.drop_missing():
            self.notify()

    def is_in_scope(self, member: Member) -> bool:
        """Tell whether lists are to say anything about the member."""
        return self.options.role != "agent" or member.service == self.options.service

    def put_listed(self, member: Member) -> bool:
        """Join one listed member; return True where that changed the table."""
        self.missing_since_s.pop(member.name, None)
        earlier = self.members.get(member.name)
        if earlier and earlier.incarnation != member.incarnation and self.is_alive(member.name):
            decision(
                "member_list_contradicted",
                member=member.name,
                code=MEMBER_LIST_CONTRADICTORY.number,
                reason="another incarnation is heard from",
            )
            return False
        if self.leaving_incarnations.get(member.name) == member.incarnation:
            member = member._replace(leaving=True)
        return self.put(member)

    def put(self, member: Member) -> bool:
        """Add or replace one member; return True where that changed the table."""
        earlier = self.members.get(member.name)
        if earlier == member:
            return False
        if not is_well_formed(member):
            decision("member_refused", member=ascii(member.name), code=MEMBER_MALFORMED.number)
            return False
        if earlier is None and len(self.members) >= MEMBERS_LIMIT:
            decision("member_refused", member=member.name, code=MEMBER_TABLE_FULL.number)
            return False
        if earlier and earlier.incarnation != member.incarnation:
            self.alive_at_s.pop(member.name, None)
        if self.leaving_incarnations.get(member.name, member.incarnation) != member.incarnation:
            del self.leaving_incarnations[member.name]
        self.members[member.name] = member
        self.journal.note_change(member.name)
        return True

    def is_alive(self, name: str) -> bool:
        """Tell whether a connection to the member's incarnation is alive."""
        alive_s = self.alive_at_s.get(name, float("-inf"))
        return self.clock.monotonic() - alive_s < LIVENESS_WINDOW_S

    def sweep(self) -> None:
        """Drop the members whose time has run out; called now and then."""
        if self.drop_missing():
            self.notify()

    def drop_missing(self) -> bool:
        """Drop those members that have been missing and silent for long enough."""
        if not self.missing_since_s:
            return False
        now_s = self.clock.monotonic()
        listed = self.listed_groups()
        dropped = False
        for name in sorted(self.missing_since_s):
            is_listed = group_of(self.members[name]) in listed
            limit_s = self.options.missing_s if is_listed else UNLISTED_GROUP_RETENTION_S
            if now_s - self.last_seen_s(name) >= limit_s:
                self.drop(name)
                dropped = True
        return dropped

    def last_seen_s(self, name: str) -> float:
        """Return when the member was last listed or heard."""
        return max(self.alive_at_s.get(name, float("-inf")), self.missing_since_s[name])

    def drop(self, name: str) -> None:
        """Remove a member and what is kept about it."""
        del self.members[name]
        del self.missing_since_s[name]
        self.alive_at_s.pop(name, None)
        self.leaving_incarnations.pop(name, None)
        self.journal.note_drop(name)
        decision("member_dropped", member=name, reason="neither listed nor heard")

    def listed_groups(self) -> set[Group]:
        """Return the groups of which the list names a member."""
        return {
            group_of(member)
            for name, member in self.members.items()
            if name not in self.missing_since_s
        }

    def notify(self) -> None:
        """Call the subscribers."""
        for subscriber in self.subscribers:
            subscriber()


def is_well_formed(member: Member) -> bool:
    """Tell whether the member can be shown, passed on and dialled."""
    texts = [value for value in member if isinstance(value, str)]
    ports = (member.port, member.bulk_port)
    is_short = all(len(text) <= TEXT_MAX_CHARACTERS and text.isprintable() for text in texts)
    return is_short and all(0 <= port <= PORT_MAX for port in ports)


def group_of(member: Member) -> Group:
    """Return the group whose last members are kept."""
    return Group(member.role, member.service or member.zone)
