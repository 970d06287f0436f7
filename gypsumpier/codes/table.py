"""The whole table of result codes, gathered from the modules of this package."""

import importlib
import pkgutil

import gypsumpier.codes
from gypsumpier.codes.result import ResultCode


def all_codes() -> list[ResultCode]:
    """Return every code in the order of its number."""
    found: list[ResultCode] = []
    for module in pkgutil.iter_modules(gypsumpier.codes.__path__):
        content = vars(importlib.import_module(f"gypsumpier.codes.{module.name}"))
        found += [value for value in content.values() if isinstance(value, ResultCode)]
    return sorted(found, key=lambda code: code.number)


def markdown() -> str:
    """Return the table as a page for docs/result-codes.md."""
    rows = [table_row(code) for code in all_codes()]
    return "\n".join([HEADING, *rows, ""])


def table_row(code: ResultCode) -> str:
    """Return one row of the page."""
    return (
        f"| {code.number} | `{code.name}` | {code.http_status} "
        f"| {code.outcome.value} | {code.advice} |"
    )


HEADING = """\
# Result codes

Every refusal, failure and degraded answer carries one of these codes.  A number is never given
to another meaning.  *HTTP* is the status that a caller sees where the code ends an HTTP call.
*Run?* tells whether the request may have run: `done` it ran, `not_run` it certainly did not and
will not, `unknown` it may have.

Print this page with `python -m gypsumpier.codes.table`; a test holds it in agreement with the
code.

| code | name | HTTP | run? | what to do |
|---|---|---|---|---|"""


if __name__ == "__main__":
    print(markdown(), end="")
