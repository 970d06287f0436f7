"""Bytes on the wire of a process's open TCP connections, as the kernel counts them.

Linux only: the process's descriptors are duplicated into this process to query the kernel.  Bytes
of connections that have closed, such as those of single HTTP calls, are not counted.
"""

import ctypes
import os
import socket
import struct
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final, NamedTuple

# Offsets into the kernel's struct tcp_info.
BYTES_ACKED_OFFSET: Final = 120
SEGMENTS_OFFSET: Final = 136
TCP_INFO_BYTES: Final = 192
PIDFD_GETFD: Final = 438
# IPv4 and TCP with timestamps.
HEADER_BYTES: Final = 52


class WireCount(NamedTuple):
    """Sums over connections, in both directions."""

    connections: int
    payload_bytes: int
    segments: int

    @property
    def wire_bytes(self) -> int:
        """Payload bytes plus the headers of each segment, in both directions."""
        return self.payload_bytes + HEADER_BYTES * self.segments


def count_wire(pid: int, excluded_ports: frozenset[int] = frozenset()) -> WireCount:
    """Sum up the process's connections, except those with an excluded port at either end."""
    counts = [count_socket(one, excluded_ports) for one in sockets_of(pid)]
    found = [count for count in counts if count is not None]
    return WireCount(
        connections=len(found),
        payload_bytes=sum(count.payload_bytes for count in found),
        segments=sum(count.segments for count in found),
    )


def sockets_of(pid: int) -> Iterator[socket.socket]:
    """Yield a duplicate of each of the process's sockets, closed when the next is requested."""
    system = ctypes.CDLL(None, use_errno=True)
    with process_descriptor(pid) as process:
        for name in os.listdir(f"/proc/{pid}/fd"):
            descriptor = -1
            if is_socket(pid, name):
                descriptor = system.syscall(PIDFD_GETFD, process, int(name), 0)
            if descriptor >= 0:
                with socket.socket(fileno=descriptor) as one:
                    yield one


@contextmanager
def process_descriptor(pid: int) -> Iterator[int]:
    """Provide a pidfd of the process and close it after use."""
    descriptor = os.pidfd_open(pid)
    try:
        yield descriptor
    finally:
        os.close(descriptor)


def is_socket(pid: int, name: str) -> bool:
    """Return whether a descriptor of the process is a socket; False if it has been closed."""
    try:
        return os.readlink(f"/proc/{pid}/fd/{name}").startswith("socket:")
    except FileNotFoundError:
        return False


def count_socket(one: socket.socket, excluded_ports: frozenset[int]) -> WireCount | None:
    """Return the counts of one connection, or None if it is not connected, not TCP or excluded."""
    try:
        ends = {one.getsockname()[1], one.getpeername()[1]}
        info = one.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except (OSError, IndexError):
        return None
    if ends & excluded_ports:
        return None
    acked, received = struct.unpack_from("<QQ", info, BYTES_ACKED_OFFSET)
    sent_segments, received_segments = struct.unpack_from("<II", info, SEGMENTS_OFFSET)
    return WireCount(1, acked + received, sent_segments + received_segments)
