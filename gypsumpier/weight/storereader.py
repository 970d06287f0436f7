"""Reads chunks from the weight store, and from the origin where the store can't provide them.

After a rate refusal a source isn't read for the time that it stated; after another failure or a
corrupt chunk, for a backoff that doubles with each consecutive failure.  The backoff is jittered,
so that agents whose reads failed together don't retry together.
"""

import asyncio
from random import Random
from typing import Final

from gypsumpier.clock import Clock
from gypsumpier.codes.platform import PLATFORM_UNREACHABLE
from gypsumpier.codes.weight import CHUNK_CORRUPT, CHUNK_UNAVAILABLE
from gypsumpier.errors import GypsumpierError
from gypsumpier.external.store import Store, WeightFile
from gypsumpier.weight.manifest import Manifest
from gypsumpier.weight.tally import Tally
from gypsumpier.weight.transfer import Transfer

INITIAL_BACKOFF_S: Final = 0.5
MAX_BACKOFF_S: Final = 15.0
READ_TIMEOUT_S: Final = 20.0


class Source:
    """One store, its consecutive failures and the times until which its backoffs last."""

    def __init__(self, name: str, store: Store) -> None:
        self.name = name
        self.store = store
        self.failures = 0
        self.not_before_s = 0.0
        self.lists_not_before_s = 0.0


class StoreReader:
    """Reads from the store first and from the origin second."""

    def __init__(self, clock: Clock, random: Random, store: Store, origin: Store | None) -> None:
        self.clock = clock
        self.random = random
        self.sources = [Source("store", store)]
        if origin is not None:
            self.sources.append(Source("origin", origin))

    async def files(self, model: str, version: str) -> list[WeightFile]:
        """Return the published file list; raise GypsumpierError where no source provides it."""
        failure = GypsumpierError(CHUNK_UNAVAILABLE, "every source is in backoff")
        for source in self.usable_for_lists():
            try:
                files = await source.store.files(model, version)
            except GypsumpierError as error:
                self.record_failure(source, error)
                failure = error
            else:
                source.failures = 0
                return files
        raise failure

    async def chunk(self, transfer: Transfer, index: int, tally: Tally) -> tuple[str, bytes]:
        """Return the source's name and a verified chunk; raise GypsumpierError where none has it.

        Corrupt content is counted here, verified content by the caller that stages it.
        """
        failure = GypsumpierError(CHUNK_UNAVAILABLE, "every source is in backoff")
        for source in self.usable():
            try:
                content = await self.read(source, transfer.manifest, index)
                transfer.check(index, content)
            except GypsumpierError as error:
                self.record_failure(source, error)
                if error.code == CHUNK_CORRUPT:
                    tally.add_corrupt(source.name, transfer.manifest.chunks[index].length)
                failure = error
            else:
                source.failures = 0
                return source.name, content
        raise failure

    async def read(self, source: Source, manifest: Manifest, index: int) -> bytes:
        """Read one chunk's range.

        Raises GypsumpierError with PLATFORM_UNREACHABLE after READ_TIMEOUT_S.
        """
        chunk = manifest.chunks[index]
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                return await source.store.read(
                    manifest.model, manifest.version, chunk.path, chunk.offset, chunk.length
                )
        except TimeoutError as error:
            raise GypsumpierError(
                PLATFORM_UNREACHABLE, f"{source.name} did not complete a read in time"
            ) from error

    def usable(self) -> list[Source]:
        """Return the sources whose chunks may be read now, in order of preference."""
        now_s = self.clock.monotonic()
        return [source for source in self.sources if source.not_before_s <= now_s]

    def usable_for_lists(self) -> list[Source]:
        """Return the sources whose file lists may be read now.

        Corrupt chunks don't delay list reads: after a version has changed, the known list makes its
        chunks look corrupt until the list is read again.
        """
        now_s = self.clock.monotonic()
        return [source for source in self.sources if source.lists_not_before_s <= now_s]

    def backoff_remaining_s(self) -> float:
        """Return how many seconds remain until a source's chunks may be read."""
        first_s = min(source.not_before_s for source in self.sources)
        return max(0.0, first_s - self.clock.monotonic())

    def record_failure(self, source: Source, error: GypsumpierError) -> None:
        """Start the source's backoff; the file lists are exempt after a corrupt chunk."""
        source.failures += 1
        backoff_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2.0 ** (source.failures - 1))
        if error.retry_after_s is not None:
            backoff_s = max(INITIAL_BACKOFF_S, error.retry_after_s)
        jitter = 1.0 + self.random.random() / 2
        source.not_before_s = self.clock.monotonic() + backoff_s * jitter
        if error.code != CHUNK_CORRUPT:
            source.lists_not_before_s = source.not_before_s
