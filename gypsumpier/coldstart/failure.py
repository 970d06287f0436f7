"""A failure after which an upstream may have restarted."""

from typing import NamedTuple


class Failure(NamedTuple):
    """The monotonic time of a failure, and when the record of a new start is overdue."""

    at_s: float
    until_s: float
