"""Writes log lines to standard output without ever blocking the process.

Lines wait in a bounded buffer.  Where its reader is too slow they are dropped and counted, and the
count is written once there is room again.
"""

import contextlib
import logging
import os
import sys
from collections import deque
from typing import Final

from prometheus_client import Counter

from gypsumpier.metrics import REGISTRY

LINES_MAX: Final = 20_000
"""Lines that wait; about five megabytes."""
BATCH_LINES: Final = 500
"""Lines that are joined for one system call."""
FLUSH_INTERVAL_S: Final = 0.1
"""Seconds that a line waits at most while the reader keeps up."""

DROPPED_LINES: Final = Counter(
    "gypsumpier_dropped_log_lines", "Log lines dropped as their reader was slow.", registry=REGISTRY
)


class BoundedLogWriter(logging.Handler):
    """A log handler whose lines are written by ``flush``, which must be called regularly."""

    def __init__(self, descriptor: int | None = None) -> None:
        super().__init__()
        self.descriptor = sys.stdout.fileno() if descriptor is None else descriptor
        self.lines: deque[str] = deque()
        self.unwritten = b""
        self.dropped = 0
        os.set_blocking(self.descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Queue one line, or count it as dropped."""
        if len(self.lines) >= LINES_MAX:
            self.dropped += 1
            DROPPED_LINES.inc()
            return
        self.lines.append(self.format(record))

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self.unwritten or self.lines:
            if not self.unwritten:
                self.unwritten = self.next_batch()
            try:
                written = os.write(self.descriptor, self.unwritten)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads the output any more; the lines count as dropped.
                DROPPED_LINES.inc(len(self.lines) + 1)
                self.lines.clear()
                self.unwritten = b""
                return
            self.unwritten = self.unwritten[written:]

    def next_batch(self) -> bytes:
        """Return some lines as bytes, after a word on those that were dropped."""
        batch = [self.lines.popleft() for _ in range(min(BATCH_LINES, len(self.lines)))]
        if self.dropped:
            batch.insert(0, f'{{"event": "log_lines_dropped", "count": {self.dropped}}}')
            self.dropped = 0
        return ("\n".join(batch) + "\n").encode("utf-8", "replace")

    def close(self) -> None:
        """Write what can be written and release the handler."""
        with contextlib.suppress(OSError):
            os.set_blocking(self.descriptor, True)
            self.flush()
        super().close()
