"""A plain service over HTTP; it is healthy while ``GET /healthz`` answers 2xx.

The two error codes matter for calls that must not be repeated: only a refused connection, or a
timeout before the connection was established, proves that the call was not sent.  Any other
failure, including a reset, may occur after the service has run the call.
"""

import time
from typing import Final

from gypsumpier.codes.platform import PLATFORM_BAD_ANSWER
from gypsumpier.errors import GypsumpierError, NotSentError
from gypsumpier.external.http import HttpCaller, was_answered
from gypsumpier.external.service import ServiceAnswer, ServiceCall
from gypsumpier.external.statementreader import (
    LeavingListener,
    StatementListener,
    StatementReader,
    ignore_leaving,
    ignore_statement,
    states_leaving,
)

HEALTH_TIMEOUT_S: Final = 2.0
CONNECTION_HEADERS: Final = frozenset(
    {"connection", "content-length", "host", "keep-alive", "te", "transfer-encoding", "upgrade"}
)


class HttpService:
    """The Service protocol over HTTP; ``on_statement`` gets what each answer states.

    ``on_status`` gets what answers to health checks say of the service's leaving.
    """

    def __init__(self, url: str) -> None:
        self.caller = HttpCaller(url)
        self.on_statement: StatementListener = ignore_statement
        self.on_status: LeavingListener = ignore_leaving

    async def call(self, call: ServiceCall, timeout_s: float) -> ServiceAnswer:
        request = self.caller.request(
            call.method,
            call.path,
            timeout_s,
            headers=forwardable_headers(call.headers),
            body=call.body or None,
            header_callback=StatementReader(self.on_statement, time.monotonic()).header,
        )
        try:
            response = await self.caller.fetch(request)
        except NotSentError:
            raise
        except GypsumpierError as error:
            raise GypsumpierError(PLATFORM_BAD_ANSWER, error.detail) from error
        return ServiceAnswer(
            response.code, forwardable_headers(dict(response.headers)), response.body
        )

    async def healthy(self) -> bool:
        sent_at_s = time.monotonic()
        request = self.caller.request("GET", "/healthz", HEALTH_TIMEOUT_S)
        try:
            response = await self.caller.fetch(request)
        except GypsumpierError:
            return False
        if was_answered(response):
            self.on_status(states_leaving(response.headers), sent_at_s)
        return 200 <= response.code < 300

    def close(self) -> None:
        """Close the client."""
        self.caller.close()


def forwardable_headers(headers: dict[str, str]) -> dict[str, str]:
    """Return the headers except those that apply to a single connection."""
    return {
        name: value for name, value in headers.items() if name.lower() not in CONNECTION_HEADERS
    }
