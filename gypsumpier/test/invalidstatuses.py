"""Answers whose status is none: outside 100 to 599, no number, or not of three digits."""

from typing import Final

STATUSES: Final = {
    "000": "000",
    "099": "099",
    "101, which was not asked for": "101",
    "600": "600",
    "700": "700",
    "999": "999",
    "four digits": "1000",
    "two digits": "20",
    "a letter": "2O0",
    "empty": "",
    "a sign": "+20",
    "fullwidth digits": "２００",
    "superscript digits": "²⁰⁰",
}
"""Texts in the place of a status, by what is wrong with them."""


def answer_with(status: str, headers: str, body: str) -> bytes:
    """Return an answer with that text in the place of its status, and those header lines."""
    return f"HTTP/1.1 {status} OK\r\n{headers}\r\n{body}".encode()
