"""Tests of the settings: all errors are reported at once, each with its result code."""

import contextlib
import io
import unittest
from dataclasses import fields
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumpier import daemon
from gypsumpier.options import Options
from gypsumpier.settinghelp import SETTING_HELP
from gypsumpier.settings import SettingsError, build, flag_name, variable_name
from gypsumpier.test.builders_frame import AGENT_TEXTS, ENTRY_TEXTS

WRONG_TEXTS = {
    "region": "Bac Bo",
    "zone": "-a",
    "host": "localhost",
    "port": "65536",
    "bulk_port": "many",
    "http_port": "-1",
    "administration_port": "0x10",
    "configuration_url": "ftp://127.0.0.1:1",
    "membership_url": "",
    "store_url": "http://127.0.0.1:99999",
    "origin_url": "127.0.0.1:80",
    "upstream_kind": "engine",
    "log_level": "LOUD",
    "log_json": "perhaps",
    "heartbeat_s": "0",
    "silence_s": "nan",
    "dial_timeout_s": "1 s",
    "watchers_per_zone": "0",
    "importers": "1.5",
    "live_traffic_share": "1.01",
}
RIGHT_TEXTS = {
    "name": "entry/bac-a/3",
    "incarnation": "one",
    "host": "::1",
    "port": "65535",
    "http_port": "0",
    "origin_url": "https://127.0.0.1:80/weights",
    "log_level": "DEBUG",
    "log_json": "true",
    "heartbeat_s": "0.5",
    "watchers_per_zone": "1",
    "live_traffic_share": "0",
}


class SettingsTest(unittest.TestCase):
    @given(
        st.sets(st.sampled_from(sorted(WRONG_TEXTS))), st.sets(st.sampled_from(sorted(RIGHT_TEXTS)))
    )
    @settings(derandomize=True, deadline=None, max_examples=200)
    def test_exactly_the_wrong_settings_are_reported(
        self, wrong: set[str], right: set[str]
    ) -> None:
        # The name contains the zone, so a wrong zone would make the name wrong as well.
        right = right - {"name"} if "zone" in wrong else right
        texts = ENTRY_TEXTS | {name: RIGHT_TEXTS[name] for name in right}
        texts |= {name: WRONG_TEXTS[name] for name in wrong}
        if not wrong:
            self.assertEqual("bac-a", build(texts).zone)
            return
        with self.assertRaises(SettingsError) as caught:
            build(texts)
        self.assertEqual(wrong, {problem.setting for problem in caught.exception.problems})
        numbers = {problem.code.number for problem in caught.exception.problems}
        self.assertTrue(numbers <= set(range(8001, 8010)))

    @given(st.dictionaries(st.sampled_from([f.name for f in fields(Options)]), st.text()))
    @settings(derandomize=True, deadline=None, max_examples=300)
    def test_any_text_gives_options_or_coded_problems(self, texts: dict[str, str]) -> None:
        with contextlib.suppress(SettingsError):
            build(AGENT_TEXTS | texts)

    def test_each_role_requires_its_own_settings(self) -> None:
        for texts in (ENTRY_TEXTS, AGENT_TEXTS):
            for name in set(texts) - {"role", "upstream_kind"}:
                with self.subTest(role=texts["role"], name=name):
                    with self.assertRaises(SettingsError) as caught:
                        build({key: text for key, text in texts.items() if key != name})
                    found = [(p.code.number, p.setting) for p in caught.exception.problems]
                    self.assertEqual([(8001, name)], found)

    def test_settings_that_contradict_each_other(self) -> None:
        conflicts = {
            "service": {"service": "table-ops"},
            "name": {"name": "entry/nam-a/0"},
            "silence_s": {"heartbeat_s": "3", "silence_s": "3"},
            "weight_memory_bytes": {"weight_memory_bytes": "9"},
        }
        for name, texts in conflicts.items():
            with self.subTest(name=name), self.assertRaises(SettingsError) as caught:
                build(ENTRY_TEXTS | texts)
            self.assertEqual(
                [(8004, name)], [(p.code.number, p.setting) for p in caught.exception.problems]
            )

    def test_defaults_of_name_and_incarnation(self) -> None:
        first, second = build(AGENT_TEXTS), build(AGENT_TEXTS)
        self.assertEqual("table-ops/bac-a/0", first.name)
        self.assertNotEqual(first.incarnation, second.incarnation)

    def test_every_setting_has_a_flag_a_variable_and_a_help_text(self) -> None:
        names = [field.name for field in fields(Options)]
        self.assertEqual(names, [parameter.name for parameter in daemon.gypsumpierd.params])
        self.assertEqual(set(names), set(SETTING_HELP))


class DaemonSettingsTest(unittest.TestCase):
    def run_daemon(self, arguments: list[str], environment: dict[str, str]) -> tuple[int, str]:
        """Return the exit status and standard error of a daemon that does not start."""
        output = io.StringIO()
        with mock.patch.dict("os.environ", environment, clear=True):
            with contextlib.redirect_stderr(output):
                return daemon.main(arguments), output.getvalue()

    def test_all_errors_are_printed_with_their_codes(self) -> None:
        environment = {variable_name(name): text for name, text in ENTRY_TEXTS.items()}
        environment[variable_name("zone")] = "A"
        status, output = self.run_daemon(["--port", "x", "--log-json", "--host", "h"], environment)
        self.assertEqual(2, status)
        lines = [line.split()[:3] for line in output.splitlines()]
        wanted = [
            ["8002", "setting_malformed", flag_name(n) + ":"] for n in ("port", "zone", "host")
        ]
        self.assertEqual(wanted, lines)

    def test_an_unknown_flag_has_its_code(self) -> None:
        status, output = self.run_daemon(["--no-such-flag"], {})
        self.assertEqual((2, "8005"), (status, output[:4]))

    def test_a_flag_wins_over_its_variable(self) -> None:
        texts = ENTRY_TEXTS | {"port": "1"}
        environment = {variable_name(name): text for name, text in texts.items()}
        with mock.patch.dict("os.environ", environment, clear=True):
            options = daemon.gypsumpierd.main(["--port", "2"], standalone_mode=False)
        self.assertEqual((2, "bac"), (options.port, options.region))
