"""Encoding of the keys that entries report to homes and homes hand over to entries."""

from collections.abc import Iterator
from typing import Any, Final, NamedTuple

from gypsumpier.codes.wire import BAD_FRAME
from gypsumpier.errors import GypsumpierError
from gypsumpier.idempotency.key import KeyId
from gypsumpier.idempotency.record import KeyState, StoredAnswer

PART_TARGET_BYTES: Final = 512 * 1024
KEY_OVERHEAD_BYTES: Final = 200


class ReportedKey(NamedTuple):
    """One instance's record of a key; ``age_s`` is the time since its last change."""

    key_id: KeyId
    fingerprint: str
    state: KeyState
    age_s: float
    answer: StoredAnswer | None = None


def pack_keys(keys: list[ReportedKey]) -> Iterator[list[list[Any]]]:
    """Yield the keys in parts that fit into frames; there is always at least one part.

    A part ends once it reaches ``PART_TARGET_BYTES``.
    """
    part: list[list[Any]] = []
    size = 0
    for key in keys:
        content = key.answer.content if key.answer is not None else None
        part.append([*key.key_id, key.fingerprint, key.state.value, key.age_s, content])
        size += KEY_OVERHEAD_BYTES + len(content or b"")
        if size >= PART_TARGET_BYTES:
            yield part
            part, size = [], 0
    yield part


def unpack_keys(part: list[list[Any]]) -> list[ReportedKey]:
    """Return the keys of one part; raise GypsumpierError with BAD_FRAME if it is malformed."""
    try:
        return [unpack_key(*fields) for fields in part]
    except (TypeError, ValueError) as error:
        raise GypsumpierError(BAD_FRAME, f"keys: {error!r}") from error


def unpack_key(
    workspace: str, key: str, fingerprint: str, state: str, age_s: float, content: bytes | None
) -> ReportedKey:
    """Return the key with these packed fields."""
    answer = StoredAnswer(content) if content is not None else None
    return ReportedKey(KeyId(workspace, key), fingerprint, KeyState(state), float(age_s), answer)
