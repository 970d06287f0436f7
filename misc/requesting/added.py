"""The latency that entry and agent add to the first token, against a direct call of the engine."""

import json
import time
from typing import Any, Final

from tornado.httpclient import HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from misc.load_result import Latency

CALLS: Final = 150
TOKENS: Final = 4
MS_PER_S: Final = 1000


class AddedLatency(dict[str, float]):
    """The added latency in milliseconds: differences of the medians and of the 99th percentiles."""


async def measure_added_latency(
    engine_url: str, entry_url: str, model: str, version: str
) -> AddedLatency:
    """Call engine and entry in turn, one call at a time, and compare times to first token."""
    client = SimpleAsyncHTTPClient(force_instance=True)
    direct, relayed = Latency(), Latency()
    for number in range(CALLS):
        prompt = f"drift {number}"
        order = engine_request_body(model, version, prompt, number)
        direct.record(await time_to_first_byte_s(client, f"{engine_url}/completions", order))
        body = chat_body(model, prompt)
        relayed.record(await time_to_first_byte_s(client, f"{entry_url}/v1/chat/completions", body))
    client.close()
    return AddedLatency(
        added_ms_p50=MS_PER_S * (relayed.percentile_s(50) - direct.percentile_s(50)),
        added_ms_p99=MS_PER_S * (relayed.percentile_s(99) - direct.percentile_s(99)),
    )


async def time_to_first_byte_s(
    client: SimpleAsyncHTTPClient, url: str, body: dict[str, Any]
) -> float:
    """Return the seconds to the first bytes of a streamed answer."""
    first_at_s: list[float] = []

    def record_first(content: bytes) -> None:
        if not first_at_s:
            first_at_s.append(time.monotonic())

    began_s = time.monotonic()
    request = HTTPRequest(
        url, method="POST", body=json.dumps(body), streaming_callback=record_first
    )
    await client.fetch(request)
    return first_at_s[0] - began_s


def engine_request_body(model: str, version: str, prompt: str, number: int) -> dict[str, Any]:
    """Return the body of a request sent to the engine directly."""
    return {
        "stream_id": f"direct{number}",
        "model": model,
        "version": version,
        "priority": 5,
        "body": {"prompt": prompt, "max_tokens": TOKENS},
    }


def chat_body(model: str, prompt: str) -> dict[str, Any]:
    """Return the body of the same request as a chat completion for the entry."""
    message = {"role": "user", "content": prompt}
    return {"model": model, "messages": [message], "stream": True, "max_tokens": TOKENS}
