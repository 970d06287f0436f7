"""When revisions came into force, read from the logs of the processes."""

import json
from datetime import datetime
from pathlib import Path
from typing import Any, Final, NamedTuple

TIME_FORMAT: Final = "%Y-%m-%d %H:%M:%S,%f"


class Arrival(NamedTuple):
    """A revision that came into force at an instance; ``run`` counts the processes of its place."""

    document: str
    revision: int
    at_s: float
    run: int


class Start(NamedTuple):
    """A process that was ready to serve."""

    run: int
    at_s: float


class InstanceLog(NamedTuple):
    """What one place's processes logged."""

    arrivals: list[Arrival]
    starts: list[Start]


def read_log(path: Path) -> InstanceLog:
    """Return the arrivals and starts in the order of the log."""
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
    """Return the JSON lines of a log."""
    found: list[dict[str, Any]] = []
    for line in path.read_text(errors="replace").splitlines():
        if line.startswith("{"):
            found.append(json.loads(line))
    return found


def seconds(record: dict[str, Any]) -> float:
    """Return the wall-clock time of a record."""
    return datetime.strptime(record["time"], TIME_FORMAT).timestamp()


def reverts(log: InstanceLog) -> int:
    """Count arrivals below what the place, whichever process filled it, had in force before."""
    highest: dict[str, int] = {}
    count = 0
    for arrival in log.arrivals:
        if arrival.revision < highest.get(arrival.document, 0):
            count += 1
        highest[arrival.document] = max(arrival.revision, highest.get(arrival.document, 0))
    return count
