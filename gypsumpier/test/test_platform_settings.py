"""Tests of the platform's settings file: all wrong fields are reported, unknown ones ignored."""

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumpier.fleet.node import Address, NodeSettings
from gypsumpier.platform.settings import FILE_FIELD, read_settings
from gypsumpier.settings import SettingsError
from gypsumpier.test.builders_platform import settings_body

ANY_JSON = st.recursive(
    st.none() | st.booleans() | st.floats() | st.integers() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=6,
)


def read(content: bytes) -> NodeSettings:
    """Read settings from a file with that content."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "node.json"
        path.write_bytes(content)
        return read_settings(path)


def read_body(**fields: Any) -> NodeSettings:
    """Read settings with some fields replaced."""
    return read(json.dumps(settings_body(**fields)).encode())


class PlatformSettingsTest(unittest.TestCase):
    def test_units_are_those_of_the_names(self) -> None:
        found = read_body()
        self.assertEqual(5.0, found.bounds.key_revoked_s)
        self.assertEqual(8.0, found.bounds.stop_s)
        self.assertEqual(125_000_000, found.link_bytes_per_s)
        self.assertEqual(Address("127.0.0.1", 8005), found.caller_address)

    # Guards against settings of older platforms that are rejected, and against malformed bounds.
    def test_bounds_of_cold_upstreams_are_optional(self) -> None:
        found = read_body().bounds
        self.assertEqual((1.0, 0.0), (found.cold_excess, found.cold_slack))
        bounds = settings_body()["bounds"]
        found = read_body(bounds=bounds | {"cold_excess": 1.5, "cold_slack": 5}).bounds
        self.assertEqual((1.5, 5.0), (found.cold_excess, found.cold_slack))
        with self.assertRaises(SettingsError):
            read_body(bounds=bounds | {"cold_excess": -1})

    def test_unknown_fields_are_ignored(self) -> None:
        self.assertEqual(read_body(), read_body(new_field={"a": 1}))

    def test_every_wrong_field_is_reported(self) -> None:
        with self.assertRaises(SettingsError) as raised:
            read_body(zone=7, port_range=[9, 1.5], seeds=["front:1"], provider={})
        names = {
            problem.setting.removeprefix(f"{FILE_FIELD} ") for problem in raised.exception.problems
        }
        self.assertEqual({"zone", "port_range", "seeds", "provider.address"}, names)

    def test_a_file_that_is_not_a_json_object_is_reported(self) -> None:
        for content in (b"", b"[]", b"{", b"\xff"):
            with self.subTest(content=content), self.assertRaises(SettingsError):
                read(content)

    @given(st.sampled_from(sorted(settings_body())), ANY_JSON)
    @settings(derandomize=True, deadline=None, max_examples=150)
    def test_any_value_is_read_or_reported(self, name: str, value: object) -> None:
        try:
            read_body(**{name: value})
        except SettingsError as error:
            self.assertTrue(error.problems)
