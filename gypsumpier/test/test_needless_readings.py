"""Tests of what a reader of the store reads and shares where peers have brought it already."""

import unittest

from gypsumpier.fleet.watcher import PROOF_RENEWAL_S
from gypsumpier.mesh.feed import FEED, unpack_records
from gypsumpier.test.builders_platform import apply_records, engine_record
from gypsumpier.test.storereaders import REVISION, Reader, StoreReadersCase

KNOWN = REVISION - 1


class NeedlessReadingTest(StoreReadersCase):
    def setUp(self) -> None:
        super().setUp()
        self.reader = self.readers[0]
        self.known = [engine_record(2, KNOWN)]

    def shared_records(self, reader: Reader) -> list[int]:
        """Return how many records each batch has that the reader has shared since, by recipient."""
        posted, reader.mesh.posted = reader.mesh.posted, []
        return [len(unpack_records(found["records"])) for _, kind, found in posted if kind == FEED]

    async def test_an_entry_that_resumes_reading_needs_no_snapshot_of_what_it_knows(self) -> None:
        """Guards against a copy of everything at each change of the reader."""
        self.reader.watcher.stop_reading()
        self.at(1.0)
        await self.reader.call(0.0, self.known)
        self.assertFalse(self.reader.watcher.needs_snapshot)
        self.assertEqual([0], self.shared_records(self.reader))
        self.assertAlmostEqual(0.0, self.reader.state.proof_age_s())

    async def test_an_entry_that_resumes_reading_reads_what_it_lacks(self) -> None:
        """Guards against a proof for a state that lacks changes."""
        self.reader.watcher.stop_reading()
        self.at(1.0)
        await self.reader.call(0.0, self.news)
        self.assertEqual([], self.shared_records(self.reader))
        self.assertAlmostEqual(1.0, self.reader.state.proof_age_s())
        self.assertTrue(self.reader.watcher.needs_snapshot)
        await self.reader.call(0.0, [*self.known, *self.news])
        self.assertEqual(REVISION, self.reader.state.revision)

    async def test_changes_that_a_peer_has_brought_are_shared_as_a_proof(self) -> None:
        """Guards against a second copy of a large change on the links of the zone."""
        self.at(1.0)
        self.reader.source.takes_s = 0.5
        watch = self.reader.source.watch

        async def watch_overtaken(revision: int, wait_s: float) -> object:
            answer = await watch(revision, wait_s)
            apply_records(self.reader.state, *self.news, proven_ago_s=0.5)
            return answer

        self.reader.source.watch = watch_overtaken  # type: ignore[method-assign, assignment]
        await self.reader.call(0.5, self.news)
        self.assertEqual([0], self.shared_records(self.reader))

    async def test_the_proof_of_a_large_answer_is_renewed_at_once(self) -> None:
        """Guards against a proof as old as two waits: the next watch proves nothing meanwhile."""
        self.reader.source.on_progress()
        watch = self.reader.source.watch

        async def watch_large(revision: int, wait_s: float) -> object:
            self.reader.source.on_progress()
            return await watch(revision, wait_s)

        self.reader.source.watch = watch_large  # type: ignore[method-assign, assignment]
        await self.reader.call(PROOF_RENEWAL_S + 0.5, self.news)
        self.assertAlmostEqual(PROOF_RENEWAL_S + 0.5, self.reader.state.proof_age_s())
        await self.reader.call(0.0, self.news)
        self.assertAlmostEqual(0.0, self.reader.state.proof_age_s())
        self.assertFalse(self.reader.watcher.checks_first)


if __name__ == "__main__":
    unittest.main()
