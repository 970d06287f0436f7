"""The entry's part in running keys at most once.

An entry sends a key only to the youngest process that it has met in the home's slot, and only while
it finds itself on the member list.  It notes the key first.  When it meets a younger process, or
when a document moves homes, it reports its keys there; from then on it sends none elsewhere.
"""

import asyncio
from typing import Final, NamedTuple

from gypsumpier.clock import Clock
from gypsumpier.codes.request import HOME_UNREACHABLE
from gypsumpier.document.service import Accepted, ServiceDocument
from gypsumpier.document.table import DocumentTable
from gypsumpier.entry.link import Link
from gypsumpier.entry.links import Links
from gypsumpier.entry.request import CallerRequest
from gypsumpier.errors import GypsumpierError
from gypsumpier.idempotency.homes import home_slot
from gypsumpier.idempotency.key import KeyId
from gypsumpier.idempotency.sent_keys import SentKeys
from gypsumpier.idempotency.succession import EntryId
from gypsumpier.log import decision
from gypsumpier.member.table import MemberTable
from gypsumpier.options import Options

KEY_BYTES: Final = 200
KEYS_PER_FRAME: Final = 4000
RETRY_AFTER_S: Final = 1.0


class Holder(NamedTuple):
    """The youngest process met in a slot; ``started_at_s`` is on this entry's clock."""

    incarnation: str
    started_at_s: float


class EntryKeys:
    """Sent keys, the holders of slots, and entries that disappeared."""

    def __init__(
        self,
        options: Options,
        clock: Clock,
        documents: DocumentTable,
        members: MemberTable,
        links: Links,
    ) -> None:
        self.options = options
        self.clock = clock
        self.documents = documents
        self.members = members
        self.links = links
        self.sent = SentKeys(options.key_memory_bytes // KEY_BYTES, options.resend_horizon_s)
        self.holders: dict[str, Holder] = {}
        self.listed: frozenset[EntryId] = frozenset()
        self.lost_at_s: dict[EntryId, float] = {}
        self.reports: set[asyncio.Task[None]] = set()
        documents.subscribe(self.take_document)
        members.subscribe(self.take_members)
        links.welcomed = self.take_welcome

    def take_members(self) -> None:
        """Note which entries have disappeared from the member table."""
        now_s = self.clock.monotonic()
        listed = frozenset(
            EntryId(member.name, member.incarnation) for member in self.members.entries()
        )
        for entry in self.listed - listed:
            self.lost_at_s[entry] = now_s
        self.listed = listed
        kept_s = self.options.resend_horizon_s + self.options.key_settle_s
        self.lost_at_s = {
            entry: at_s for entry, at_s in self.lost_at_s.items() if now_s - at_s <= kept_s
        }

    def take_welcome(self, link: Link) -> None:
        """Take a younger process as the slot's holder and report to it."""
        slot = link.member.name
        holder = self.holders.get(slot)
        if holder is None or holder.incarnation != link.incarnation:
            if holder is not None and holder.started_at_s >= link.started_at_s:
                return
            self.holders[slot] = Holder(link.incarnation, link.started_at_s)
        self.report_to(link)

    def take_document(self, accepted: Accepted) -> None:
        """Report to every home of the service, as the document may move keys."""
        for link in self.links.of_service(accepted.name):
            if self.is_holder(link):
                self.report_to(link)

    def report_to(self, link: Link) -> None:
        """Start to report to the agent of the link."""
        task = asyncio.create_task(self.report(link))
        self.reports.add(task)
        task.add_done_callback(self.reports.discard)

    async def report(self, link: Link) -> None:
        """Send the keys of the service in frames; the last one makes the promise."""
        now_s = self.clock.monotonic()
        keys = [
            [*reported.key_id, reported.fingerprint, reported.state.value, reported.age_s]
            for reported in self.sent.report(link.member.service, now_s)
        ]
        accepted = self.documents.accepted.get(link.member.service)
        payload = {
            "name": self.options.name,
            "incarnation": self.options.incarnation,
            "revision": accepted.revision if accepted else 0,
            "lost": [[*entry, now_s - at_s] for entry, at_s in self.lost_at_s.items()],
        }
        frames = [keys[at : at + KEYS_PER_FRAME] for at in range(0, len(keys), KEYS_PER_FRAME)]
        frames = frames or [[]]
        try:
            for number, part in enumerate(frames):
                complete = number == len(frames) - 1
                await link.tell("keys", payload | {"keys": part, "complete": complete})
        except GypsumpierError as error:
            decision("keys_not_reported", upstream=link.member.name, reason=error)

    def home(self, request: CallerRequest, document: ServiceDocument) -> Link:
        """Return the link to the home of the request's key; raise where there is none."""
        slot = home_slot(document, KeyId(request.workspace, request.key))
        link = self.links.links.get(slot)
        if link is None or link.connection is None or not self.is_holder(link):
            raise GypsumpierError(HOME_UNREACHABLE, slot, RETRY_AFTER_S)
        if EntryId(self.options.name, self.options.incarnation) not in self.listed:
            raise GypsumpierError(HOME_UNREACHABLE, "entry is not on the list", RETRY_AFTER_S)
        return link

    def is_holder(self, link: Link) -> bool:
        """Tell whether the link leads to the youngest process met in its slot."""
        holder = self.holders.get(link.member.name)
        return holder is not None and holder.incarnation == link.incarnation
