"""The entry's part in running each key at most once.

An entry sends a key only to the youngest process that it has connected to in the home's slot, and
only while the entry itself is on the member list.  It records the key before sending it.  When it
connects to a younger process, or when a document moves homes, it reports its keys to the new home,
and from then on sends them nowhere else.
"""

import asyncio
import contextlib
from collections.abc import Coroutine
from random import Random
from typing import Any, Final

from gypsumpier.clock import Clock
from gypsumpier.codes.request import HOME_UNREACHABLE
from gypsumpier.document.service import Accepted, ServiceDocument
from gypsumpier.document.table import DocumentTable
from gypsumpier.entry.holder import Holder
from gypsumpier.entry.inherited import Inherited
from gypsumpier.entry.link import Link
from gypsumpier.entry.links import Links
from gypsumpier.entry.request import CallerRequest
from gypsumpier.errors import GypsumpierError
from gypsumpier.idempotency.homes import home_slot
from gypsumpier.idempotency.key import KeyId
from gypsumpier.idempotency.recovery import EntryId
from gypsumpier.idempotency.reported import pack_keys, unpack_keys
from gypsumpier.idempotency.sent_keys import SentKeys
from gypsumpier.log import decision
from gypsumpier.member.table import MemberTable
from gypsumpier.options import Options
from gypsumpier.wire.frame import Frame

BYTES_PER_KEY: Final = 200
"""Estimated memory of one sent key, in bytes."""
HANDOVER_AGENTS: Final = 2
"""Agents of each service to which a stopping entry hands over its keys."""
OVERFLOW_RETENTION_S: Final = 60.0
"""Seconds after an overflow during which no entry's keys count as completely taken over."""
NO_HOME: Final = "none"
"""Incarnation of no process: a report for it covers the keys sent to every home."""
RETRY_AFTER_S: Final = 1.0


class EntryKeys:
    """The sent keys, the holders of slots, and the entries that have disappeared."""

    def __init__(
        self,
        options: Options,
        clock: Clock,
        documents: DocumentTable,
        members: MemberTable,
        links: Links,
        random: Random,
    ) -> None:
        self.options = options
        self.clock = clock
        self.documents = documents
        self.members = members
        self.links = links
        self.random = random
        self.sent = SentKeys(
            options.key_memory_bytes // BYTES_PER_KEY,
            options.resend_horizon_s,
            options.answer_memory_bytes,
        )
        self.holders: dict[str, Holder] = {}
        self.listed: frozenset[EntryId] = frozenset()
        self.lost_at_s: dict[EntryId, float] = {}
        self.inherited: set[Inherited] = set()
        self.overflowed_at_s = float("-inf")
        self.tasks: set[asyncio.Task[None]] = set()
        documents.subscribe(self.handle_document)
        members.subscribe(self.handle_members_change)
        links.on_welcome = self.handle_welcome
        links.on_key_frame = self.handle_key_frame

    def handle_members_change(self) -> None:
        """Record which entries have disappeared from the member table, and notify the agents."""
        now_s = self.clock.monotonic()
        listed = frozenset(
            EntryId(member.name, member.incarnation) for member in self.members.entries()
        )
        lost = self.listed - listed
        self.lost_at_s |= dict.fromkeys(lost, now_s)
        self.listed = listed
        retention_s = self.options.resend_horizon_s + self.options.key_settle_s
        self.lost_at_s = {
            entry: at_s for entry, at_s in self.lost_at_s.items() if now_s - at_s <= retention_s
        }
        known = self.listed | self.lost_at_s.keys()
        if lost:
            for link in self.links.links.values():
                self.spawn(self.send_entries(link))
        self.inherited = {item for item in self.inherited if item.entry in known}

    def handle_welcome(self, link: Link) -> None:
        """Record a younger process as the slot's holder, and report to the holder."""
        slot = link.member.name
        holder = self.holders.get(slot)
        if holder is None or holder.incarnation != link.incarnation:
            if holder is not None and holder.started_at_s >= link.started_at_s:
                return
            previous = holder.incarnation if holder is not None else ""
            self.holders[slot] = Holder(link.incarnation, link.started_at_s, previous)
        self.report_to(link)

    def handle_document(self, accepted: Accepted) -> None:
        """Report to every home of the service, as the document may have moved keys."""
        for link in self.links.of_service(accepted.name):
            if self.is_holder(link):
                self.report_to(link)

    def report_to(self, link: Link) -> None:
        """Start a task that reports the keys to the agent of the link."""
        self.spawn(self.report(link))

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Start a background task and keep a reference to it until it is done."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def entries_payload(self) -> dict[str, Any]:
        """Return which entries this entry's member table lists, and which have disappeared."""
        now_s = self.clock.monotonic()
        return {
            "name": self.options.name,
            "incarnation": self.options.incarnation,
            "listed": [list(entry) for entry in self.listed],
            "lost": [[*entry, now_s - at_s] for entry, at_s in self.lost_at_s.items()],
        }

    async def send_entries(self, link: Link) -> None:
        """Send an agent the entries that are listed and those that have disappeared."""
        with contextlib.suppress(GypsumpierError):
            await link.send_frame("entries", self.entries_payload())

    async def report(self, link: Link) -> None:
        """Send the keys of the service to a home, in one frame or more.

        The last frame is marked complete: from then on the keys are sent to no other home.
        """
        service = link.member.service
        now_s = self.clock.monotonic()
        payload = {
            "name": self.options.name,
            "incarnation": self.options.incarnation,
            "revision": self.revision(service),
            "inherited": [list(entry) for entry in self.inherited_for(link)],
        }
        parts = list(pack_keys(self.sent.report(service, link.incarnation, now_s)))
        try:
            for number, part in enumerate(parts, 1):
                complete = number == len(parts)
                await link.send_frame("keys", payload | {"keys": part, "complete": complete})
            await link.send_frame("entries", self.entries_payload())
        except GypsumpierError as error:
            decision("keys_not_reported", upstream=link.member.name, reason=error)

    def handle_key_frame(self, link: Link, frame: Frame) -> None:
        """Handle a frame about keys.

        Keys of a stopping agent or entry are taken over and reported to the homes of the service.
        A request for the list of entries is answered.
        """
        if frame.kind == "entries_wanted":
            self.spawn(self.send_entries(link))
            return
        payload = frame.payload
        service = payload.get("service", link.member.service)
        now_s = self.clock.monotonic()
        for key in unpack_keys(payload["keys"]):
            if not self.sent.merge(service, key, now_s):
                self.overflowed_at_s = now_s
        if frame.kind == "inherited" and payload["complete"]:
            self.record_inherited(service, EntryId(payload["name"], payload["incarnation"]), None)
        for fields in payload.get("vouched", []) if self.is_holder(link) else []:
            self.record_inherited(link.incarnation, EntryId(*fields), self.revision(service))
        for other in self.links.of_service(service):
            if other is not link and other.connection is not None and self.is_holder(other):
                self.report_to(other)

    def record_inherited(self, scope: str, entry: EntryId, revision: int | None) -> None:
        """Record an entry whose keys are held here, unless keys were recently dropped for space."""
        if self.clock.monotonic() - self.overflowed_at_s > OVERFLOW_RETENTION_S:
            self.inherited.add(Inherited(scope, entry, revision))

    def inherited_for(self, link: Link) -> set[EntryId]:
        """Return the lost entries whose keys are complete in a report on this link."""
        service = link.member.service
        holder = self.holders.get(link.member.name)
        vouching_scope = (holder.previous if holder is not None else "", self.revision(service))
        return {
            item.entry
            for item in self.inherited
            if item.scope == service or (item.scope, item.revision) == vouching_scope
        }

    def revision(self, service: str) -> int:
        """Return the revision of the service's document in force, or 0 without one."""
        accepted = self.documents.accepted.get(service)
        return accepted.revision if accepted else 0

    async def hand_over(self) -> None:
        """Hand over the keys of each service to other entries before this one stops."""
        now_s = self.clock.monotonic()
        for service in {link.member.service for link in self.links.links.values()}:
            links = [link for link in self.links.of_service(service) if link.connection]
            parts = list(pack_keys(self.sent.report(service, NO_HOME, now_s)))
            for link in self.random.sample(links, min(HANDOVER_AGENTS, len(links))):
                await self.send_farewell(link, parts)

    async def send_farewell(self, link: Link, parts: list[list[list[Any]]]) -> None:
        """Send the keys of one service to an agent, which forwards them to other entries."""
        payload = {
            "name": self.options.name,
            "incarnation": self.options.incarnation,
            "service": link.member.service,
        }
        with contextlib.suppress(GypsumpierError):
            for number, part in enumerate(parts, 1):
                complete = number == len(parts)
                await link.send_frame("farewell", payload | {"keys": part, "complete": complete})

    def home(self, request: CallerRequest, document: ServiceDocument) -> Link:
        """Return the link on which the request's key may be sent.

        Raises GypsumpierError with HOME_UNREACHABLE where there is none.
        """
        link = self.home_of(KeyId(request.workspace, request.key), document)
        if EntryId(self.options.name, self.options.incarnation) not in self.listed:
            raise GypsumpierError(
                HOME_UNREACHABLE, "this entry is not on the member list", RETRY_AFTER_S
            )
        return link

    def home_of(self, key_id: KeyId, document: ServiceDocument) -> Link:
        """Return the link to the home of a key; raise HOME_UNREACHABLE where there is none."""
        slot = home_slot(document, key_id)
        link = self.links.best_link(slot) if slot in self.links.links else None
        if link is None or link.connection is None or not self.is_holder(link):
            raise GypsumpierError(HOME_UNREACHABLE, slot, RETRY_AFTER_S)
        return link

    def is_holder(self, link: Link) -> bool:
        """Return whether the link leads to the youngest known process in its slot."""
        holder = self.holders.get(link.member.name)
        return holder is not None and holder.incarnation == link.incarnation
