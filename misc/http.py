"""HTTP helpers of the drivers, for stand-ins' control paths and the administration API."""

import json
from typing import Any, Final

from tornado.httpclient import AsyncHTTPClient

MAX_CONCURRENT_CALLS: Final = 512


def client() -> AsyncHTTPClient:
    """Return the event loop's client, with up to MAX_CONCURRENT_CALLS calls at once."""
    return AsyncHTTPClient(max_clients=MAX_CONCURRENT_CALLS)


async def get_json(url: str) -> dict[str, Any]:
    """Return the JSON object at the URL."""
    response = await client().fetch(url)
    found: dict[str, Any] = json.loads(response.body)
    return found


async def get_status(url: str) -> int:
    """Return the HTTP status of a GET, also for errors."""
    return (await client().fetch(url, raise_error=False)).code


async def post_json(url: str, body: dict[str, Any]) -> dict[str, Any]:
    """Post a JSON object; return the JSON object in the answer, empty for an empty body."""
    response = await client().fetch(url, method="POST", body=json.dumps(body))
    found: dict[str, Any] = json.loads(response.body or b"{}")
    return found


async def get_text(url: str) -> str:
    """Return the text at the URL."""
    response = await AsyncHTTPClient().fetch(url)
    return response.body.decode()
