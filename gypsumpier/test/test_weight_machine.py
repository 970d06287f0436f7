"""A state machine over one transfer: partial, mixed or corrupt content is never verified."""

import unittest
from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, invariant, rule

from gypsumpier.codes.weight import CHUNK_CORRUPT, FILE_CORRUPT
from gypsumpier.errors import GypsumpierError
from gypsumpier.external.store import WeightFile
from gypsumpier.test.fakes_weight import FakeEngine, content_digest
from gypsumpier.test.virtual import run
from gypsumpier.weight.cache import ChunkCache
from gypsumpier.weight.manifest import Manifest, build_manifest
from gypsumpier.weight.publication import published_file
from gypsumpier.weight.transfer import Transfer

CHUNK = 8
CACHE_BYTES = 14 * CHUNK


def contents(seed: int) -> dict[str, bytes]:
    """Return files; those of two seeds share file "a", and file "c" repeats a chunk."""
    own = Random(seed).randbytes(7 * CHUNK + 3)
    repeated = b"r" * CHUNK
    return {"a": b"shared--" * 3, "b": own + repeated, "c": repeated * 2, "d": b""}


def manifest_of(files: dict[str, bytes]) -> Manifest:
    """Return the manifest of the files."""
    return build_manifest("m", "v", [published_file(p, c, CHUNK) for p, c in files.items()])


class TransferMachine(RuleBasedStateMachine):
    """Chunks of any version arrive in any order, intact, corrupt or twice."""

    versions = Bundle("versions")

    def __init__(self) -> None:
        super().__init__()
        self.engine = FakeEngine()
        self.cache = ChunkCache(CACHE_BYTES)
        self.files = contents(0)
        self.transfer = Transfer(manifest_of(self.files), self.engine, self.cache)

    @rule(choice=st.integers(0, 10**6), flip=st.sampled_from([0, 0, 0, 1]))
    def chunk_arrives(self, choice: int, flip: int) -> None:
        """A chunk below the window arrives; it is corrupt where ``flip`` is 1."""
        window = min(self.transfer.window(), len(self.transfer.manifest.chunks))
        chunk = self.transfer.manifest.chunks[choice % window]
        content = self.files[chunk.path][chunk.offset : chunk.offset + chunk.length]
        if flip:
            content = bytes([content[0] ^ 1]) + content[1:]
        try:
            run(self.transfer.receive(choice % window, content))
        except GypsumpierError as error:
            assert flip and error.code == CHUNK_CORRUPT

    @rule()
    def next_missing_arrives(self) -> None:
        """The first missing chunk arrives."""
        if self.transfer.missing:
            self.chunk_arrives(min(self.transfer.missing), 0)

    @rule(seed=st.integers(0, 3))
    def version_changes(self, seed: int) -> None:
        """The content changes under the version's name."""
        self.files = contents(seed)
        self.transfer.unpin()
        self.transfer = Transfer(manifest_of(self.files), self.engine, self.cache)
        run(self.transfer.stage_cached())

    @rule()
    def engine_restarts(self) -> None:
        """The engine loses the staged content."""
        self.engine.restart()
        self.transfer.reset()
        run(self.transfer.stage_cached())

    @rule()
    def agent_restarts(self) -> None:
        """The agent loses its memory, and the engine keeps the staged content."""
        self.cache = ChunkCache(CACHE_BYTES)
        self.transfer = Transfer(self.transfer.manifest, self.engine, self.cache)

    @rule()
    def transfer_completes(self) -> None:
        """From any state, the arrival of the missing chunks in order completes the transfer."""
        for _ in range(2 * len(self.transfer.manifest.chunks)):
            self.next_missing_arrives()
        run(self.transfer.stage_cached())
        assert self.transfer.verified

    @invariant()
    def verified_content_is_complete(self) -> None:
        """Verified content equals the published content, at the engine too."""
        if not self.transfer.verified:
            return
        digest = self.transfer.manifest.digest
        run(self.transfer.stage_cached())
        assert content_digest(self.engine.staged[digest]) == digest

    @invariant()
    def memory_is_bounded(self) -> None:
        """The cache stays within its limit; only unhashed chunks of this transfer are pinned."""
        assert self.cache.used_bytes <= CACHE_BYTES
        assert sum(map(len, self.cache.contents.values())) == self.cache.used_bytes
        unhashed = len(self.transfer.held) - self.transfer.hashed_chunks
        assert sum(self.cache.pins.values()) == max(0, unhashed)


TransferMachineTest = TransferMachine.TestCase
TransferMachineTest.settings = settings(
    derandomize=True, deadline=None, max_examples=80, stateful_step_count=40
)


class WholeFileTest(unittest.TestCase):
    def test_valid_chunks_with_a_wrong_file_digest_are_refused(self) -> None:
        good = published_file("a", b"0123456789", 4)
        contradictory = WeightFile(good.path, good.size_bytes, "0" * 64, 4, good.chunk_digests)
        manifest = build_manifest("m", "v", [contradictory])
        transfer = Transfer(manifest, FakeEngine(), ChunkCache(100))

        async def receive_all() -> None:
            for index, content in enumerate([b"0123", b"4567", b"89"]):
                await transfer.receive(index, content)

        with self.assertRaises(GypsumpierError) as caught:
            run(receive_all())
        self.assertEqual(FILE_CORRUPT, caught.exception.code)
        self.assertFalse(transfer.verified)
