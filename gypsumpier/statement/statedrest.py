"""The time for which an upstream that turns a request away wants nothing from this process."""

from typing import Final, NamedTuple

from gypsumpier.statement.number import logged_text, stated_number

REST_MAX_S: Final = 3600.0
"""Longest rest in seconds; an upstream that asks for more gets a request after it."""
READABLE_MAX_S: Final = 1e9
"""Largest value in seconds that can be meant as a time."""


class StatedRest(NamedTuple):
    """What an answer says of a rest; ``seconds`` is 0 if it asks for none.

    ``unreadable`` is the start of a value that is no number of seconds, for the log; else empty.
    """

    seconds: float = 0.0
    unreadable: str = ""


NO_REST: Final = StatedRest()


def stated_rest(text: str | None) -> StatedRest:
    """Return the rest in a header's value, in seconds; None stands for no header.

    HTTP also allows a date there.  Clocks of two machines are never compared, so a date is none.
    """
    if text is None:
        return NO_REST
    seconds = stated_number(text)
    if seconds is None or seconds > READABLE_MAX_S:
        return StatedRest(0.0, logged_text(text))
    return StatedRest(min(seconds, REST_MAX_S))
