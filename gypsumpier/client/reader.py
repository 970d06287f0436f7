"""Calls the administration API of several processes at once with tornado's HTTP client."""

import asyncio
import json
from collections.abc import Mapping, Sequence
from typing import Any
from urllib.parse import urlencode

from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest, HTTPResponse

from gypsumpier.client.answer import Answer
from gypsumpier.codes.setting import (
    ADMINISTRATION_BAD_ANSWER,
    ADMINISTRATION_UNREACHABLE,
)
from gypsumpier.errors import GypsumpierError

Query = Mapping[str, str] | Sequence[tuple[str, str]]
"""The arguments of a call; a sequence may hold a name more than once."""


class Reader:
    """Reads from every process whose administration URL was given."""

    def __init__(self, urls: Sequence[str], timeout_s: float) -> None:
        self.urls = [url.rstrip("/") for url in urls]
        self.timeout_s = timeout_s

    async def read(self, path: str, query: Query | None = None) -> list[Answer]:
        """Return the answer of each process to a GET, in the order of the URLs."""
        target = f"{path}?{urlencode(query)}" if query else path
        client = AsyncHTTPClient(force_instance=True, max_clients=len(self.urls))
        calls = [self.call(client, url, target, None) for url in self.urls]
        answers = await asyncio.gather(*calls)
        client.close()
        return list(answers)

    async def send(self, path: str, body: bytes) -> Answer:
        """Return the answer of the first process to a POST."""
        return await self.call(AsyncHTTPClient(), self.urls[0], path, body)

    async def call(
        self, client: AsyncHTTPClient, url: str, target: str, body: bytes | None
    ) -> Answer:
        """Return the answer of one process; a failed call gives an answer with an error."""
        request = HTTPRequest(
            url + target,
            method="GET" if body is None else "POST",
            body=body,
            connect_timeout=self.timeout_s,
            request_timeout=self.timeout_s,
            follow_redirects=False,
        )
        try:
            response = await client.fetch(request, raise_error=False)
            return Answer(url, parsed(response))
        except GypsumpierError as error:
            return Answer(url, {}, error)
        except (OSError, ValueError, HTTPClientError) as error:
            return Answer(url, {}, GypsumpierError(ADMINISTRATION_UNREACHABLE, str(error)))


def parsed(response: HTTPResponse) -> dict[str, Any]:
    """Return the JSON object of a response.

    Raises GypsumpierError where the body is no JSON object or the status is not 200.
    """
    try:
        content = json.loads(response.body)
    except ValueError as error:
        raise GypsumpierError(ADMINISTRATION_BAD_ANSWER, "the answer is not JSON") from error
    if not isinstance(content, dict):
        raise GypsumpierError(ADMINISTRATION_BAD_ANSWER, "the answer is not a JSON object")
    if response.code != 200:
        detail = f"{response.code} {content.get('name', '')} {content.get('detail', '')}"
        raise GypsumpierError(ADMINISTRATION_BAD_ANSWER, detail.strip())
    return content
