"""Client of the platform's store over HTTP, which is read-only: pages of items, and watches.

A waiting watch does not show that the store is reachable until it answers.  Several pages are not
a consistent snapshot: changes made while they are read follow from a watch that starts at the
revision of the first page.

Every answer states the store's era, which increases when the store comes back from an older copy.
"""

from base64 import b64decode
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, Final
from urllib.parse import quote

from tornado.httpclient import HTTPResponse

from gypsumpier.codes.platform import HISTORY_GONE, PLATFORM_BAD_ANSWER
from gypsumpier.errors import GypsumpierError
from gypsumpier.external.http import HttpCaller, json_object, raise_for_status
from gypsumpier.external.patience import Patience
from gypsumpier.fleet.change import Batch, FleetChange
from gypsumpier.fleet.node import Address
from gypsumpier.fleet.position import Position
from gypsumpier.fleet.record import Record
from gypsumpier.log import decision
from gypsumpier.loginterval import LogInterval
from gypsumpier.platform.fields import WHOLE_MAX, field, is_encodable, objects, whole
from gypsumpier.platform.records import RecordDecoder

READ_TIMEOUT_S: Final = 2.0
"""Timeout of a read; a healthy store answers within milliseconds."""
WATCH_MARGIN_S: Final = 0.6
"""Seconds beyond the wait after which a watch times out."""
PART_TIMEOUT_S: Final = 0.6
"""Seconds for a further part of an answer that is arriving, past the timeout of its call: a large
configuration takes long on a narrow link, and each reading that times out begins anew."""
EXTENSION_MAX_S: Final = 1.0
"""Seconds by which the parts of an answer may extend the timeout of their call."""
LARGE_BYTES: Final = 32 * 1024
"""Bytes of an answer from which others are told of its progress."""
ANSWER_MAX_BYTES: Final = 16 * 1024 * 1024
"""Bytes of a page of items or of the answer to a watch."""
GONE_STATUS: Final = 410
ERA_HEADER: Final = "Store-Era"
ERA_DIGITS_MAX: Final = len(str(WHOLE_MAX))
BAD_ERA_LOG_INTERVAL_S: Final = 10.0
"""Seconds between two log lines about an era that can't be read."""
MAX_PAGES: Final = 1000
ALL_KEYS_PREFIX: Final = ""
NO_KEYS_PREFIX: Final = "none/"
"""A prefix without keys: the answer to a read of it holds the revision alone."""
REVISION_TIMEOUT_S: Final = 0.6
"""Timeout of a read of the revision alone, in seconds: a multiple of a slow store's time."""


class PlatformStore:
    """The FleetSource protocol over the platform's store."""

    def __init__(self, address: Address) -> None:
        self.caller = HttpCaller(f"http://{address}", ANSWER_MAX_BYTES)
        self.decoder = RecordDecoder()
        self.era = 0
        self.bad_eras = LogInterval(BAD_ERA_LOG_INTERVAL_S)
        self.on_progress: Callable[[], None] = ignore_progress

    async def snapshot(self) -> Batch:
        first: Position | None = None
        records: list[Record] = []
        after = ""
        for _ in range(MAX_PAGES):
            path = f"/gypsumpier/kv-range?prefix={ALL_KEYS_PREFIX}"
            if after:
                path += f"&after={quote(after, safe='')}"
            response = await self.fetch(path, READ_TIMEOUT_S)
            raise_for_status(response)
            body = json_object(response.body)
            with bad_answer_on_error():
                items = objects(body, "items")
                found = Position(self.era_of(response), whole(body, "current_rev"))
                first = first or found
                if found.era != first.era:
                    raise GypsumpierError(
                        HISTORY_GONE, f"era {found.era} began while era {first.era} was read"
                    )
                records += self.decode_items(items, first.era)
                if not body.get("more_pages") or not items:
                    return Batch(0, first.revision, records, True, 0.0, first.era)
                after = field(items[-1], "key", str)
        raise GypsumpierError(PLATFORM_BAD_ANSWER, f"more than {MAX_PAGES} pages of items")

    async def watch(self, revision: int, wait_s: float) -> Batch:
        path = (
            f"/gypsumpier/kv-watch?prefix={ALL_KEYS_PREFIX}&after={revision}"
            f"&wait_ms={round(wait_s * 1000)}"
        )
        response = await self.fetch(path, wait_s + WATCH_MARGIN_S)
        era = self.era_of(response)
        if response.code == GONE_STATUS:
            raise GypsumpierError(HISTORY_GONE, f"no history after revision {revision}")
        raise_for_status(response)
        body = json_object(response.body)
        with bad_answer_on_error():
            events = objects(body, "events")
            current = whole(body, "current_rev")
            records = self.decode_items(events, era)
            # An empty answer means that the store waited for the full time without a newer change.
            return Batch(revision, current, records, False, 0.0 if events else wait_s, era)

    async def current_position(self) -> Position:
        path = f"/gypsumpier/kv-range?prefix={quote(NO_KEYS_PREFIX, safe='')}"
        response = await self.fetch(path, REVISION_TIMEOUT_S)
        raise_for_status(response)
        body = json_object(response.body)
        with bad_answer_on_error():
            return Position(self.era_of(response), whole(body, "current_rev"))

    async def fetch(self, path: str, timeout_s: float) -> HTTPResponse:
        """Return the store's answer, whatever its status; raise GypsumpierError without one."""
        request = self.caller.request("GET", path, timeout_s)
        request.patience = Patience(PART_TIMEOUT_S, EXTENSION_MAX_S, LARGE_BYTES, self.on_progress)
        return await self.caller.fetch(request)

    def era_of(self, response: HTTPResponse) -> int:
        """Return the era that an answer states, or else the last one that was stated."""
        text = response.headers.get(ERA_HEADER)
        if text is None:
            return self.era
        if text.isascii() and text.isdigit() and len(text) < ERA_DIGITS_MAX:
            self.era = int(text)
        elif self.bad_eras.is_due(ERA_HEADER):
            decision("store_era_ignored", era=ascii(text)[:ERA_DIGITS_MAX], known_era=self.era)
        return self.era

    def decode(self, record: Record) -> FleetChange | None:
        return self.decoder.decode(record)

    def decode_items(self, items: list[dict[str, Any]], era: int) -> list[Record]:
        """Return the items or events as records, in the same order, without those with no name."""
        named = []
        for item in items:
            if is_encodable(str(item.get("key"))):
                named.append(decode_item(item, era))
            else:
                self.decoder.log_rejection(item["key"], whole(item, "rev"), "the key is no text")
        return named

    def close(self) -> None:
        self.caller.close()


def ignore_progress() -> None:
    """Do nothing: there is no listener yet."""


def decode_item(item: dict[str, Any], era: int) -> Record:
    """Return an item or event as a record; a value that is no base64 is empty, so malformed."""
    value: bytes | None = None
    if not item.get("removed"):
        try:
            value = b64decode(field(item, "value", str))
        except ValueError:
            value = b""
    return Record(field(item, "key", str), value, whole(item, "rev"), era)


@contextmanager
def bad_answer_on_error() -> Iterator[None]:
    """Convert a ValueError of a malformed answer to GypsumpierError with PLATFORM_BAD_ANSWER."""
    try:
        yield
    except ValueError as error:
        raise GypsumpierError(PLATFORM_BAD_ANSWER, str(error)) from error
