"""What is remembered about one key."""

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple


class KeyState(Enum):
    """How far a key has come.  ``REFUSED`` is certain; ``UNKNOWN`` may have run."""

    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"
    REFUSED = "refused"


class StoredAnswer(NamedTuple):
    """The upstream's whole answer, as it is relayed."""

    content: bytes


@dataclass
class KeyRecord:
    """One key.  ``changed_at_s`` is monotonic time; ``answer`` is None once it was dropped."""

    fingerprint: str
    state: KeyState
    changed_at_s: float
    answer: StoredAnswer | None = None


class Verdict(Enum):
    """What to do with a copy of a request under a key."""

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
