"""Shared by all commands: the reader, the output format and the exit status."""

import asyncio
import json
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, Final, NamedTuple

import click

from gypsumpier.client.answer import Answer
from gypsumpier.client.reader import Reader

EXIT_DONE: Final = 0
EXIT_USAGE: Final = 2
EXIT_UNREACHED: Final = 4
EXIT_REFUSED: Final = 5


class Context(NamedTuple):
    """The options that apply to every command."""

    reader: Reader
    as_json: bool


def print_answers(
    context: Context, answers: Sequence[Answer], page: Callable[[Sequence[Answer]], str]
) -> int:
    """Print the answers and the errors; return the exit status."""
    if context.as_json:
        click.echo(json.dumps({"processes": [answer.as_json() for answer in answers]}))
    else:
        click.echo(page(answers))
    failed = [answer for answer in answers if answer.error is not None]
    for answer in failed:
        click.echo(f"{answer.url}: {answer.error}", err=True)
    return EXIT_UNREACHED if failed else EXIT_DONE


def run(work: Coroutine[Any, Any, int]) -> int:
    """Run a command's coroutine; return its exit status.  An interrupt returns EXIT_DONE."""
    try:
        return asyncio.run(work)
    except KeyboardInterrupt:
        return EXIT_DONE
