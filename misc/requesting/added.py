"""What entry and agent add to the first token, against calling the engine directly."""

import json
import time
from typing import Any, Final

from tornado.httpclient import HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from misc.load_result import Latency

CALLS: Final = 150
TOKENS: Final = 4
MS_PER_S: Final = 1000


class AddedTime(dict[str, float]):
    """The difference in milliseconds at the median and at the 99th percentile."""


async def measure_added(engine_url: str, entry_url: str, model: str, version: str) -> AddedTime:
    """Call both in turn, one call at a time, and compare the times to the first token."""
    client = SimpleAsyncHTTPClient(force_instance=True)
    direct, relayed = Latency(), Latency()
    for number in range(CALLS):
        prompt = f"drift {number}"
        order = direct_order(model, version, prompt, number)
        direct.record(await first_bytes_s(client, f"{engine_url}/completions", order))
        body = chat_body(model, prompt)
        relayed.record(await first_bytes_s(client, f"{entry_url}/v1/chat/completions", body))
    client.close()
    return AddedTime(
        added_ms_p50=MS_PER_S * (relayed.percentile_s(50) - direct.percentile_s(50)),
        added_ms_p99=MS_PER_S * (relayed.percentile_s(99) - direct.percentile_s(99)),
    )


async def first_bytes_s(client: SimpleAsyncHTTPClient, url: str, body: dict[str, Any]) -> float:
    """Return the seconds to the first bytes of a streamed answer."""
    first: list[float] = []

    def take(content: bytes) -> None:
        if not first:
            first.append(time.monotonic())

    began_s = time.monotonic()
    request = HTTPRequest(url, method="POST", body=json.dumps(body), streaming_callback=take)
    await client.fetch(request)
    return first[0] - began_s


def direct_order(model: str, version: str, prompt: str, number: int) -> dict[str, Any]:
    """Return an order to the engine itself."""
    return {
        "stream_id": f"direct{number}",
        "model": model,
        "version": version,
        "priority": 5,
        "body": {"prompt": prompt, "max_tokens": TOKENS},
    }


def chat_body(model: str, prompt: str) -> dict[str, Any]:
    """Return the same as a chat completion."""
    message = {"role": "user", "content": prompt}
    return {"model": model, "messages": [message], "stream": True, "max_tokens": TOKENS}
