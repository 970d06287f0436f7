"""Callers of a deployment, which check every answer against what the stand-ins must answer.

A streamed chat completion is whole when all its events name one version, its text is exactly the
engine's answer of that version to that prompt, and the stream ends with its last event.
"""

import json
from typing import Any, Final, NamedTuple

from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from gypsumpier.test.standin.answer import answer_text
from misc import http

DATA: Final = b"data: "
LAST_EVENT: Final = b"[DONE]"
CALL_TIMEOUT_S: Final = 60.0

assert http.MAX_CALLS


class Verdict(NamedTuple):
    """What a caller found: ``problem`` is empty where the answer was whole and right."""

    kind: str
    status: int
    version: str
    code: int
    problem: str


async def chat(entry_url: str, model: str, prompt: str, workspace: str) -> Verdict:
    """Run one streamed chat completion and check its answer."""
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
    response = await AsyncHTTPClient().fetch(request, raise_error=False)
    if response.code != 200:
        return refused("chat", response.code, bytes(received))
    return checked_stream(bytes(received), body)


def checked_stream(content: bytes, body: dict[str, Any]) -> Verdict:
    """Return the verdict on the events of a stream that ended."""
    events = [line.removeprefix(DATA) for line in content.split(b"\n\n") if line.startswith(DATA)]
    if not events or events[-1] != LAST_EVENT:
        return Verdict("chat", 200, "", 0, "cut")
    chunks = [json.loads(event) for event in events[:-1]]
    versions = {chunk["version"] for chunk in chunks}
    if len(versions) != 1:
        return Verdict("chat", 200, "", 0, f"versions {sorted(versions)}")
    version = versions.pop()
    text = "".join(chunk["choices"][0]["delta"].get("content", "") for chunk in chunks)
    problem = "" if text == answer_text(version, body) else "wrong text"
    return Verdict("chat", 200, version, 0, problem)


async def call(entry_url: str, service: str, path: str, method: str, key: str) -> Verdict:
    """Run one call of a plain service and check that the answer is its own."""
    headers = {"Idempotency-Key": key} if key else {}
    body = json.dumps({"call": key or path}) if method == "POST" else None
    request = HTTPRequest(
        f"{entry_url}/services/{service}{path}",
        method=method,
        headers=headers,
        body=body,
        request_timeout=CALL_TIMEOUT_S,
    )
    response = await AsyncHTTPClient().fetch(request, raise_error=False)
    if response.code != 200:
        return refused("call", response.code, response.body or b"")
    found = json.loads(response.body)
    own = found["path"] == path and found["method"] == method and found["key"] == key
    return Verdict("call", 200, "", 0, "" if own else "foreign answer")


def refused(kind: str, status: int, content: bytes) -> Verdict:
    """Return the verdict on an answer that is no success."""
    if status == 599:
        return Verdict(kind, status, "", 0, "cut")
    try:
        code = int(json.loads(content)["error"]["code"])
    except (ValueError, KeyError, TypeError):
        return Verdict(kind, status, "", 0, f"status {status} without a code")
    return Verdict(kind, status, "", code, "refused")
