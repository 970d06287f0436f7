"""A stand-in for one of the Rung Lab platform's model engines, with staged pieces and orders."""

import asyncio
import hashlib
import json
from collections.abc import Callable
from typing import Any, Final

from gypsumpier.test.standin.platform import OriginStandin, UpstreamHandler, UpstreamStandin
from gypsumpier.test.standin.server import StandinHandler

LOAD_S: Final = 0.1


class EngineStandin(UpstreamStandin):
    """An engine that loads the staged pieces when it is ordered to.

    ``partial_loads`` counts orders for which a piece was missing, corrupt or of another version.
    The engine refuses requests while it loads or has nothing loaded, and calls ``on_change`` when
    the loaded version changes.
    """

    def __init__(self, name: str, model: str, layers: int, origin: OriginStandin) -> None:
        self.model = model
        self.layers = layers
        self.origin = origin
        self.version = 0
        self.born = 1
        self.orders = 0
        self.is_busy = False
        self.staged: dict[int, bytes] = {}
        self.partial_loads = 0
        self.on_change: Callable[[], None] = lambda: None
        super().__init__(name)

    def handlers(self) -> list[tuple[str, type[StandinHandler], dict[str, Any]]]:
        state = {"state": self}
        return [
            (r"/gypsumpier/report", ReportHandler, state),
            (r"/gypsumpier/stage-put/.*", StagePutHandler, state),
            (r"/gypsumpier/stage-get/.*", StageGetHandler, state),
            (r"/gypsumpier/order", OrderHandler, state),
            (r".*", UpstreamHandler, state),
        ]

    def next_action(self) -> str:
        if not self.version or self.is_busy:
            return "full"
        return super().next_action()

    def loaded_version(self) -> int:
        return self.version

    def crash(self) -> None:
        """Drop all loaded and staged weights, as a restart does."""
        self.version, self.is_busy = 0, False
        self.born += 1
        self.staged.clear()
        self.on_change()

    def load(self, version: int) -> None:
        """Start to load the staged pieces."""
        self.orders += 1
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
        active = len(state.run_ids) - len(state.closed_ids)
        activity = {"busy": state.is_busy, "queued": 0, "active": max(0, active)}
        self.finish(state.body() | activity)


class StagePutHandler(StandinHandler):
    """Stages one piece."""

    def put(self) -> None:
        self.state.staged[int(self.get_argument("num"))] = self.request.body
        self.finish({})


class StageGetHandler(StandinHandler):
    """Returns one staged piece."""

    def get(self) -> None:
        content = self.state.staged.get(int(self.get_argument("num")))
        if content is None:
            self.refuse(404)
        self.finish(content)


class OrderHandler(StandinHandler):
    """Starts a load, unless one is running."""

    def post(self) -> None:
        state: EngineStandin = self.state
        order = json.loads(self.request.body)
        if state.is_busy:
            self.refuse(409)
        state.load(int(order["version"]))
        self.finish({})
