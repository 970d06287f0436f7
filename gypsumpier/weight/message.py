"""The messages between agents on their connections for weights.

Each message is one frame; KINDS maps the frame's kind to the message, and the payload holds the
message's fields.
"""

from typing import Any, Final, NamedTuple, TypeVar, get_type_hints

from gypsumpier.codes.wire import BAD_FRAME
from gypsumpier.errors import GypsumpierError
from gypsumpier.wire.frame import Frame


class Hello(NamedTuple):
    """The first message in each direction; identifies the sender."""

    name: str
    incarnation: str
    service: str
    region: str
    zone: str


class Have(NamedTuple):
    """All chunks of a layout that the sender can provide, as a bit field."""

    layout: str
    bits: bytes


class Got(NamedTuple):
    """Indexes of further chunks that the sender can provide from now on."""

    layout: str
    indexes: list[int]


class Claim(NamedTuple):
    """A chunk that the sender is importing into its region."""

    layout: str
    chunk: int


class Want(NamedTuple):
    """Requests a chunk."""

    layout: str
    chunk: int


class Unwant(NamedTuple):
    """Cancels a Want that is no longer needed, as when the chunk has come from elsewhere."""

    layout: str
    chunk: int


class Content(NamedTuple):
    """A chunk's content."""

    layout: str
    chunk: int
    content: bytes


class Refusal(NamedTuple):
    """The sender doesn't send the chunk; it may be requested again if ``held`` is true."""

    layout: str
    chunk: int
    held: bool


class AskFiles(NamedTuple):
    """Requests the published file list of a version."""

    model: str
    version: str


class Files(NamedTuple):
    """A published file list, read ``age_s`` seconds before it was posted."""

    model: str
    version: str
    age_s: float
    files: list[list[Any]]


class Standing(NamedTuple):
    """The status of an agent's engine; agents forward it within their zone.

    ``live`` holds the digests that the engine reports as live; ``out`` is true while the agent has
    its engine out of service to change versions.  A higher ``sequence`` is newer.  It starts at the
    wall-clock time in milliseconds, so that a replaced agent's standing is older than its
    successor's.
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
    """Return the frame's message; raise GypsumpierError with BAD_FRAME if it isn't valid."""
    kind = KINDS.get(frame.kind)
    if kind is None or frame.payload.keys() != FIELD_TYPES[kind].keys():
        raise GypsumpierError(
            BAD_FRAME, f"unknown kind or wrong fields of a frame for weights: {frame.kind}"
        )
    for field, expected in FIELD_TYPES[kind].items():
        if not isinstance(frame.payload[field], expected):
            raise GypsumpierError(
                BAD_FRAME, f"wrong type of a field in a frame for weights: {frame.kind}.{field}"
            )
    return kind(**frame.payload)


def bits_of(indexes: set[int], length: int) -> bytes:
    """Return the indexes, all below ``length``, as a bit field of ``length`` bits."""
    field = bytearray(-(-length // 8))
    for index in indexes:
        field[index >> 3] |= 1 << (index & 7)
    return bytes(field)


def indexes_of(bits: bytes) -> set[int]:
    """Return the indexes of the set bits of a bit field."""
    return {
        (place << 3) + bit
        for place, byte in enumerate(bits)
        if byte
        for bit in range(8)
        if byte >> bit & 1
    }
