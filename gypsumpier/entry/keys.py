"""The entry's part in running keys at most once.

An entry sends a key only to the youngest process that it has met in the home's slot, and only while
it finds itself on the member list.  It notes the key first.  When it meets a younger process, or
when a document moves homes, it reports its keys there; from then on it sends none elsewhere.
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

KEY_BYTES: Final = 200
FAREWELLS: Final = 2
OVERFLOW_S: Final = 60.0
NO_HOME: Final = "none"
RETRY_AFTER_S: Final = 1.0


class EntryKeys:
    """Sent keys, the holders of slots, and entries that disappeared."""

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
            options.key_memory_bytes // KEY_BYTES,
            options.resend_horizon_s,
            options.answer_memory_bytes,
        )
        self.holders: dict[str, Holder] = {}
        self.listed: frozenset[EntryId] = frozenset()
        self.lost_at_s: dict[EntryId, float] = {}
        self.inherited: set[Inherited] = set()
        self.overflowed_at_s = float("-inf")
        self.reports: set[asyncio.Task[None]] = set()
        documents.subscribe(self.take_document)
        members.subscribe(self.take_members)
        links.welcomed = self.take_welcome
        links.told = self.take_told

    def take_members(self) -> None:
        """Note which entries have disappeared from the member table."""
        now_s = self.clock.monotonic()
        listed = frozenset(
            EntryId(member.name, member.incarnation) for member in self.members.entries()
        )
        lost = self.listed - listed
        self.lost_at_s |= dict.fromkeys(lost, now_s)
        self.listed = listed
        kept_s = self.options.resend_horizon_s + self.options.key_settle_s
        self.lost_at_s = {
            entry: at_s for entry, at_s in self.lost_at_s.items() if now_s - at_s <= kept_s
        }
        known = self.listed | self.lost_at_s.keys()
        if lost:
            for link in self.links.links.values():
                self.spawn(self.tell_entries(link))
        self.inherited = {one for one in self.inherited if one.entry in known}

    def take_welcome(self, link: Link) -> None:
        """Take a younger process as the slot's holder and report to it."""
        slot = link.member.name
        holder = self.holders.get(slot)
        if holder is None or holder.incarnation != link.incarnation:
            if holder is not None and holder.started_at_s >= link.started_at_s:
                return
            previous = holder.incarnation if holder is not None else ""
            self.holders[slot] = Holder(link.incarnation, link.started_at_s, previous)
        self.report_to(link)

    def take_document(self, accepted: Accepted) -> None:
        """Report to every home of the service, as the document may move keys."""
        for link in self.links.of_service(accepted.name):
            if self.is_holder(link):
                self.report_to(link)

    def report_to(self, link: Link) -> None:
        """Start to report to the agent of the link."""
        self.spawn(self.report(link))

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine beside the caller."""
        task = asyncio.create_task(coroutine)
        self.reports.add(task)
        task.add_done_callback(self.reports.discard)

    def entries_payload(self) -> dict[str, Any]:
        """Return which entries are listed and which disappeared, as this entry sees it."""
        now_s = self.clock.monotonic()
        return {
            "name": self.options.name,
            "incarnation": self.options.incarnation,
            "listed": [list(entry) for entry in self.listed],
            "lost": [[*entry, now_s - at_s] for entry, at_s in self.lost_at_s.items()],
        }

    async def tell_entries(self, link: Link) -> None:
        """Tell an agent that asks which entries are listed."""
        with contextlib.suppress(GypsumpierError):
            await link.tell("entries", self.entries_payload())

    async def report(self, link: Link) -> None:
        """Send the keys of the service in frames; the last one makes the promise."""
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
                await link.tell("keys", payload | {"keys": part, "complete": complete})
            await link.tell("entries", self.entries_payload())
        except GypsumpierError as error:
            decision("keys_not_reported", upstream=link.member.name, reason=error)

    def take_told(self, link: Link, frame: Frame) -> None:
        """Take over the keys of a stopping agent or entry and let the homes know; or answer."""
        if frame.kind == "entries_wanted":
            self.spawn(self.tell_entries(link))
            return
        payload = frame.payload
        service = payload.get("service", link.member.service)
        now_s = self.clock.monotonic()
        for key in unpack_keys(payload["keys"]):
            if not self.sent.merge(service, key, now_s):
                self.overflowed_at_s = now_s
        if frame.kind == "inherited" and payload["complete"]:
            self.note_inherited(service, EntryId(payload["name"], payload["incarnation"]), None)
        for fields in payload.get("vouched", []) if self.is_holder(link) else []:
            self.note_inherited(link.incarnation, EntryId(*fields), self.revision(service))
        for other in self.links.of_service(service):
            if other is not link and other.connection is not None and self.is_holder(other):
                self.report_to(other)

    def note_inherited(self, scope: str, entry: EntryId, revision: int | None) -> None:
        """Note whose keys are held here, unless some had no room a while ago."""
        if self.clock.monotonic() - self.overflowed_at_s > OVERFLOW_S:
            self.inherited.add(Inherited(scope, entry, revision))

    def inherited_for(self, link: Link) -> set[EntryId]:
        """Return the lost entries whose keys a report on this link includes."""
        service = link.member.service
        holder = self.holders.get(link.member.name)
        voucher = (holder.previous if holder is not None else "", self.revision(service))
        return {
            one.entry
            for one in self.inherited
            if one.scope == service or (one.scope, one.revision) == voucher
        }

    def revision(self, service: str) -> int:
        """Return the revision of the service's document in force; 0 without one."""
        accepted = self.documents.accepted.get(service)
        return accepted.revision if accepted else 0

    async def hand_over(self) -> None:
        """Leave the keys of each service to other entries, before this one stops."""
        now_s = self.clock.monotonic()
        for service in {link.member.service for link in self.links.links.values()}:
            links = [link for link in self.links.of_service(service) if link.connection]
            parts = list(pack_keys(self.sent.report(service, NO_HOME, now_s)))
            for link in self.random.sample(links, min(FAREWELLS, len(links))):
                await self.say_farewell(link, parts)

    async def say_farewell(self, link: Link, parts: list[list[list[Any]]]) -> None:
        """Send the keys of one service to an agent, which passes them on."""
        payload = {
            "name": self.options.name,
            "incarnation": self.options.incarnation,
            "service": link.member.service,
        }
        with contextlib.suppress(GypsumpierError):
            for number, part in enumerate(parts, 1):
                complete = number == len(parts)
                await link.tell("farewell", payload | {"keys": part, "complete": complete})

    def home(self, request: CallerRequest, document: ServiceDocument) -> Link:
        """Return the link on which the request's key may be sent; raise where there is none."""
        link = self.home_of(KeyId(request.workspace, request.key), document)
        if EntryId(self.options.name, self.options.incarnation) not in self.listed:
            raise GypsumpierError(HOME_UNREACHABLE, "entry is not on the list", RETRY_AFTER_S)
        return link

    def home_of(self, key_id: KeyId, document: ServiceDocument) -> Link:
        """Return the link to the home of a key; raise where there is none."""
        slot = home_slot(document, key_id)
        link = self.links.best(slot) if slot in self.links.links else None
        if link is None or link.connection is None or not self.is_holder(link):
            raise GypsumpierError(HOME_UNREACHABLE, slot, RETRY_AFTER_S)
        return link

    def is_holder(self, link: Link) -> bool:
        """Tell whether the link leads to the youngest process met in its slot."""
        holder = self.holders.get(link.member.name)
        return holder is not None and holder.incarnation == link.incarnation
