"""Why a request may not go to an upstream."""

from enum import Enum
from typing import NamedTuple


class Reason(Enum):
    """The constraint that prevents it, as named in logs and refusals."""

    LEAVING = "leaving"
    WEIGHTS = "weights"
    SWITCHING = "switching"
    REGION = "region"
    EVACUATED = "evacuated"
    COLD = "cold"
    LIMIT = "limit"
    REST = "rest"
    SILENT = "silent"
    BACKOFF = "backoff"
    FULL = "full"
    PROMPTS = "prompts"


class Obstacle(NamedTuple):
    """One reason, and when it ends in monotonic seconds; None where that is not known."""

    reason: Reason
    ends_at_s: float | None = None
