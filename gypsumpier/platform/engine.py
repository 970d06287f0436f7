"""Client of the model engine on the same machine."""

import json
from typing import Final
from urllib.parse import quote

from gypsumpier.codes.platform import PLATFORM_BAD_ANSWER, PLATFORM_REFUSED
from gypsumpier.errors import GypsumpierError
from gypsumpier.external.http import json_object
from gypsumpier.fleet.clock import boot_time_s
from gypsumpier.fleet.node import Address
from gypsumpier.piece.engine import EngineReport, OrderRefusedError, SwitchOrder
from gypsumpier.platform.fields import FieldError, field, number
from gypsumpier.platform.records import loaded_layers
from gypsumpier.upstream.caller import UpstreamCaller
from gypsumpier.upstream.errors import NotRunError

CALL_TIMEOUT_S: Final = 2.0
"""Timeout of a call on the same machine, which takes milliseconds unless the engine hangs."""
WRITE_TIMEOUT_S: Final = 30.0
"""Seconds after which a piece to stage is taken for lost if its connection still holds; engines
were seen to accept orders up to 11 s after they were sent."""
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
        # On a kept connection an earlier answer could arrive once more and conclude the write.
        answer = await self.caller.call("PUT", target, WRITE_TIMEOUT_S, content, is_new=True)
        answer.require_success()

    async def staged(self, model: str, number: int) -> bytes | None:
        target = f"/gypsumpier/stage-get/{quote(model, safe='')}?num={number}"
        answer = await self.caller.call("GET", target, CALL_TIMEOUT_S)
        return None if answer.status == NOT_FOUND_STATUS else answer.require_success()

    async def start(self, order: SwitchOrder) -> bool:
        def require_current() -> None:
            if boot_time_s() > order.send_until_s:
                raise NotRunError("the staged pieces were checked too long ago", is_refusal=False)

        fields = {
            "op": "start",
            "model": order.model,
            "version": order.version,
            "strategy": "preempt" if order.preempt else "queue",
            # "expected" is the platform's name for the count of accepted orders it requires.
            "expected": order.after_orders,
        }
        answer = await self.caller.call(
            "POST",
            "/gypsumpier/order",
            CALL_TIMEOUT_S,
            json.dumps(fields).encode(),
            "application/json",
            is_new=True,
            require_current=require_current,
        )
        if answer.status == CONFLICT_STATUS:
            return False
        if not 200 <= answer.status < 300:
            raise OrderRefusedError(PLATFORM_REFUSED, f"status {answer.status}")
        return True

    def close(self) -> None:
        self.caller.close()
