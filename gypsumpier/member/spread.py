"""Passes the member list on: whole at first, then its changes.

A process takes the list from one peer only, the nearest to the platform, and from none while it
reads the platform itself; so lists of different age are not mixed.  An agent asks for the agents
of its own service only, an entry for all members.
"""

from collections.abc import Hashable
from typing import Any, Final

from gypsumpier.clock import Clock
from gypsumpier.external.membership import Member
from gypsumpier.member.table import MEMBERS_LIMIT, MemberTable
from gypsumpier.options import Options
from gypsumpier.spread import message
from gypsumpier.spread.freshness import Freshness
from gypsumpier.spread.identity import Identity, own_member
from gypsumpier.spread.message import MemberChanges
from gypsumpier.wire.connection import Connection

COUNT_GROWTH: Final = 1.25
"""The growth of the number of members at which peers are told it again."""


class MemberExchange:
    """The members' side of one session; compared by identity."""

    def __init__(self, peer: Identity) -> None:
        self.peer = peer
        self.incarnation = ""
        self.introduced: Member | None = None
        self.asked = False
        self.wants = False
        self.wanted_service: str | None = None
        self.sent_number: int | None = None
        self.distance_sent: int | None = None
        self.count_sent = 0


class MemberSpread:
    """The member list of all sessions of this process."""

    def __init__(self, options: Options, clock: Clock, table: MemberTable) -> None:
        self.options = options
        self.table = table
        self.freshness = Freshness(clock, options.fresh_s)
        self.leaving = False
        self.told_count = 0

    def member_count(self) -> int:
        """Return about how many instances there are; an agent's own table holds few of them."""
        return max(len(self.table.members), self.told_count)

    def attach(self, peer: Identity) -> MemberExchange:
        """Begin with a peer."""
        return MemberExchange(peer)

    def detach(self, exchange: MemberExchange) -> None:
        """End with a peer."""
        self.freshness.lost(exchange)

    def take(self, exchange: MemberExchange, kind: str, payload: dict[str, Any]) -> None:
        """Handle one frame; raise GypsumpierError with BAD_FRAME where it is malformed."""
        if kind == message.MEMBER_SELF:
            self.take_introduction(exchange, payload)
        elif kind == message.MEMBER_DISTANCE:
            distance = message.whole_number(payload, "distance")
            # A peer of an earlier release does not tell it.
            count = message.whole_number({"members": 0} | payload, "members")
            if exchange.peer.role == "entry":
                self.freshness.set_peer_distance(exchange, distance)
                self.told_count = min(count, MEMBERS_LIMIT)
        elif kind == message.MEMBER_WANT:
            service = payload.get("service")
            exchange.wants = bool(payload.get("on"))
            exchange.wanted_service = None if service is None else str(service)
            exchange.sent_number = None
        elif kind == message.MEMBER_LIST:
            self.take_changes(exchange, message.unpacked_changes(payload))

    def take_introduction(self, exchange: MemberExchange, payload: dict[str, Any]) -> None:
        """Take what the peer says of itself."""
        changes = message.unpacked_changes(payload)
        for member in changes.put[:1]:
            exchange.incarnation = member.incarnation
            exchange.peer = Identity(member.name, member.role)
            self.table.introduce(member)

    def take_changes(self, exchange: MemberExchange, changes: MemberChanges) -> None:
        """Join a passed-on list; one that was not asked for is late and dropped."""
        if not exchange.asked:
            return
        if changes.whole:
            self.table.take_list(changes.put)
        else:
            self.table.take_changes(changes.put, changes.gone)

    def is_source(self, exchange: MemberExchange) -> bool:
        """Tell whether the list is to be taken from this peer."""
        return self.source() is exchange

    def source(self) -> Hashable | None:
        """Return the exchange from which the list is taken; None while this process reads it."""
        return None if self.freshness.distance() == 0 else self.freshness.source()

    def due_changes(self, exchange: MemberExchange) -> MemberChanges | None:
        """Return what the peer lacks of the list, or None."""
        journal = self.table.journal
        if not exchange.wants or exchange.sent_number == journal.number:
            return None
        since, exchange.sent_number = exchange.sent_number, journal.number
        if since is None or journal.needs_whole(since):
            members = self.of_interest(exchange, list(self.table.members))
            return MemberChanges(True, members, [])
        put = self.of_interest(exchange, journal.changed_after(since))
        gone = journal.dropped_after(since)
        return MemberChanges(False, put, gone) if put or gone else None

    def of_interest(self, exchange: MemberExchange, names: list[str]) -> list[Member]:
        """Return those of the members that the peer asked for."""
        service = exchange.wanted_service
        members = [self.table.members[name] for name in names]
        return [one for one in members if service is None or one.service == service]


async def send_members(
    spread: MemberSpread, exchange: MemberExchange, connection: Connection
) -> None:
    """Send all that is due; raise GypsumpierError with CONNECTION_CLOSED on a lost connection."""
    own = own_member(spread.options, spread.leaving)
    if exchange.introduced != own:
        exchange.introduced = own
        changes = MemberChanges(False, [own], [])
        await connection.send(message.MEMBER_SELF, message.packed_changes(changes))
    await send_distance(spread, exchange, connection)
    is_source = spread.is_source(exchange)
    if is_source != exchange.asked:
        exchange.asked = is_source
        service = spread.options.service if spread.options.role == "agent" else None
        await connection.send(message.MEMBER_WANT, {"on": is_source, "service": service})
    changes_due = spread.due_changes(exchange)
    if changes_due is not None:
        await connection.send(message.MEMBER_LIST, message.packed_changes(changes_due))


async def send_distance(
    spread: MemberSpread, exchange: MemberExchange, connection: Connection
) -> None:
    """Tell the distance to the member list and how many members there are, on a change."""
    distance, count = spread.freshness.distance(), spread.member_count()
    if distance == exchange.distance_sent and count <= COUNT_GROWTH * exchange.count_sent:
        return
    exchange.distance_sent, exchange.count_sent = distance, count
    await connection.send(message.MEMBER_DISTANCE, {"distance": distance, "members": count})
