"""One process as its peers know it."""

from typing import Any, NamedTuple

from gypsumpier.wire.frame import Frame
from gypsumpier.wire.payload import bad_frame_on_error


class Peer(NamedTuple):
    """A process.  ``port`` is 0 where it accepts no streams; ``run`` differs for each start."""

    name: str
    role: str
    zone: str
    region: str
    host: str
    port: int
    run: str

    def as_list(self) -> list[Any]:
        """Return the peer as it travels."""
        return list(self)


def peer_from(frame: Frame, found: Any) -> Peer:
    """Return the peer that a payload names; raise GypsumpierError where it is malformed."""
    with bad_frame_on_error(frame):
        name, role, zone, region, host, port, run = found
        return Peer(str(name), str(role), str(zone), str(region), str(host), int(port), str(run))
