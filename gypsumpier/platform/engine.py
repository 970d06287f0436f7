"""Client of the model engine on the same machine."""

import json
from typing import Final
from urllib.parse import quote

from gypsumpier.codes.platform import PLATFORM_BAD_ANSWER
from gypsumpier.errors import GypsumpierError
from gypsumpier.external.http import json_object
from gypsumpier.fleet.node import Address
from gypsumpier.piece.engine import EngineReport
from gypsumpier.platform.fields import FieldError, field, number
from gypsumpier.platform.records import loaded_layers
from gypsumpier.upstream.caller import UpstreamCaller

CALL_TIMEOUT_S: Final = 2.0
"""Timeout of a call on the same machine, which takes milliseconds unless the engine hangs."""
NOT_FOUND_STATUS: Final = 404
CONFLICT_STATUS: Final = 409


class PlatformEngine:
    """The Engine protocol over the HTTP interface of the platform's engines."""

    def __init__(self, address: Address) -> None:
        self.caller = UpstreamCaller(address)

    async def report(self) -> EngineReport:
        answer = await self.caller.call("GET", "/gypsumpier/report", CALL_TIMEOUT_S)
        body = json_object(answer.require_success())
        try:
            return EngineReport(
                layers=loaded_layers(body),
                is_busy=field(body, "busy", bool),
                # "seq" is the platform's name for the count of accepted orders.
                orders=int(number(body, "seq")),
                queued=int(number(body, "queued")),
                active=int(number(body, "active")),
                # "born" is the platform's name for the start of this run, in Unix milliseconds.
                started_ms=int(number(body, "born")) if "born" in body else 0,
                pace=number(body, "pace") if "pace" in body else 1.0,
            )
        except FieldError as error:
            raise GypsumpierError(PLATFORM_BAD_ANSWER, f"bad report: {error}") from error

    async def stage(self, model: str, number: int, content: bytes) -> None:
        target = f"/gypsumpier/stage-put/{quote(model, safe='')}?num={number}"
        (await self.caller.call("PUT", target, CALL_TIMEOUT_S, content)).require_success()

    async def staged(self, model: str, number: int) -> bytes | None:
        target = f"/gypsumpier/stage-get/{quote(model, safe='')}?num={number}"
        answer = await self.caller.call("GET", target, CALL_TIMEOUT_S)
        return None if answer.status == NOT_FOUND_STATUS else answer.require_success()

    async def start(self, model: str, version: int, preempt: bool) -> bool:
        order = {
            "op": "start",
            "model": model,
            "version": version,
            "strategy": "preempt" if preempt else "queue",
        }
        body = json.dumps(order).encode()
        answer = await self.caller.call(
            "POST", "/gypsumpier/order", CALL_TIMEOUT_S, body, "application/json", is_new=True
        )
        if answer.status == CONFLICT_STATUS:
            return False
        answer.require_success()
        return True

    def close(self) -> None:
        self.caller.close()
