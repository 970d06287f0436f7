"""The table of result codes as the page docs/result-codes.md.

``make pages`` writes the page; a test compares the file with the code.
"""

from typing import Final

from gypsumpier.codes.result import ResultCode
from gypsumpier.codes.table import all_codes

HEADING: Final = """\
# Result codes

Every refusal, failure and degraded answer carries one of these codes.  A number is never given
to another meaning.  *HTTP* is the status that a caller sees where the code ends an HTTP call.
*Run?* tells whether the request may have run: `done` it ran, `not_run` it certainly did not and
will not, `unknown` it may have.

Write this page anew by `make pages`; a test holds it in agreement with the code.

| code | name | HTTP | run? | what to do |
|---|---|---|---|---|"""


def rendered() -> str:
    """Return the text of the page."""
    rows = [row(code) for _, code in sorted(all_codes().items())]
    return "\n".join([HEADING, *rows, ""])


def row(code: ResultCode) -> str:
    """Return the table row of one code."""
    return (
        f"| {code.number} | `{code.name}` | {code.http_status} "
        f"| {code.outcome.value} | {code.advice} |"
    )
