"""The time for which an upstream counts as cold."""

from typing import NamedTuple

from gypsumpier.coldstart.evidence import Evidence


class ColdPeriod(NamedTuple):
    """An upstream counts as cold until ``until_s``, in monotonic seconds, on some evidence."""

    evidence: Evidence
    until_s: float
