"""A fake engine that carries out some calls late, after their caller has had no answer."""

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial

from gypsumpier.codes.platform import PLATFORM_UNREACHABLE
from gypsumpier.errors import GypsumpierError
from gypsumpier.external.engine import EngineStatus, LiveModel, LoadOrder
from gypsumpier.external.http import CALL_TIMEOUT_S
from gypsumpier.test.fakes_weight import FakeEngine


class LateEngine(FakeEngine):
    """An engine whose next calls of a kind, one for each delay in ``late_s``, are late.

    Such a call takes effect that many seconds after it was sent, whatever became of its caller,
    and its caller gets no answer within the time that our client waits.  ``shown`` collects every
    content that was live.  Each part takes ``stage_s`` seconds to be staged, and
    each report is ``status_s`` seconds old when it arrives.
    """

    def __init__(self) -> None:
        super().__init__()
        self.late_s: dict[str, list[float]] = {"load": [], "unload": [], "stage": []}
        self.late_tasks: list[asyncio.Task[None]] = []
        self.refused_late: list[GypsumpierError] = []
        self.shown: list[LiveModel] = []
        self.unanswered = 0
        self.stage_s = 0.0
        self.status_s = 0.0

    async def status(self) -> EngineStatus:
        status = await super().status()
        await asyncio.sleep(self.status_s)
        self.shown += [live for live in status.live if live not in self.shown]
        return status

    async def stage(self, digest: str, path: str, offset: int, content: bytes) -> None:
        await self.call("stage", partial(self.stage_slowly, digest, path, offset, content))

    async def stage_slowly(self, digest: str, path: str, offset: int, content: bytes) -> None:
        """Stage a part, which takes some time."""
        await asyncio.sleep(self.stage_s)
        await super().stage(digest, path, offset, content)

    async def load(self, order: LoadOrder) -> None:
        await self.call("load", partial(super().load, order))

    async def unload(self, order: LoadOrder) -> None:
        await self.call("unload", partial(super().unload, order))

    async def call(self, kind: str, effect: Callable[[], Awaitable[None]]) -> None:
        """Carry the call out, late and without an answer if a delay is set for its kind."""
        if not self.late_s[kind]:
            await effect()
            return
        delay_s = self.late_s[kind].pop(0)
        self.late_tasks.append(asyncio.create_task(self.carry_out(delay_s, effect)))
        await asyncio.sleep(CALL_TIMEOUT_S)
        self.unanswered += 1
        raise GypsumpierError(PLATFORM_UNREACHABLE, "no answer in time")

    async def carry_out(self, delay_s: float, effect: Callable[[], Awaitable[None]]) -> None:
        """Carry a late call out; keep what it was refused for."""
        await asyncio.sleep(delay_s)
        try:
            await effect()
        except GypsumpierError as error:
            self.refused_late.append(error)
