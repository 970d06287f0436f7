"""An attempt as it arrives from an entry in a request frame."""

from typing import Any, Final, NamedTuple

from gypsumpier.codes.wire import BAD_FRAME
from gypsumpier.errors import GypsumpierError
from gypsumpier.quarantine.trait import traits_of
from gypsumpier.wire.frame import Frame


class AttemptOrder(NamedTuple):
    """One attempt for the agent to run.

    ``remaining_s`` is the time left to the caller's deadline and ``age_s`` the time since the
    entry received the request, both when the frame was read.  A ``suspect`` request was in flight
    when an upstream crashed.  ``parts`` are the parts of its prompt that others may share; an entry
    of an earlier build sends none.
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
    parts: list[str] = []

    @property
    def traits(self) -> tuple[str, ...]:
        """What it has in common with other attempts, by which a crash names it."""
        return traits_of(self.fingerprint, self.parts)

    def has_home(self) -> bool:
        """Return whether the request may run only at the home of its key."""
        return bool(self.key) and not self.idempotent


TEXT: Final = (str,)
FLAG: Final = (bool,)
NUMBER: Final = (int, float)
FIELD_TYPES: Final[dict[str, tuple[type, ...]]] = {
    "service": TEXT,
    "workspace": TEXT,
    "method": TEXT,
    "path": TEXT,
    "headers": (dict,),
    "body": (bytes,),
    "key": TEXT,
    "streamed": FLAG,
    "idempotent": FLAG,
    "priority": (int,),
    "remaining_s": NUMBER,
    "age_s": NUMBER,
    "model": TEXT,
    "version": TEXT,
    "fingerprint": TEXT,
    "suspect": FLAG,
    "parts": (list,),
}


def parse_order(frame: Frame, buffered_s: float) -> AttemptOrder:
    """Return the order in a request frame, adjusted for the ``buffered_s`` it spent in buffers.

    Raises GypsumpierError with BAD_FRAME if a field is missing, unknown or of a wrong type.
    """
    fields: dict[str, Any] = dict(frame.payload)
    try:
        order = AttemptOrder(exchange=frame.exchange, **fields)
    except TypeError as error:
        raise GypsumpierError(BAD_FRAME, f"request: {error}") from error
    check_types(order)
    return order._replace(
        remaining_s=order.remaining_s - buffered_s, age_s=order.age_s + buffered_s
    )


def check_types(order: AttemptOrder) -> None:
    """Raise GypsumpierError with BAD_FRAME if a field is of a wrong type."""
    for name, kinds in FIELD_TYPES.items():
        value = getattr(order, name)
        if not isinstance(value, kinds) or (isinstance(value, bool) and bool not in kinds):
            raise GypsumpierError(BAD_FRAME, f"request: {name} is a {type(value).__name__}")
    if not all(isinstance(part, str) for part in order.parts):
        raise GypsumpierError(BAD_FRAME, "request: parts must be strings")
    for pair in order.headers.items():
        if not all(isinstance(text, str) for text in pair):
            raise GypsumpierError(BAD_FRAME, "request: header names and values must be strings")
