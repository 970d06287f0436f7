"""Follows one request through log files of processes on the Rung Lab platform."""

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, Final

import click

from gypsumpier.client.context import EXIT_DONE, EXIT_UNREACHED, Context
from gypsumpier.codes.setting import FILE_UNREADABLE
from gypsumpier.errors import GypsumpierError

STANDARD_INPUT: Final = "-"
CONTEXT_EVENTS: Final = frozenset(
    {
        "configuration_in_force",
        "dependency_lost",
        "dependency_regained",
        "drain",
        "evacuation_begins",
        "evacuation_ends",
        "started",
        "stopping",
        "version_time_corrected",
        "version_wanted",
    }
)
"""Events that change a process's view of the system; shown before a request regardless of topic."""
CONTEXT_LINES: Final = 8
"""Maximum number of context lines printed before the request's first line."""
HIDDEN_FIELDS: Final = ("time", "level", "event", "request")


def trace_request(context: Context, request: str, files: Iterable[str]) -> int:
    """Print the request's lines, preceded by context lines; return the exit status."""
    lines = [line for file in files for line in read_lines(file)]
    lines.sort(key=lambda line: str(line.get("time", "")))
    request_lines = [line for line in lines if line.get("request") == request]
    if not request_lines:
        click.echo(f"no log line has the request id {request}", err=True)
        return EXIT_UNREACHED
    shown_lines = [*context_lines(request_lines, lines), *request_lines]
    for line in shown_lines:
        click.echo(json.dumps(line) if context.as_json else as_text(line))
    return EXIT_DONE


def context_lines(
    request_lines: list[dict[str, Any]], lines: list[dict[str, Any]]
) -> list[dict[str, Any]]:
    """Return the last lines before the request that concern its upstreams or CONTEXT_EVENTS."""
    upstreams = {line.get("upstream") for line in request_lines} - {None, ""}
    addresses = {line.get("address") for line in request_lines} - {None, ""}
    nodes = {line.get("node") for line in request_lines}
    began = str(request_lines[0].get("time", ""))
    before = [
        line
        for line in lines
        if str(line.get("time", "")) < began
        and "request" not in line
        and line.get("node") in nodes
        and (
            line.get("event") in CONTEXT_EVENTS
            or line.get("upstream") in upstreams
            or line.get("address") in addresses
        )
    ]
    return before[-CONTEXT_LINES:]


def read_lines(file: str) -> Iterator[dict[str, Any]]:
    """Yield the JSON objects of a log; a prefix written by a log collector is skipped."""
    for text in read_text(file).splitlines():
        start = text.find("{")
        if start < 0:
            continue
        try:
            line = json.loads(text[start:])
        except ValueError:
            # A truncated line at the end of the log, or a line of another program.
            continue
        if isinstance(line, dict):
            yield line


def read_text(file: str) -> str:
    """Return the text of a file or standard input; raise GypsumpierError if it is unreadable."""
    if file == STANDARD_INPUT:
        return click.get_text_stream("stdin").read()
    try:
        return Path(file).read_text("utf-8", "replace")
    except OSError as error:
        raise GypsumpierError(FILE_UNREADABLE, f"{file}: {error.strerror}") from error


def as_text(line: dict[str, Any]) -> str:
    """Return a log line as plain text: time, event, then the other fields."""
    fields = " ".join(
        f"{name}={value}" for name, value in line.items() if name not in HIDDEN_FIELDS
    )
    return f"{line.get('time', '')} {line.get('event', '')} {fields}"
