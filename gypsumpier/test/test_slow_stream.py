"""Tests of streams whose engines are slow and sound."""

import unittest
from typing import Final

from gypsumpier.test.builders_platform import ENGINES
from gypsumpier.test.silentcase import SilentUpstreamCase

SLOW_EVENT_PAUSE_S: Final = 0.8
"""Seconds between the events of a slow stream; after 1 s its engine counts as silent."""


class SlowStreamTest(SilentUpstreamCase):
    async def test_a_slow_stream_of_a_sound_engine_is_not_moved(self) -> None:
        """Guards against sound slow streams that are cut and begun again at an idle engine."""
        other = self.pausable("i-2", ENGINES)
        await self.start()
        for upstream in (self.silent, other):
            upstream.standin.event_pause_s = SLOW_EVENT_PAUSE_S
        self.assert_whole(await self.fleet.call("/reports/x"))
        self.assertEqual(1, len(self.silent.standin.run_ids) + len(other.standin.run_ids))


if __name__ == "__main__":
    unittest.main()
