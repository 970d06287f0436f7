"""Properties of pacing under a virtual clock."""

import asyncio
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumpier.options import Options
from gypsumpier.test.virtual import VirtualClock, run
from gypsumpier.weight.bucket import TokenBucket
from gypsumpier.weight.pacing import Pacing

RATE = 1000.0
Grant = tuple[float, int]
requests = st.lists(st.tuples(st.floats(0, 20), st.integers(1, 5000)), min_size=1, max_size=20)


async def grants_of(asked: list[Grant]) -> list[Grant]:
    """Return the time and the length of each grant for requests at those times."""
    clock = VirtualClock()
    bucket = TokenBucket(clock, RATE)
    grants: list[Grant] = []

    async def ask(at_s: float, length: int) -> None:
        await clock.sleep(at_s)
        await bucket.acquire(length)
        grants.append((clock.monotonic(), length))

    await asyncio.gather(*(ask(at_s, length) for at_s, length in asked))
    return grants


class PacingTest(unittest.TestCase):
    @given(requests)
    @settings(derandomize=True, deadline=None, max_examples=100)
    def test_no_interval_gets_more_than_its_share(self, asked: list[Grant]) -> None:
        grants = run(grants_of(asked))
        for first in range(len(grants)):
            for last in range(first, len(grants)):
                window_s = grants[last][0] - grants[first][0]
                # The first grant of a window was already charged before the window began.
                after_first = sum(length for _, length in grants[first + 1 : last + 1])
                self.assertLessEqual(after_first, RATE * window_s + 1e-3)

    @given(requests)
    @settings(derandomize=True, deadline=None, max_examples=50)
    def test_the_share_is_used_while_a_caller_waits(self, asked: list[Grant]) -> None:
        grants = run(grants_of(asked))
        latest_s = max(at_s for at_s, _ in asked) + sum(length for _, length in asked) / RATE
        self.assertLessEqual(grants[-1][0], latest_s + 1e-3)

    def test_a_pair_of_regions_keeps_the_share_for_live_traffic(self) -> None:
        async def scenario() -> tuple[float, float]:
            options = Options(region="bac", live_traffic_share=0.25, link_importers=2)
            options.region_link_bytes_per_s = 1000
            pacing = Pacing(options, VirtualClock())
            loop = asyncio.get_running_loop()
            await asyncio.gather(*(pacing.acquire_send("nam", 100) for _ in range(30)))
            sent_s = loop.time()
            await asyncio.gather(*(pacing.acquire_request("nam", 100) for _ in range(30)))
            return sent_s, loop.time() - sent_s

        sent_s, asked_s = run(scenario())
        self.assertAlmostEqual(4.0, sent_s, places=2)
        # Two importers divide the link, so each requests at half of the share.
        self.assertAlmostEqual(8.0, asked_s, places=2)
