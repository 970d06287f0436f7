"""Engines in virtual time that fall silent, refuse and cut, behind a pool without a network."""

import asyncio
import random
import time
from collections.abc import Callable
from typing import Any, Final, NamedTuple
from unittest import mock

from tornado.httputil import HTTPHeaders

from gypsumpier.fleet.node import Address
from gypsumpier.statement.statement import NOTHING_STATED
from gypsumpier.upstream.errors import NotRunError
from gypsumpier.upstream.exchange import Exchange
from gypsumpier.upstream.head import AnswerHead
from gypsumpier.upstream.pool import UpstreamCall, UpstreamPool
from gypsumpier.upstream.replacement import Replacement

EVENTS: Final = 6
NO_EVENT_IDS: Final = "7"
"""The last digit of the ids of requests whose streams can't be continued."""
CONNECT_S: Final = 0.003
UNREACHABLE_S: Final = 0.4
FAULTS: Final = ("refuse", "unreachable", "error", "cut", "cut_head", "trickle")


def event(request_id: str, number: int) -> bytes:
    """Return an event of a stream; those of some requests have no ids."""
    label = "" if request_id.endswith(NO_EVENT_IDS) else f"id: {number}\n"
    return f"{label}data: {number}\n\n".encode()


def whole_stream(request_id: str) -> bytes:
    """Return all events of a stream."""
    return b"".join(event(request_id, number) for number in range(1, EVENTS + 1))


class Run(NamedTuple):
    """A run of a request at an upstream."""

    request_id: str
    upstream: str


class FakeStream:
    """The entry's end of a connection; ``on_close`` is called once, as it is closed."""

    def __init__(self, on_close: Callable[[], None]) -> None:
        self.on_close = on_close
        self.is_closed = False

    def close(self) -> None:
        if not self.is_closed:
            self.is_closed = True
            self.on_close()

    def closed(self) -> bool:
        return self.is_closed

    def has_unread_bytes(self) -> bool:
        return False


class MovingEngine:
    """An engine that stands still at times and does one of ``faults`` now and then."""

    def __init__(self, name: str, rng: random.Random, faults: tuple[str, ...]) -> None:
        self.name = name
        self.rng = rng
        self.faults = faults
        self.silent_until_s = 0.0
        self.runs: list[Run] = []
        self.running: set[Run] = set()

    async def stand_still(self, silence_max_s: float) -> None:
        """Stand still now and then; never returns."""
        while True:
            await asyncio.sleep(self.rng.uniform(0.2, 3.0))
            silent_s = self.rng.uniform(0.2, silence_max_s)
            self.silent_until_s = time.monotonic() + silent_s
            await asyncio.sleep(silent_s)

    async def pause(self, seconds: float) -> None:
        """Wait for so many seconds, and for the end of a silence."""
        await asyncio.sleep(seconds)
        while time.monotonic() < self.silent_until_s:
            await asyncio.sleep(self.silent_until_s - time.monotonic())

    async def answer(self, exchange: Exchange, headers: HTTPHeaders, fault: str) -> None:
        """Run the request and answer it."""
        run = Run(headers["X-Request-Id"], self.name)
        await self.pause(self.rng.uniform(0.001, 0.1))
        if fault == "refuse":
            exchange.head = self.head(run.request_id, 503, is_not_run=True)
            self.finish(exchange)
            return
        self.runs.append(run)
        self.running.add(run)
        try:
            await self.run(exchange, run.request_id, int(headers.get("Last-Event-Id", "0")), fault)
        finally:
            self.running.discard(run)

    async def run(self, exchange: Exchange, request_id: str, after: int, fault: str) -> None:
        """Answer a request that runs, from the event after that number on."""
        await self.pause(self.rng.uniform(0.001, 0.2))
        if fault == "cut_head":
            self.cut(exchange)
            return
        exchange.head = self.head(request_id, 500 if fault == "error" else 200)
        exchange.progress.set()
        if fault == "error":
            self.finish(exchange)
            return
        cut_before = self.rng.randint(after + 1, EVENTS + 1) if fault == "cut" else 0
        for number in range(after + 1, EVENTS + 1):
            if number == cut_before:
                exchange.data_received(event(request_id, number)[:5])
                self.cut(exchange)
                return
            await self.send(exchange, event(request_id, number), fault == "trickle")
        self.finish(exchange)

    async def send(self, exchange: Exchange, content: bytes, is_slow: bool) -> None:
        """Send an event, byte by byte where it ``is_slow``."""
        parts = [content[i : i + 1] for i in range(len(content))] if is_slow else [content]
        for part in parts:
            await self.pause(self.rng.uniform(0.01, 0.12))
            exchange.data_received(part)

    def head(self, request_id: str, status: int, is_not_run: bool = False) -> AnswerHead:
        """Return the head of an answer."""
        fields: dict[str, Any] = dict.fromkeys(AnswerHead._fields, "")
        fields |= {"status": status, "request_id": request_id, "seal": "s", "idle_s": None}
        fields |= {"is_not_run": is_not_run, "is_encoded": False, "closes": True}
        fields |= {"is_event_stream": status == 200, "is_framed": True}
        fields |= {"statement": NOTHING_STATED, "forwarded_headers": HTTPHeaders()}
        return AnswerHead(**fields)

    def finish(self, exchange: Exchange) -> None:
        """End the answer."""
        exchange.finish()

    def cut(self, exchange: Exchange) -> None:
        """Cut the answer."""
        exchange.on_connection_close()


class MovingPool(UpstreamPool):
    """Connects to engines by address; ``open_streams`` are the connections that are open.

    ``sent`` counts the requests by engine, refused ones among them.
    """

    def __init__(self, engines: dict[Address, MovingEngine]) -> None:
        super().__init__()
        self.engines = engines
        self.open_streams: set[FakeStream] = set()
        self.sent: dict[str, int] = dict.fromkeys((e.name for e in engines.values()), 0)

    async def open(
        self,
        address: Address,
        is_repeatable: bool,
        make_call: Callable[[], UpstreamCall],
        replacement: Replacement,
        is_new: bool = False,
    ) -> Exchange:
        engine = self.engines[address]
        fault = engine.rng.choice(engine.faults) if engine.faults else ""
        await asyncio.sleep(UNREACHABLE_S if fault == "unreachable" else CONNECT_S)
        if fault == "unreachable":
            raise NotRunError("cannot connect", is_refusal=False)
        call = make_call()
        self.sent[engine.name] += 1

        def on_close() -> None:
            self.open_streams.discard(stream)
            task.cancel()
            if not exchange.finished:
                exchange.failure = exchange.failure or "connection closed"
            exchange.progress.set()

        stream = FakeStream(on_close)
        self.open_streams.add(stream)
        exchange = Exchange(stream, call.silence_s, replacement)  # type: ignore[arg-type]
        task = asyncio.create_task(engine.answer(exchange, call.headers, fault))
        exchange.task = task
        return exchange

    async def connect(self, address: Address) -> Any:
        """Return a connection that is not used."""
        await asyncio.sleep(CONNECT_S)
        return mock.Mock()
