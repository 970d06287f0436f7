"""Tests of the decoders of the store's records against valid, foreign and malformed content."""

import json
import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumpier.fleet.change import ConfigurationChange, UpstreamChange, VersionChange
from gypsumpier.fleet.record import Record
from gypsumpier.fleet.regions import AllowedRegions
from gypsumpier.fleet.upstream import LoadedLayers, whole_version
from gypsumpier.test.builders_platform import (
    ENGINES,
    KEY,
    LAYERS,
    MODEL,
    PLAIN,
    configuration_body,
    configuration_record,
    decode_record,
    engine_body,
    engine_record,
    engine_service_body,
    record,
    route_body,
)

KEYS = st.sampled_from(["op/config", "op/version/m", "servers/i-1", "else"])
ANY_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=5,
)


def decoded_engine(**fields: Any) -> UpstreamChange:
    """Decode an engine's record with some fields replaced."""
    change = decode_record(record("servers/i-1", engine_body(**fields), 3))
    assert isinstance(change, UpstreamChange)
    return change


class RecordsTest(unittest.TestCase):
    def test_a_configuration_is_decoded(self) -> None:
        change = decode_record(configuration_record())
        assert isinstance(change, ConfigurationChange)
        found = change.configuration
        route = found.match("Lab.example:80", "/reports/2f")
        assert route is not None
        self.assertTrue(route.is_streamed and route.is_repeatable)
        self.assertEqual((6.0, 0.4, 0.3), (route.timeout_s, route.goal_s, route.event_gap_goal_s))
        command = found.match("lab.example", "/commands/x")
        assert command is not None
        self.assertFalse(command.is_streamed or command.is_repeatable)
        assert found.workspaces_by_key is not None
        self.assertEqual("lab", found.workspaces_by_key[KEY].name)
        origin = found.origin()
        assert origin is not None
        self.assertEqual(9.9e6 / 8, origin.link_bytes_per_s)

    # Guards against an upstream that gets nothing, or counts as warm, for a malformed field.
    def test_the_time_that_an_upstream_stays_cold_is_decoded(self) -> None:
        for value, expected in (
            (2500, (2.5, True)),
            (0, (0.0, True)),
            ("x", (0.0, False)),
            (None, (0.0, False)),
            (-1, (0.0, False)),
            (True, (0.0, False)),
            (float("nan"), (0.0, False)),
        ):
            found = decoded_engine(cold_left_ms=value).record
            assert found is not None
            self.assertEqual(expected, (found.cold_left_s, found.states_cold), value)
        found = decoded_engine().record
        assert found is not None
        self.assertEqual((0.0, False), (found.cold_left_s, found.states_cold))

    def test_the_limit_of_cold_upstreams_is_decoded(self) -> None:
        services = [
            engine_service_body(cold_s=3.0, cold_per_s=26.0),
            {"name": PLAIN, "cold_s": "x", "cold_per_s": None},
        ]
        change = decode_record(configuration_record(services=services))
        assert isinstance(change, ConfigurationChange)
        engines, plain = (change.configuration.services[name] for name in (ENGINES, PLAIN))
        self.assertEqual((3.0, 26.0), (engines.cold_s, engines.cold_per_s))
        self.assertEqual((0.0, 0.0), (plain.cold_s, plain.cold_per_s))

    def test_the_longest_prefix_of_the_host_wins(self) -> None:
        routes = [route_body("a", prefix="/reports/"), route_body("b", prefix="/reports/2/")]
        change = decode_record(configuration_record(routes=routes))
        assert isinstance(change, ConfigurationChange)
        found = [change.configuration.match("lab.example", path) for path in ("/reports/2/x", "/r")]
        self.assertEqual(["b", None], [route.name if route else None for route in found])

    def test_a_stream_without_resumption_may_run_once(self) -> None:
        change = decode_record(configuration_record(routes=[route_body(resumable=False)]))
        assert isinstance(change, ConfigurationChange)
        self.assertFalse(change.configuration.routes[0].is_repeatable)

    # Guards against regions that are read as fewer limits than were meant.
    def test_allowed_regions_of_routes_and_tenants_are_decoded(self) -> None:
        named: dict[str, Any] = {"allowed_regions": ["bac", "nam", "bac"]}
        found = self.decoded_regions(named, named)
        self.assertEqual([frozenset({"bac", "nam"})] * 2, found)
        empty: dict[str, Any] = {"allowed_regions": []}
        self.assertEqual([None, None], self.decoded_regions(empty, empty))
        self.assertEqual([None, None], self.decoded_regions({}, {}))

    # Guards against a configuration that allows any region because a value is misread.
    def test_malformed_regions_make_a_configuration_malformed(self) -> None:
        for value in (None, "bac", 3, {"bac": True}, [None], [""], ["bac", 3], ["bac\ud800"]):
            wrong: dict[str, Any] = {"allowed_regions": value}
            with self.subTest(value=value):
                self.assertIsNone(self.decoded_regions(wrong, {}))
                self.assertIsNone(self.decoded_regions({}, wrong))

    def decoded_regions(
        self, of_route: dict[str, Any], of_tenant: dict[str, Any]
    ) -> list[AllowedRegions] | None:
        """Return the regions of a route and a tenant; None if the record is malformed."""
        tenant = {"name": "lab", "api_keys": [KEY]} | of_tenant
        change = decode_record(
            configuration_record(routes=[route_body(**of_route)], tenants=[tenant])
        )
        if change is None:
            return None
        assert isinstance(change, ConfigurationChange)
        workspaces = change.configuration.workspaces_by_key or {}
        return [change.configuration.routes[0].allowed_regions, workspaces[KEY].allowed_regions]

    def test_layers_are_read_as_one_range_or_as_several(self) -> None:
        halves = [
            {"from": 0, "to": 8, "version": 2},
            {"from": 8, "to": LAYERS, "version": 2},
        ]
        for layers in ({"from": 0, "to": LAYERS, "version": 2}, halves):
            with self.subTest(layers=layers):
                found = decoded_engine(layers=layers).record
                assert found is not None
                self.assertEqual(2, whole_version(found.layers, LAYERS))

    def test_an_engine_that_holds_nothing_is_known_and_has_no_version(self) -> None:
        found = decoded_engine(version=0).record
        assert found is not None
        self.assertEqual(0, whole_version(found.layers, LAYERS))

    def test_gaps_and_mixed_versions_are_no_whole_model(self) -> None:
        gap = (LoadedLayers(MODEL, 1, 0, 7), LoadedLayers(MODEL, 1, 8, LAYERS))
        mixed = (LoadedLayers(MODEL, 1, 0, 8), LoadedLayers(MODEL, 2, 8, LAYERS))
        self.assertEqual((0, 0), (whole_version(gap, LAYERS), whole_version(mixed, LAYERS)))

    def test_a_malformed_record_of_another_writer_is_no_upstream(self) -> None:
        foreign: list[dict[str, Any]] = [
            {"state": "lost"},
            {"address": "here"},
            {"address": 7},
            {"slots": "6"},
            {"service": None},
            {"models": {}},
            {"models": [{"name": 1}]},
            {"layers": 3},
        ]
        for fields in foreign:
            with self.subTest(fields=fields):
                self.assertIsNone(decoded_engine(**fields).record)

    def test_a_removal_names_the_upstream(self) -> None:
        self.assertEqual(UpstreamChange("i-1", None), decode_record(Record("servers/i-1", None, 9)))

    def test_a_wanted_version_is_decoded(self) -> None:
        found = decode_record(record(f"op/version/{MODEL}", {"model": MODEL, "version": 2}, 4))
        self.assertEqual(VersionChange(MODEL, 2), found)

    @given(KEYS, st.binary(max_size=40) | ANY_JSON.map(lambda found: json.dumps(found).encode()))
    @settings(derandomize=True, deadline=None, max_examples=300)
    def test_malformed_content_raises_nothing_and_is_ignored(self, key: str, value: bytes) -> None:
        change = decode_record(Record(key, value, 5))
        if change is not None:
            self.assertEqual(UpstreamChange("i-1", None), change)

    @given(st.sampled_from(sorted(configuration_body())), ANY_JSON)
    @settings(derandomize=True, deadline=None, max_examples=150)
    def test_a_configuration_with_any_wrong_field_is_not_raised(
        self, name: str, value: object
    ) -> None:
        decode_record(record("op/config", configuration_body() | {name: value}, 2))

    def test_the_builders_are_valid(self) -> None:
        self.assertIsNotNone(decode_record(engine_record(1, 1)))
