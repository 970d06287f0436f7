"""The type of one numbered result code."""

from enum import Enum
from typing import NamedTuple


class Outcome(Enum):
    """Whether the upstream ran the request that was answered with this code."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class ResultCode(NamedTuple):
    """One result code; the fields are the columns of the table of codes."""

    number: int
    name: str
    http_status: int
    outcome: Outcome
    advice: str
    """What the caller or operator should do."""
