"""Bytes on the wire of this process's TCP connections, as the kernel counts them."""

import os
import socket
import struct
from typing import Final, NamedTuple

# Offsets into the kernel's struct tcp_info.
BYTES_ACKED_OFFSET: Final = 120
SEGMENTS_OFFSET: Final = 136
TCP_INFO_BYTES: Final = 192
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


def count_wire(ports: set[int]) -> WireCount:
    """Sum the connections of this process with one of the ports at either end."""
    counts = [count_descriptor(int(name), ports) for name in os.listdir("/proc/self/fd")]
    found = [count for count in counts if count is not None]
    return WireCount(
        connections=len(found),
        payload_bytes=sum(count.payload_bytes for count in found),
        segments=sum(count.segments for count in found),
    )


def count_descriptor(descriptor: int, ports: set[int]) -> WireCount | None:
    """Return the counts of one connection, or None where it isn't one with such a port."""
    try:
        connection = socket.socket(fileno=os.dup(descriptor))
    except OSError:
        return None
    with connection:
        try:
            ends = {connection.getsockname()[1], connection.getpeername()[1]}
            info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        except (OSError, IndexError):
            return None
    if not ends & ports:
        return None
    acked, received = struct.unpack_from("<QQ", info, BYTES_ACKED_OFFSET)
    sent_segments, received_segments = struct.unpack_from("<II", info, SEGMENTS_OFFSET)
    return WireCount(1, acked + received, sent_segments + received_segments)
