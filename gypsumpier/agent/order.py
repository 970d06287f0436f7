"""A request as it arrives from an entry."""

from typing import Any, NamedTuple

from gypsumpier.codes.wire import BAD_FRAME
from gypsumpier.errors import GypsumpierError
from gypsumpier.wire.frame import Frame


class AttemptOrder(NamedTuple):
    """What the agent is to run.

    ``remaining_s`` is the time left to the caller's deadline and ``age_s`` the time since the
    entry received the request, both when the frame was read.  A ``suspect`` was running when an
    upstream crashed.
    """

    exchange: str
    service: str
    workspace: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    key: str
    streamed: bool
    idempotent: bool
    priority: int
    remaining_s: float
    age_s: float
    model: str
    version: str
    fingerprint: str
    suspect: bool

    def has_home(self) -> bool:
        """Tell whether the request runs only at the home of its key."""
        return bool(self.key) and not self.idempotent


def parse_order(frame: Frame, buffered_s: float) -> AttemptOrder:
    """Return the order in a request frame; the time it spent in buffers counts."""
    fields: dict[str, Any] = dict(frame.payload)
    try:
        order = AttemptOrder(exchange=frame.exchange, **fields)
        return order._replace(
            remaining_s=order.remaining_s - buffered_s, age_s=order.age_s + buffered_s
        )
    except TypeError as error:
        raise GypsumpierError(BAD_FRAME, f"request: {error}") from error
