"""Computes how long each revision took to be in force, from its publication or a fault's end."""

from typing import Final, NamedTuple

from misc.documents.arrivals import InstanceLog
from misc.documents.editor import Published
from misc.documents.faults import EVERY_PLACE, Window

CLOCK_TOLERANCE_S: Final = 0.002
IN_FLIGHT_EDIT_S: Final = 0.5


class Timing(NamedTuple):
    """One revision at one instance; ``seconds`` is None if it never came into force."""

    instance: str
    published: Published
    seconds: float | None


def timings(
    published: list[Published],
    logs: dict[str, InstanceLog],
    instance_documents: set[tuple[str, str]],
    windows: list[Window],
) -> list[Timing]:
    """Return a timing for each revision and each instance that keeps its document.

    ``instance_documents`` holds the pairs of instance and document.
    """
    found: list[Timing] = []
    for instance, log in logs.items():
        own = [window for window in windows if window.place in (EVERY_PLACE, instance)]
        for one in published:
            if (instance, one.document) in instance_documents:
                found.append(Timing(instance, one, in_force_s(one, log, own)))
    return found


def in_force_s(published: Published, log: InstanceLog, windows: list[Window]) -> float | None:
    """Return the seconds until the revision or a higher one was in force, or None if never.

    If a fault covers the publication, the time counts from the end of the fault.
    """
    base_s = timing_start_s(published.at_s, windows)
    times = [
        arrival.at_s
        for arrival in log.arrivals
        if arrival.document == published.document
        and arrival.revision >= published.revision
        and arrival.at_s >= published.at_s - CLOCK_TOLERANCE_S
    ]
    return max(0.0, min(times) - base_s) if times else None


def timing_start_s(at_s: float, windows: list[Window]) -> float:
    """Return the end of the consecutive faults that cover the publication, else its own time.

    A fault that begins within IN_FLIGHT_EDIT_S after the publication covers it too, because the
    edit was in flight when the fault began.
    """
    for window in sorted(windows, key=lambda one: one.begin_s):
        if window.begin_s - IN_FLIGHT_EDIT_S <= at_s < window.end_s:
            at_s = window.end_s
    return at_s


def replacement_seconds(
    published: list[Published], logs: dict[str, InstanceLog], windows: list[Window]
) -> list[float]:
    """Return the seconds from the start of each replacement to the newest revision, per document.

    The newest revision is the highest that was published IN_FLIGHT_EDIT_S before the start, without
    edits that the service did not serve yet because it was down or stale.
    """
    everywhere = [window for window in windows if window.place == EVERY_PLACE]
    visible = [one._replace(at_s=timing_start_s(one.at_s, everywhere)) for one in published]
    found: list[float] = []
    for log in logs.values():
        for start in log.starts[1:]:
            arrivals = [one for one in log.arrivals if one.run == start.run]
            for document in {one.document for one in arrivals}:
                newest = newest_revision(visible, document, start.at_s - IN_FLIGHT_EDIT_S)
                times = [
                    one.at_s
                    for one in arrivals
                    if one.document == document and one.revision >= newest
                ]
                found.append(max(0.0, min(times) - start.at_s) if times else float("inf"))
    return found


def newest_revision(published: list[Published], document: str, at_s: float) -> int:
    """Return the highest revision of the document published by that time, or 0 if none."""
    return max(
        (one.revision for one in published if one.document == document and one.at_s <= at_s),
        default=0,
    )


def percentile(values: list[float], share: float) -> float:
    """Return the value that the share (0 to 1) of the values does not exceed."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
