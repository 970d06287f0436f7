"""Tests of the rests that upstreams ask for in their answers, as an entry reads them."""

import unittest
from decimal import Decimal

from hypothesis import given
from hypothesis import strategies as st
from tornado.httputil import HTTPHeaders, ResponseStartLine

from gypsumpier.platform.headers import answer_head
from gypsumpier.statement.statedrest import NO_REST, REST_MAX_S, StatedRest, stated_rest

UNREADABLE = (
    "", "soon", "-1", "+1", "nan", "inf", "-inf", "1e3", "0x10", "1,5", "1, 2", "1 2", "²",
    "Fri, 04 Dec 2026 19:00:00 GMT", "2026-12-04", "9" * 400, "1000000001",
)  # fmt: skip


class StatedRestTest(unittest.TestCase):
    def test_decimal_numbers_are_seconds(self) -> None:
        for text, seconds in (("3", 3.0), ("0.25", 0.25), ("0", 0.0), (" 12.50 ", 12.5)):
            self.assertEqual(StatedRest(seconds), stated_rest(text))

    # Guards against requests in a rest whose time is written with all digits.
    @given(st.floats(0, REST_MAX_S), st.integers(0, 40), st.integers(0, 40))
    def test_a_rest_may_have_any_number_of_digits(
        self, seconds: float, zeros_before: int, zeros_behind: int
    ) -> None:
        text = f"{'0' * zeros_before}{Decimal(seconds):f}"
        text += "0" * zeros_behind if "." in text else ""
        self.assertEqual(StatedRest(seconds), stated_rest(text))
        self.assertEqual(StatedRest(4 / 3), stated_rest(repr(4 / 3)))

    # Guards against requests in a rest that is longer than any.
    def test_a_longer_rest_than_any_is_the_longest(self) -> None:
        for text in ("3600.1", "86400", "1000000000"):
            self.assertEqual(StatedRest(REST_MAX_S), stated_rest(text))

    # Guards against a rest made of a value that is no time, such as one without end.
    def test_other_values_are_none_and_are_kept_for_the_log(self) -> None:
        for text in UNREADABLE:
            with self.subTest(text[:20]):
                found = stated_rest(text)
                self.assertEqual(0.0, found.seconds)
                self.assertTrue(found.unreadable)
                self.assertLess(len(found.unreadable), 60)

    @given(st.text())
    def test_any_text_is_a_time_or_unreadable(self, text: str) -> None:
        found = stated_rest(text)
        self.assertTrue(0.0 <= found.seconds <= REST_MAX_S)
        self.assertFalse(found.unreadable and found.seconds)

    # Guards against a rest read from an answer that turns nothing away.
    def test_only_an_answer_503_asks_for_a_rest(self) -> None:
        headers = HTTPHeaders({"Retry-After": "3"})
        for status, rest in ((503, StatedRest(3.0)), (200, NO_REST), (429, NO_REST)):
            start = ResponseStartLine("HTTP/1.1", status, "")
            self.assertEqual(rest, answer_head(start, headers).statement.rest)
        refused = ResponseStartLine("HTTP/1.1", 503, "")
        self.assertEqual(NO_REST, answer_head(refused, HTTPHeaders()).statement.rest)

    # Guards against a leaving read from a value that denies it, or missed as it was sent twice.
    def test_an_answer_states_that_the_upstream_leaves(self) -> None:
        start = ResponseStartLine("HTTP/1.1", 200, "OK")
        for texts, leaves in ((["1"], True), (["1", "1"], True), ([], False),
                              (["0"], False), (["no"], False), ([""], False)):  # fmt: skip
            headers = HTTPHeaders()
            for text in texts:
                headers.add("Server-Leaving", text)
            self.assertEqual(leaves, answer_head(start, headers).statement.is_leaving)


if __name__ == "__main__":
    unittest.main()
