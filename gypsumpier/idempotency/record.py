"""The record of one key, and the verdicts on copies of its request."""

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple


class KeyState(Enum):
    """State of a key's request.  ``REFUSED`` has certainly not run; ``UNKNOWN`` may have run."""

    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"
    REFUSED = "refused"


class StoredAnswer(NamedTuple):
    """The upstream's complete answer, encoded as it is relayed."""

    content: bytes


@dataclass
class KeyRecord:
    """One key.  ``changed_at_s`` is monotonic time; ``answer`` is None unless it is stored."""

    fingerprint: str
    state: KeyState
    changed_at_s: float
    answer: StoredAnswer | None = None


class Verdict(Enum):
    """How to handle a copy of a request under a key; JOIN waits for the run in progress."""

    RUN = "run"
    JOIN = "join"
    DONE = "done"
    ANSWER_GONE = "answer_gone"
    UNKNOWN = "unknown"
    REFUSED = "refused"
    CONFLICT = "conflict"
    FULL = "full"


class Claim(NamedTuple):
    """The verdict and, where the key is known, its record."""

    verdict: Verdict
    record: KeyRecord | None
