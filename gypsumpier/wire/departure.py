"""Tells what a caller's connection holds, whatever the event loop has noticed so far."""

import select
from typing import Final

from tornado.iostream import IOStream

DEPARTED_EVENTS: Final = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def has_departed(stream: IOStream) -> bool:
    """Return whether the caller has closed its side of the connection.

    The event loop notices a close only once it has read every byte before it, and handles it after
    what was ready earlier.
    """
    return stream.closed() or has_events(stream, DEPARTED_EVENTS)


def has_unread_bytes(stream: IOStream) -> bool:
    """Return whether the caller has sent bytes that are not parsed yet, buffered or not."""
    if stream.closed():
        return False
    if stream._read_buffer_size:
        return True
    # A caller that has disconnected makes its connection readable, too.
    return not has_departed(stream) and has_events(stream, select.POLLIN)


def is_awaiting_bytes(stream: IOStream) -> bool:
    """Return whether everything that the caller has sent so far has been parsed.

    Tornado has consumed the head of a request some turns of the event loop before it hands it over.
    """
    return stream.closed() or (stream.reading() and not has_unread_bytes(stream))


def has_events(stream: IOStream, events: int) -> bool:
    """Return whether one of the poll events holds for the connection now."""
    poller = select.poll()
    poller.register(stream.fileno(), events)
    return bool(poller.poll(0))
