"""Reads a number that an upstream states in the header of an answer."""

import re
from typing import Final

DECIMAL: Final = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?")
LOGGED_TEXT_MAX: Final = 40
"""Characters of an unreadable value that are kept for the log."""


def stated_number(text: str, largest: float) -> float | None:
    """Return a decimal number of at most ``largest``; None if the text is none."""
    if not DECIMAL.fullmatch(text.strip(" \t")):
        return None
    number = float(text)
    return number if number <= largest else None


def logged_text(text: str) -> str:
    """Return the start of an unreadable value for the log; never empty."""
    return repr(text[:LOGGED_TEXT_MAX])
