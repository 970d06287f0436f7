"""Tests of the command that follows a request through log files."""

import json
import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner

from gypsumpier.client.command import gypsumpier

LINES = [
    {"time": "2026-12-04 10:00:00,100", "event": "configuration_in_force", "version": 7},
    {"time": "2026-12-04 10:00:01,000", "event": "engine_state", "address": "10.0.0.1:1"},
    {"time": "2026-12-04 10:00:01,500", "event": "engine_state", "address": "10.0.0.2:1"},
    {"time": "2026-12-04 10:00:02,000", "event": "route", "request": "r1", "upstream": "i-1"},
    {
        "time": "2026-12-04 10:00:02,300",
        "event": "attempt_failed",
        "request": "r1",
        "upstream": "i-1",
        "address": "10.0.0.1:1",
        "reason": "answer cut",
    },
    {"time": "2026-12-04 10:00:02,100", "event": "route", "request": "r2", "upstream": "i-2"},
    {"time": "2026-12-04 10:00:02,400", "event": "request_end", "request": "r1", "status": 502},
]


class TraceTest(unittest.TestCase):
    def trace(self, *arguments: str) -> tuple[int, str]:
        """Run the command on a log with a collector's prefix and a truncated last line."""
        text = "\n".join(f"node-1 {json.dumps(line)}" for line in LINES) + '\nnode-1 {"time": "20'
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "log"
            path.write_text(text)
            result = CliRunner().invoke(
                gypsumpier, ["trace", *arguments, str(path)], standalone_mode=False
            )
        return result.return_value, result.output

    def test_the_decisions_of_one_request_are_shown_in_order_after_their_context(self) -> None:
        status, output = self.trace("r1")
        events = [line.split()[2] for line in output.splitlines()]
        self.assertEqual(0, status)
        self.assertEqual(
            [
                "configuration_in_force",
                "engine_state",
                "route",
                "attempt_failed",
                "request_end",
            ],
            events,
        )
        self.assertNotIn("10.0.0.2", output)

    def test_an_unknown_request_is_reported(self) -> None:
        self.assertEqual(4, self.trace("r9")[0])
