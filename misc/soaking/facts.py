"""What was observed in a run of the soak test, and when faults were in effect."""

from typing import Final, NamedTuple

from gypsumpier.test.standin.platform import Run
from misc.faulting.actions import Window
from misc.soaking.evacuation import ZoneEvacuation
from misc.soaking.load import Sent
from misc.soaking.processorwait import ProcessorWait

STABLE_S: Final = 3.0
"""Seconds without a fault after which the time bounds hold, as on the platform."""
MARGIN_S: Final = 0.25
"""Seconds added to each bound for the delivery of a record and a request on a busy machine."""


class Facts(NamedTuple):
    """Everything observed in a test run so far; times are monotonic seconds.

    The ``_at_s`` mappings hold when a configuration version was written, a key was revoked, an
    upstream began to drain, and a version of weights was named by the platform as the one to serve.
    """

    sent: list[Sent]
    runs: list[Run]
    windows: list[Window]
    configured_at_s: dict[int, float]
    revoked_at_s: dict[str, float]
    draining_at_s: dict[str, float]
    named_at_s: dict[int, float]
    partial_loads: int
    killed_at_stop: int
    waits: list[ProcessorWait]
    evacuations: tuple[ZoneEvacuation, ...] = ()


def is_free_of_abrupt_faults(facts: Facts, from_s: float, to_s: float) -> bool:
    """Return whether no abrupt fault was in effect from STABLE_S before ``from_s`` to ``to_s``."""
    return not any(
        window.began_at_s < to_s and window.ended_at_s > from_s - STABLE_S
        for window in facts.windows
        if not window.graceful
    )
