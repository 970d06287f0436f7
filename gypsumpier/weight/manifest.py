"""The manifest of one content of a version: its files and chunks.

``digest`` identifies the content.  It equals the platform's version digest, and the engine stages
and reports content under it.  When the content published under a version's name changes, the
digest changes.  ``layout`` is a digest that covers the chunks as well: agents exchange chunks by
index only within one layout.
"""

from typing import Final, NamedTuple

from blake3 import blake3

from gypsumpier.codes.weight import BAD_MANIFEST
from gypsumpier.errors import GypsumpierError
from gypsumpier.external.store import WeightFile, version_digest

MAX_CHUNK_BYTES: Final = 2 * 1024 * 1024
DIGEST_HEX_DIGITS: Final = 64


class Chunk(NamedTuple):
    """One chunk: its digest, and the range of a file that it fills."""

    digest: str
    file: int
    path: str
    offset: int
    length: int


class Manifest(NamedTuple):
    """The files and chunks of one content of a version; chunks are in file order."""

    model: str
    version: str
    digest: str
    layout: str
    files: tuple[WeightFile, ...]
    chunks: tuple[Chunk, ...]

    @property
    def size_bytes(self) -> int:
        """The total size of all files."""
        return sum(file.size_bytes for file in self.files)


def build_manifest(model: str, version: str, files: list[WeightFile]) -> Manifest:
    """Return the manifest of the files; raise GypsumpierError with BAD_MANIFEST if invalid."""
    ordered = tuple(sorted(files))
    if not ordered:
        raise GypsumpierError(BAD_MANIFEST, f"{model} {version} has no files")
    if len({file.path for file in ordered}) != len(ordered):
        raise GypsumpierError(BAD_MANIFEST, f"{model} {version} names a path twice")
    chunks: list[Chunk] = []
    for number, file in enumerate(ordered):
        check_file(file)
        chunks += file_chunks(number, file)
    digest = version_digest(ordered)
    return Manifest(model, version, digest, layout_digest(ordered), ordered, tuple(chunks))


def check_file(file: WeightFile) -> None:
    """Raise GypsumpierError with BAD_MANIFEST where the description is inconsistent."""
    if not 0 < file.chunk_bytes <= MAX_CHUNK_BYTES or file.size_bytes < 0:
        raise GypsumpierError(BAD_MANIFEST, f"{file.path}: file size or chunk size out of range")
    if len(file.chunk_digests) != -(-file.size_bytes // file.chunk_bytes):
        raise GypsumpierError(BAD_MANIFEST, f"{file.path}: wrong number of chunk digests")
    if any(len(digest) != DIGEST_HEX_DIGITS for digest in (file.digest, *file.chunk_digests)):
        raise GypsumpierError(BAD_MANIFEST, f"{file.path}: wrong length of a digest")
    if file.size_bytes == 0 and file.digest != blake3(b"").hexdigest():
        raise GypsumpierError(BAD_MANIFEST, f"{file.path}: wrong digest of an empty file")


def file_chunks(number: int, file: WeightFile) -> list[Chunk]:
    """Return the chunks of one file."""
    chunks = []
    for index, digest in enumerate(file.chunk_digests):
        offset = index * file.chunk_bytes
        length = min(file.chunk_bytes, file.size_bytes - offset)
        chunks.append(Chunk(digest, number, file.path, offset, length))
    return chunks


def layout_digest(files: tuple[WeightFile, ...]) -> str:
    """Return the digest over all fields of the files' descriptions."""
    hasher = blake3()
    for file in files:
        fields = [file.path, file.size_bytes, file.digest, file.chunk_bytes, *file.chunk_digests]
        hasher.update("\0".join(str(field) for field in fields).encode() + b"\n")
    return hasher.hexdigest()
