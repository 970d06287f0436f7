"""Tests of odd entries that another writer left in a list: they hide nothing and end no reader."""

import json
import time
import unittest
from typing import Final
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumpier.codes.wire import BAD_FRAME
from gypsumpier.errors import GypsumpierError
from gypsumpier.external.http import json_object
from gypsumpier.external.membership_http import decode_members
from gypsumpier.fleet.change import UpstreamChange
from gypsumpier.fleet.record import Record
from gypsumpier.mesh.mesh import SIDECAR
from gypsumpier.platform import records
from gypsumpier.spread.message import unpacked_changes
from gypsumpier.test.builders_odd import deep_list, member_fields, numbers, odd_members, odd_records
from gypsumpier.test.builders_platform import (
    MODEL,
    configuration_body,
    decode_record,
    engine_body,
)
from gypsumpier.test.meshnode import wait_until
from gypsumpier.test.standin.platform import PlatformStandin
from gypsumpier.test.storefollower import StoreFollower
from gypsumpier.wire.frame import Frame, encode

CALLS_MAX: Final = 200
"""Calls to the store in a test that writes about 40 records: a few for each of them."""


class OddEntryTest(unittest.IsolatedAsyncioTestCase):
    """Two entries, one of which is told by the other, and a sidecar that both tell."""

    async def asyncSetUp(self) -> None:
        self.store = PlatformStandin()
        self.addAsyncCleanup(self.store.server.close_all_connections)
        self.addCleanup(self.store.server.stop)
        self.store.put("op/config", configuration_body())
        self.readers: list[StoreFollower] = []

    async def start(self) -> None:
        """Start the processes, and wait until all follow the store."""
        self.readers = [
            StoreFollower("front-1", "entry", self.store),
            StoreFollower("front-2", "entry", self.store),
            StoreFollower("side-1", SIDECAR, self.store),
        ]
        for reader in self.readers:
            reader.node.start(self.readers[0].node, self.readers[1].node)
            self.addAsyncCleanup(reader.stop)
            reader.watcher.start()
        await self.followed()

    async def followed(self) -> None:
        """Wait until every process knows the store's newest revision."""
        await wait_until(
            lambda: all(reader.state.revision == self.store.revision for reader in self.readers)
        )

    def write_odd_entries(self) -> None:
        """Write all odd records, with a good one behind each of them."""
        for number, content in enumerate(odd_records().values()):
            self.store.put_bytes(f"servers/odd-{number}", content)
            self.store.put(f"servers/i-{number}", engine_body(1 + number % 200))
        self.store.put_bytes("servers/\ud800", b"{}")
        self.store.put_bytes("op/version/deep", deep_list())
        self.store.put_bytes(f"op/version/{MODEL}", b'{"model": "m", "version": 1%s}' % (b"0" * 40))

    def check(self) -> None:
        """Check that every process knows the good entries alone and still runs its tasks."""
        expected = {f"i-{number}" for number in range(len(odd_records()))}
        for reader in self.readers:
            self.assertEqual(expected, set(reader.state.upstreams))
            self.assertEqual([False] * 3, [task.done() for task in reader.watcher.tasks])
            self.assertEqual(2, len(reader.node.mesh.links))
        self.assertLess(self.store.calls, CALLS_MAX)

    # Guards against an odd entry, written while all watch, that ends a reader or hides the next.
    async def test_odd_entries_in_a_watch_and_in_a_feed(self) -> None:
        await self.start()
        self.write_odd_entries()
        await self.followed()
        self.check()

    # Guards against a process that can't start, or a page that is refused as a whole.
    async def test_odd_entries_in_a_snapshot(self) -> None:
        self.write_odd_entries()
        await self.start()
        self.check()

    # Guards against an odd configuration in the place of the one in force.
    async def test_an_odd_configuration_changes_nothing(self) -> None:
        await self.start()
        self.store.put_bytes("op/config", deep_list())
        self.store.put("servers/i-1", engine_body())
        await self.followed()
        for reader in self.readers:
            self.assertIn("i-1", reader.state.upstreams)
            self.assertIsNotNone(reader.state.configuration)


class OddContentTest(unittest.TestCase):
    def test_an_odd_record_of_an_upstream_names_none(self) -> None:
        for label, content in odd_records().items():
            with self.subTest(label):
                change = decode_record(Record("servers/i-9", content, 5))
                self.assertEqual(UpstreamChange("i-9", None), change)

    def test_an_odd_value_under_any_key_is_no_change(self) -> None:
        odd_number = b'{"model": "m", "version": %s}'
        for key in ("op/config", "op/version/m"):
            for content in (deep_list(), *(odd_number % n.encode() for n in numbers().values())):
                with self.subTest(key=key, content=content[:60]):
                    self.assertIsNone(decode_record(Record(key, content, 5)))

    @given(
        st.sampled_from(sorted(engine_body())),
        st.integers() | st.floats() | st.text(st.characters()) | st.lists(st.integers()),
    )
    @settings(derandomize=True, deadline=None, max_examples=300)
    def test_what_is_taken_can_be_sent(self, name: str, value: object) -> None:
        content = json.dumps(engine_body(9) | {name: value}).encode()
        change = decode_record(Record("servers/i-9", content, 5))
        assert isinstance(change, UpstreamChange)
        if change.record is not None:
            fields = [list(part) if isinstance(part, tuple) else part for part in change.record]
            encode(Frame("kind", "", 0, 0.0, {"record": fields}))

    def test_a_rejected_record_is_logged_once_in_a_while(self) -> None:
        decoder = records.RecordDecoder()
        with mock.patch.object(records, "decision") as logged:
            for revision in range(20):
                decoder.decode(Record("servers/i-9", b"[]", revision))
            self.assertEqual(1, logged.call_count)
            later_s = time.monotonic() + records.REJECTION_LOG_INTERVAL_S
            with mock.patch.object(time, "monotonic", lambda: later_s):
                decoder.decode(Record("servers/i-9", b"[]", 21))
            self.assertEqual(2, logged.call_count)

    def test_an_answer_that_is_nested_too_deeply_is_a_bad_answer(self) -> None:
        with self.assertRaises(GypsumpierError):
            json_object(deep_list())

    def test_an_odd_member_hides_no_other(self) -> None:
        entries = [member_fields(), *odd_members(), member_fields(name="last")]
        found = decode_members(json.dumps({"members": entries}).encode())
        self.assertEqual(["name", "last"], [member.name for member in found])

    def test_a_member_of_another_shape_closes_the_connection_with_a_code(self) -> None:
        for item in ([], ["x"] * 9, ["x"] * 11, None, 7):
            with self.subTest(item=item), self.assertRaises(GypsumpierError) as raised:
                unpacked_changes({"put": [item], "whole": True, "gone": []})
            self.assertIs(BAD_FRAME, raised.exception.code)


if __name__ == "__main__":
    unittest.main()
