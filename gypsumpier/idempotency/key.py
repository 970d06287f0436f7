"""Identity of idempotent requests: the key within its workspace, its age and its fingerprint."""

import uuid
from hashlib import blake2b
from typing import Final, NamedTuple

UUID_VERSION_WITH_TIME: Final = 7
MILLISECONDS_PER_S: Final = 1000
FINGERPRINT_BYTES: Final = 16


class KeyId(NamedTuple):
    """An ``Idempotency-Key`` and the workspace that it belongs to."""

    workspace: str
    key: str


def created_at_s(key: str) -> float | None:
    """Return the wall-clock time in seconds of a time-ordered UUID, or None for any other key."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != UUID_VERSION_WITH_TIME:
        return None
    return (parsed.int >> 80) / MILLISECONDS_PER_S


def fingerprint(method: str, path: str, body: bytes) -> str:
    """Return a digest of the request, which detects a different request under the same key."""
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (method.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
