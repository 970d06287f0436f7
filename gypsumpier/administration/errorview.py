"""The view of an error with its result code."""

from gypsumpier.administration.view import ErrorView
from gypsumpier.codes.result import ResultCode


def error_view(code: ResultCode, detail: str) -> ErrorView:
    """Return the view of an error."""
    return ErrorView(
        code=code.number,
        name=code.name,
        detail=detail,
        outcome=code.outcome.value,
        advice=code.advice,
    )
