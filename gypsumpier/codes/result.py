"""The type of one numbered result code."""

from enum import Enum
from typing import NamedTuple


class Outcome(Enum):
    """Whether the request that got this code was run by its upstream."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class ResultCode(NamedTuple):
    """One row of the table of result codes."""

    number: int
    name: str
    http_status: int
    outcome: Outcome
    advice: str
    """What the caller or operator should do."""
