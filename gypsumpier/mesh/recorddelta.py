"""Records of a message, those with a large value as a delta to the value before."""

import zlib
from collections.abc import Mapping
from typing import Any, Final, NamedTuple

import msgpack

from gypsumpier.fleet.record import Record
from gypsumpier.mesh.delta import DeltaError, Part, apply_delta, delta_between, digest

COMPRESSION_LEVEL: Final = 1
"""The fastest level of zlib; it compresses a configuration's routes to about a tenth."""
DELTA_MIN_BYTES: Final = 4096
"""Bytes of a value from which on it is sent as a delta; records of upstreams are far smaller."""
DELTAS_BYTES_MAX: Final = 64 * 1024 * 1024
"""Limit in bytes on a message's decompressed deltas, some hundred times a large configuration."""


class RecordDelta(NamedTuple):
    """A record whose value is ``parts`` of the value with ``base_digest``.

    The result must have ``value_digest``.
    """

    key: str
    revision: int
    base_digest: bytes
    value_digest: bytes
    parts: list[Part]


def split_records(
    records: list[Record], bases: Mapping[str, bytes]
) -> tuple[list[Record], list[RecordDelta]]:
    """Return the records to send whole, and deltas for those whose value before is in ``bases``.

    Of several records of a key each is a delta to the one before.
    """
    whole: list[Record] = []
    deltas: list[RecordDelta] = []
    known = dict(bases)
    for record in sorted(records, key=lambda found: found.revision):
        base = known.get(record.key)
        if is_large(record) and base is not None:
            assert record.value is not None
            parts = delta_between(base, record.value)
            deltas.append(
                RecordDelta(record.key, record.revision, digest(base), digest(record.value), parts)
            )
        else:
            whole.append(record)
        if is_large(record):
            assert record.value is not None
            known[record.key] = record.value
    return whole, deltas


def is_large(record: Record) -> bool:
    """Return whether changes of the record are sent as deltas."""
    return record.value is not None and len(record.value) >= DELTA_MIN_BYTES


def join_records(deltas: list[RecordDelta], known: Mapping[str, Record]) -> list[Record]:
    """Return the records that the deltas make of the known ones.

    A record that is known at the same revision, or a newer one, is taken as it is known.  Raises
    DeltaError where a base is not known, or where the result is not what the sender had.
    """
    made: dict[str, Record] = {}
    joined = []
    for delta in sorted(deltas, key=lambda one: one.revision):
        base = made.get(delta.key) or known.get(delta.key)
        if base is None or base.value is None:
            raise DeltaError(f"no value of {delta.key} is known")
        if base.revision < delta.revision:
            if digest(base.value) != delta.base_digest:
                raise DeltaError(f"a delta of {delta.key} was made from another value")
            value = apply_delta(base.value, delta.parts)
            if digest(value) != delta.value_digest:
                raise DeltaError(f"a delta of {delta.key} makes another value than its sender had")
            base = made[delta.key] = Record(delta.key, value, delta.revision)
        joined.append(Record(delta.key, base.value, delta.revision))
    return joined


def pack_deltas(deltas: list[RecordDelta]) -> bytes:
    """Return the deltas as compressed msgpack."""
    return zlib.compress(msgpack.packb([list(delta) for delta in deltas]), COMPRESSION_LEVEL)


def unpack_deltas(content: Any) -> list[RecordDelta]:
    """Return the deltas of a message; raise DeltaError where they can't be decoded."""
    try:
        items = msgpack.unpackb(decompressed(content, DELTAS_BYTES_MAX))
        return [delta_from(fields) for fields in items]
    except DeltaError:
        raise
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise DeltaError(f"deltas can't be decoded: {error}") from error


def delta_from(fields: Any) -> RecordDelta:
    """Return the delta of a message; raise ValueError or TypeError where it is malformed."""
    key, revision, base_digest, value_digest, parts = fields
    if not isinstance(base_digest, bytes) or not isinstance(value_digest, bytes):
        raise TypeError("a digest is not bytes")
    return RecordDelta(str(key), int(revision), base_digest, value_digest, parts)


def decompressed(content: bytes, limit_bytes: int) -> bytes:
    """Return the decompressed content; raise ValueError where it is malformed or too large."""
    decompressor = zlib.decompressobj()
    try:
        found = decompressor.decompress(content, limit_bytes)
    except zlib.error as error:
        raise ValueError(f"records can't be decompressed: {error}") from error
    if not decompressor.eof:
        raise ValueError("records are truncated or exceed the size limit")
    return found
