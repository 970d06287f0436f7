"""Sends requests to a deployment and checks every answer against what the stand-ins must return.

A streamed chat completion is complete and right if all its events name one version, its text is
exactly the engine's answer of that version to the prompt, and the stream ends with ``[DONE]``.
"""

import json
from typing import Any, Final, NamedTuple

from tornado.httpclient import HTTPClientError, HTTPRequest

from gypsumpier.test.standin.answer import answer_text
from misc.http import client

DATA: Final = b"data: "
LAST_EVENT: Final = b"[DONE]"
ERROR_EVENT: Final = b"event: error\ndata: "
CALL_TIMEOUT_S: Final = 60.0
NO_ANSWER: Final = 599
"""Takes the place of the status where the connection failed or ended early."""
CUT: Final = "cut"
REFUSED: Final = "refused"


class Verdict(NamedTuple):
    """The checked result of one request.

    ``problem`` is empty if the answer was complete and right, REFUSED if it was an error with a
    numbered code, CUT if the connection ended without either, and otherwise says what was wrong.
    """

    kind: str
    status: int
    version: str
    code: int
    problem: str


async def chat(entry_url: str, model: str, prompt: str, workspace: str) -> Verdict:
    """Send one streamed chat completion and check its answer."""
    body = {"model": model, "stream": True, "messages": [{"role": "user", "content": prompt}]}
    received = bytearray()
    request = HTTPRequest(
        f"{entry_url}/v1/chat/completions",
        method="POST",
        headers={"Content-Type": "application/json", "Workspace": workspace},
        body=json.dumps(body),
        request_timeout=CALL_TIMEOUT_S,
        streaming_callback=received.extend,
    )
    status, _ = await fetch(request)
    content = bytes(received)
    if ERROR_EVENT in content:
        return refused("chat", status, content.partition(ERROR_EVENT)[2])
    if status != 200:
        return refused("chat", status, content)
    return checked_stream(content, body)


def checked_stream(content: bytes, body: dict[str, Any]) -> Verdict:
    """Return the verdict on the events of a stream that has ended."""
    events = [line.removeprefix(DATA) for line in content.split(b"\n\n") if line.startswith(DATA)]
    if not events or events[-1] != LAST_EVENT:
        return Verdict("chat", 200, "", 0, CUT)
    chunks = [json.loads(event) for event in events[:-1]]
    versions = {chunk["version"] for chunk in chunks}
    if len(versions) != 1:
        return Verdict("chat", 200, "", 0, f"versions {sorted(versions)}")
    version = versions.pop()
    text = "".join(chunk["choices"][0]["delta"].get("content", "") for chunk in chunks)
    problem = "" if text == answer_text(version, body) else "wrong text"
    return Verdict("chat", 200, version, 0, problem)


async def call(entry_url: str, service: str, path: str, method: str, key: str) -> Verdict:
    """Send one call to a plain service and check that the answer belongs to it."""
    headers = {"Idempotency-Key": key} if key else {}
    body = json.dumps({"call": key or path}) if method == "POST" else None
    request = HTTPRequest(
        f"{entry_url}/services/{service}{path}",
        method=method,
        headers=headers,
        body=body,
        request_timeout=CALL_TIMEOUT_S,
    )
    status, content = await fetch(request)
    if status != 200:
        return refused("call", status, content)
    found = json.loads(content)
    is_matching = found["path"] == path and found["method"] == method and found["key"] == key
    return Verdict("call", 200, "", 0, "" if is_matching else "foreign answer")


async def fetch(request: HTTPRequest) -> tuple[int, bytes]:
    """Return the status and the body; the status is NO_ANSWER where none came."""
    try:
        response = await client().fetch(request, raise_error=False)
    except (HTTPClientError, OSError):
        return NO_ANSWER, b""
    return response.code, response.body or b""


def refused(kind: str, status: int, content: bytes) -> Verdict:
    """Return the verdict on an error response or a missing answer."""
    try:
        code = int(json.loads(content)["error"]["code"])
    except (ValueError, KeyError, TypeError):
        problem = CUT if status == NO_ANSWER else f"status {status} without a code"
        return Verdict(kind, status, "", 0, problem)
    return Verdict(kind, status, "", code, REFUSED)
