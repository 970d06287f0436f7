"""Changes of a large value, as copies from the value before and the bytes between them.

The value is bytes of any kind.  It is cut behind each closing brace, which in JSON ends a route or
a service, and pieces that the value before has as well are copied from there.  So changes at
several places cost what they change, whatever lies between them.
"""

from hashlib import blake2b
from typing import Any, Final

PIECE_END: Final = b"}"
DIGEST_BYTES: Final = 16
VALUE_BYTES_MAX: Final = 16 * 1024 * 1024
"""Limit in bytes on a value that a delta makes, as on an answer of the platform's store."""

Part = bytes | list[int]
"""New bytes, or ``[offset, length]`` of what is copied from the value before, in bytes."""


class DeltaError(ValueError):
    """A delta can't be applied: it is malformed, or was made from another value."""


def digest(value: bytes) -> bytes:
    """Return the digest by which the two ends compare a value."""
    return blake2b(value, digest_size=DIGEST_BYTES).digest()


def pieces(value: bytes) -> list[bytes]:
    """Return the pieces of a value; joined, they are the value."""
    *ended, last = value.split(PIECE_END)
    return [piece + PIECE_END for piece in ended] + ([last] if last else [])


def delta_between(base: bytes, value: bytes) -> list[Part]:
    """Return the parts that make ``value`` of ``base``."""
    base_pieces = pieces(base)
    offsets = [0]
    for piece in base_pieces:
        offsets.append(offsets[-1] + len(piece))
    first_places: dict[bytes, int] = {}
    for place, piece in enumerate(base_pieces):
        first_places.setdefault(piece, place)
    parts: list[Part] = []
    new: list[bytes] = []
    expected = 0
    for piece in pieces(value):
        if expected < len(base_pieces) and base_pieces[expected] == piece:
            place = expected
        elif expected + 1 < len(base_pieces) and base_pieces[expected + 1] == piece:
            # Behind a changed piece its base is followed by the same pieces.
            place = expected + 1
        else:
            place = first_places.get(piece, -1)
        if place < 0:
            new.append(piece)
            continue
        if new:
            parts.append(b"".join(new))
            new.clear()
        last = parts[-1] if parts else b""
        if isinstance(last, list) and last[0] + last[1] == offsets[place]:
            last[1] += len(piece)
        else:
            parts.append([offsets[place], len(piece)])
        expected = place + 1
    if new:
        parts.append(b"".join(new))
    return parts


def apply_delta(base: bytes, parts: Any) -> bytes:
    """Return the value that the parts make of ``base``; raise DeltaError if they are malformed."""
    if not isinstance(parts, list):
        raise DeltaError("a delta is no list")
    found: list[bytes] = []
    size = 0
    for part in parts:
        found.append(part if isinstance(part, bytes) else copied(base, part))
        size += len(found[-1])
        if size > VALUE_BYTES_MAX:
            raise DeltaError(f"a delta makes more than {VALUE_BYTES_MAX} bytes")
    return b"".join(found)


def copied(base: bytes, part: Any) -> bytes:
    """Return the bytes that a part copies; raise DeltaError if it lies outside of the base."""
    if not isinstance(part, list) or len(part) != 2:
        raise DeltaError("a part of a delta is neither bytes nor an offset and a length")
    offset, length = part
    if not isinstance(offset, int) or not isinstance(length, int):
        raise DeltaError("an offset or a length is no integer")
    if offset < 0 or length < 0 or offset + length > len(base):
        raise DeltaError("a part of a delta lies outside of its base")
    return base[offset : offset + length]
