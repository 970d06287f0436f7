"""Sends copies of requests through entries and records the outcome reported to the caller."""

import asyncio
import hashlib
import json
import time
from dataclasses import dataclass, field
from typing import Any, Final

from tornado.httpclient import HTTPError, HTTPRequest, HTTPResponse
from tornado.iostream import StreamClosedError
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from gypsumpier.test.standin.answer import answer_text

DONE: Final = "done"
NOT_RUN: Final = "not_run"
UNKNOWN: Final = "unknown"
CUT: Final = "cut"
REFUSED_CONNECTION: Final = "refused_connection"
MAX_CLIENTS: Final = 2000


@dataclass
class Copy:
    """One sent copy of a request and its outcome.

    ``told`` is the outcome reported to the caller, ``code`` the name of the error and ``wrong``
    what is wrong with the answer; all three may be empty.  Times are monotonic seconds.
    """

    kind: str
    entry: str
    key: str
    body: bytes
    sent_at_s: float = field(default_factory=time.monotonic)
    ended_at_s: float = 0.0
    told: str = ""
    code: str = ""
    wrong: str = ""

    @property
    def body_digest(self) -> str:
        """The SHA-256 digest by which the plain services count bodies."""
        return hashlib.sha256(self.body).hexdigest()


class Sender:
    """Sends copies and checks answers."""

    def __init__(self) -> None:
        self.client = SimpleAsyncHTTPClient(force_instance=True, max_clients=MAX_CLIENTS)
        self.copies: list[Copy] = []

    async def plain(
        self, copy: Copy, url: str, service: str, path: str, workspace: str, timeout_s: float
    ) -> Copy:
        """Send a call to a plain service; record its outcome in the copy and return it."""
        headers = {"Workspace": workspace} | ({"Idempotency-Key": copy.key} if copy.key else {})
        request = HTTPRequest(
            f"{url}/services/{service}{path}",
            method="POST",
            headers=headers,
            body=copy.body,
            request_timeout=timeout_s,
        )
        response = await self.fetch(copy, request)
        if response is not None:
            self.record_response(copy, response, check_plain)
        return copy

    async def chat(self, copy: Copy, url: str, body: dict[str, Any], timeout_s: float) -> Copy:
        """Send a chat completion; record its outcome in the copy and return it."""
        received = bytearray()
        request = HTTPRequest(
            f"{url}/v1/chat/completions",
            method="POST",
            headers={"Content-Type": "application/json"},
            body=copy.body,
            request_timeout=timeout_s,
            streaming_callback=received.extend,
        )
        response = await self.fetch(copy, request)
        if response is not None:
            check = check_stream if body["stream"] else check_whole
            self.record_response(
                copy, response, lambda copy, status, _: check(body, bytes(received))
            )
            if response.code != 200:
                self.record_error(copy, bytes(received))
        elif b"event: error" in received:
            copy.told = UNKNOWN
            copy.code = parse_error(bytes(received).rpartition(b"data: ")[2])["name"]
        return copy

    async def fetch(self, copy: Copy, request: HTTPRequest) -> HTTPResponse | None:
        """Return the response, or None where the connection failed or ended without one."""
        self.copies.append(copy)
        try:
            return await self.client.fetch(request, raise_error=False)
        except ConnectionRefusedError:
            copy.told = REFUSED_CONNECTION
        except (HTTPError, StreamClosedError, OSError) as error:
            copy.told = CUT
            copy.code = "caller_timeout" if "imeout" in str(error) else "no_answer"
        finally:
            copy.ended_at_s = time.monotonic()
        return None

    def record_response(self, copy: Copy, response: HTTPResponse, check: Any) -> None:
        """Record the outcome of a response; ``check`` returns what is wrong with a success."""
        if response.code != 200:
            self.record_error(copy, response.body or b"")
            return
        copy.told = DONE
        copy.wrong = check(copy, response.code, response.body)

    def record_error(self, copy: Copy, content: bytes) -> None:
        """Record the outcome and the name of an error response."""
        error = parse_error(content)
        copy.told, copy.code = error["outcome"], error["name"]


def parse_error(content: bytes) -> dict[str, Any]:
    """Return the error in a body; one that can't be parsed is named ``without_code``."""
    try:
        found: dict[str, Any] = json.loads(content)["error"]
    except (ValueError, KeyError, TypeError):
        return {"outcome": UNKNOWN, "name": "without_code"}
    return found


def check_plain(copy: Copy, status: int, content: bytes) -> str:
    """Return what is wrong with the answer of a plain service, or an empty string."""
    found = json.loads(content)
    is_matching = found["key"] == copy.key and found["body_sha256"] == copy.body_digest
    return "" if is_matching else "foreign answer"


def check_whole(body: dict[str, Any], content: bytes) -> str:
    """Return what is wrong with a chat answer that is not streamed, or an empty string."""
    found = json.loads(content)
    text = found["choices"][0]["message"]["content"]
    return "" if text == answer_text(found["version"], body) else "wrong text"


def check_stream(body: dict[str, Any], content: bytes) -> str:
    """Return what is wrong with a stream that ended cleanly, or an empty string."""
    events = [event.removeprefix(b"data: ") for event in content.split(b"\n\n") if event]
    if not events or events[-1] != b"[DONE]":
        return "partial stream ended cleanly"
    chunks = [json.loads(event) for event in events[:-1]]
    versions = {chunk["version"] for chunk in chunks}
    if len(versions) != 1:
        return "mixed versions"
    text = "".join(chunk["choices"][0]["delta"].get("content", "") for chunk in chunks)
    return "" if text == answer_text(versions.pop(), body) else "wrong text"


async def pause(seconds: float) -> None:
    """Wait for so many seconds."""
    await asyncio.sleep(seconds)
