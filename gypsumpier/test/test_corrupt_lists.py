"""Tests of lists of digests that arrive corrupt: at the origin, at an entry or at a sidecar."""

import asyncio
import json
import unittest
from collections.abc import Callable
from typing import Final
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumpier.errors import GypsumpierError
from gypsumpier.piece import originfetcher
from gypsumpier.piece.engine import PieceList
from gypsumpier.platform.origin import decode_list
from gypsumpier.test.builders_platform import (
    MODEL,
    apply_records,
    configuration_record,
    engine_service_body,
    record,
)
from gypsumpier.test.fakes_piece import PIECES, list_of
from gypsumpier.test.piecefleet import PieceFleet

ORIGIN_READS_MAX: Final = 8
"""Readings of pieces beyond one each, and of the list, that one corrupt digest may cost."""
Fault = Callable[[PieceList], PieceList]


def with_wrong_digit(number: int) -> Fault:
    """Return the fault that changes one digit of a digest."""

    def fault(found: PieceList) -> PieceList:
        digest = found.digests[number]
        wrong = ("1" if digest[0] == "0" else "0") + digest[1:]
        digests = (*found.digests[:number], wrong, *found.digests[number + 1 :])
        return found._replace(digests=digests)

    return fault


class CorruptListTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.fleet = PieceFleet()

    async def assert_staged(self) -> None:
        """Check that the sidecar gets every piece, and the origin few calls."""
        await self.fleet.stager().fetch()
        self.assertTrue(self.fleet.is_staged())
        self.assertLessEqual(len(self.fleet.origin.fetched_pieces), PIECES + ORIGIN_READS_MAX)
        self.assertLessEqual(self.fleet.origin.lists_read, ORIGIN_READS_MAX)

    # Guards against a service that ends for good: a list with one wrong digit was kept.
    async def test_a_list_with_a_wrong_digit_is_corrected(self) -> None:
        self.fleet.origin.list_faults = [with_wrong_digit(7)]
        await self.assert_staged()

    # Guards against a second reading that is believed because it agrees with the first.
    async def test_lists_that_are_wrong_in_the_same_way_several_times(self) -> None:
        self.fleet.origin.list_faults = [with_wrong_digit(7)] * 3
        await self.assert_staged()

    async def test_several_wrong_digests_and_corrupt_pieces(self) -> None:
        self.fleet.origin.list_faults = [
            lambda found: with_wrong_digit(2)(with_wrong_digit(9)(found)),
            with_wrong_digit(9),
        ]
        self.fleet.origin.bad = {2, 3, 9}
        await self.fleet.stager().fetch()
        self.assertTrue(self.fleet.is_staged())

    # Guards against a corrupt list at the naming, read by the entries that keep whole copies.
    async def test_a_corrupt_list_at_the_naming(self) -> None:
        self.fleet.origin.list_faults = [with_wrong_digit(0)] * 2
        for cache in self.fleet.caches:
            apply_records(
                cache.fleet_state, record("op/version/m", {"model": "m", "version": 2}, 2)
            )
            cache.prefetch_new_versions()
        await self.assert_staged()

    # Guards against entries that keep a list as it was corrupted on its way to them alone.
    async def test_one_entry_has_a_corrupt_list(self) -> None:
        for number, cache in enumerate(self.fleet.caches):
            with self.subTest(entry=number):
                cache.lists["m", 2] = with_wrong_digit(5)(list_of("m", 2))
                self.fleet.engine.pieces.clear()
                await self.assert_staged()
                await asyncio.gather(*(cache.piece("m", 2, found) for found in range(PIECES)))
                self.assertEqual(list_of("m", 2), cache.lists["m", 2])
                for other in self.fleet.caches:
                    other.pieces.clear()
                    other.lists.clear()
                self.fleet.origin.fetched_pieces.clear()
                self.fleet.origin.lists_read = 0

    # Guards against an engine without weights: its sidecar kept the list that it had read.
    async def test_a_sidecar_has_a_corrupt_list(self) -> None:
        stager = self.fleet.stager()
        stager.digests = with_wrong_digit(11)(list_of("m", 2)).digests
        await stager.fetch()
        self.assertTrue(self.fleet.is_staged())
        self.assertEqual(0, await stager.restage_bad())

    # Guards against weights that match no digest of any list: they must never be staged.
    async def test_a_piece_that_matches_no_list_is_not_staged(self) -> None:
        self.fleet.origin.list_faults = [with_wrong_digit(4)] * 1000
        with mock.patch.object(originfetcher, "ORIGIN_RETRY_PAUSE_S", 0.0):
            with self.assertRaises(GypsumpierError):
                await self.fleet.stager().fetch()
        self.assertNotIn(4, self.fleet.engine.pieces)

    # Guards against an origin that is asked without a pause: each attempt waits for longer.
    async def test_attempts_wait_for_longer_and_longer(self) -> None:
        self.fleet.origin.list_faults = [with_wrong_digit(4)] * 1000
        waits: list[float] = []

        async def sleep(seconds: float) -> None:
            waits.append(seconds)

        with mock.patch.object(asyncio, "sleep", sleep):
            with self.assertRaises(GypsumpierError):
                await self.fleet.caches[0].piece("m", 2, 4)
        self.assertEqual([0.2, 0.4, 0.8, 0.8, 0.8, 0.8], [round(wait, 3) for wait in waits])

    # Guards against a list of other pieces that is kept as it has the form of one.
    async def test_a_list_for_something_else_or_of_another_length_is_read_again(self) -> None:
        services = [
            engine_service_body(PIECES),
            {"name": "origin", "origin": "127.0.0.1:9", "zone": "bac-a", "link_mbps": 9.9},
        ]
        configuration = configuration_record(9, version=9, services=services)
        apply_records(self.fleet.fleet_state, configuration)
        self.fleet.origin.list_faults = [
            lambda found: found._replace(version=found.version + 1),
            lambda found: found._replace(model="another"),
            lambda found: found._replace(digests=found.digests[:-1]),
            lambda found: found._replace(digests=(*found.digests, found.digests[0])),
            lambda found: found._replace(digests=(found.digests[0][:-1], *found.digests[1:])),
        ]
        await self.fleet.stager(model=MODEL).fetch()
        self.assertTrue(self.fleet.is_staged())
        self.assertEqual(6, self.fleet.origin.lists_read)


class CorruptByteTest(unittest.TestCase):
    # Guards against any byte of the answer that, once corrupt, leaves the service without weights.
    @settings(max_examples=60, deadline=None)
    @given(st.data(), st.integers(1, 2))
    def test_a_list_that_is_corrupt_in_any_byte(self, data: st.DataObject, readings: int) -> None:
        content = bytearray(
            json.dumps(list_of("m", 2)._asdict() | {"chunk_bytes": 1, "layers": 16}).encode()
        )
        at = data.draw(st.integers(0, len(content) - 1), "byte")
        content[at] = data.draw(st.integers(0, 255), "value")

        def fault(found: PieceList) -> PieceList:
            return decode_list(bytes(content))

        async def draw() -> None:
            fleet = PieceFleet()
            fleet.origin.list_faults = [fault] * readings
            await fleet.stager().fetch()
            self.assertTrue(fleet.is_staged())

        with mock.patch.object(originfetcher, "ORIGIN_RETRY_PAUSE_S", 0.0):
            asyncio.run(draw())
