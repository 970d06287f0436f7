"""Ends a connection in a way that its peer can't take for a regular end."""

import socket
import struct
from typing import Final

from tornado.iostream import IOStream

RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)
"""SO_LINGER with a timeout of 0 s: a close resets the connection."""


def reset(stream: IOStream) -> None:
    """Reset the connection, unless it is closed already."""
    if not stream.closed():
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        stream.close()
