"""The command that shows a fleet as it converges on the state that its documents describe."""

import asyncio
import json
import time

import click

from gypsumpier.client import page
from gypsumpier.client.answer import Answer
from gypsumpier.client.context import EXIT_DONE, EXIT_UNREACHED, Context

PAGES = {
    "documents": page.documents_page,
    "transfers": page.transfers_page,
    "upstreams": page.upstreams_page,
}


async def watch_fleet(context: Context, interval_s: float, count: int | None) -> int:
    """Print the fleet's state every ``interval_s``; return the exit status of the last read."""
    status = EXIT_DONE
    reads = 0
    while count is None or reads < count:
        if reads:
            await asyncio.sleep(interval_s)
        status = await print_once(context)
        reads += 1
    return status


async def print_once(context: Context) -> int:
    """Print the state once; return the exit status."""
    paths = [f"/v1/{name}" for name in PAGES]
    found = await asyncio.gather(*(context.reader.read(path) for path in paths))
    answers = dict(zip(PAGES, found, strict=True))
    if context.as_json:
        click.echo(json.dumps(as_json(answers)))
    else:
        click.echo(time.strftime("%H:%M:%S"))
        for name, shape in PAGES.items():
            click.echo(f"\n{name}\n{shape(answers[name])}")
    failed = {answer.url: answer.error for group in found for answer in group if answer.error}
    for url, error in failed.items():
        click.echo(f"{url}: {error}", err=True)
    return EXIT_UNREACHED if failed else EXIT_DONE


def as_json(answers: dict[str, list[Answer]]) -> dict[str, object]:
    """Return all answers as one JSON object."""
    return {name: [answer.as_json() for answer in group] for name, group in answers.items()}
