"""The messages between agents on their connections for weights.

Each is one frame, whose kind is the message's name below and whose payload holds its fields.
"""

from typing import Any, Final, NamedTuple, TypeVar, get_type_hints

from gypsumpier.codes.wire import BAD_FRAME
from gypsumpier.errors import GypsumpierError
from gypsumpier.wire.frame import Frame


class Hello(NamedTuple):
    """The first message each way: who is there."""

    name: str
    incarnation: str
    service: str
    region: str
    zone: str


class Have(NamedTuple):
    """Every chunk of a layout that the sender can give, as a bit field."""

    layout: str
    bits: bytes


class Got(NamedTuple):
    """Chunks, by index, that the sender can give from now on."""

    layout: str
    indexes: list[int]


class Claim(NamedTuple):
    """A chunk that the sender is importing into its region."""

    layout: str
    chunk: int


class Want(NamedTuple):
    """Asks for a chunk."""

    layout: str
    chunk: int


class Unwant(NamedTuple):
    """Takes a Want back, because the chunk has come from elsewhere."""

    layout: str
    chunk: int


class Content(NamedTuple):
    """A chunk's content."""

    layout: str
    chunk: int
    content: bytes


class Refusal(NamedTuple):
    """The sender can't give the chunk; ``held`` tells whether it may be asked again."""

    layout: str
    chunk: int
    held: bool


class AskFiles(NamedTuple):
    """Asks for the published file list of a version."""

    model: str
    version: str


class Files(NamedTuple):
    """A published file list, read ``age_s`` seconds before it was sent."""

    model: str
    version: str
    age_s: float
    files: list[list[Any]]


class Standing(NamedTuple):
    """What an agent's engine serves; passed on within a zone.

    ``live`` holds the digests that the engine reports, ``out`` whether the agent takes its engine
    out of service to change versions.  A higher ``sequence`` is newer; it begins at the wall-clock
    time in milliseconds, so that the standing of a replaced agent is older than its successor's.
    """

    name: str
    incarnation: str
    sequence: int
    live: list[str]
    out: bool


Message = (
    Hello | Have | Got | Claim | Want | Unwant | Content | Refusal | AskFiles | Files | Standing
)
M = TypeVar("M", bound=Message)

KINDS: Final[dict[str, type[Message]]] = {
    "hello": Hello,
    "have": Have,
    "got": Got,
    "claim": Claim,
    "want": Want,
    "unwant": Unwant,
    "content": Content,
    "refusal": Refusal,
    "ask_files": AskFiles,
    "files": Files,
    "standing": Standing,
}
NAMES: Final = {kind: name for name, kind in KINDS.items()}
FIELD_TYPES: Final = {
    kind: {field: getattr(hint, "__origin__", hint) for field, hint in get_type_hints(kind).items()}
    for kind in KINDS.values()
}


def kind_of(message: Message) -> str:
    """Return the kind of the frame that carries the message."""
    return NAMES[type(message)]


def parse(frame: Frame) -> Message:
    """Return the frame's message; raise GypsumpierError with BAD_FRAME where it has none."""
    kind = KINDS.get(frame.kind)
    if kind is None or frame.payload.keys() != FIELD_TYPES[kind].keys():
        raise GypsumpierError(BAD_FRAME, f"weights: {frame.kind}")
    for field, expected in FIELD_TYPES[kind].items():
        if not isinstance(frame.payload[field], expected):
            raise GypsumpierError(BAD_FRAME, f"weights: {frame.kind}.{field}")
    return kind(**frame.payload)


def bits_of(indexes: set[int], length: int) -> bytes:
    """Return the indexes as a bit field."""
    field = bytearray(-(-length // 8))
    for index in indexes:
        field[index >> 3] |= 1 << (index & 7)
    return bytes(field)


def indexes_of(bits: bytes) -> set[int]:
    """Return the indexes of a bit field."""
    return {
        (place << 3) + bit
        for place, byte in enumerate(bits)
        if byte
        for bit in range(8)
        if byte >> bit & 1
    }
