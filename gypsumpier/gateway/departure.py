"""Tells whether a caller has disconnected, whatever the event loop has noticed so far."""

import select
from typing import Final

from tornado.iostream import IOStream

DEPARTED_EVENTS: Final = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def has_departed(stream: IOStream) -> bool:
    """Return whether the caller has closed its side of the connection.

    The event loop notices a close only once it has read every byte before it, and handles it after
    what was ready earlier.
    """
    if stream.closed():
        return True
    poller = select.poll()
    poller.register(stream.fileno(), DEPARTED_EVENTS)
    return bool(poller.poll(0))
