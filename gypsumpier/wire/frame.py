"""One frame of our streams and its codec.

``exchange`` identifies what the frame belongs to: a request's attempt, or the connection itself
where it is empty.  ``sequence`` counts the frames of one exchange in one direction from 0, so that
a late or crossed frame is detected and the final frame proves that none is missing.  ``sent_at_s``
is the time on the sender's monotonic clock at which the frame was sent, or queued to be sent; a
receiver may only compare differences of it.
"""

from typing import Any, Final, NamedTuple

import msgpack

from gypsumpier.codes.wire import BAD_FRAME, FRAME_TOO_LARGE
from gypsumpier.errors import GypsumpierError

MAX_FRAME_BYTES: Final = 4 * 1024 * 1024
# Initial buffer size of a decoder; the buffer grows only for a larger frame.  The library's default
# is a megabyte, which would eventually be written in full, and so occupied, on each of a process's
# many connections.
BUFFER_BYTES: Final = 16 * 1024
FRAME_FIELDS: Final = 5
FRAME_BEGIN: Final[bytes] = msgpack.Packer().pack_array_header(FRAME_FIELDS)


class Frame(NamedTuple):
    """A typed message between two of our processes."""

    kind: str
    exchange: str
    sequence: int
    sent_at_s: float
    payload: dict[str, Any]


class Decoder:
    """Decodes received bytes into frames; raises GypsumpierError on a malformed one."""

    def __init__(self) -> None:
        self.unpacker = msgpack.Unpacker(
            raw=False, max_buffer_size=MAX_FRAME_BYTES, read_size=BUFFER_BYTES
        )

    def feed(self, content: bytes) -> list[Frame]:
        """Return the frames that ``content`` completes."""
        try:
            self.unpacker.feed(content)
            return [checked(message) for message in self.unpacker]
        except msgpack.BufferFull as error:
            raise GypsumpierError(FRAME_TOO_LARGE, f"over {MAX_FRAME_BYTES} bytes") from error
        except (ValueError, msgpack.UnpackException) as error:
            raise GypsumpierError(BAD_FRAME, str(error)) from error


def encode(frame: Frame) -> bytes:
    """Return the encoded frame; raise GypsumpierError with FRAME_TOO_LARGE if it is too large."""
    return encode_packed(*frame[:-1], pack_payload(frame.payload))


def pack_payload(payload: dict[str, Any]) -> bytes:
    """Return a payload as it stands in a frame, so that one for many peers is packed once."""
    packed: bytes = msgpack.packb(payload)
    return packed


def encode_packed(
    kind: str, exchange: str, sequence: int, sent_at_s: float, payload: bytes
) -> bytes:
    """Return the encoded frame of a packed payload; raise GypsumpierError as ``encode``."""
    fields = (kind, exchange, sequence, sent_at_s)
    encoded = b"".join([FRAME_BEGIN, *map(msgpack.packb, fields), payload])
    if len(encoded) > MAX_FRAME_BYTES:
        raise GypsumpierError(FRAME_TOO_LARGE, f"{kind} of {len(encoded)} bytes")
    return encoded


def checked(message: object) -> Frame:
    """Return the message as a frame; raise GypsumpierError where its shape is wrong."""
    if not isinstance(message, list) or len(message) != FRAME_FIELDS:
        raise GypsumpierError(BAD_FRAME, "a frame is an array of five fields")
    kind, exchange, sequence, sent_at_s, payload = message
    if not isinstance(kind, str) or not isinstance(exchange, str):
        raise GypsumpierError(BAD_FRAME, "kind and exchange are strings")
    if not isinstance(sequence, int) or not isinstance(sent_at_s, int | float):
        raise GypsumpierError(BAD_FRAME, "sequence and sent_at_s are numbers")
    if not isinstance(payload, dict):
        raise GypsumpierError(BAD_FRAME, "the payload is a map")
    return Frame(kind, exchange, sequence, float(sent_at_s), payload)
