"""Tells from the output of a bench run with logs how near requests came to starting too late.

For each named version: the smallest time left before its limit when a request started on older
weights, counted from the naming that the bench tells, and the largest error of what processes
believed of that time (positive: they believed it younger than it is).
"""

import json
import re
import sys
from pathlib import Path
from typing import Any, Final, NamedTuple

LOG_LINE: Final = re.compile(r"^\s*(-?\d+\.\d+) (\S+) (\{.*\})$")
STATED_TIME: Final = re.compile(r'"time": "\d+-\d+-\d+ (\d+):(\d+):(\d+),(\d+)"')
NAMING: Final = re.compile(r"^- version (\d+), named at (\d+\.\d+) s")


CLOCK_WINDOW_S: Final = 3.0
"""Seconds around a log line within which the process's time of day is taken to run evenly."""


class LoggedEvent(NamedTuple):
    """A log line of a process, ``node``, at ``at_s`` of the bench's time."""

    at_s: float
    node: str
    fields: dict[str, Any]


class LogTimes:
    """The bench's times of the log lines of each process.

    A line is printed late where the log is written in batches.  The time of day that it states is
    exact, up to a difference: the smallest one of the lines around it.
    """

    def __init__(self, lines: list[str]) -> None:
        self.lines = lines
        self.printed: dict[str, list[tuple[float, float]]] = {}
        for line in lines:
            match = LOG_LINE.match(line)
            stated = STATED_TIME.search(line)
            if match is not None and stated is not None:
                pair = float(match[1]), time_of_day_s(stated)
                self.printed.setdefault(match[2], []).append(pair)

    def at_s(self, node: str, printed_s: float, stated_s: float) -> float:
        """Return the time at which a line was logged."""
        near = [
            printed - stated
            for printed, stated in self.printed[node]
            if abs(printed - printed_s) < CLOCK_WINDOW_S
        ]
        return min(printed_s, stated_s + min(near))

    def events(self, name: str) -> list[LoggedEvent]:
        """Return the logged events of that name."""
        found = []
        for line in self.lines:
            match = LOG_LINE.match(line) if f'"event": "{name}"' in line else None
            if match is None:
                continue
            try:
                fields = json.loads(match[3])
            except json.JSONDecodeError as error:
                # Lines of two processes may be mixed up.
                print(f"not read: {error}: {line}", file=sys.stderr)
                continue
            at_s = float(match[1])
            stated = STATED_TIME.search(line)
            if stated is not None:
                at_s = self.at_s(match[2], at_s, time_of_day_s(stated))
            found.append(LoggedEvent(at_s, match[2], fields))
        return found


def time_of_day_s(stated: re.Match[str]) -> float:
    """Return the stated time of day in seconds."""
    hours, minutes, seconds, millis = (int(part) for part in stated.groups())
    return 3600.0 * hours + 60.0 * minutes + seconds + millis / 1000


def main() -> int:
    """Print a line for each version of each file; return the exit status."""
    smallest: list[tuple[float, str]] = []
    for path in sys.argv[1:]:
        lines = Path(path).read_text(errors="replace").splitlines()
        times = LogTimes(lines)
        named_at_s = {
            int(match[1]): float(match[2]) for line in lines if (match := NAMING.match(line))
        }
        for version, at_s in named_at_s.items():
            starts = [
                (at_s + event.fields["in_force_s"] - (event.at_s - event.fields["ago_s"]), event)
                for event in times.events("older_weights_last_start")
                if event.fields["version"] == version
            ]
            errors = [
                (event.at_s - event.fields["named_ago_s"] - at_s, event)
                for name in ("version_wanted", "version_time_corrected", "version_limit_passed")
                for event in times.events(name)
                if event.fields["version"] == version
            ]
            text = f"{path}: version {version} named at {at_s:.3f} s"
            if starts:
                left_s, event = min(starts, key=lambda found: found[0])
                text += (
                    f", last start on older weights {left_s:.3f} s before the limit, {event.node}"
                )
                text += f", request {event.fields['request']} at {event.fields['upstream']}"
                smallest.append((left_s, text))
            if errors:
                latest, earliest = max(errors, key=first), min(errors, key=first)
                text += f"; believed from {earliest[0]:+.3f} s ({earliest[1].node}"
                text += f", {earliest[1].fields['evidence']}) to {latest[0]:+.3f} s"
                text += f" ({latest[1].node}, {latest[1].fields['evidence']})"
            print(text)
    if smallest:
        print(f"smallest: {min(smallest)[1]}")
    return 0


def first(found: tuple[float, LoggedEvent]) -> float:
    """Return the figure of a pair."""
    return found[0]


if __name__ == "__main__":
    sys.exit(main())
