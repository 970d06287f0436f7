"""Bytes on the wire of a process's open TCP connections, as the kernel counts them.

Linux only: the descriptors of the process are duplicated into this one to ask the kernel.  What
short connections carried, such as single HTTP calls, is gone with them and not counted.
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
    """Sums over connections; ``wire_bytes`` adds the headers of each segment, both ways."""

    connections: int
    payload_bytes: int
    segments: int

    @property
    def wire_bytes(self) -> int:
        """Payload and headers in both directions."""
        return self.payload_bytes + HEADER_BYTES * self.segments


def count_wire(pid: int, without_ports: frozenset[int] = frozenset()) -> WireCount:
    """Sum the process's connections, except those with one of the ports at either end."""
    counts = [count_socket(one, without_ports) for one in sockets_of(pid)]
    found = [count for count in counts if count is not None]
    return WireCount(
        connections=len(found),
        payload_bytes=sum(count.payload_bytes for count in found),
        segments=sum(count.segments for count in found),
    )


def sockets_of(pid: int) -> Iterator[socket.socket]:
    """Yield a duplicate of each of the process's sockets; it is closed after use."""
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
    """Open a descriptor of the process and close it after use."""
    descriptor = os.pidfd_open(pid)
    try:
        yield descriptor
    finally:
        os.close(descriptor)


def is_socket(pid: int, name: str) -> bool:
    """Tell whether a descriptor of the process is a socket."""
    try:
        return os.readlink(f"/proc/{pid}/fd/{name}").startswith("socket:")
    except FileNotFoundError:
        return False


def count_socket(one: socket.socket, without_ports: frozenset[int]) -> WireCount | None:
    """Return the counts of one connection, or None where it is none that counts."""
    try:
        ends = {one.getsockname()[1], one.getpeername()[1]}
        info = one.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except (OSError, IndexError):
        return None
    if ends & without_ports:
        return None
    acked, received = struct.unpack_from("<QQ", info, BYTES_ACKED_OFFSET)
    sent_segments, received_segments = struct.unpack_from("<II", info, SEGMENTS_OFFSET)
    return WireCount(1, acked + received, sent_segments + received_segments)
