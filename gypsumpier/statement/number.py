"""Reads a number that an upstream states in the header of an answer."""

import re
from typing import Final

DECIMAL: Final = re.compile(r"[0-9]+(\.[0-9]+)?")
LOGGED_TEXT_MAX: Final = 40
"""Characters of an unreadable value that are kept for the log."""


def stated_number(text: str) -> float | None:
    """Return a decimal number, infinity for one beyond all floats; None if the text is no number.

    It may have any number of digits: a quotient is written with all that the sender computes.
    """
    return float(text) if DECIMAL.fullmatch(text.strip(" \t")) else None


def logged_text(text: str) -> str:
    """Return the start of an unreadable value for the log; never empty."""
    return repr(text[:LOGGED_TEXT_MAX])
