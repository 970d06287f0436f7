"""The table of the instances that this process knows.

It merges three sources: the platform's member list, which is read here or forwarded by a peer and
may be stale, empty or contradictory; the report that an instance sends about itself on each
connection; and live connections, which show that an incarnation is running.  The rules:

- A list never removes a member at once.  A member that it does not name is kept while its
  connection is alive and for ``missing_s`` after that.  Where the list names no member at all of a
  service, or of a zone's entries, the known members are kept for UNLISTED_GROUP_RETENTION_S,
  because their connections show whether they respond.
- An empty list is ignored.
- Another incarnation of a name replaces the earlier one, except that a list does not replace an
  incarnation with a live connection: the list is then older than the connection.
- A member that has reported itself as leaving stays leaving, whatever a list says.

An agent's table holds the agents of its own service and the entries that have reported themselves;
an entry's table holds all members.
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
    """A service's agents or a zone's entries, which a list that names none must not empty."""

    role: str
    label: str


class MemberTable:
    """Members by name, with their changes in ``journal``."""

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
        """Return the members for which ``wanted`` is true, ordered by name."""
        return sorted(member for member in self.members.values() if wanted(member))

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Register a callback that is called after each change of the table."""
        self.subscribers.append(callback)

    def mark_alive(self, name: str, incarnation: str) -> None:
        """Record that a connection to this incarnation is alive now."""
        member = self.members.get(name)
        if member and member.incarnation == incarnation:
            self.alive_at_s[name] = self.clock.monotonic()

    def merge_self_report(self, member: Member) -> None:
        """Merge the record that an instance sent about itself on a connection to it."""
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
        """Merge a full list of the platform into the table."""
        if not listed:
            if self.members:
                decision("member_list_ignored", code=MEMBER_LIST_EMPTY.number, reason="empty list")
            return
        names = {member.name for member in listed}
        in_scope = [name for name, member in self.members.items() if self.is_in_scope(member)]
        self.merge_changes(listed, [name for name in in_scope if name not in names])

    def merge_changes(self, put: list[Member], gone: Iterable[str]) -> None:
        """Merge changes of a list: ``put`` are listed members, ``gone`` names no longer listed."""
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
        """Return whether lists apply to the member; at an agent only those of its service do."""
        return self.options.role != "agent" or member.service == self.options.service

    def put_listed(self, member: Member) -> bool:
        """Merge one listed member; return True where that changed the table."""
        self.missing_since_s.pop(member.name, None)
        previous = self.members.get(member.name)
        if previous and previous.incarnation != member.incarnation and self.is_alive(member.name):
            decision(
                "member_list_contradicted",
                member=member.name,
                code=MEMBER_LIST_CONTRADICTORY.number,
                reason="a connection to another incarnation is alive, so the listed one is ignored",
            )
            return False
        if self.leaving_incarnations.get(member.name) == member.incarnation:
            member = member._replace(leaving=True)
        return self.put(member)

    def put(self, member: Member) -> bool:
        """Add or replace one member; return True where that changed the table."""
        previous = self.members.get(member.name)
        if previous == member:
            return False
        if not is_well_formed(member):
            decision("member_refused", member=ascii(member.name), code=MEMBER_MALFORMED.number)
            return False
        if previous is None and len(self.members) >= MEMBERS_LIMIT:
            decision("member_refused", member=member.name, code=MEMBER_TABLE_FULL.number)
            return False
        if previous and previous.incarnation != member.incarnation:
            self.alive_at_s.pop(member.name, None)
        if self.leaving_incarnations.get(member.name, member.incarnation) != member.incarnation:
            del self.leaving_incarnations[member.name]
        self.members[member.name] = member
        self.journal.record_change(member.name)
        return True

    def is_alive(self, name: str) -> bool:
        """Return whether a connection to its incarnation was alive within LIVENESS_WINDOW_S."""
        alive_s = self.alive_at_s.get(name, float("-inf"))
        return self.clock.monotonic() - alive_s < LIVENESS_WINDOW_S

    def sweep(self) -> None:
        """Drop the members whose retention period has ended; called periodically."""
        if self.drop_missing():
            self.notify()

    def drop_missing(self) -> bool:
        """Drop expired members, neither listed nor alive; return whether any was dropped."""
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
        """Return the monotonic time since which the member is neither listed nor alive."""
        return max(self.alive_at_s.get(name, float("-inf")), self.missing_since_s[name])

    def drop(self, name: str) -> None:
        """Remove a member and all state kept about it."""
        del self.members[name]
        del self.missing_since_s[name]
        self.alive_at_s.pop(name, None)
        self.leaving_incarnations.pop(name, None)
        self.journal.record_drop(name)
        decision("member_dropped", member=name, reason="neither listed nor heard")

    def listed_groups(self) -> set[Group]:
        """Return the groups of which the list names at least one member."""
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
    """Return whether the member can be displayed, sent to peers and dialled."""
    texts = [value for value in member if isinstance(value, str)]
    ports = (member.port, member.bulk_port)
    is_short = all(len(text) <= TEXT_MAX_CHARACTERS and text.isprintable() for text in texts)
    return is_short and all(0 <= port <= PORT_MAX for port in ports)


def group_of(member: Member) -> Group:
    """Return the member's group: its service's agents, or the entries of its zone."""
    return Group(member.role, member.service or member.zone)
