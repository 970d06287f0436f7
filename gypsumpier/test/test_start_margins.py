"""Tests of the record of the last starts on older weights."""

import unittest
from typing import Any
from unittest import mock

from gypsumpier.fleet import state
from gypsumpier.fleet.clock import boot_time_s
from gypsumpier.gateway import startmargins
from gypsumpier.gateway.startmargins import StartMargins
from gypsumpier.test import builders_platform
from gypsumpier.test.builders_gateway import engines, request_of, selector_of
from gypsumpier.test.builders_platform import MODEL, apply_records, record

IN_FORCE_S = 8.0
VERSION_KEY = f"op/version/{MODEL}"


class StartMarginsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now_s = boot_time_s()
        for module in (state, startmargins, builders_platform):
            clock = mock.patch.object(module, "boot_time_s", lambda: self.now_s)
            clock.start()
            self.addCleanup(clock.stop)
        self.decided: list[dict[str, Any]] = []
        log = mock.patch.object(startmargins, "decision", self.decide)
        log.start()
        self.addCleanup(log.stop)
        self.fleet_state = engines(1)
        self.record = self.fleet_state.upstreams["i-1"]
        self.request = request_of(self.fleet_state)
        self.margins = StartMargins(self.fleet_state, selector_of(self.fleet_state), IN_FORCE_S)

    def decide(self, event: str, **fields: Any) -> None:
        self.decided.append({"event": event, **fields})

    def name(self, version: int) -> None:
        """Let a version be named now."""
        news = record(VERSION_KEY, {"model": MODEL, "version": version}, 10 + version)
        apply_records(self.fleet_state, news, absent_at_s=self.now_s)

    def start(self, version: int, after_s: float) -> None:
        """Let a request start on a version ``after_s`` seconds later."""
        self.now_s += after_s
        self.margins.record(self.request, self.record, version)

    def pass_limits(self) -> list[tuple[int, int, float]]:
        """Return version, held version and time left of what is logged after all limits."""
        self.now_s += 2 * IN_FORCE_S
        self.margins.log_passed_limits()
        return [
            (line["version"], line["held_version"], line["left_s"])
            for line in self.logged("older_weights_last_start")
        ]

    def logged(self, event: str) -> list[dict[str, Any]]:
        """Return the lines of an event that were logged so far."""
        return [line for line in self.decided if line["event"] == event]

    def test_the_last_start_on_older_weights_is_logged_once_the_limit_has_passed(self) -> None:
        """Guards against days that seem clean and were so by milliseconds."""
        self.name(2)
        self.start(1, 5.0)
        self.start(1, 2.5)
        self.start(2, 0.1)
        self.margins.log_passed_limits()
        self.assertEqual([], self.decided)
        self.assertEqual([(2, 1, 0.5)], self.pass_limits())
        self.assertEqual({MODEL: 0.5}, self.margins.smallest_s)
        self.margins.log_passed_limits()
        self.assertEqual(1, len(self.logged("older_weights_last_start")))

    def test_a_start_past_the_limit_has_a_negative_time_left(self) -> None:
        """Guards against a late start that is not told, as its version has been reported."""
        self.name(2)
        self.start(1, 7.0)
        self.now_s += 1.5
        self.margins.log_passed_limits()
        self.start(1, 0.5)
        self.margins.log_passed_limits()
        lines = self.logged("older_weights_last_start")
        self.assertEqual([1.0, -1.0], [line["left_s"] for line in lines])
        self.assertEqual({MODEL: -1.0}, self.margins.smallest_s)

    def test_what_was_believed_of_a_naming_is_logged_once_as_the_limit_passes(self) -> None:
        """Guards against corrections too small to be logged that add up unseen."""
        self.name(2)
        self.fleet_state.merge_version_ages({MODEL: [[2, 3.0]]})
        for _ in range(2):
            self.pass_limits()
        lines = self.logged("version_limit_passed")
        self.assertEqual([(2, 2 * IN_FORCE_S)], [(x["version"], x["named_ago_s"]) for x in lines])

    def test_each_version_has_its_own_limit(self) -> None:
        """Guards against a second naming that hides the first one."""
        self.name(2)
        self.now_s += 1.0
        self.name(3)
        self.start(1, 3.0)
        self.start(2, 1.0)
        self.assertEqual([(2, 1, 4.0), (3, 2, 4.0)], sorted(self.pass_limits()))

    def test_an_answer_that_states_no_version_is_no_start_on_older_weights(self) -> None:
        self.name(2)
        self.start(0, 1.0)
        self.assertEqual([], self.pass_limits())


if __name__ == "__main__":
    unittest.main()
