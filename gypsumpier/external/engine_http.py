"""The model engine over HTTP.

Orders are single calls.  Generations are streams of JSON lines, ``{"position", "text",
"finish_reason", "version"}`` each.  A caller may stop iterating at any time; the engine continues
until ``cancel`` is called, and events that still arrive are dropped.
"""

import asyncio
import json
import time
from collections.abc import AsyncIterator, Callable
from typing import Any, Final
from urllib.parse import quote, urlencode

from tornado.httpclient import HTTPResponse

from gypsumpier.codes.platform import PLATFORM_BAD_ANSWER
from gypsumpier.errors import GypsumpierError
from gypsumpier.external.engine import (
    CacheEvent,
    Completion,
    EngineEvent,
    EngineStatus,
    LiveModel,
    LoadOrder,
)
from gypsumpier.external.http import HttpCaller, json_object, raise_for_status, was_answered
from gypsumpier.external.lines import LineQueue
from gypsumpier.external.statedoutcome import check_run, is_unstated_refusal
from gypsumpier.external.statementreader import (
    LeavingListener,
    StatementListener,
    StatementReader,
    ignore_leaving,
    ignore_statement,
    states_leaving,
)

STATUS_TIMEOUT_S: Final = 2.0
STREAM_TIMEOUT_S: Final = 600.0


class HttpEngine:
    """The Engine protocol over HTTP.

    ``on_statement`` gets what each stream states about the engine, ``on_status`` what answers to
    status calls say of its leaving.
    """

    def __init__(self, url: str) -> None:
        self.caller = HttpCaller(url)
        self.on_statement: StatementListener = ignore_statement
        self.on_status: LeavingListener = ignore_leaving

    async def status(self) -> EngineStatus:
        sent_at_s = time.monotonic()
        response = await self.caller.fetch(self.caller.request("GET", "/status", STATUS_TIMEOUT_S))
        if was_answered(response):
            self.on_status(states_leaving(response.headers), sent_at_s)
        raise_for_status(response)
        answer = json_object(response.body)
        try:
            return decode_status(answer)
        except (KeyError, TypeError, ValueError) as error:
            raise GypsumpierError(PLATFORM_BAD_ANSWER, f"bad status: {error!r}") from error

    async def stage(self, digest: str, path: str, offset: int, content: bytes) -> None:
        query = urlencode({"digest": digest, "path": path, "offset": offset})
        await self.caller.call("PUT", f"/stage?{query}", body=content)

    async def load(self, order: LoadOrder) -> None:
        await self.order("/load", order)

    async def unload(self, order: LoadOrder) -> None:
        await self.order("/unload", order)

    async def complete(self, completion: Completion) -> AsyncIterator[EngineEvent]:
        body = json.dumps(completion._asdict())
        async for event in self.events("POST", "/completions", raise_incomplete_run, body=body):
            yield event

    async def resume(self, stream_id: str, next_position: int) -> AsyncIterator[EngineEvent]:
        path = f"/streams/{quote(stream_id, safe='')}?next_position={next_position}"
        async for event in self.events("GET", path, raise_incomplete_stream):
            yield event

    async def cancel(self, stream_id: str) -> None:
        await self.caller.call("DELETE", f"/streams/{quote(stream_id, safe='')}")

    async def cache_events(self, after: int) -> list[CacheEvent]:
        answer = await self.caller.call_json("GET", f"/cache-events?after={after}")
        try:
            return [
                CacheEvent(int(entry["sequence"]), str(entry["prefix"]), bool(entry["cached"]))
                for entry in answer["events"]
            ]
        except (KeyError, TypeError, ValueError) as error:
            raise GypsumpierError(PLATFORM_BAD_ANSWER, f"bad cache events: {error!r}") from error

    def close(self) -> None:
        """Close the client."""
        self.caller.close()

    async def order(self, path: str, order: LoadOrder) -> None:
        """Give an order to load or unload; raise GypsumpierError unless it is accepted."""
        request = self.caller.request("POST", path, body=json.dumps(order._asdict()))
        raise_for_order(await self.caller.fetch(request))

    async def events(
        self,
        method: str,
        path: str,
        raise_incomplete: Callable[[HTTPResponse], None],
        **fields: Any,
    ) -> AsyncIterator[EngineEvent]:
        """Yield the events of one streamed answer; raise GypsumpierError if it is cut off."""
        lines = LineQueue()
        statement = StatementReader(self.on_statement, time.monotonic())

        def header(line: str) -> None:
            statement.header(line)
            lines.header(line)

        request = self.caller.request(
            method,
            path,
            STREAM_TIMEOUT_S,
            header_callback=header,
            streaming_callback=lines.feed,
            **fields,
        )
        fetch = asyncio.ensure_future(self.caller.fetch(request))
        fetch.add_done_callback(lambda done: lines.end())
        try:
            async for line in lines.lines():
                event = decode_event(line)
                yield event
                if event.finish_reason is not None:
                    return
            raise_incomplete(await fetch)
        finally:
            lines.stop()
            fetch.add_done_callback(discard_result)


def raise_incomplete_stream(response: HTTPResponse) -> None:
    """Raise GypsumpierError for a stream that ended without a final event."""
    raise_for_status(response)
    raise GypsumpierError(PLATFORM_BAD_ANSWER, "the stream ended without a final event")


def raise_incomplete_run(response: HTTPResponse) -> None:
    """Raise GypsumpierError for a run whose stream ended without a final event, or never began.

    The code is PLATFORM_REFUSED only if the engine has certainly not run the request.
    """
    if was_answered(response):
        check_run(response.code, response.headers)
    raise_incomplete_stream(response)


def raise_for_order(response: HTTPResponse) -> None:
    """Raise GypsumpierError unless the engine has accepted the order.

    The code is PLATFORM_REFUSED or ORDER_FENCED only if it never will.
    """
    if was_answered(response) and is_unstated_refusal(response.code, response.headers):
        detail = f"status {response.code} does not state that the order has no effect"
        raise GypsumpierError(PLATFORM_BAD_ANSWER, detail)
    raise_for_status(response)


def discard_result(fetch: "asyncio.Future[HTTPResponse]") -> None:
    """Retrieve the exception of an abandoned fetch, so that asyncio does not log it."""
    if not fetch.cancelled():
        fetch.exception()


def decode_status(answer: dict[str, Any]) -> EngineStatus:
    """Return the decoded status of the engine."""
    live = [
        LiveModel(str(entry["model"]), str(entry["version"]), str(entry["digest"]))
        for entry in answer["live"]
    ]
    return EngineStatus(
        live=live,
        running=int(answer["running"]),
        waiting=int(answer["waiting"]),
        capacity=int(answer["capacity"]),
        free_memory_bytes=int(answer["free_memory_bytes"]),
        incarnation=str(answer.get("incarnation", "")),
    )


def decode_event(line: bytes) -> EngineEvent:
    """Return a line of the stream as an event; raise GypsumpierError if it is malformed."""
    entry = json_object(line)
    try:
        reason = entry["finish_reason"]
        return EngineEvent(
            position=int(entry["position"]),
            text=str(entry["text"]),
            finish_reason=None if reason is None else str(reason),
            version=str(entry["version"]),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise GypsumpierError(PLATFORM_BAD_ANSWER, f"bad event: {error!r}") from error
