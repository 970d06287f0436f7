"""Replicates the member list to peers: first the full list, then its changes.

A process receives the list from one peer only, the nearest to the platform, and from none while it
reads the platform itself, so that lists of different age are not mixed.  An agent subscribes to the
agents of its own service only, an entry to all members.
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

COUNT_RESEND_FACTOR: Final = 1.25
"""The member count is sent to peers again when it has grown by more than this factor."""


class MemberExchange:
    """The state of member replication in one session; compared by identity.

    ``self_report_sent`` is this process's own record as last sent.  ``is_list_requested`` is set
    while this process subscribes to the peer's list, ``is_subscribed`` while the peer subscribes
    to ours; ``subscribed_service`` is None where it subscribes to all services.  ``sent_number`` is
    the journal's number up to which the peer has the list, or None where it has none yet.
    """

    def __init__(self, peer: Identity) -> None:
        self.peer = peer
        self.incarnation = ""
        self.self_report_sent: Member | None = None
        self.is_list_requested = False
        self.is_subscribed = False
        self.subscribed_service: str | None = None
        self.sent_number: int | None = None
        self.distance_sent: int | None = None
        self.count_sent = 0


class MemberSpread:
    """Replication of the member list over all sessions of this process."""

    def __init__(self, options: Options, clock: Clock, table: MemberTable) -> None:
        self.options = options
        self.table = table
        self.freshness = Freshness(clock, options.fresh_s)
        self.leaving = False
        self.reported_count = 0

    def member_count(self) -> int:
        """Return the approximate number of all instances.

        An agent's own table holds few of them, so the count that an entry reported is used as well.
        """
        return max(len(self.table.members), self.reported_count)

    def attach(self, peer: Identity) -> MemberExchange:
        """Return the state for a new session with a peer."""
        return MemberExchange(peer)

    def detach(self, exchange: MemberExchange) -> None:
        """Stop using the peer of a session as a source of the list."""
        self.freshness.lost(exchange)

    def handle_frame(self, exchange: MemberExchange, kind: str, payload: dict[str, Any]) -> None:
        """Handle one frame; raise GypsumpierError with BAD_FRAME where it is malformed."""
        if kind == message.MEMBER_SELF:
            self.handle_self_report(exchange, payload)
        elif kind == message.MEMBER_DISTANCE:
            distance = message.whole_number(payload, "distance")
            # A peer of an earlier release does not send the count.
            count = message.whole_number({"members": 0} | payload, "members")
            if exchange.peer.role == "entry":
                self.freshness.set_peer_distance(exchange, distance)
                self.reported_count = min(count, MEMBERS_LIMIT)
        elif kind == message.MEMBER_WANT:
            service = payload.get("service")
            exchange.is_subscribed = bool(payload.get("on"))
            exchange.subscribed_service = None if service is None else str(service)
            exchange.sent_number = None
        elif kind == message.MEMBER_LIST:
            self.handle_changes(exchange, message.unpacked_changes(payload))

    def handle_self_report(self, exchange: MemberExchange, payload: dict[str, Any]) -> None:
        """Store the identity and incarnation that the peer reports about itself."""
        changes = message.unpacked_changes(payload)
        for member in changes.put[:1]:
            exchange.incarnation = member.incarnation
            exchange.peer = Identity(member.name, member.role)
            self.table.merge_self_report(member)

    def handle_changes(self, exchange: MemberExchange, changes: MemberChanges) -> None:
        """Merge a list or its changes; ignore it where the subscription has ended meanwhile."""
        if not exchange.is_list_requested:
            return
        if changes.whole:
            self.table.merge_list(changes.put)
        else:
            self.table.merge_changes(changes.put, changes.gone)

    def is_source(self, exchange: MemberExchange) -> bool:
        """Return whether the list is received from this peer."""
        return self.source() is exchange

    def source(self) -> Hashable | None:
        """Return the exchange from which the list is received.

        None while this process reads the platform itself, or where no peer has a path to it.
        """
        return None if self.freshness.distance() == 0 else self.freshness.source()

    def due_changes(self, exchange: MemberExchange) -> MemberChanges | None:
        """Return the changes to send to the peer, or None; they then count as sent."""
        journal = self.table.journal
        if not exchange.is_subscribed or exchange.sent_number == journal.number:
            return None
        since, exchange.sent_number = exchange.sent_number, journal.number
        if since is None or journal.needs_full_list(since):
            members = self.subscribed_members(exchange, list(self.table.members))
            return MemberChanges(True, members, [])
        put = self.subscribed_members(exchange, journal.changed_after(since))
        gone = journal.dropped_after(since)
        return MemberChanges(False, put, gone) if put or gone else None

    def subscribed_members(self, exchange: MemberExchange, names: list[str]) -> list[Member]:
        """Return those of the named members that the peer subscribes to."""
        service = exchange.subscribed_service
        members = [self.table.members[name] for name in names]
        return [one for one in members if service is None or one.service == service]


async def send_members(
    spread: MemberSpread, exchange: MemberExchange, connection: Connection
) -> None:
    """Send all due frames; raise GypsumpierError with CONNECTION_CLOSED on a lost connection."""
    own = own_member(spread.options, spread.leaving)
    if exchange.self_report_sent != own:
        exchange.self_report_sent = own
        changes = MemberChanges(False, [own], [])
        await connection.send(message.MEMBER_SELF, message.packed_changes(changes))
    await send_distance(spread, exchange, connection)
    is_source = spread.is_source(exchange)
    if is_source != exchange.is_list_requested:
        exchange.is_list_requested = is_source
        service = spread.options.service if spread.options.role == "agent" else None
        await connection.send(message.MEMBER_WANT, {"on": is_source, "service": service})
    changes_due = spread.due_changes(exchange)
    if changes_due is not None:
        await connection.send(message.MEMBER_LIST, message.packed_changes(changes_due))


async def send_distance(
    spread: MemberSpread, exchange: MemberExchange, connection: Connection
) -> None:
    """Send the distance to the member list and the member count.

    They are sent when the distance has changed or the count has grown by COUNT_RESEND_FACTOR.
    """
    distance, count = spread.freshness.distance(), spread.member_count()
    if distance == exchange.distance_sent and count <= COUNT_RESEND_FACTOR * exchange.count_sent:
        return
    exchange.distance_sent, exchange.count_sent = distance, count
    await connection.send(message.MEMBER_DISTANCE, {"distance": distance, "members": count})
