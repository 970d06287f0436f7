"""Builders of odd records: what another writer may leave among the records of upstreams."""

import json
from typing import Any, Final

from gypsumpier.test.builders_platform import engine_body

DEPTH: Final = 100_000
"""Levels of a value that is nested too deeply for any parser that recurses."""
DIGITS: Final = 50_000
"""Digits of a number that Python refuses to convert."""


def deep_list() -> bytes:
    """Return a list in lists."""
    return b"[" * DEPTH + b"]" * DEPTH


def engine_with(name: str, text: str) -> bytes:
    """Return an engine's record in which one field holds this JSON text."""
    body = engine_body(9)
    body.pop(name, None)
    return f'{json.dumps(body)[:-1]}, "{name}": {text}}}'.encode()


def odd_records() -> dict[str, bytes]:
    """Return odd contents of an upstream's record by what is odd about them."""
    records: dict[str, bytes] = {
        "nested list": deep_list(),
        "nested object": b'{"a":' * DEPTH + b"1" + b"}" * DEPTH,
        "nested field": engine_with("models", deep_list().decode()),
        "no object": b"[1, 2]",
        "no text": b"\xff\xfe\x00",
        "empty": b"",
        "half a character in the service": engine_with("service", '"\\ud800"'),
        "half a character in the zone": engine_with("zone", '"\\udfff"'),
        "half a character in the model": engine_with("models", '[{"name": "\\ud800"}]'),
        "many slots": engine_with("slots", "100000000000000000"),
        "slots as a list": engine_with("slots", "[16]"),
        "layers of a huge version": engine_with(
            "layers", f'{{"from": 0, "to": 16, "version": {10**30}}}'
        ),
    }
    for name in ("slots", "born"):
        for label, text in numbers().items():
            records[f"{name} of {label}"] = engine_with(name, text)
    for port in ("0", "65536", "-1", "1e9", "true", '"80"', "", "9" * DIGITS, "٨٠"):
        address = json.dumps(f"127.0.0.9:{port}")
        records[f"port {port[:8]}"] = engine_with("address", address)
    return records


def numbers() -> dict[str, str]:
    """Return numbers, as JSON texts, that no field of a record may have."""
    return {
        "infinity": "1e999",
        "no number": "NaN",
        "over 64 bits": str(2**64),
        "30 digits": "9" * 30,
        "400 digits": "9" * 400,
        "too many digits": "9" * DIGITS,
        "a negative number": "-1",
        "half": "0.5",
        "truth": "true",
    }


def odd_members() -> list[dict[str, Any] | list[Any] | None]:
    """Return entries that are no member of a member list."""
    return [
        None,
        [],
        {},
        {"name": "x"},
        member_fields(port=float("inf")),
        member_fields(port="eighty"),
        member_fields(bulk_port=[]),
    ]


def member_fields(**fields: Any) -> dict[str, Any]:
    """Return one entry of a member list."""
    texts = ("name", "incarnation", "role", "service", "region", "zone", "host")
    body: dict[str, Any] = {name: name for name in texts}
    return body | {"port": 80, "bulk_port": 81, "leaving": False} | fields
