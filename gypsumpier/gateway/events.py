"""Splits a stream of server-sent events at the ends of whole events."""

from typing import Final, NamedTuple

EVENT_END: Final = b"\n\n"
ID_FIELD: Final = b"id:"


class Events(NamedTuple):
    """Whole events as received, and the ids that they carry, in order."""

    content: bytes
    ids: list[str]


class EventSplitter:
    """Passes on whole events only, so that a stream can be resumed behind the last one."""

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, content: bytes) -> Events:
        """Return the events that the content completes."""
        self.rest += content
        end = self.rest.rfind(EVENT_END)
        if end < 0:
            return Events(b"", [])
        whole, self.rest = self.rest[: end + 2], self.rest[end + 2 :]
        return Events(whole, [found for found in map(event_id, whole.split(b"\n")) if found])


def event_id(line: bytes) -> str:
    """Return the id that a line of an event states; empty for any other line."""
    if not line.startswith(ID_FIELD):
        return ""
    return line.removeprefix(ID_FIELD).strip().decode("latin1")
