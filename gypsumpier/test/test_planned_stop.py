"""Tests of an entry as a process that is stopped while callers use their open connections."""

import asyncio
import signal
import time
import unittest
from collections import Counter
from typing import Final

from gypsumpier.test.builders_platform import KEY
from gypsumpier.test.enginefleet import EngineFleetCase
from misc.soaking.connection import CUT, CallerConnection

CALLERS: Final = 12
PAUSE_S: Final = 0.05
SLOW_EVENT_PAUSE_S: Final = 0.4
"""Seconds between the events of a slow stream; its five events take two seconds."""
WARM_UP_S: Final = 1.0
GRACE_S: Final = 8.0
TIME_LIMIT_S: Final = 6.0
CROSSING_MAX: Final = 1
"""Requests of one caller that may cross the close of their connection; none of them may run."""


class PlannedStopTest(EngineFleetCase):
    entries = 2

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.ends: dict[str, int] = {}

    async def use_connection(self, caller: int) -> None:
        """Send one request after the other on one connection until the process is gone."""
        node = self.fleet.nodes[0]
        front: str = node.body["listen"]["front"]
        connection = CallerConnection(int(front.rpartition(":")[2]))
        number = 0
        while node.is_running():
            number += 1
            request_id = f"c{caller}-{number}"
            headers = {"Host": "lab.example", "X-Request-Id": request_id, "X-Key": KEY}
            answer = await connection.call("/reports/x", headers, b"{}", TIME_LIMIT_S)
            if answer.status >= CUT:
                self.ends[request_id] = answer.status
            await asyncio.sleep(PAUSE_S)
        connection.close()

    async def stop_under_load(self) -> float:
        """Stop an entry while callers use it; return the seconds that it took to end."""
        callers = [asyncio.create_task(self.use_connection(n)) for n in range(CALLERS)]
        await asyncio.sleep(WARM_UP_S)
        began_s = time.monotonic()
        self.fleet.nodes[0].send(signal.SIGTERM)
        await asyncio.gather(*callers)
        return time.monotonic() - began_s

    def assert_nothing_cut(self) -> None:
        """Check that each request that ran was answered whole, and that few crossed a close."""
        runs = {request_id for engine in self.fleet.engines for request_id in engine.run_ids}
        cut = [request_id for request_id, status in self.ends.items() if status == CUT]
        self.assertEqual([], [request_id for request_id in cut if request_id in runs])
        crossing = Counter(request_id.partition("-")[0] for request_id in cut)
        self.assertLessEqual(max(crossing.values(), default=0), CROSSING_MAX)
        self.assertIn(200, self.ends.values())

    # Guards against accepted requests that a stop cuts, also slow ones, on connections in use.
    async def test_a_stop_cuts_no_slow_stream_and_ends_in_time(self) -> None:
        for engine in self.fleet.engines:
            engine.event_pause_s = SLOW_EVENT_PAUSE_S
        took_s = await self.stop_under_load()
        self.assert_nothing_cut()
        self.assertLess(took_s, GRACE_S)

    # Guards against requests that wait for the turn of a limited engine as the entry is stopped.
    async def test_a_stop_answers_what_waits_for_the_limits_of_engines(self) -> None:
        for engine in self.fleet.engines:
            engine.limit = "1"
        took_s = await self.stop_under_load()
        self.assert_nothing_cut()
        self.assertLess(took_s, GRACE_S)


if __name__ == "__main__":
    unittest.main()
