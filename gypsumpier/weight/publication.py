"""Describes content as its publisher would; used by the stand-ins and by tests."""

from blake3 import blake3

from gypsumpier.external.store import WeightFile


def published_file(path: str, content: bytes, chunk_bytes: int) -> WeightFile:
    """Return the description of a file with that content, split into chunks of ``chunk_bytes``."""
    starts = range(0, len(content), chunk_bytes)
    chunks = [content[start : start + chunk_bytes] for start in starts]
    return WeightFile(
        path,
        len(content),
        blake3(content).hexdigest(),
        chunk_bytes,
        tuple(blake3(chunk).hexdigest() for chunk in chunks),
    )
