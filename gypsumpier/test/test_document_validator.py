"""Tests of the validator: codes and paths, arbitrary bytes, and agreement with the schema."""

import json
import unittest
from typing import Any

import jsonschema
from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumpier.document.errors import DocumentError
from gypsumpier.document.schema import SCHEMA_PATH, rendered
from gypsumpier.document.validator import parse
from gypsumpier.test.builders_document import document_body, document_fields, json_values

REFUSALS: list[tuple[dict[str, Any], int, str]] = [
    ({"replica": 1}, 5002, "replica"),
    ({"kind": 3}, 5004, "kind"),
    ({"kind": "batch"}, 5006, "kind"),
    ({"service": "Gypsum"}, 5006, "service"),
    ({"service": "gypsum\n"}, 5006, "service"),
    ({"zones": []}, 5008, "zones"),
    ({"zones": [{"zone": "bac-a"}]}, 5003, "zones[0].replicas"),
    ({"zones": [{"zone": "bac-a", "replicas": True}]}, 5004, "zones[0].replicas"),
    ({"zones": [{"zone": "bac-a", "replicas": 1}] * 2}, 5009, "zones[1].zone"),
    ({"versions": [{"version": "v1", "share_percent": 99}]}, 5010, "versions"),
    ({"versions": [{"version": "v1", "share_percent": 101}]}, 5005, "versions[0].share_percent"),
    ({"versions": []}, 5003, "versions"),
    ({"live_by": "2026-02-30T00:00:00Z"}, 5007, "live_by"),
    ({"live_by": "2026-02-03T00:00:00"}, 5006, "live_by"),
    ({"limits": {"deadline_s": 0}}, 5005, "limits.deadline_s"),
    ({"workspaces": [{"name": "a", "home_zone": "nowhere"}]}, 5011, "workspaces[0].home_zone"),
    ({"kind": "plain"}, 5012, "model"),
    ({"kind": "plain", "model": "", "live_by": "2026-02-03T00:00:00Z"}, 5012, "versions"),
]

mutations = st.dictionaries(st.sampled_from(sorted(document_fields())), json_values, max_size=2)


class ValidatorTest(unittest.TestCase):
    def test_each_refusal_has_its_code_and_path(self) -> None:
        for changes, code, path in REFUSALS:
            with self.subTest(changes=changes):
                with self.assertRaises(DocumentError) as caught:
                    parse(document_body(**changes))
                self.assertEqual(
                    (code, path), (caught.exception.code.number, caught.exception.path)
                )

    def test_bytes_that_are_not_a_valid_json_object_are_refused_with_codes(self) -> None:
        cases = {
            b"": 5001,
            b"\xff": 5001,
            b"[" * 5000: 5001,
            b'{"a": NaN}': 5001,
            b"[]": 5004,
            b'{"kind": 1, "kind": 2}': 5014,
            b" " * 65537: 5000,
        }
        for body, code in cases.items():
            with self.subTest(body=body[:20]):
                with self.assertRaises(DocumentError) as caught:
                    parse(body)
                self.assertEqual(code, caught.exception.code.number)

    def test_absent_optional_fields_take_defaults(self) -> None:
        fields = {"service": "lab-portal", "kind": "plain", "zones": [{"zone": "a", "replicas": 1}]}
        document = parse(json.dumps(fields).encode())
        self.assertEqual((32, 1024 * 1024, 30.0), tuple(document.limits))
        self.assertEqual((1, None), (document.max_unavailable, document.live_by))
        self.assertFalse(document.engines_honour_fencing)

    @given(st.binary(max_size=200) | json_values.map(lambda value: json.dumps(value).encode()))
    @settings(derandomize=True, deadline=None, max_examples=200)
    def test_any_bytes_are_parsed_or_refused_with_a_code(self, body: bytes) -> None:
        try:
            parse(body)
        except DocumentError as error:
            self.assertTrue(5000 <= error.code.number <= 5014)


class SchemaTest(unittest.TestCase):
    def test_the_committed_file_matches_the_shapes(self) -> None:
        self.assertEqual(rendered(), SCHEMA_PATH.read_text())

    @given(mutations)
    @settings(derandomize=True, deadline=None, max_examples=300)
    def test_the_validator_refuses_what_the_schema_refuses(self, changes: dict[str, Any]) -> None:
        fields = document_fields(**changes)
        schema = jsonschema.Draft202012Validator(json.loads(SCHEMA_PATH.read_text()))
        by_schema = schema.is_valid(fields)
        try:
            parse(json.dumps(fields).encode())
        except DocumentError as error:
            # The schema can't express rules between fields, valid times, JSON syntax and 1.0.
            self.assertTrue(not by_schema or is_beyond_schema(error), error)
        else:
            self.assertTrue(by_schema)


def is_beyond_schema(error: DocumentError) -> bool:
    """Return whether the refusal is one that the schema can't express."""
    if error.code.number == 5004:
        return error.detail.endswith("must be an integer, not float")
    return error.code.number in {5001, 5003, 5007, 5009, 5010, 5011, 5012}
