"""The commands of the tool ``gypsumpier``, which is read-only."""

import sys
from collections.abc import Sequence
from pathlib import Path

import click

from gypsumpier.client import page
from gypsumpier.client.context import EXIT_USAGE, Context, print_answers, run
from gypsumpier.client.destination import destination_page
from gypsumpier.client.reader import Query, Reader
from gypsumpier.client.trace import trace_request
from gypsumpier.client.validate import validate_locally, validate_remotely
from gypsumpier.client.watch import watch_fleet
from gypsumpier.codes.result import ResultCode
from gypsumpier.codes.setting import ADMINISTRATION_URL_MALFORMED, ARGUMENTS_INVALID
from gypsumpier.errors import GypsumpierError
from gypsumpier.settings import is_http_url


@click.group(context_settings={"max_content_width": 100})
@click.option(
    "--administration",
    "urls",
    multiple=True,
    envvar="GYPSUMPIER_ADMINISTRATION",
    show_envvar=True,
    metavar="URL",
    help="Administration URL of a process, http://ADDRESS:PORT; may be given several times.",
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object instead of tables.")
@click.option(
    "--timeout",
    "timeout_s",
    type=click.FloatRange(0.1, 600),
    default=5.0,
    show_default=True,
    metavar="SECONDS",
    help="Seconds allowed for the answer of one process.",
)
@click.pass_context
def gypsumpier(
    context: click.Context, urls: tuple[str, ...], as_json: bool, timeout_s: float
) -> None:
    """Show what the processes of gypsumpier do and why.

    Reads the administration API of each process that is named by --administration.

    Exit status: 0 done, 2 wrong arguments, 4 a process could not be read, 5 a document was refused.
    """
    for url in urls:
        if not is_http_url(url):
            raise GypsumpierError(ADMINISTRATION_URL_MALFORMED, repr(url))
    context.obj = Context(Reader(urls, timeout_s), as_json)


@gypsumpier.command()
@click.pass_obj
def status(context: Context) -> int:
    """Show each process: its role, place, state and how much it knows."""
    return run(print_page(context, "/v1/status", page.status_page))


@gypsumpier.command()
@click.pass_obj
def documents(context: Context) -> int:
    """Show the documents in force, on how many processes, and refused revisions."""
    return run(print_page(context, "/v1/documents", page.documents_page))


@gypsumpier.command()
@click.pass_obj
def upstreams(context: Context) -> int:
    """Show the upstreams as each process sees them, with the versions live on each."""
    return run(print_page(context, "/v1/upstreams", page.upstreams_page))


@gypsumpier.command()
@click.pass_obj
def transfers(context: Context) -> int:
    """Show the transfers of weights."""
    return run(print_page(context, "/v1/transfers", page.transfers_page))


@gypsumpier.command()
@click.argument("filters", nargs=-1, metavar="[FIELD=VALUE]...")
@click.option(
    "--limit",
    type=click.IntRange(1, 2000),
    default=50,
    show_default=True,
    help="Number of decisions of each process.",
)
@click.pass_obj
def explain(context: Context, filters: tuple[str, ...], limit: int) -> int:
    """Show recent routing and placement decisions with their reasons.

    Each FIELD=VALUE keeps the decisions with that value, such as request=ID, service=NAME,
    workspace=NAME, document=NAME or event=route.
    """
    query = {"limit": str(limit), **parsed_filters(filters)}
    return run(print_page(context, "/v1/decisions", page.decisions_page, query))


@gypsumpier.command()
@click.argument("host", required=False)
@click.argument("path", required=False)
@click.option("--route", metavar="NAME", help="Name of the route, instead of HOST and PATH.")
@click.option("--workspace", metavar="NAME", help="Name of the caller's workspace, not its key.")
@click.option("--zone", metavar="ZONE", help="Zone to be preferred instead of the entry's own.")
@click.option(
    "--part",
    "parts",
    multiple=True,
    metavar="ID",
    help="Id of a part of the prompt, as callers state it; may be given several times.",
)
@click.option("--prompt-tokens", type=click.IntRange(0), metavar="N", help="Tokens of the prompt.")
@click.option("--answer-tokens", type=click.IntRange(0), metavar="N", help="Tokens of the answer.")
@click.pass_obj
def destination(
    context: Context, /, host: str | None, path: str | None, parts: tuple[str, ...], **given: object
) -> int:
    """Show where a request to HOST and PATH would go now, and why, without sending it.

    Asks entries on the Rung Lab platform, at the address that serves their metrics.  Lists each
    upstream that would be passed over, with the reason and its end if that is known, and the age
    of what the entry believes.
    """
    named: dict[str, object] = {"host": host, "path": path, **given}
    query = [(name, str(value)) for name, value in named.items() if value is not None]
    if (host is None) == (given["route"] is None) or (host is None) != (path is None):
        raise GypsumpierError(ARGUMENTS_INVALID, "give either HOST and PATH, or --route")
    query += [("part", part) for part in parts]
    return run(print_page(context, "/v1/destination", destination_page, query))


@gypsumpier.command()
@click.argument("request", metavar="ID")
@click.argument("files", nargs=-1, required=True, metavar="FILE...")
@click.pass_obj
def trace(context: Context, request: str, files: tuple[str, ...]) -> int:
    """Follow the request ID through log FILEs of processes on the Rung Lab platform.

    Prints the decisions on the request and, before them, the last ones on its upstreams and on
    what the processes believed.  A FILE of - is standard input.
    """
    return trace_request(context, request, files)


@gypsumpier.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.pass_obj
def validate(context: Context, file: Path) -> int:
    """Validate the document in FILE; nothing is put in force.

    With --administration the first process validates it, without it this program does.
    """
    if context.reader.urls:
        return run(validate_remotely(context, file))
    return validate_locally(context, file)


@gypsumpier.command()
@click.option(
    "--interval",
    "interval_s",
    type=click.FloatRange(0.1, 3600),
    default=1.0,
    show_default=True,
    metavar="SECONDS",
    help="Seconds between two reads.",
)
@click.option("--count", type=click.IntRange(1), help="Number of reads; without end by default.")
@click.pass_obj
def watch(context: Context, interval_s: float, count: int | None) -> int:
    """Follow documents, upstreams and transfers until interrupted."""
    require_urls(context)
    return run(watch_fleet(context, interval_s, count))


async def print_page(
    context: Context, path: str, shape: page.Page, query: Query | None = None
) -> int:
    """Read one path from every process and print the answers; return the exit status."""
    require_urls(context)
    return print_answers(context, await context.reader.read(path, query), shape)


def require_urls(context: Context) -> None:
    """Raise GypsumpierError where no process was named."""
    if not context.reader.urls:
        raise GypsumpierError(ARGUMENTS_INVALID, "no --administration URL was given")


def parsed_filters(filters: Sequence[str]) -> dict[str, str]:
    """Return the filters by field; raise GypsumpierError where one has no value."""
    pairs = [text.partition("=") for text in filters]
    for field, separator, _ in pairs:
        if not field or not separator:
            raise GypsumpierError(ARGUMENTS_INVALID, f"{field!r} is not FIELD=VALUE")
    return {field: value for field, _, value in pairs}


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the tool; return its exit status."""
    try:
        result = gypsumpier.main(arguments, prog_name="gypsumpier", standalone_mode=False)
    except GypsumpierError as error:
        return print_error(error.code, error.detail)
    except click.exceptions.NoArgsIsHelpError as error:
        click.echo(error.format_message())
        return EXIT_USAGE
    except click.UsageError as error:
        return print_error(ARGUMENTS_INVALID, error.format_message())
    except click.Abort:
        return 0
    return result if isinstance(result, int) else 0


def print_error(code: ResultCode, detail: str) -> int:
    """Print an error with its result code and advice; return the exit status."""
    click.echo(f"{code.number} {code.name}: {detail}. {code.advice}", err=True)
    return EXIT_USAGE


if __name__ == "__main__":
    sys.exit(main())
