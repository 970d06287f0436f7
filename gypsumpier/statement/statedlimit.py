"""The requests per second that an upstream states in an answer that it takes from all entries."""

from typing import Final, NamedTuple

from gypsumpier.statement.number import logged_text, stated_number

LIMIT_MAX_PER_S: Final = 1e6
"""Largest limit in requests per second; a larger one limits nothing either."""


class StatedLimit(NamedTuple):
    """What an answer says of the limit; ``per_s`` is None if it states none.

    ``unreadable`` is the start of a value that is no rate, for the log; empty otherwise.
    """

    per_s: float | None = None
    unreadable: str = ""


NOT_STATED: Final = StatedLimit()


def stated_limit(text: str | None) -> StatedLimit:
    """Return the limit in a header's value, a decimal number; None stands for no header."""
    if text is None:
        return NOT_STATED
    per_s = stated_number(text)
    if per_s is None:
        return StatedLimit(None, logged_text(text))
    return StatedLimit(min(per_s, LIMIT_MAX_PER_S))
