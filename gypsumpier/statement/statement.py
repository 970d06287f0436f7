"""What one answer states about its upstream, whichever request it answers."""

from typing import Final, NamedTuple

from gypsumpier.statement.statedlimit import NOT_STATED, StatedLimit, stated_limit
from gypsumpier.statement.statedrest import NO_REST, StatedRest, stated_rest

TURNED_AWAY: Final = 503
"""The status of an answer whose Retry-After is addressed to this process."""
LEAVING: Final = "1"
"""The value by which an upstream states that it leaves."""


class Statement(NamedTuple):
    """The limit, the rest that is asked for, and whether the upstream leaves."""

    limit: StatedLimit = NOT_STATED
    rest: StatedRest = NO_REST
    is_leaving: bool = False


NOTHING_STATED: Final = Statement()


def statement_of(
    status: int, limit: str | None, retry_after: str | None, leaving: str | None
) -> Statement:
    """Return what an answer states; the texts are the values of its headers, None where absent."""
    return Statement(
        stated_limit(limit),
        stated_rest(retry_after) if status == TURNED_AWAY else NO_REST,
        is_leaving(leaving),
    )


def is_leaving(text: str | None) -> bool:
    """Return whether the value of a header, which may have been sent twice, says so."""
    return LEAVING in (part.strip() for part in (text or "").split(","))
