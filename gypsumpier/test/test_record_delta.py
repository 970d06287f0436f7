"""Tests of records that are sent as a delta to the value before."""

import json
import unittest
import zlib
from typing import Any
from unittest import mock

import msgpack
from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumpier.fleet.record import Record
from gypsumpier.mesh import delta as delta_module
from gypsumpier.mesh import recorddelta as module
from gypsumpier.mesh.delta import DeltaError, apply_delta, delta_between
from gypsumpier.mesh.feed import pack_records, unpack_records
from gypsumpier.mesh.recorddelta import (
    join_records,
    pack_deltas,
    split_records,
    unpack_deltas,
)
from gypsumpier.test.builders_platform import configuration_record, route_body

KEY = "op/config"
ITEMS = st.lists(st.dictionaries(st.sampled_from("abc"), st.integers(0, 3)), max_size=30)


def json_value(items: list[dict[str, int]], version: int = 0) -> bytes:
    """Return a value with a version and a list of items."""
    return json.dumps({"version": version, "routes": items}).encode()


def large_configuration(revision: int, routes: int, changed: int = -1) -> Record:
    """Return a configuration whose version is its revision, with one route changed."""
    found = [route_body(f"r{number}", prefix=f"/r{number}/") for number in range(routes)]
    if changed >= 0:
        found[changed] |= {"timeout_ms": 1000 + revision}
    return configuration_record(revision, version=revision, routes=found)


class ValueTest(unittest.TestCase):
    @given(st.binary(), st.binary())
    def test_any_bytes(self, base: bytes, value: bytes) -> None:
        self.assertEqual(value, apply_delta(base, delta_between(base, value)))

    @given(st.lists(st.sampled_from((b"a}", b"b}", b"}", b"ab", b"")), max_size=20), st.data())
    def test_pieces_that_are_moved_repeated_and_left_out(
        self, parts: list[bytes], data: st.DataObject
    ) -> None:
        base = b"".join(parts)
        value = b"".join(data.draw(st.lists(st.sampled_from(parts or [b"c"]), max_size=20)))
        self.assertEqual(value, apply_delta(base, delta_between(base, value)))

    def test_malformed_parts_are_refused(self) -> None:
        bad: Any
        for bad in (
            1,
            {},
            [1],
            ["a"],
            [[0]],
            [[0, 1, 2]],
            [[0, 9]],
            [[-1, 1]],
            [[0, -1]],
            [["", 1]],
        ):
            with self.subTest(bad), self.assertRaises(DeltaError):
                apply_delta(b"base", bad)

    # Guards against a few bytes that make a value of any size.
    def test_the_size_of_the_result_is_limited(self) -> None:
        with mock.patch.object(delta_module, "VALUE_BYTES_MAX", 10):
            self.assertEqual(b"basebase", apply_delta(b"base", [[0, 4]] * 2))
            with self.assertRaises(DeltaError):
                apply_delta(b"base", [[0, 4]] * 3)


class RecordTest(unittest.TestCase):
    def setUp(self) -> None:
        patch = mock.patch.object(module, "DELTA_MIN_BYTES", 1)
        patch.start()
        self.addCleanup(patch.stop)

    def sent(self, records: list[Record], base: Record) -> list[Record]:
        """Return the records as they arrive where ``base`` is known."""
        assert base.value is not None
        whole, deltas = split_records(records, {base.key: base.value})
        made = join_records(unpack_deltas(pack_deltas(deltas)), {base.key: base})
        return sorted(unpack_records(pack_records(whole)) + made, key=lambda one: one.revision)

    @settings(deadline=None)
    @given(ITEMS, st.lists(ITEMS, max_size=4))
    def test_records_arrive_as_they_do_whole(
        self, base: list[dict[str, int]], changes: list[list[dict[str, int]]]
    ) -> None:
        records = [
            Record(KEY, json_value(items, number), number)
            for number, items in enumerate(changes, start=2)
        ]
        expected = unpack_records(pack_records(records))
        self.assertEqual(expected, self.sent(records, Record(KEY, json_value(base), 1)))

    def test_a_removed_and_a_returned_key(self) -> None:
        records = [Record(KEY, None, 2), Record(KEY, b"value}again}", 3)]
        self.assertEqual(records, self.sent(records, Record(KEY, b"value}", 1)))

    @settings(deadline=None, max_examples=300)
    @given(st.integers(0, 10_000), st.integers(1, 255))
    def test_a_flipped_byte_never_makes_another_value(self, place: int, flip: int) -> None:
        """Guards against a corrupt delta that is applied."""
        base = large_configuration(1, 20)
        found = large_configuration(2, 20, changed=7)
        assert base.value is not None
        _, deltas = split_records([found], {KEY: base.value})
        content = bytearray(msgpack.packb([list(one) for one in deltas]))
        content[place % len(content)] ^= flip
        try:
            made = join_records(unpack_deltas(zlib.compress(bytes(content))), {KEY: base})
        except DeltaError:
            return
        self.assertLessEqual({one.value for one in made}, {found.value, base.value})

    def test_another_base_is_refused(self) -> None:
        base, found = large_configuration(1, 20), large_configuration(3, 20)
        assert base.value is not None
        _, deltas = split_records([found], {KEY: base.value})
        other: dict[str, Record]
        for other in ({}, {KEY: large_configuration(2, 20)}, {KEY: Record(KEY, None, 2)}):
            with self.assertRaises(DeltaError):
                join_records(deltas, other)

    # Guards against a configuration that goes back.
    def test_a_newer_known_record_is_kept(self) -> None:
        base, found = large_configuration(1, 20), large_configuration(2, 20)
        newer = large_configuration(3, 20)
        assert base.value is not None
        _, deltas = split_records([found], {KEY: base.value})
        (made,) = join_records(deltas, {KEY: newer})
        self.assertEqual(newer.value, made.value)

    def test_malformed_messages_are_refused(self) -> None:
        bad: Any
        for bad in (None, b"", b"text", zlib.compress(b"text"), zlib.compress(msgpack.packb([1]))):
            with self.subTest(bad), self.assertRaises(DeltaError):
                unpack_deltas(bad)
        content = pack_deltas(split_records([large_configuration(2, 20)], {KEY: b"}"})[1])
        with mock.patch.object(module, "DELTAS_BYTES_MAX", 100), self.assertRaises(DeltaError):
            unpack_deltas(content)


if __name__ == "__main__":
    unittest.main()
