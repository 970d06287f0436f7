"""The upstream protocol and its two kinds: a model engine and a plain service."""

import json
from collections.abc import AsyncIterator
from typing import Any, Final, NamedTuple, Protocol

from tornado.httputil import HTTPHeaders

from gypsumpier.agent.generation import generate
from gypsumpier.agent.order import AttemptOrder
from gypsumpier.codes.request import (
    BAD_REQUEST,
    UPSTREAM_UNREACHABLE,
    WRONG_VERSION,
)
from gypsumpier.errors import GypsumpierError, NotSentError
from gypsumpier.external.engine import Completion, Engine, LiveModel
from gypsumpier.external.service import Service, ServiceCall
from gypsumpier.external.statedoutcome import check_run

RETRY_AFTER_S: Final = 1.0


class Part(NamedTuple):
    """One part of an answer, sent as one frame."""

    kind: str
    payload: dict[str, Any]


class Upstream(Protocol):
    """The upstream as the gate uses it.  A content is a version's weights, loaded in an engine."""

    def run(self, order: AttemptOrder) -> AsyncIterator[Part]:
        """Run the order and yield the parts of its answer, including the final one."""

    async def cancel(self, exchange: str) -> None:
        """Stop a run whose answer is no longer needed."""

    async def refresh(self) -> None:
        """Poll the upstream's status; raise GypsumpierError if it reports none."""

    def incarnation(self) -> str:
        """Return the last reported incarnation of the upstream; empty where it reports none."""

    def live(self) -> list[LiveModel]:
        """Return the contents that the upstream last reported live; empty for a plain service."""

    def retire(self, live: LiveModel) -> None:
        """Stop reporting a content as live, because it is about to be unloaded."""

    def refuse(self, live: LiveModel) -> None:
        """Refuse new runs on a retired content."""

    def restore(self, live: LiveModel) -> None:
        """Report a retired content as live and run it again."""


class EngineUpstream:
    """A model engine."""

    def __init__(self, engine: Engine) -> None:
        self.engine = engine
        self.reported: list[LiveModel] = []
        self.reported_incarnation = ""
        self.retired: set[LiveModel] = set()
        self.refused: set[LiveModel] = set()

    async def run(self, order: AttemptOrder) -> AsyncIterator[Part]:
        if not self.serves(order):
            raise GypsumpierError(WRONG_VERSION, f"{order.version} is not live here", 1.0)
        async for event in generate(self.engine, completion_of(order)):
            if event.finish_reason is None:
                yield Part("token", {"text": event.text, "version": event.version})
                continue
            end = {
                "count": event.position,
                "finish_reason": event.finish_reason,
                "version": event.version,
            }
            yield Part("end", end)

    async def cancel(self, exchange: str) -> None:
        await self.engine.cancel(exchange)

    async def refresh(self) -> None:
        status = await self.engine.status()
        self.reported, self.reported_incarnation = status.live, status.incarnation
        self.retired &= set(self.reported)
        self.refused &= self.retired

    def incarnation(self) -> str:
        return self.reported_incarnation

    def live(self) -> list[LiveModel]:
        return [live for live in self.reported if live not in self.retired]

    def retire(self, live: LiveModel) -> None:
        self.retired.add(live)

    def refuse(self, live: LiveModel) -> None:
        self.refused.add(live)

    def restore(self, live: LiveModel) -> None:
        self.retired.discard(live)
        self.refused.discard(live)

    def serves(self, order: AttemptOrder) -> bool:
        """Return whether the ordered version is live and not refused."""
        return any(
            live.model == order.model and live.version == order.version
            for live in self.reported
            if live not in self.refused
        )


class ServiceUpstream:
    """A plain service."""

    def __init__(self, service: Service) -> None:
        self.service = service

    async def run(self, order: AttemptOrder) -> AsyncIterator[Part]:
        call = ServiceCall(order.method, order.path, order.headers, order.body)
        try:
            answer = await self.service.call(call, order.remaining_s)
        except NotSentError as error:
            raise GypsumpierError(UPSTREAM_UNREACHABLE, error.detail, RETRY_AFTER_S) from error
        check_run(answer.status, HTTPHeaders(answer.headers))
        yield Part("head", {"status": answer.status, "headers": answer.headers})
        yield Part("data", {"content": answer.body})
        yield Part("end", {"count": 1})

    async def cancel(self, exchange: str) -> None:
        """Do nothing: a call to a plain service can't be cancelled."""

    async def refresh(self) -> None:
        if not await self.service.healthy():
            raise GypsumpierError(UPSTREAM_UNREACHABLE, "the service failed its health check")

    def incarnation(self) -> str:
        return ""

    def live(self) -> list[LiveModel]:
        return []

    def retire(self, live: LiveModel) -> None:
        """Do nothing: a plain service has no model contents."""

    def refuse(self, live: LiveModel) -> None:
        """Do nothing: a plain service has no model contents."""

    def restore(self, live: LiveModel) -> None:
        """Do nothing: a plain service has no model contents."""


def completion_of(order: AttemptOrder) -> Completion:
    """Return the order as a completion; raise GypsumpierError with BAD_REQUEST if not JSON."""
    try:
        body = json.loads(order.body)
    except ValueError as error:
        raise GypsumpierError(BAD_REQUEST, "the request body is not valid JSON") from error
    return Completion(order.exchange, order.model, order.version, order.priority, body)
