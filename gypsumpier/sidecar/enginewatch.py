"""Polls the engine's report and publishes changes of the engine's state to the entries."""

import asyncio
import time
from typing import Final

from gypsumpier.errors import GypsumpierError
from gypsumpier.gateway.loadshare import ENGINE
from gypsumpier.log import decision
from gypsumpier.mesh.mesh import ENTRY, Mesh
from gypsumpier.piece.engine import Engine, EngineReport
from gypsumpier.upstream.enginestate import EngineState

POLL_S: Final = 0.2
"""Seconds between reads of the engine's report."""
SWITCH_POLL_S: Final = 0.05
"""Seconds between reads while the engine switches, when delays of 0.1 s matter."""
QUEUE_LOG_INTERVAL_S: Final = 1.0
"""Seconds between two log lines while requests wait in the engine."""
REPUBLISH_S: Final = 1.0
"""Seconds after which an unchanged state is published again."""


class EngineWatch:
    """The newest report of one engine; ``report`` is None while the engine does not answer.

    ``is_switching`` is set while requests must be routed to other engines, which begins before the
    engine itself reports that it is busy.
    """

    def __init__(self, mesh: Mesh, engine: Engine, address: str) -> None:
        self.mesh = mesh
        self.engine = engine
        self.address = address
        self.report: EngineReport | None = None
        self.is_switching = False
        self.was_reachable = True
        self.sequence = 0
        self.last_published: EngineState | None = None
        self.published_at_s = 0.0
        self.queue_logged_at_s = float("-inf")
        self.reads = 0
        self.newest_read = 0

    async def run(self) -> None:
        """Poll the report until the task is cancelled."""
        while True:
            await self.read()
            await asyncio.sleep(SWITCH_POLL_S if self.is_busy() else POLL_S)

    async def read(self) -> None:
        """Read the report once and publish the state; log where the engine stops answering.

        An answer or a failure is dropped if a report that was asked for later has arrived: the
        count of orders would seem to have changed back.
        """
        self.reads += 1
        number = self.reads
        try:
            report = await self.engine.report()
            if number > self.newest_read:
                self.newest_read = number
                self.record_report(report)
        except GypsumpierError as error:
            if number < self.newest_read:
                return
            self.report = None
            if self.was_reachable:
                self.was_reachable = False
                decision(
                    "dependency_lost",
                    dependency="engine",
                    address=self.address,
                    code=error.code.number,
                    reason=error.detail,
                )

    def record_report(self, report: EngineReport) -> None:
        """Record a report and publish the state; log a restart, after which nothing is loaded."""
        known = self.report
        if known is not None and known.started_ms != report.started_ms:
            decision("engine_restarted", address=self.address, started_ms=report.started_ms)
        elif known is not None and known.orders != report.orders:
            decision(
                "engine_orders",
                address=self.address,
                orders=report.orders,
                before=known.orders,
                is_busy=report.is_busy,
            )
        if not self.was_reachable:
            self.was_reachable = True
            decision("dependency_regained", dependency="engine", address=self.address)
        self.report = report
        self.publish_state()
        self.log_queue(report)

    def log_queue(self, report: EngineReport) -> None:
        """Log that requests wait in the engine, at most once per QUEUE_LOG_INTERVAL_S."""
        now_s = time.monotonic()
        if report.queued and now_s - self.queue_logged_at_s >= QUEUE_LOG_INTERVAL_S:
            self.queue_logged_at_s = now_s
            decision(
                "engine_queue",
                address=self.address,
                active=report.active,
                queued=report.queued,
                layers=[tuple(part) for part in report.layers],
            )

    def is_busy(self) -> bool:
        """Return whether the engine accepts no new requests at the moment."""
        return self.is_switching or (self.report is not None and self.report.is_busy)

    def set_switching(self, is_switching: bool) -> None:
        """Set whether requests must be routed to other engines, and publish the state."""
        self.is_switching = is_switching
        self.publish_state()

    def publish_state(self, force: bool = False) -> None:
        """Send the engine's state to the entries.

        An unchanged state is sent only after ``REPUBLISH_S`` or with ``force``.
        """
        report, published = self.report, self.last_published
        if report is None:
            return
        is_busy = self.is_busy()
        state_fields = is_busy, round(report.pace, 1), report.layers
        is_changed = (
            published is None
            or (published.is_switching, published.pace, published.layers) != state_fields
        )
        now_s = time.monotonic()
        if not is_changed and not force and now_s - self.published_at_s < REPUBLISH_S:
            return
        self.sequence += 1
        self.published_at_s = now_s
        self.last_published = EngineState(
            self.address,
            self.mesh.own.run,
            self.sequence,
            is_busy,
            report.active,
            report.queued,
            round(report.pace, 1),
            report.layers,
        )
        self.mesh.post_all(self.mesh.peers(ENTRY), ENGINE, {"state": self.last_published.as_list()})
        if is_changed:
            decision(
                "engine_state",
                address=self.address,
                is_switching=is_busy,
                layers=[tuple(part) for part in report.layers],
                active=report.active,
                queued=report.queued,
                pace=report.pace,
            )
