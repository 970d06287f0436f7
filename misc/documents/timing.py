"""How long after its publication, or after the end of a fault, each revision was in force."""

from typing import Final, NamedTuple

from misc.documents.arrivals import InstanceLog
from misc.documents.editor import Published
from misc.documents.faults import EVERY_PLACE, Window

CLOCK_TICK_S: Final = 0.002
IN_FLIGHT_S: Final = 0.5


class Timing(NamedTuple):
    """One revision at one instance; ``seconds`` is None where it never came into force."""

    instance: str
    published: Published
    seconds: float | None


def timings(
    published: list[Published],
    logs: dict[str, InstanceLog],
    concerned: set[tuple[str, str]],
    windows: list[Window],
) -> list[Timing]:
    """Return a timing for each revision and each instance that keeps its document."""
    found: list[Timing] = []
    for instance, log in logs.items():
        own = [window for window in windows if window.place in (EVERY_PLACE, instance)]
        for one in published:
            if (instance, one.document) in concerned:
                found.append(Timing(instance, one, in_force_s(one, log, own)))
    return found


def in_force_s(published: Published, log: InstanceLog, windows: list[Window]) -> float | None:
    """Return the seconds until the revision or a higher one was in force.

    A fault that covers the publication delays the begin of the count to the fault's end.
    """
    base_s = counted_from_s(published.at_s, windows)
    times = [
        arrival.at_s
        for arrival in log.arrivals
        if arrival.document == published.document
        and arrival.revision >= published.revision
        and arrival.at_s >= published.at_s - CLOCK_TICK_S
    ]
    return max(0.0, min(times) - base_s) if times else None


def counted_from_s(at_s: float, windows: list[Window]) -> float:
    """Return the end of the faults that cover the time, one after the other.

    A fault that begins within IN_FLIGHT_S after the publication covers it too: the edit was on its
    way when the instance was hit.
    """
    for window in sorted(windows, key=lambda one: one.begin_s):
        if window.begin_s - IN_FLIGHT_S <= at_s < window.end_s:
            at_s = window.end_s
    return at_s


def replacement_seconds(
    published: list[Published], logs: dict[str, InstanceLog], windows: list[Window]
) -> list[float]:
    """Return for each replaced process how long after its start its documents were all newest.

    The newest is what had been published when it started, without edits that the service showed to
    nobody yet because it was down or stale.
    """
    everywhere = [window for window in windows if window.place == EVERY_PLACE]
    shown = [one._replace(at_s=counted_from_s(one.at_s, everywhere)) for one in published]
    found: list[float] = []
    for log in logs.values():
        for start in log.starts[1:]:
            arrivals = [one for one in log.arrivals if one.run == start.run]
            for document in {one.document for one in arrivals}:
                newest = newest_revision(shown, document, start.at_s - IN_FLIGHT_S)
                times = [
                    one.at_s
                    for one in arrivals
                    if one.document == document and one.revision >= newest
                ]
                found.append(max(0.0, min(times) - start.at_s) if times else float("inf"))
    return found


def newest_revision(published: list[Published], document: str, at_s: float) -> int:
    """Return the highest revision of the document at that time, 0 for none."""
    return max(
        (one.revision for one in published if one.document == document and one.at_s <= at_s),
        default=0,
    )


def percentile(values: list[float], share: float) -> float:
    """Return the value that this share of the values does not exceed."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
