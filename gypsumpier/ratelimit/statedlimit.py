"""The requests per second that an upstream states in an answer that it takes from all entries."""

import re
from typing import Final, NamedTuple

DECIMAL: Final = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?")
LIMIT_MAX_PER_S: Final = 1e6
"""Largest limit in requests per second; a larger value can't be meant."""
LOGGED_TEXT_MAX: Final = 40
"""Characters of an unreadable value that are kept for the log."""


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
    if DECIMAL.fullmatch(text.strip(" \t")) and float(text) <= LIMIT_MAX_PER_S:
        return StatedLimit(float(text))
    return StatedLimit(None, repr(text[:LOGGED_TEXT_MAX]))
