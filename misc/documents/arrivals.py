"""Reads from the processes' logs when revisions came into force."""

import json
from datetime import datetime
from pathlib import Path
from typing import Any, Final, NamedTuple

TIME_FORMAT: Final = "%Y-%m-%d %H:%M:%S,%f"


class Arrival(NamedTuple):
    """A revision that came into force; ``run`` numbers an instance's processes from 1."""

    document: str
    revision: int
    at_s: float
    run: int


class Start(NamedTuple):
    """The wall-clock time when a process was ready to serve."""

    run: int
    at_s: float


class InstanceLog(NamedTuple):
    """The logged events of one instance, whose process may have been replaced."""

    arrivals: list[Arrival]
    starts: list[Start]


def read_log(path: Path) -> InstanceLog:
    """Return the arrivals and starts in the order of the log.

    An arrival before the first start belongs to run 1.
    """
    arrivals: list[Arrival] = []
    starts: list[Start] = []
    for record in records(path):
        if record["event"] == "started":
            starts.append(Start(len(starts) + 1, seconds(record)))
        elif record["event"] == "document_accepted":
            run = len(starts) or 1
            arrival = Arrival(record["document"], record["revision"], seconds(record), run)
            arrivals.append(arrival)
    return InstanceLog(arrivals, starts)


def records(path: Path) -> list[dict[str, Any]]:
    """Return the JSON records of a log; other lines are skipped."""
    found: list[dict[str, Any]] = []
    for line in path.read_text(errors="replace").splitlines():
        if line.startswith("{"):
            found.append(json.loads(line))
    return found


def seconds(record: dict[str, Any]) -> float:
    """Return the wall-clock time of a record in seconds."""
    return datetime.strptime(record["time"], TIME_FORMAT).timestamp()


def reverts(log: InstanceLog) -> int:
    """Return the number of arrivals below a revision in force before, across restarts."""
    highest: dict[str, int] = {}
    count = 0
    for arrival in log.arrivals:
        if arrival.revision < highest.get(arrival.document, 0):
            count += 1
        highest[arrival.document] = max(arrival.revision, highest.get(arrival.document, 0))
    return count
