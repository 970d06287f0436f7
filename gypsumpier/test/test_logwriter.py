"""Tests of the log writer: it never blocks, keeps lines in order, and counts dropped lines."""

import json
import logging
import os
import unittest
from unittest import mock

from gypsumpier import logwriter
from gypsumpier.log import JsonFormatter
from gypsumpier.logwriter import BoundedLogWriter


class LogWriterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reader, self.descriptor = os.pipe()
        self.writer = BoundedLogWriter(self.descriptor)
        self.writer.setFormatter(JsonFormatter("node-1"))

    def tearDown(self) -> None:
        os.close(self.reader)
        os.close(self.descriptor)

    def log(self, event: str) -> None:
        """Queue one line."""
        self.writer.emit(logging.makeLogRecord({"msg": event, "fields": {"n": 1}}))

    def read(self) -> list[dict[str, object]]:
        """Return the lines that have been written."""
        return [json.loads(line) for line in os.read(self.reader, 1 << 20).splitlines()]

    def test_lines_are_json_objects_with_the_node(self) -> None:
        self.log("first")
        self.log("second")
        self.writer.flush()
        found = [(line["event"], line["node"]) for line in self.read()]
        self.assertEqual([("first", "node-1"), ("second", "node-1")], found)

    def test_a_slow_reader_blocks_nothing_and_dropped_lines_are_counted(self) -> None:
        with mock.patch.object(logwriter, "LINES_MAX", 2000):
            for number in range(5000):
                self.log(f"event-{number}" + "x" * 100)
                if number % 100 == 0:
                    self.writer.flush()
        self.assertGreater(self.writer.dropped, 0)
        dropped = self.writer.dropped
        output = b""
        while self.writer.lines or self.writer.unwritten:
            output += os.read(self.reader, 1 << 20)
            self.writer.flush()
        output += os.read(self.reader, 1 << 20)
        lines = [json.loads(line) for line in output.splitlines()]
        reported = [line["count"] for line in lines if line["event"] == "log_lines_dropped"]
        self.assertEqual([dropped], reported)
        self.assertEqual(5000, len(lines) - 1 + dropped)

    def test_without_a_reader_the_process_goes_on(self) -> None:
        reader, descriptor = os.pipe()
        writer = BoundedLogWriter(descriptor)
        os.close(reader)
        writer.emit(logging.makeLogRecord({"msg": "event"}))
        writer.flush()
        self.assertEqual(0, len(writer.lines))
        os.close(descriptor)
