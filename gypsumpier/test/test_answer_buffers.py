"""Tests of the bound on the memory of incomplete answers."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from gypsumpier.upstream.answerbuffers import AnswerBuffers

MAX_BYTES = 100


class Answer:
    """An answer that records why it was given up."""

    def __init__(self) -> None:
        self.reason = ""

    def give_up(self, reason: str) -> None:
        self.reason = reason


class AnswerBuffersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.buffers = AnswerBuffers(MAX_BYTES)

    # Guards against sound answers that end as another one has no end.
    def test_the_largest_answer_is_given_up(self) -> None:
        sound = [Answer() for _ in range(5)]
        endless = Answer()
        for answer in sound:
            self.buffers.add(answer, 10)
        while not endless.reason:
            self.buffers.add(endless, 1)
        self.assertEqual([""] * 5, [answer.reason for answer in sound])
        self.assertEqual(50, self.buffers.total_bytes)

    def test_what_is_complete_counts_no_longer(self) -> None:
        for _ in range(3):
            answer = Answer()
            self.buffers.add(answer, 90)
            self.buffers.release(answer)
            self.buffers.release(answer)
            self.assertEqual("", answer.reason)
        self.assertEqual((0, {}), (self.buffers.total_bytes, self.buffers.held))

    @given(st.lists(st.tuples(st.integers(0, 9), st.integers(1, 150)), max_size=60))
    def test_the_bound_holds_after_any_addition(self, additions: list[tuple[int, int]]) -> None:
        buffers = AnswerBuffers(MAX_BYTES)
        answers = [Answer() for _ in range(10)]
        for number, count in additions:
            if not answers[number].reason:
                buffers.add(answers[number], count)
            self.assertLessEqual(buffers.total_bytes, MAX_BYTES)
            self.assertEqual(sum(buffers.held.values()), buffers.total_bytes)


if __name__ == "__main__":
    unittest.main()
