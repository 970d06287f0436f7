"""Tests of the document table: the highest revision wins, refusals are kept separately."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumpier.clock import SystemClock
from gypsumpier.document.record import rank_of, truncated
from gypsumpier.document.table import DocumentTable, validated
from gypsumpier.errors import GypsumpierError
from gypsumpier.external.configuration import DocumentRevision
from gypsumpier.test.builders_document import refused_revision, revised

offers = st.lists(
    st.builds(
        lambda make, name, revision, unavailable: make(name, revision, unavailable),
        st.sampled_from(
            [
                lambda name, revision, number: revised(name, revision, max_unavailable=number),
                lambda name, revision, number: refused_revision(name, revision),
                lambda name, revision, number: DocumentRevision(name, revision, None),
                lambda name, revision, number: DocumentRevision(
                    name, revision, b"x" * (66000 + number)
                ),
            ]
        ),
        st.sampled_from(["a", "b"]),
        st.integers(1, 6),
        st.integers(0, 2),
    ),
    max_size=12,
)


def naive_state(
    taken: list[DocumentRevision],
) -> tuple[dict[str, DocumentRevision], dict[str, DocumentRevision]]:
    """Return the accepted and the refused revisions as maxima over all offers."""
    accepted: dict[str, DocumentRevision] = {}
    refused: dict[str, DocumentRevision] = {}
    for one in sorted(map(truncated, taken), key=rank_of):
        try:
            validated(one)
            accepted[one.name] = one
            refused.pop(one.name, None)
        except GypsumpierError:
            refused[one.name] = one
    return accepted, refused


def state(table: DocumentTable) -> tuple[dict[str, DocumentRevision], dict[str, DocumentRevision]]:
    """Return the accepted and the refused revisions of a table."""
    accepted = {name: record.revised for name, record in table.records.items()}
    return accepted, {name: refusal.revised for name, refusal in table.refused.items()}


class DocumentTableTest(unittest.TestCase):
    @given(offers, st.randoms(use_true_random=False))
    @settings(derandomize=True, deadline=None, max_examples=200)
    def test_any_order_and_repetition_of_offers_gives_the_maxima(
        self, taken: list[DocumentRevision], order: random.Random
    ) -> None:
        table = DocumentTable(SystemClock())
        delivered = taken + order.sample(taken, len(taken) // 2)
        order.shuffle(delivered)
        highest: dict[str, int] = {}
        for one in delivered:
            table.offer(one, "test")
            for name, accepted in table.accepted.items():
                self.assertGreaterEqual(accepted.revision, highest.get(name, 0))
                highest[name] = accepted.revision
        self.assertEqual(naive_state(taken), state(table))
        accepted_held, refused_held = state(table)
        held = [*accepted_held.values(), *refused_held.values()]
        total = sum(len(one.name) + len(one.body or b"") for one in held)
        self.assertEqual(total, table.held_bytes)

    def test_a_refused_revision_leaves_the_last_accepted_in_force(self) -> None:
        table = DocumentTable(SystemClock())
        self.assertTrue(table.offer(revised(revision=3), "test"))
        self.assertFalse(table.offer(refused_revision(revision=4), "test"))
        self.assertEqual(3, table.accepted["gypsum-llm"].revision)
        refusal = table.refused["gypsum-llm"]
        self.assertEqual(
            (4, 5010, "versions"), (refusal.rank.revision, *refusal[2:3], refusal.path)
        )

    def test_a_stale_source_cannot_restore_a_deleted_document(self) -> None:
        table = DocumentTable(SystemClock())
        table.offer(revised(revision=3), "test")
        table.offer(DocumentRevision("gypsum-llm", 4, None), "test")
        self.assertFalse(table.offer(revised(revision=3), "stale"))
        self.assertIsNone(table.document("gypsum-llm"))

    def test_a_document_under_another_name_is_refused(self) -> None:
        table = DocumentTable(SystemClock())
        self.assertFalse(table.offer(revised()._replace(name="table-ops"), "test"))
        self.assertEqual(5013, table.refused["table-ops"].code_number)
