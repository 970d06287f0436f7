"""The HTTP client that the adapters of the platform's services share.

It wraps tornado's simple client, which opens a connection for each call, so that a connection that
has stopped responding never affects a later call.  The size of bodies is limited.  Failures raise
GypsumpierError: ``NotSentError`` if the call certainly never left this process.
"""

import json
from typing import Any, Final

from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse
from tornado.httputil import HTTPInputError
from tornado.iostream import UnsatisfiableReadError
from tornado.simple_httpclient import HTTPTimeoutError

from gypsumpier.codes.platform import (
    ORDER_FENCED,
    PLATFORM_BAD_ANSWER,
    PLATFORM_REFUSED,
    PLATFORM_UNREACHABLE,
)
from gypsumpier.errors import GypsumpierError, NotSentError, RateLimitedError
from gypsumpier.external.httpconnection import BoundedHttpClient
from gypsumpier.external.patience import PatientRequest
from gypsumpier.external.retryafter import retry_after_s
from gypsumpier.external.statedoutcome import states_not_run
from gypsumpier.numericresolver import NumericResolver
from gypsumpier.upstream.http import MalformedHeadError

MAX_CLIENTS: Final = 2000
MAX_BODY_BYTES: Final = 64 * 1024 * 1024
CONNECT_TIMEOUT_S: Final = 2.0
CALL_TIMEOUT_S: Final = 10.0
REFUSED_STATUSES: Final = frozenset({404, 409, 429, 503})
FENCED_STATUS: Final = 412
RATE_STATUS: Final = 429
UNANSWERED_STATUS: Final = 599
"""Status by which the simple client reports a connection that failed or closed early."""
UNSENT_TIMEOUT_PHASES: Final = ("while connecting", "in request queue")


class HttpCaller:
    """Calls one platform service below ``base_url``."""

    def __init__(self, base_url: str, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        self.base_url = base_url.rstrip("/")
        self.client = BoundedHttpClient(
            force_instance=True,
            max_clients=MAX_CLIENTS,
            max_body_size=max_body_bytes,
            max_buffer_size=max_body_bytes,
            resolver=NumericResolver(),
        )

    def request(
        self, method: str, path: str, timeout_s: float = CALL_TIMEOUT_S, **fields: Any
    ) -> PatientRequest:
        """Return a request for tornado's client."""
        return PatientRequest(
            self.base_url + path,
            method=method,
            connect_timeout=min(CONNECT_TIMEOUT_S, timeout_s),
            request_timeout=timeout_s,
            follow_redirects=False,
            allow_nonstandard_methods=True,
            decompress_response=False,
            **fields,
        )

    async def fetch(self, request: HTTPRequest) -> HTTPResponse:
        """Return the answer, whatever its status; raise GypsumpierError if there is none."""
        try:
            return await self.client.fetch(request, raise_error=False)
        except ConnectionRefusedError as error:
            raise NotSentError(
                PLATFORM_UNREACHABLE, f"connection refused by {self.base_url}"
            ) from error
        except HTTPTimeoutError as error:
            raise timeout_error(error, self.base_url) from error
        except MalformedHeadError as error:
            raise GypsumpierError(PLATFORM_BAD_ANSWER, f"{self.base_url}: {error}") from error
        except (HTTPClientError, HTTPInputError, UnsatisfiableReadError, OSError) as error:
            raise GypsumpierError(PLATFORM_UNREACHABLE, f"{self.base_url}: {error}") from error

    async def call(
        self, method: str, path: str, timeout_s: float = CALL_TIMEOUT_S, **fields: Any
    ) -> bytes:
        """Return the body of a successful answer; raise GypsumpierError otherwise."""
        response = await self.fetch(self.request(method, path, timeout_s, **fields))
        raise_for_status(response)
        return response.body

    async def call_json(
        self, method: str, path: str, timeout_s: float = CALL_TIMEOUT_S, **fields: Any
    ) -> dict[str, Any]:
        """Return the JSON object of a successful answer; raise GypsumpierError otherwise."""
        return json_object(await self.call(method, path, timeout_s, **fields))

    def close(self) -> None:
        """Close the client."""
        self.client.close()


def timeout_error(error: HTTPTimeoutError, url: str) -> GypsumpierError:
    """Return the error for a timeout: NotSentError if the call was not sent."""
    if any(phase in str(error) for phase in UNSENT_TIMEOUT_PHASES):
        return NotSentError(PLATFORM_UNREACHABLE, f"{url}: {error}")
    return GypsumpierError(PLATFORM_UNREACHABLE, f"{url}: {error}")


def was_answered(response: HTTPResponse) -> bool:
    """Return whether there was an answer; the simple client reports a failed connection as one."""
    return response.code != UNANSWERED_STATUS


def raise_for_status(response: HTTPResponse) -> None:
    """Raise GypsumpierError unless the status is 2xx."""
    if 200 <= response.code < 300:
        return
    if not was_answered(response):
        raise GypsumpierError(PLATFORM_UNREACHABLE, "no answer")
    detail = f"status {response.code}"
    if response.code == FENCED_STATUS:
        raise GypsumpierError(ORDER_FENCED, detail)
    if response.code == RATE_STATUS:
        raise RateLimitedError(PLATFORM_REFUSED, detail, retry_after_s(response.headers))
    if response.code in REFUSED_STATUSES or states_not_run(response.headers):
        raise GypsumpierError(PLATFORM_REFUSED, detail, retry_after_s(response.headers))
    raise GypsumpierError(PLATFORM_BAD_ANSWER, detail)


def json_object(body: bytes) -> dict[str, Any]:
    """Return the body as a JSON object; raise GypsumpierError if it is not one."""
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise GypsumpierError(PLATFORM_BAD_ANSWER, "the answer is not JSON") from error
    if not isinstance(value, dict):
        raise GypsumpierError(PLATFORM_BAD_ANSWER, "the answer is not a JSON object")
    return value
