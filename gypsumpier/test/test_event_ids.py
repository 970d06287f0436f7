"""Tests of the order of event ids in the answer to the resumption of a stream."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from gypsumpier.gateway.events import EventSplitter, follows
from gypsumpier.upstream.errors import OutcomeUnknownError

TIME_NS = 1_796_516_218_000_000_000


class EventIdTest(unittest.TestCase):
    # Guards against an earlier event that is relayed again, as its id has 12 digits or more.
    @given(st.integers(0), st.integers(0), st.integers(0, 9))
    def test_numbers_of_any_length_are_ordered(self, one: int, other: int, zeros: int) -> None:
        self.assertEqual(other > one, follows("0" * zeros + str(other), str(one)))

    def test_a_resumed_stream_does_not_go_back_to_an_earlier_time(self) -> None:
        splitter = EventSplitter(str(TIME_NS))
        splitter.feed(f"id: {TIME_NS + 1}\ndata: next\n\n".encode())
        with self.assertRaises(OutcomeUnknownError):
            splitter.feed(f"id: {TIME_NS - 1}\ndata: earlier\n\n".encode())

    def test_ids_of_more_digits_than_python_converts(self) -> None:
        self.assertTrue(follows("9" * 5000, "8" * 5000))
        self.assertFalse(follows("8" * 5000, "9" * 5000))

    def test_other_texts_follow_each_other_unless_they_are_equal(self) -> None:
        self.assertEqual(
            [True, False, False], [follows("b", "a"), follows("a", "a"), follows("", "a")]
        )


if __name__ == "__main__":
    unittest.main()
