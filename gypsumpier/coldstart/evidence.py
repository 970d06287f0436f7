"""On what it rests that an upstream counts as cold."""

from enum import Enum


class Evidence(Enum):
    """The evidence, as named in logs."""

    RECORD = "record"
    NEW_RUN = "new_run"
    FAILURE = "failure"
    EVACUATION = "evacuation"
    STALE = "stale"
