"""The command that validates a document."""

import json
from pathlib import Path
from typing import Any

import click

from gypsumpier.client.context import EXIT_DONE, EXIT_REFUSED, EXIT_UNREACHED, Context
from gypsumpier.codes.setting import FILE_UNREADABLE
from gypsumpier.document import validator
from gypsumpier.document.errors import DocumentError
from gypsumpier.errors import GypsumpierError


async def validate_remotely(context: Context, file: Path) -> int:
    """Send the file to the first process for validation; return the exit status."""
    answer = await context.reader.send("/v1/validate", content_of(file))
    if answer.error is not None:
        click.echo(f"{answer.url}: {answer.error}", err=True)
        return EXIT_UNREACHED
    return print_verdict(context, file, answer.content.get("refusal"))


def validate_locally(context: Context, file: Path) -> int:
    """Validate the file locally; return the exit status."""
    try:
        validator.parse(content_of(file))
    except DocumentError as error:
        code = error.code
        refusal = {"code": code.number, "name": code.name, "field": error.path}
        return print_verdict(context, file, {**refusal, "detail": error.detail})
    return print_verdict(context, file, None)


def print_verdict(context: Context, file: Path, refusal: dict[str, Any] | None) -> int:
    """Print whether the document would be accepted; return the exit status."""
    if context.as_json:
        click.echo(json.dumps({"accepted": refusal is None, "refusal": refusal}))
    elif refusal is None:
        click.echo(f"{file}: accepted")
    else:
        click.echo(f"{file}: refused, {refusal['code']} {refusal['name']}: {refusal['detail']}")
    return EXIT_DONE if refusal is None else EXIT_REFUSED


def content_of(file: Path) -> bytes:
    """Return the file's bytes; raise GypsumpierError where it cannot be read."""
    try:
        return file.read_bytes()
    except OSError as error:
        raise GypsumpierError(FILE_UNREADABLE, f"{file}: {error.strerror}") from error
