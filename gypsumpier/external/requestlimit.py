"""The limit of requests per second that an upstream of the own interface states in its answers."""

from collections.abc import Callable
from typing import Final

from gypsumpier.ratelimit.statedlimit import StatedLimit, stated_limit

LIMIT_HEADER: Final = "Server-Limit"

LimitListener = Callable[[StatedLimit, float], None]
"""Gets what an answer states, and the monotonic time at which its request was sent."""


def ignore_limit(stated: StatedLimit, sent_at_s: float) -> None:
    """Do nothing: there is no listener yet."""


class LimitReader:
    """Reads the limit from the header lines of one answer, as tornado's client passes them on."""

    def __init__(self, listener: LimitListener, sent_at_s: float) -> None:
        self.listener = listener
        self.sent_at_s = sent_at_s
        self.text: str | None = None

    def header(self, line: str) -> None:
        """Handle the status line, a header line, or the empty line at the end of the head."""
        if not line.strip():
            self.listener(stated_limit(self.text), self.sent_at_s)
            return
        name, _, value = line.partition(":")
        if name.strip().lower() == LIMIT_HEADER.lower():
            self.text = value.strip() if self.text is None else f"{self.text}, {value.strip()}"
