"""The identity and address of one process, as peers exchange it."""

from typing import Any, NamedTuple

from gypsumpier.wire.frame import Frame
from gypsumpier.wire.payload import bad_frame_on_error


class Peer(NamedTuple):
    """A process.  ``port`` is 0 where it accepts no streams; ``run`` is different at each start."""

    name: str
    role: str
    zone: str
    region: str
    host: str
    port: int
    run: str

    def as_list(self) -> list[Any]:
        """Return the peer as a list for a message."""
        return list(self)


def peer_from(frame: Frame, found: Any) -> Peer:
    """Return the peer in a message's payload; raise GypsumpierError where it is malformed."""
    with bad_frame_on_error(frame):
        name, role, zone, region, host, port, run = found
        return Peer(str(name), str(role), str(zone), str(region), str(host), int(port), str(run))
