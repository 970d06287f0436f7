"""The transfer of one manifest's content to the engine.

Invariants.  A chunk counts as held only after its content matched its digest and the engine
accepted it under the manifest's digest.  ``verified`` is true only when every chunk is held and
the BLAKE3 digest of each whole file, computed over the chunks in file order, matched the published
one.  Chunks that are held but not yet hashed are pinned in the cache; so that they fit, ``window``
bounds how far ahead of the hashing chunks may be requested.
"""

from blake3 import blake3

from gypsumpier.codes.weight import CHUNK_CORRUPT, FILE_CORRUPT
from gypsumpier.errors import GypsumpierError
from gypsumpier.weight.cache import ChunkCache
from gypsumpier.weight.inputs import WeightEngine
from gypsumpier.weight.manifest import Manifest


class Transfer:
    """The chunks of one manifest that are missing, being staged, or staged at the engine."""

    def __init__(self, manifest: Manifest, engine: WeightEngine, cache: ChunkCache) -> None:
        self.manifest = manifest
        self.engine = engine
        self.cache = cache
        self.indexes_by_digest: dict[str, list[int]] = {}
        for index, chunk in enumerate(manifest.chunks):
            self.indexes_by_digest.setdefault(chunk.digest, []).append(index)
        self.held: set[int] = set()
        self.missing = set(range(len(manifest.chunks)))
        self.staging: set[int] = set()
        self.hashed_chunks = 0
        self.hasher = blake3()
        self.epoch = 0
        self.restarts = 0

    def reset(self) -> None:
        """Start again with every chunk missing, because the staged content was lost or is wrong."""
        self.unpin()
        self.held = set()
        self.missing = set(range(len(self.manifest.chunks)))
        self.staging = set()
        self.hashed_chunks = 0
        self.hasher = blake3()
        self.epoch += 1

    @property
    def verified(self) -> bool:
        """Whether every chunk is staged and every whole file has matched its digest."""
        return self.hashed_chunks == len(self.manifest.chunks)

    def window(self) -> int:
        """Return the index below which chunks may be requested now."""
        if self.manifest.size_bytes <= self.cache.limit_bytes // 2:
            return len(self.manifest.chunks)
        largest = max(chunk.length for chunk in self.manifest.chunks)
        return self.hashed_chunks + max(1, self.cache.limit_bytes // (4 * largest))

    def check(self, index: int, content: bytes) -> None:
        """Raise GypsumpierError with CHUNK_CORRUPT where the content doesn't match the digest."""
        if blake3(content).hexdigest() != self.manifest.chunks[index].digest:
            raise GypsumpierError(
                CHUNK_CORRUPT, f"wrong digest of chunk {index} of {self.manifest.version}"
            )

    async def receive(self, index: int, content: bytes) -> bool:
        """Verify a chunk, stage it wherever it is missing, and return whether it was staged.

        Raises GypsumpierError with CHUNK_CORRUPT, FILE_CORRUPT or what the engine raised.
        """
        self.check(index, content)
        digest = self.manifest.chunks[index].digest
        places = [at for at in self.indexes_by_digest[digest] if at in self.missing]
        places = [at for at in places if at not in self.staging]
        if not places:
            return False
        await self.stage(places, content)
        return True

    async def stage(self, places: list[int], content: bytes) -> None:
        """Stage verified content at the engine for each chunk index, then mark these as held."""
        epoch = self.epoch
        self.staging.update(places)
        try:
            for at in places:
                chunk = self.manifest.chunks[at]
                await self.engine.stage(self.manifest.digest, chunk.path, chunk.offset, content)
        finally:
            if epoch == self.epoch:
                self.staging.difference_update(places)
        if epoch == self.epoch:
            self.count(places, content)

    def count(self, places: list[int], content: bytes) -> None:
        """Mark staged chunks as held and hash further, as far as held chunks follow in order."""
        for at in places:
            self.missing.discard(at)
            self.held.add(at)
            self.cache.pin(self.manifest.chunks[at].digest)
        digest = self.manifest.chunks[places[0]].digest
        self.cache.put(digest, content)
        self.hash_in_order(digest, content)

    def hash_in_order(self, arrived_digest: str, arrived: bytes) -> None:
        """Hash held chunks in order; raise GypsumpierError with FILE_CORRUPT on a mismatch."""
        chunks = self.manifest.chunks
        while self.hashed_chunks < len(chunks) and self.hashed_chunks in self.held:
            chunk = chunks[self.hashed_chunks]
            # The chunk that has just arrived is hashed even if the cache had no space for it.
            content = arrived if chunk.digest == arrived_digest else self.cache.get(chunk.digest)
            if content is None:
                self.ask_again(self.hashed_chunks)
                return
            self.hasher.update(content)
            self.cache.unpin(chunk.digest)
            self.hashed_chunks += 1
            if self.hashed_chunks == len(chunks) or chunks[self.hashed_chunks].file != chunk.file:
                self.check_file(chunk.file)

    def check_file(self, number: int) -> None:
        """Check a whole file's digest and start the next file.

        Resets the transfer and raises GypsumpierError with FILE_CORRUPT on a mismatch.
        """
        file = self.manifest.files[number]
        if self.hasher.hexdigest() != file.digest:
            self.reset()
            raise GypsumpierError(
                FILE_CORRUPT,
                f"{file.path} has another digest than published for {self.manifest.version}",
            )
        self.hasher = blake3()

    def ask_again(self, index: int) -> None:
        """Mark a chunk as missing again that didn't fit into the cache before it was hashed."""
        self.held.discard(index)
        self.missing.add(index)
        self.cache.unpin(self.manifest.chunks[index].digest)

    def unpin(self) -> None:
        """Unpin the chunks that are held but not hashed; called when the transfer ends."""
        for index in self.held:
            if index >= self.hashed_chunks:
                self.cache.unpin(self.manifest.chunks[index].digest)

    async def stage_cached(self) -> int:
        """Stage empty files and missing chunks that the cache holds; return the bytes reused."""
        for file in self.manifest.files:
            if file.size_bytes == 0:
                await self.engine.stage(self.manifest.digest, file.path, 0, b"")
        reused = 0
        for index in sorted(self.missing):
            content = self.cache.get(self.manifest.chunks[index].digest)
            if content is not None and index in self.missing:
                await self.receive(index, content)
                reused += len(content)
        return reused
