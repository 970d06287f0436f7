"""The Retry-After header of answers to calls of this process."""

from typing import Final

from tornado.httputil import HTTPHeaders

from gypsumpier.external.statementreader import REST_HEADER
from gypsumpier.statement.statedrest import stated_rest

RETRY_AFTER_MAX_S: Final = 30.0
"""Longest time in seconds for which a service of the platform is not called as it asks for that."""


def retry_after_s(headers: HTTPHeaders) -> float | None:
    """Return the seconds of the Retry-After header, bounded; None if absent or no time."""
    text = headers.get(REST_HEADER)
    rest = stated_rest(text)
    return None if text is None or rest.unreadable else min(rest.seconds, RETRY_AFTER_MAX_S)
