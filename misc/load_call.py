"""Sends the requests of a load and checks their answers."""

import json
import time
from typing import Any, Final, NamedTuple

from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from gypsumpier.test.standin.answer import answer_text
from misc.load_arrivals import Arrival
from misc.load_result import LoadResult

CHAT_PATH: Final = "/v1/chat/completions"
STREAM_END: Final = "[DONE]"
MAX_CLIENTS: Final = 4000
SAFE_METHODS: Final = frozenset({"GET", "HEAD"})


class Target(NamedTuple):
    """Where the load goes.

    Without ``path``, requests are chat completions of the model ``service``.  With it, they are
    calls of the plain ``service`` by ``method``, each with a new idempotency key unless the method
    is safe.
    """

    urls: tuple[str, ...]
    service: str
    path: str = ""
    method: str = "POST"
    max_tokens: int | None = None
    timeout_s: float = 30.0


class Answer:
    """Collects one chat completion as it arrives, and records token times in the result."""

    def __init__(self, due_at_s: float, result: LoadResult) -> None:
        self.due_at_s = due_at_s
        self.result = result
        self.unparsed = b""
        self.texts: list[str] = []
        self.version = ""
        self.error = ""
        self.ended = False
        self.last_at_s: float | None = None

    def add_bytes(self, content: bytes) -> None:
        """Add the next bytes of a stream of server-sent events."""
        *events, self.unparsed = (self.unparsed + content).split(b"\n\n")
        for event in events:
            self.add_event(event.decode())

    def add_event(self, event: str) -> None:
        """Add one event."""
        data = event.rpartition("data: ")[2]
        if event.startswith("event: error"):
            self.error = json.loads(data)["error"]["name"]
        elif data == STREAM_END:
            self.ended = True
        elif data.startswith("{"):
            self.add_chunk(json.loads(data))

    def add_chunk(self, chunk: dict[str, Any]) -> None:
        """Add one chunk of a chat completion and record its time."""
        self.version = chunk.get("version", "")
        text = chunk["choices"][0]["delta"].get("content")
        if text is None:
            return
        now_s = time.monotonic()
        if self.last_at_s is None:
            self.result.first_token.record(now_s - self.due_at_s)
        else:
            self.result.between_tokens.record(now_s - self.last_at_s)
        self.last_at_s = now_s
        self.texts.append(text)
        self.result.tokens += 1

    def add_completion(self, body: bytes) -> None:
        """Add a chat completion that was not streamed."""
        completion = json.loads(body)
        self.version = completion.get("version", "")
        self.texts = [completion["choices"][0]["message"]["content"]]
        self.result.tokens += completion.get("usage", {}).get("completion_tokens", 0)
        self.ended = True


class Caller:
    """Sends the requests of a load."""

    def __init__(self, target: Target, seed: int, result: LoadResult) -> None:
        self.target = target
        self.seed = seed
        self.result = result
        self.client = SimpleAsyncHTTPClient(force_instance=True, max_clients=MAX_CLIENTS)

    async def call(self, arrival: Arrival, due_at_s: float) -> None:
        """Send one request and record its outcome."""
        self.result.start_delay.record(time.monotonic() - due_at_s)
        if self.target.path:
            outcome = await self.plain(arrival)
        else:
            outcome = await self.chat(arrival, due_at_s)
        self.result.count(outcome)
        if outcome == "done":
            self.result.whole.record(time.monotonic() - due_at_s)

    async def chat(self, arrival: Arrival, due_at_s: float) -> str:
        """Send a chat completion; return its outcome."""
        body = self.chat_body(arrival)
        answer = Answer(due_at_s, self.result)
        request = self.request(arrival, CHAT_PATH, "POST", json.dumps(body))
        request.headers["Content-Type"] = "application/json"
        if arrival.streamed:
            request.streaming_callback = answer.add_bytes
        response = await self.fetch(request)
        if isinstance(response, str):
            return answer.error or response
        if response.code != 200:
            return error_name(answer.unparsed or response.body)
        if not arrival.streamed:
            answer.add_completion(response.body)
        if answer.error or not answer.ended:
            return answer.error or "ended_early"
        is_correct = "".join(answer.texts) == answer_text(answer.version, body)
        return "done" if is_correct else "wrong"

    async def plain(self, arrival: Arrival) -> str:
        """Send a call to a plain service; return its outcome."""
        target = self.target
        path = f"/services/{target.service}{target.path}"
        is_safe = target.method in SAFE_METHODS
        request = self.request(arrival, path, target.method, None if is_safe else arrival.prompt)
        key = "" if is_safe else f"load-{self.seed}-{arrival.number}"
        if key:
            request.headers["Idempotency-Key"] = key
        response = await self.fetch(request)
        if isinstance(response, str):
            return response
        if response.code != 200:
            return error_name(response.body)
        return "done" if json.loads(response.body)["key"] == key else "wrong"

    def chat_body(self, arrival: Arrival) -> dict[str, Any]:
        """Return the request body of a chat completion."""
        body: dict[str, Any] = {
            "model": self.target.service,
            "messages": [{"role": "user", "content": arrival.prompt}],
            "stream": arrival.streamed,
        }
        if self.target.max_tokens is not None:
            body["max_tokens"] = self.target.max_tokens
        return body

    def request(self, arrival: Arrival, path: str, method: str, body: str | None) -> HTTPRequest:
        """Return the request; the entries are addressed in turn."""
        url = self.target.urls[arrival.number % len(self.target.urls)]
        return HTTPRequest(
            url + path,
            method=method,
            headers={"Workspace": arrival.workspace},
            body=body,
            connect_timeout=self.target.timeout_s,
            request_timeout=self.target.timeout_s,
        )

    async def fetch(self, request: HTTPRequest) -> HTTPResponse | str:
        """Return the response, or an outcome that names the transport error."""
        try:
            return await self.client.fetch(request, raise_error=False)
        except (HTTPClientError, OSError) as error:
            return f"transport_{type(error).__name__}"


def error_name(body: bytes) -> str:
    """Return the name of the error in a body, or ``error_without_code``."""
    try:
        return str(json.loads(body)["error"]["name"])
    except (ValueError, KeyError, TypeError):
        return "error_without_code"
