"""Sequences in which the time that a version counts from is after its naming."""

import asyncio
import unittest
from typing import Final
from unittest import mock

from gypsumpier.codes.platform import PLATFORM_REFUSED
from gypsumpier.errors import RateLimitedError
from gypsumpier.fleet.change import Batch
from gypsumpier.fleet.position import Position
from gypsumpier.fleet.state import FleetState
from gypsumpier.fleet.watcher import WATCH_WAIT_S
from gypsumpier.test.builders_platform import (
    MODEL,
    DecodingSource,
    configuration_record,
    engine_record,
    record,
)
from gypsumpier.test.storereaders import (
    NAMED_S,
    REVISION,
    START_S,
    VERSION_BODY,
    VERSION_KEY,
)
from gypsumpier.test.test_naming_times import LATE_MAX_S, EventfulSource, NamingTimesCase

SILENT_S: Final = WATCH_WAIT_S + 0.6
"""Seconds after which a watch that gets no answer has failed."""


class NamedSource(EventfulSource):
    """A store whose position beside a watch rises at each of ``namings_s``, from the start."""

    namings_s: tuple[float, ...] = (NAMED_S,)

    async def current_position(self) -> Position:
        if not self.is_position_read:
            return await super().current_position()
        made = sum(self.test.now_s >= START_S + named_s for named_s in self.namings_s)
        return Position(0, REVISION - 1 + made)


class BelievedTimesCase(NamingTimesCase):
    """A reader beside whose watches the position of the store is read."""

    def setUp(self) -> None:
        super().setUp()
        self.reader = self.readers[0]
        self.source = self.sources[0] = NamedSource(self)
        self.reader.source = self.reader.watcher.source = self.source


class OverwrittenVersionTest(BelievedTimesCase):
    async def test_a_version_that_a_snapshot_no_longer_shows_keeps_its_limit(self) -> None:
        """Guards against the limit of a later version: watches were silent as both were named."""
        self.source.namings_s = (NAMED_S, 2.4)
        third = record(VERSION_KEY, {"model": MODEL, "version": 3}, REVISION + 1)
        self.source.snapshot_revision = REVISION + 1
        await self.contact_until(self.reader, 0.0)
        await self.call_until(self.reader, SILENT_S, None)
        for records in ([third], [configuration_record(), third]):
            await self.reader.call(0.004, records)
        due = self.reader.state.due_version(MODEL, START_S + NAMED_S + LATE_MAX_S)
        self.assertGreaterEqual(due, 2)

    async def test_a_process_that_starts_may_find_a_version_that_replaced_another(self) -> None:
        """Guards against the limit of the later one: it was named between the snapshot's pages."""
        state = FleetState(DecodingSource())
        third = record(VERSION_KEY, {"model": MODEL, "version": 3}, REVISION + 1)
        pages = Batch(0, REVISION, [configuration_record(), third], True, 0.0)
        state.apply(pages, self.now_s, "store")
        self.assertEqual(3, state.due_version(MODEL, self.now_s - 1.0))


class EndedEraTest(BelievedTimesCase):
    async def test_a_position_of_an_ended_era_does_not_date_what_the_copy_holds(self) -> None:
        """Guards against a reading of the old history that was made after the naming."""
        await self.contact_until(self.reader, 0.0)
        await self.call_until(self.reader, SILENT_S, None)
        copy = [record(VERSION_KEY, VERSION_BODY, REVISION)._replace(era=1)]
        self.reader.state.apply(Batch(0, REVISION, copy, True, 0.0, 1), self.now_s, "store")
        self.assert_not_late(self.reader)


class RefutedProofTest(BelievedTimesCase):
    async def test_an_empty_watch_proves_nothing_that_a_position_has_refuted(self) -> None:
        """Guards against the end of a watch that hears of nothing: a reading showed the change."""
        await self.contact_until(self.reader, 0.0)
        await self.call_until(self.reader, WATCH_WAIT_S, [])
        await self.reader.call(0.004, self.news)
        self.assert_not_late(self.reader)


class OutageTest(BelievedTimesCase):
    async def test_the_end_of_an_outage_is_not_the_receipt_of_the_first_answer(self) -> None:
        """Guards against a version named while that answer was on its way for 0.5 s."""
        named_s = 4.05
        await self.fail_calls(self.reader, 1.0)
        self.at(4.0)
        await self.reader.call(0.5, [engine_record(2, REVISION - 1)])
        await self.reader.call(0.02, self.news)
        self.assert_not_late(self.reader, named_s)

    async def test_a_store_that_refuses_calls_over_its_rate_is_not_away(self) -> None:
        """Guards against an outage of three answers with status 429: the store did answer."""
        refused = RateLimitedError(PLATFORM_REFUSED, "429 Too Many Requests")
        with mock.patch.object(asyncio, "sleep", mock.AsyncMock()):
            for refused_s in (0.9, 1.5, 2.0):
                self.at(refused_s)
                await self.reader.watcher.handle_failure(refused)
        self.at(2.5)
        await self.read_after_failure(self.reader, self.news)
        self.assert_not_late(self.reader)


if __name__ == "__main__":
    unittest.main()
