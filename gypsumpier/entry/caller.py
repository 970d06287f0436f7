"""HTTP handlers for callers: chat completions, plain services and outcomes of keys."""

import json
from typing import Any, Final

from tornado.web import HTTPError

from gypsumpier.codes.request import HOME_UNREACHABLE, UNKNOWN_PATH
from gypsumpier.document.service import ServiceDocument
from gypsumpier.entry.callerhandler import CallerHandler, check_count
from gypsumpier.entry.inquiry import ask_outcome
from gypsumpier.entry.intake import (
    DEFAULT_WORKSPACE,
    KEY_HEADER,
    WORKSPACE_HEADER,
    chat_request,
    plain_request,
)
from gypsumpier.entry.refusal import refusal_of_copy
from gypsumpier.entry.request import CallerRequest
from gypsumpier.errors import GypsumpierError
from gypsumpier.idempotency.key import KeyId
from gypsumpier.wire.frame import Frame

OUTCOME_TIMEOUT_S: Final = 5.0
STREAM_END: Final = b"data: [DONE]\n\n"


class ChatHandler(CallerHandler):
    """Chat completions, streamed as server-sent events or sent in one piece."""

    async def post(self) -> None:
        try:
            request, document = chat_request(
                self.http(), self.entry.documents, self.entry.clock.monotonic()
            )
        except GypsumpierError as error:
            await self.fail(refusal_of_copy(error, KEY_HEADER in self.request.headers))
            return
        await self.serve(request, document)

    async def answer(self, request: CallerRequest, document: ServiceDocument) -> None:
        if request.streamed:
            await self.answer_streamed(request, document)
        else:
            await self.answer_whole(request, document)

    async def answer_streamed(self, request: CallerRequest, document: ServiceDocument) -> None:
        """Write an event for each token; the final frame's count verifies that none is missing."""
        count = 0
        async for frame in self.frames(request, document):
            if frame.kind == "token":
                self.set_header("Content-Type", "text/event-stream")
                self.write(event_of(self.chunk(document, frame, None)))
                count += 1
                await self.flush()
            elif frame.kind == "end":
                check_count(frame, count)
                self.write(event_of(self.chunk(document, frame, frame.payload["finish_reason"])))
                self.write(STREAM_END)

    async def answer_whole(self, request: CallerRequest, document: ServiceDocument) -> None:
        """Collect the tokens and send them as one answer."""
        texts: list[str] = []
        async for frame in self.frames(request, document):
            if frame.kind == "token":
                texts.append(frame.payload["text"])
            elif frame.kind == "end":
                check_count(frame, len(texts))
                self.write(self.completion(document, frame, "".join(texts)))

    def chunk(
        self, document: ServiceDocument, frame: Frame, finish_reason: str | None
    ) -> dict[str, Any]:
        """Return the JSON of one event."""
        delta = {"content": frame.payload["text"]} if frame.kind == "token" else {}
        return {
            "id": self.request_id,
            "object": "chat.completion.chunk",
            "model": document.model,
            "version": frame.payload["version"],
            "choices": [{"index": 0, "delta": delta, "finish_reason": finish_reason}],
        }

    def completion(self, document: ServiceDocument, frame: Frame, text: str) -> dict[str, Any]:
        """Return the JSON of a completion that is sent in one piece."""
        message = {"role": "assistant", "content": text}
        reason = frame.payload["finish_reason"]
        return {
            "id": self.request_id,
            "object": "chat.completion",
            "model": document.model,
            "version": frame.payload["version"],
            "choices": [{"index": 0, "message": message, "finish_reason": reason}],
            "usage": {"completion_tokens": frame.payload["count"]},
        }


class ServiceHandler(CallerHandler):
    """Calls of plain services."""

    async def handle(self, service: str, path: str) -> None:
        """Check and serve a call of any method."""
        try:
            request, document = plain_request(
                self.http(), service, path, self.entry.documents, self.entry.clock.monotonic()
            )
        except GypsumpierError as error:
            await self.fail(refusal_of_copy(error, KEY_HEADER in self.request.headers))
            return
        await self.serve(request, document)

    get = post = put = delete = patch = handle

    async def answer(self, request: CallerRequest, document: ServiceDocument) -> None:
        await self.write_plain(self.frames(request, document))


class OutcomeHandler(CallerHandler):
    """The outcome of a key: its stored answer, or the code of its known state."""

    async def get(self, service: str) -> None:
        headers = self.request.headers
        workspace = headers.get(WORKSPACE_HEADER, DEFAULT_WORKSPACE)
        key_id = KeyId(workspace, headers.get(KEY_HEADER, ""))
        if self._finished:
            return
        self.is_served = True
        try:
            async with self.time_limit(OUTCOME_TIMEOUT_S):
                await self.write_plain(ask_outcome(self.entry.keys, service, key_id))
        except GypsumpierError as error:
            await self.fail(refusal_of_copy(error, True))
        except TimeoutError:
            await self.fail(
                GypsumpierError(HOME_UNREACHABLE, "the key's home did not answer in time")
            )
        finally:
            self.limit = None
            self.is_served = False
            if self.has_caller_left:
                self.entry.server.active.discard(self)


class UnknownPathHandler(CallerHandler):
    """Refuses every path that an entry does not serve."""

    def prepare(self) -> None:
        super().prepare()
        raise HTTPError(UNKNOWN_PATH.http_status)


def event_of(chunk: dict[str, Any]) -> bytes:
    """Return the chunk as one server-sent event."""
    return b"data: " + json.dumps(chunk).encode() + b"\n\n"
