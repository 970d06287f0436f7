"""Tests of the permits of one entry: against a naive recount, and over the paths of a request."""

import time
import unittest
from typing import Final
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from gypsumpier.coldstart.permits import Permits
from gypsumpier.coldstart.window import WINDOW_S, PermitWindow

SHARE: Final = 3
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["choose", "send", "give back"]),
        st.floats(0.0, 0.7, allow_nan=False),
    ),
    max_size=80,
)


class PermitsTest(unittest.TestCase):
    # Guards against a window that forgets a request, or keeps one for good.
    @given(STEPS, st.integers(1, 4))
    def test_permits_agree_with_a_recount(self, steps: list[tuple[str, float]], share: int) -> None:
        window, now_s = PermitWindow(), 1000.0
        chosen = 0
        sent_s: list[float] = []
        for step, wait_s in steps:
            now_s += wait_s
            recent = [at_s for at_s in sent_s if at_s > now_s - WINDOW_S]
            self.assertEqual(chosen + len(recent), window.used(now_s))
            if step == "choose":
                if window.used(now_s) < share:
                    window.reserve()
                    chosen += 1
            elif chosen and step == "send" and window.sent(now_s) < share:
                window.record_sent(now_s)
                sent_s.append(now_s)
                chosen -= 1
            elif chosen and step == "give back":
                window.give_back()
                chosen -= 1
            for at_s in sent_s:
                self.assertLessEqual(sum(at_s <= other < at_s + 1.0 for other in sent_s), share)

    # Guards against a wait for permits that ends too early or is longer than needed.
    @given(st.lists(st.floats(0.0, 0.5), max_size=12), st.integers(1, 4), st.integers(0, 3))
    def test_the_next_permit_is_free_when_it_is_said_to_be(
        self, gaps_s: list[float], share: int, reserved: int
    ) -> None:
        window, now_s = PermitWindow(), 1000.0
        for gap_s in gaps_s:
            now_s += gap_s
            window.reserve()
            window.record_sent(now_s)
        for _ in range(reserved):
            window.reserve()
        free_at_s = window.free_at_s(share, now_s)
        if free_at_s > now_s and reserved < share:
            self.assertGreaterEqual(window.used(free_at_s - 1e-6), share)
        if reserved < share:
            self.assertLess(window.used(free_at_s + 1e-6), share)

    # Guards against a permit that a request takes with it that was not sent.
    def test_a_permit_that_is_given_back_can_be_used(self) -> None:
        permits = Permits()
        for _ in range(SHARE):
            permits.reserve("a")
        permits.give_back("a")
        self.assertEqual(SHARE - 1, permits.window("a").used(0.0))
        self.assertEqual(0, permits.window("b").used(0.0))

    # Guards against more permits than there are, after one that is given back twice.
    def test_giving_back_too_often_frees_nothing(self) -> None:
        window = PermitWindow()
        window.give_back()
        window.reserve()
        self.assertEqual(1, window.used(0.0))

    # Guards against memory that grows with the upstreams that were ever used.
    def test_idle_windows_are_dropped(self) -> None:
        permits = Permits()
        permits.reserve("waiting")
        permits.reserve("sent")
        permits.window("sent").record_sent(1000.0)
        permits.drop_idle(1000.0 + WINDOW_S / 2)
        self.assertEqual({"waiting", "sent"}, set(permits.windows))
        permits.drop_idle(1000.0 + WINDOW_S)
        self.assertEqual({"waiting"}, set(permits.windows))

    # Guards against a window that is longer or shorter with the clock of another process.
    def test_times_are_those_of_the_caller(self) -> None:
        window = PermitWindow()
        with mock.patch.object(time, "monotonic", side_effect=AssertionError):
            window.reserve()
            window.record_sent(5.0)
            self.assertEqual(1, window.sent(5.0 + WINDOW_S - 0.01))
            self.assertEqual(0, window.sent(5.0 + WINDOW_S))


if __name__ == "__main__":
    unittest.main()
