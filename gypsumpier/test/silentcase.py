"""One entry beside upstreams that stand still for a time, as the base of tests."""

import asyncio
import time
import unittest
from collections.abc import Callable
from typing import Any, Final

from tornado.httpclient import HTTPResponse

from gypsumpier.test.builders_platform import (
    ENGINES,
    command_route_body,
    engine_body,
    plain_body,
    route_body,
)
from gypsumpier.test.gatewayfleet import GatewayFleet
from gypsumpier.test.standin.pausable import PausableStandin
from gypsumpier.test.standin.platform import (
    UpstreamStandin,
)

SILENCE_S: Final = 1.4
OTHER_ZONE: Final = "nam-a"
EVENT_PAUSE_S: Final = 0.1
LATE_EVENT_PAUSE_S: Final = 0.6
LATE_EVENTS: Final = 4
CLOSE_CHECK_S: Final = 0.02
"""Seconds that a checking upstream takes to look at the connection of a request."""
ENDED_TIMEOUT_S: Final = 2.0
USED_AGAIN_S: Final = 1.0
"""Seconds within which an upstream that has gone on must get requests again."""
BUSY_MARGIN_S: Final = 0.5
"""Seconds that a busy machine may add."""
IN_FORCE_S: Final = 2.6
"""Time limit for a version to be in force."""
ROUTES: Final = [
    route_body(),
    route_body("once", prefix="/once/", resumable=False),
    command_route_body(timeout_ms=3000),
    command_route_body(name="reads", prefix="/reads/", kind="idempotent", attempts=2)
    | {"timeout_ms": 3000},
]


class SilentUpstreamCase(unittest.IsolatedAsyncioTestCase):
    """One entry and upstreams of which some can pause."""

    async def asyncSetUp(self) -> None:
        self.fleet = GatewayFleet()
        self.fleet.configure(routes=ROUTES)
        self.silent = self.pausable("i-1", ENGINES)

    async def asyncTearDown(self) -> None:
        await self.fleet.stop()

    def pausable(
        self,
        name: str,
        service: str,
        build: Callable[[], UpstreamStandin] | None = None,
        **fields: Any,
    ) -> PausableStandin[UpstreamStandin]:
        """Start an upstream that can pause and write its record to the store."""
        upstream = PausableStandin(build or (lambda: UpstreamStandin(name)))
        self.addCleanup(upstream.stop)
        upstream.standin.event_pause_s = EVENT_PAUSE_S
        build_record = engine_body if service == ENGINES else plain_body
        address = upstream.standin.address
        self.fleet.store.put(f"servers/{name}", build_record(address=address, **fields))
        return upstream

    async def start(self) -> None:
        """Start the entry with what the store holds."""
        await self.fleet.start()
        await self.fleet.settle()

    def exhaust_retries(self) -> None:
        """Leave the entry no retry."""
        retries = self.fleet.entry.retries
        retries.bounds = retries.bounds._replace(retry_share=0.0, retry_slack=0.0)

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until the condition holds."""
        async with asyncio.timeout(ENDED_TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.005)

    def assert_whole(self, answer: HTTPResponse, count: int = 5) -> None:
        """Check that a stream has every event once and in order."""
        events = "".join(
            f"id: {number}\ndata: event {number}\n\n" for number in range(1, count + 1)
        )
        self.assertEqual((200, events), (answer.code, answer.body.decode()))

    async def stream_with_silence(
        self, before_first: bool, path: str = "/reports/x", silence_s: float = SILENCE_S
    ) -> HTTPResponse:
        """Return the answer to a stream whose engine pauses before its first event or midway."""
        if before_first:
            self.silent.pause(silence_s)
            return await self.fleet.call(path)
        call = asyncio.create_task(self.fleet.call(path))
        await self.wait_until(lambda: bool(self.silent.standin.run_ids))
        await asyncio.sleep(1.5 * EVENT_PAUSE_S)
        self.silent.pause(silence_s)
        return await call

    async def use_until_used_again(self, path: str, ends_at_s: float) -> None:
        """Send requests until the silent upstream, which goes on at that time, runs a new one."""
        number = 0
        while time.monotonic() < ends_at_s + USED_AGAIN_S + BUSY_MARGIN_S:
            number += 1
            self.assertEqual(200, (await self.fleet.call(path, f"again-{number}")).code)
            runs = self.silent.standin.runs
            if any(run.request_id == f"again-{number}" for run in runs):
                return
            await asyncio.sleep(0.02)
        self.fail("the upstream was not used again")
