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
        "started",
        "stopping",
        "version_wanted",
    }
)
"""Events that change what a process believes, shown around a request whatever they are about."""
CONTEXT_LINES: Final = 8
"""Lines of context shown before the request's first line."""
HIDDEN: Final = ("time", "level", "event", "request")


def trace_request(context: Context, request: str, files: Iterable[str]) -> int:
    """Print the lines of the request and what its processes believed; return the exit status."""
    lines = [line for file in files for line in read_lines(file)]
    lines.sort(key=lambda line: str(line.get("time", "")))
    own = [line for line in lines if line.get("request") == request]
    if not own:
        click.echo(f"no line names the request {request}", err=True)
        return EXIT_UNREACHED
    found = [*context_of(own, lines), *own]
    for line in found:
        click.echo(json.dumps(line) if context.as_json else as_text(line))
    return EXIT_DONE


def context_of(own: list[dict[str, Any]], lines: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return the last lines before the request on its upstreams and on what was believed."""
    upstreams = {line.get("upstream") for line in own} - {None, ""}
    addresses = {line.get("address") for line in own} - {None, ""}
    nodes = {line.get("node") for line in own}
    began = str(own[0].get("time", ""))
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
    """Yield the JSON objects of a log; what a collector wrote before them is passed over."""
    for text in read_text(file).splitlines():
        start = text.find("{")
        if start < 0:
            continue
        try:
            line = json.loads(text[start:])
        except ValueError:
            # A line that was cut where the log ends, or another program's.
            continue
        if isinstance(line, dict):
            yield line


def read_text(file: str) -> str:
    """Return a file's text; raise GypsumpierError where it cannot be read."""
    if file == STANDARD_INPUT:
        return click.get_text_stream("stdin").read()
    try:
        return Path(file).read_text("utf-8", "replace")
    except OSError as error:
        raise GypsumpierError(FILE_UNREADABLE, f"{file}: {error.strerror}") from error


def as_text(line: dict[str, Any]) -> str:
    """Return a line for a reader."""
    fields = " ".join(f"{name}={value}" for name, value in line.items() if name not in HIDDEN)
    return f"{line.get('time', '')} {line.get('event', '')} {fields}"
