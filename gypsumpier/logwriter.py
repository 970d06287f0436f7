"""Writes log lines to standard output without blocking the process.

Lines are queued in a bounded buffer.  While the reader of the output is too slow, new lines are
dropped and counted; the count is logged once there is room again.
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
"""Maximum number of queued lines; about five megabytes."""
BATCH_LINES: Final = 500
"""Maximum number of lines for one system call."""
FLUSH_INTERVAL_S: Final = 0.1
"""Seconds between two flushes: the longest that a line is queued while the reader keeps up."""

DROPPED_LINES: Final = Counter(
    "gypsumpier_dropped_log_lines", "Log lines dropped as their reader was slow.", registry=REGISTRY
)


class BoundedLogWriter(logging.Handler):
    """A log handler that queues lines; ``flush`` writes them and must be called regularly."""

    def __init__(self, descriptor: int | None = None) -> None:
        super().__init__()
        self.descriptor = sys.stdout.fileno() if descriptor is None else descriptor
        self.lines: deque[str] = deque()
        self.unwritten = b""
        self.dropped = 0
        os.set_blocking(self.descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Queue one line, or drop and count it if the buffer is full."""
        if len(self.lines) >= LINES_MAX:
            self.dropped += 1
            DROPPED_LINES.inc()
            return
        self.lines.append(self.format(record))

    def flush(self) -> None:
        """Write as much as the reader accepts without blocking."""
        while self.unwritten or self.lines:
            if not self.unwritten:
                self.unwritten = self.next_batch()
            try:
                written = os.write(self.descriptor, self.unwritten)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the output: count the lines as dropped.
                DROPPED_LINES.inc(len(self.lines) + 1)
                self.lines.clear()
                self.unwritten = b""
                return
            self.unwritten = self.unwritten[written:]

    def next_batch(self) -> bytes:
        """Return up to ``BATCH_LINES`` lines as bytes, after the count of dropped lines if any."""
        batch = [self.lines.popleft() for _ in range(min(BATCH_LINES, len(self.lines)))]
        if self.dropped:
            batch.insert(0, f'{{"event": "log_lines_dropped", "count": {self.dropped}}}')
            self.dropped = 0
        return ("\n".join(batch) + "\n").encode("utf-8", "replace")

    def close(self) -> None:
        """Write the queued lines, blocking if necessary, and release the handler."""
        with contextlib.suppress(OSError):
            os.set_blocking(self.descriptor, True)
            self.flush()
        super().close()
