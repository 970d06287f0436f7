"""Client of the platform's store over HTTP, which is read-only: pages of items, and watches.

A waiting watch does not show that the store is reachable until it answers.  Several pages are not
a consistent snapshot: changes made while they are read follow from a watch that starts at the
revision of the first page.
"""

from base64 import b64decode
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any, Final
from urllib.parse import quote

from gypsumpier.codes.platform import HISTORY_GONE, PLATFORM_BAD_ANSWER
from gypsumpier.errors import GypsumpierError
from gypsumpier.external.http import HttpCaller, json_object, raise_for_status
from gypsumpier.fleet.change import Batch, FleetChange
from gypsumpier.fleet.node import Address
from gypsumpier.fleet.record import Record
from gypsumpier.platform.fields import field, is_encodable, objects, whole
from gypsumpier.platform.records import RecordDecoder

READ_TIMEOUT_S: Final = 2.0
"""Timeout of a read; a healthy store answers within milliseconds."""
WATCH_MARGIN_S: Final = 0.6
"""Seconds beyond the wait after which a watch times out."""
ANSWER_MAX_BYTES: Final = 16 * 1024 * 1024
"""Bytes of a page of items or of the answer to a watch."""
GONE_STATUS: Final = 410
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

    async def snapshot(self) -> Batch:
        revision = None
        records: list[Record] = []
        after = ""
        for _ in range(MAX_PAGES):
            path = f"/gypsumpier/kv-range?prefix={ALL_KEYS_PREFIX}"
            if after:
                path += f"&after={quote(after, safe='')}"
            body = json_object(await self.caller.call("GET", path, READ_TIMEOUT_S))
            with bad_answer_on_error():
                items = objects(body, "items")
                first_revision = whole(body, "current_rev")
                revision = first_revision if revision is None else revision
                records += self.decode_items(items)
                if not body.get("more_pages") or not items:
                    return Batch(0, revision, records, True, 0.0)
                after = field(items[-1], "key", str)
        raise GypsumpierError(PLATFORM_BAD_ANSWER, f"more than {MAX_PAGES} pages of items")

    async def watch(self, revision: int, wait_s: float) -> Batch:
        path = (
            f"/gypsumpier/kv-watch?prefix={ALL_KEYS_PREFIX}&after={revision}"
            f"&wait_ms={round(wait_s * 1000)}"
        )
        request = self.caller.request("GET", path, wait_s + WATCH_MARGIN_S)
        response = await self.caller.fetch(request)
        if response.code == GONE_STATUS:
            raise GypsumpierError(HISTORY_GONE, f"no history after revision {revision}")
        raise_for_status(response)
        body = json_object(response.body)
        with bad_answer_on_error():
            events = objects(body, "events")
            current = whole(body, "current_rev")
            records = self.decode_items(events)
            # An empty answer means that the store waited for the full time without a newer change.
            return Batch(revision, current, records, False, 0.0 if records else wait_s)

    async def current_revision(self) -> int:
        path = f"/gypsumpier/kv-range?prefix={quote(NO_KEYS_PREFIX, safe='')}"
        body = json_object(await self.caller.call("GET", path, REVISION_TIMEOUT_S))
        with bad_answer_on_error():
            return whole(body, "current_rev")

    def decode(self, record: Record) -> FleetChange | None:
        return self.decoder.decode(record)

    def decode_items(self, items: list[dict[str, Any]]) -> list[Record]:
        """Return the items or events as records, in the same order, without those with no name."""
        named = []
        for item in items:
            if is_encodable(str(item.get("key"))):
                named.append(decode_item(item))
            else:
                self.decoder.log_rejection(item["key"], whole(item, "rev"), "the key is no text")
        return named

    def close(self) -> None:
        self.caller.close()


def decode_item(item: dict[str, Any]) -> Record:
    """Return an item or event as a record; a value that is no base64 is empty, so malformed."""
    value: bytes | None = None
    if not item.get("removed"):
        try:
            value = b64decode(field(item, "value", str))
        except ValueError:
            value = b""
    return Record(field(item, "key", str), value, whole(item, "rev"))


@contextmanager
def bad_answer_on_error() -> Iterator[None]:
    """Convert a ValueError of a malformed answer to GypsumpierError with PLATFORM_BAD_ANSWER."""
    try:
        yield
    except ValueError as error:
        raise GypsumpierError(PLATFORM_BAD_ANSWER, str(error)) from error
