"""Splits a stream of server-sent events at event boundaries."""

from typing import Final, NamedTuple

from gypsumpier.upstream.errors import OutcomeUnknownError

EVENT_END: Final = b"\n\n"
ID_FIELD: Final = b"id:"
EVENT_MAX_BYTES: Final = 64 * 1024
"""Bytes of an incomplete event that are held; an event has a few hundred."""


class Events(NamedTuple):
    """Complete events as received, and the ids that they carry, in order."""

    content: bytes
    ids: list[str]


class EventSplitter:
    """Buffers incomplete events, so that a stream can be resumed after a complete one.

    ``rest`` holds the bytes of the event that is not complete yet.  In the answer to a resumption,
    ``resumed_after`` is the id that each event must follow; anything else is no part of the stream.
    """

    def __init__(self, resumed_after: str = "") -> None:
        self.rest = b""
        self.resumed_after = resumed_after

    def feed(self, content: bytes) -> Events:
        """Return the events that are complete once ``content`` is added.

        Raises OutcomeUnknownError if an event has too many bytes before its end, or does not
        continue a resumed stream.
        """
        self.rest += content
        end = self.rest.rfind(EVENT_END)
        if end < 0:
            self.check_rest()
            return Events(b"", [])
        whole, self.rest = self.rest[: end + 2], self.rest[end + 2 :]
        if self.resumed_after:
            self.check_continues(whole)
        return Events(whole, [found for found in map(event_id, whole.split(b"\n")) if found])

    def ends_event(self, content: bytes) -> bool:
        """Return whether an event would be complete once ``content`` is added."""
        return EVENT_END in self.rest[-1:] + content

    def check_continues(self, whole: bytes) -> None:
        """Raise OutcomeUnknownError unless each of the events follows the one before it."""
        for event in whole.removesuffix(EVENT_END).split(EVENT_END):
            found = next(filter(None, map(event_id, event.split(b"\n"))), "")
            if not follows(found, self.resumed_after):
                raise OutcomeUnknownError(
                    f"event {found!r} in answer to the resumption after {self.resumed_after!r}"
                )
            self.resumed_after = found

    def check_rest(self) -> None:
        """Raise OutcomeUnknownError if the incomplete event has too many bytes."""
        if len(self.rest) > EVENT_MAX_BYTES:
            raise OutcomeUnknownError(f"an event has more than {EVENT_MAX_BYTES} bytes")


def event_id(line: bytes) -> str:
    """Return the event id if the line is an ``id`` field; empty for any other line."""
    if not line.startswith(ID_FIELD):
        return ""
    return line.removeprefix(ID_FIELD).strip().decode("latin1")


def follows(later: str, earlier: str) -> bool:
    """Return whether an event id is a later one: the larger number, or any other text."""
    if is_number(later) and is_number(earlier):
        return number_order(later) > number_order(earlier)
    return later not in ("", earlier)


def is_number(text: str) -> bool:
    """Return whether an event id is a whole number of any length."""
    return text.isascii() and text.isdecimal()


def number_order(text: str) -> tuple[int, str]:
    """Return what orders numbers of any length, which need not be converted."""
    digits = text.lstrip("0")
    return len(digits), digits
