"""Computes the ids of prompt prefixes that engines use in their cache events."""

import hashlib
from typing import Final

PREFIX_BLOCK_CHARS: Final = 64
PREFIX_ID_BYTES: Final = 8


def prefix_ids(prompt: str) -> list[str]:
    """Return the id of each prefix that consists of whole blocks, the shortest first."""
    digest = hashlib.blake2b(digest_size=PREFIX_ID_BYTES)
    names: list[str] = []
    for end in range(PREFIX_BLOCK_CHARS, len(prompt) + 1, PREFIX_BLOCK_CHARS):
        digest.update(prompt[end - PREFIX_BLOCK_CHARS : end].encode())
        names.append(digest.hexdigest())
    return names
