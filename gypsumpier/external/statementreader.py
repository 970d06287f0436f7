"""What upstreams of the own interface state in the headers of their answers."""

from collections.abc import Callable
from typing import Final

from tornado.httputil import HTTPHeaders, HTTPInputError, parse_response_start_line

from gypsumpier.statement.statement import Statement, is_leaving, statement_of

LIMIT_HEADER: Final = "Server-Limit"
REST_HEADER: Final = "Retry-After"
LEAVING_HEADER: Final = "Server-Leaving"
UNREADABLE_STATUS: Final = 0

StatementListener = Callable[[Statement, float], None]
"""Gets what an answer states, and the monotonic time at which its request was sent."""
LeavingListener = Callable[[bool, float], None]
"""Gets whether the answer to a status check says that the upstream leaves, and when it was sent."""


def ignore_statement(statement: Statement, sent_at_s: float) -> None:
    """Do nothing: there is no listener yet."""


def ignore_leaving(is_leaving: bool, sent_at_s: float) -> None:
    """Do nothing: there is no listener yet."""


def states_leaving(headers: HTTPHeaders) -> bool:
    """Return whether the headers of an answer say that its upstream leaves."""
    return is_leaving(headers.get(LEAVING_HEADER))


class StatementReader:
    """Reads the statement from the header lines of one answer, as tornado's client passes them on.

    Each answer of a connection begins with a status line; the last one is that of the request.
    """

    def __init__(self, listener: StatementListener, sent_at_s: float) -> None:
        self.listener = listener
        self.sent_at_s = sent_at_s
        self.status = UNREADABLE_STATUS
        self.headers = HTTPHeaders()

    def header(self, line: str) -> None:
        """Handle the status line, a header line, or the empty line at the end of the head."""
        if line.startswith("HTTP/"):
            self.status, self.headers = status_of(line), HTTPHeaders()
        elif line.strip():
            name, _, value = line.partition(":")
            self.headers.add(name.strip(), value.strip())
        else:
            self.listener(
                statement_of(
                    self.status,
                    self.headers.get(LIMIT_HEADER),
                    self.headers.get(REST_HEADER),
                    self.headers.get(LEAVING_HEADER),
                ),
                self.sent_at_s,
            )


def status_of(line: str) -> int:
    """Return the status in a status line; UNREADABLE_STATUS if tornado will refuse it."""
    try:
        return parse_response_start_line(line.strip()).code
    except (HTTPInputError, ValueError):
        return UNREADABLE_STATUS
