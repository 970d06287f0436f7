"""A stand-in for one of the Rung Lab platform's model engines, with staged pieces and orders."""

import asyncio
import hashlib
import json
from collections.abc import Callable
from typing import Any, Final

from gypsumpier.test.standin.enginerequest import EngineRequestHandler
from gypsumpier.test.standin.latecall import LateCallHandler, LateCalls
from gypsumpier.test.standin.platform import OriginStandin, UpstreamStandin
from gypsumpier.test.standin.server import StandinHandler

LOAD_S: Final = 0.1
BEGUN: Final = 202
IN_EFFECT: Final = 200
CONFLICT: Final = 409
QUEUE_LENGTH: Final = 4
"""Requests beyond the slots that an engine queues before it refuses more."""


class EngineStandin(UpstreamStandin):
    """An engine that loads the staged pieces when it is ordered to.

    ``partial_loads`` counts orders for which a piece was missing, corrupt or of another version
    when they were accepted, and ``loads`` holds the versions of accepted orders.  ``orders`` counts
    these since the start of this run, ``received_orders`` holds all that arrived.
    The engine refuses requests while it loads or has nothing loaded, and calls ``on_change`` when
    the loaded version changes.  It runs ``slots`` requests, None for any number, and queues
    QUEUE_LENGTH more: ``running`` counts the former, ``waiting`` holds those that have not started.
    ``link_s`` is how long a request, or a close behind it, is on its way, and ``stage_s`` how long
    it takes to stage a piece, and ``order_s`` how long an order is on its way; all in seconds.

    The next ``late_orders`` orders and ``late_writes`` pieces to stage are carried out as
    ``late_calls`` says, also after the caller has closed, and get no answer.  They outlive a crash:
    they are on their way.  ``on_read`` is called before the answer with a staged piece.
    """

    def __init__(
        self, name: str, model: str, layers: int, origin: OriginStandin, slots: int | None = None
    ) -> None:
        self.model = model
        self.slots = slots
        self.running = 0
        self.waiting: list[EngineRequestHandler] = []
        self.link_s = 0.0
        self.stage_s = 0.0
        self.order_s = 0.0
        self.layers = layers
        self.origin = origin
        self.version = 0
        self.born = 1
        self.orders = 0
        self.is_busy = False
        self.staged: dict[int, bytes] = {}
        self.partial_loads = 0
        self.loads: list[int] = []
        self.received_orders: list[dict[str, Any]] = []
        self.late_orders = 0
        self.late_writes = 0
        self.late_calls = LateCalls()
        self.on_change: Callable[[], None] = lambda: None
        self.on_read: Callable[[int], None] = lambda number: None
        super().__init__(name)

    def handlers(self) -> list[tuple[str, type[StandinHandler], dict[str, Any]]]:
        state = {"state": self}
        return [
            (r"/gypsumpier/report", ReportHandler, state),
            (r"/gypsumpier/stage-put/.*", StagePutHandler, state),
            (r"/gypsumpier/stage-get/.*", StageGetHandler, state),
            (r"/gypsumpier/order", OrderHandler, state),
            (r".*", EngineRequestHandler, state),
        ]

    def next_action(self) -> str:
        taken = self.running + len(self.waiting)
        is_full = self.slots is not None and taken >= self.slots + QUEUE_LENGTH
        return super().next_action() if self.can_start() and not is_full else "full"

    def can_start(self) -> bool:
        """Return whether requests may start: weights are loaded and no load is running."""
        return bool(self.version) and not self.is_busy

    def has_slot_for(self, request: EngineRequestHandler) -> bool:
        """Return whether a waiting request may start; the longest waiting goes first."""
        is_next = self.slots is None or self.waiting.index(request) < self.slots - self.running
        return is_next and self.can_start()

    def loaded_version(self) -> int:
        return self.version

    def crash(self, keeps_staged: bool = False) -> None:
        """Start a new run without loaded weights and count orders anew.

        Staged pieces survive a crash of the engine (``keeps_staged``), but no loss of power.
        """
        self.version, self.is_busy, self.orders = 0, False, 0
        self.born += 1
        if not keeps_staged:
            self.staged.clear()
        self.on_change()

    def accept(self, order: dict[str, Any]) -> int:
        """Start to load as ordered, if the order fits now; return the status of the answer."""
        version = int(order["version"])
        if self.is_busy:
            return CONFLICT
        if version == self.version:
            return IN_EFFECT
        if order.get("expected", self.orders) != self.orders:
            return CONFLICT
        self.load(version)
        return BEGUN

    def load(self, version: int) -> None:
        """Start to load the staged pieces."""
        self.orders += 1
        self.loads.append(version)
        self.is_busy = True
        wanted = [self.origin.digest(version, number) for number in range(self.origin.pieces)]
        staged = [self.staged.get(number, b"") for number in range(self.origin.pieces)]
        if wanted != [hashlib.sha256(content).hexdigest() for content in staged]:
            self.partial_loads += 1
        asyncio.get_running_loop().call_later(LOAD_S, self.finish_load, version, self.born)

    def finish_load(self, version: int, born: int) -> None:
        """Switch to the loaded version, unless the engine crashed in the meantime."""
        if born == self.born:
            self.version, self.is_busy = version, False
            self.on_change()

    def body(self) -> dict[str, Any]:
        """Return the fields that the report and the store's record have in common."""
        body: dict[str, Any] = {"born": self.born, "seq": self.orders}
        if self.version:
            body["models"] = [{"name": self.model, "version": self.version, "adapters": []}]
            body["layers"] = {"from": 0, "to": self.layers, "version": self.version}
        return body


class ReportHandler(StandinHandler):
    """Returns the engine's report."""

    def get(self) -> None:
        state: EngineStandin = self.state
        activity = {"busy": state.is_busy, "queued": len(state.waiting), "active": state.running}
        self.finish(state.body() | activity)


class StagePutHandler(LateCallHandler):
    """Stages one piece."""

    async def put(self) -> None:
        state: EngineStandin = self.state
        is_late = state.late_writes > 0
        if is_late:
            state.late_writes -= 1
            await state.late_calls.wait()
        await asyncio.sleep(state.stage_s)
        state.staged[int(self.get_argument("num"))] = self.request.body
        if is_late:
            self.end_unanswered()
        else:
            self.finish({})


class StageGetHandler(StandinHandler):
    """Returns one staged piece."""

    def get(self) -> None:
        number = int(self.get_argument("num"))
        content = self.state.staged.get(number)
        self.state.on_read(number)
        if content is None:
            self.refuse(404)
        self.finish(content)


class OrderHandler(LateCallHandler):
    """Starts a load, unless the order does not fit the engine's state."""

    async def post(self) -> None:
        state: EngineStandin = self.state
        order = json.loads(self.request.body)
        state.received_orders.append(order)
        await asyncio.sleep(state.order_s)
        if state.late_orders > 0:
            state.late_orders -= 1
            await state.late_calls.wait()
            state.accept(order)
            self.end_unanswered()
            return
        self.set_status(state.accept(order))
        self.finish({})
