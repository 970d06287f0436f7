"""Tests of the limits that upstreams state in their answers, as an entry reads and knows them."""

import unittest
from decimal import Decimal

from hypothesis import given
from hypothesis import strategies as st
from tornado.httputil import HTTPHeaders, ResponseStartLine

from gypsumpier.platform.headers import answer_head
from gypsumpier.statement.statedlimit import LIMIT_MAX_PER_S, StatedLimit, stated_limit

UNREADABLE = (
    "", "soon", "-1", "+1", "nan", "inf", "infinity", "1e3", "1_000", "0x10", "1,5", "1, 2", "1.",
    ".5", "1 2", "²", "٣", "1.2.3", "1" * 13 + "x",
)  # fmt: skip


class StatedLimitTest(unittest.TestCase):
    def test_decimal_numbers_are_limits(self) -> None:
        for text, per_s in (("2.4", 2.4), ("1", 1.0), ("0", 0.0), (" 12.50 ", 12.5)):
            self.assertEqual(StatedLimit(per_s), stated_limit(text))

    # Guards against an upstream that is not spared as its limit is written with all digits.
    @given(st.floats(0, LIMIT_MAX_PER_S), st.integers(0, 40), st.integers(0, 40))
    def test_a_limit_may_have_any_number_of_digits(
        self, per_s: float, zeros_before: int, zeros_behind: int
    ) -> None:
        text = f"{'0' * zeros_before}{Decimal(per_s):f}"
        text += "0" * zeros_behind if "." in text else ""
        self.assertEqual(StatedLimit(per_s), stated_limit(text))
        self.assertEqual(StatedLimit(20 / 3), stated_limit(repr(20 / 3)))

    # Guards against a limit that stays in force as the one that lifts it is thought too large.
    def test_a_larger_limit_than_any_is_the_largest(self) -> None:
        for text in ("1000000.1", "1000001", "9" * 400, "9" * 400 + ".9"):
            self.assertEqual(StatedLimit(LIMIT_MAX_PER_S), stated_limit(text))

    def test_other_values_are_none_and_are_kept_for_the_log(self) -> None:
        """Guards against a limit made of a value that is none."""
        for text in UNREADABLE:
            with self.subTest(text[:20]):
                found = stated_limit(text)
                self.assertIsNone(found.per_s)
                self.assertTrue(found.unreadable)
                self.assertLess(len(found.unreadable), 60)

    @given(st.text())
    def test_any_text_is_a_rate_or_unreadable(self, text: str) -> None:
        found = stated_limit(text)
        if found.unreadable:
            self.assertIsNone(found.per_s)
        else:
            assert found.per_s is not None
            self.assertTrue(0 <= found.per_s <= LIMIT_MAX_PER_S)

    def test_an_answer_states_a_limit_in_a_header(self) -> None:
        start = ResponseStartLine("HTTP/1.1", 200, "OK")
        head = answer_head(start, HTTPHeaders({"Server-Limit": "2.4"}))
        self.assertEqual(StatedLimit(2.4), head.statement.limit)
        self.assertEqual(StatedLimit(None), answer_head(start, HTTPHeaders()).statement.limit)
        twice = HTTPHeaders()
        twice.add("Server-Limit", "2")
        twice.add("Server-Limit", "3")
        self.assertTrue(answer_head(start, twice).statement.limit.unreadable)


if __name__ == "__main__":
    unittest.main()
