"""Reads the settings file that the platform writes for a process, which is one JSON object.

Unknown fields are ignored.  All invalid ones are reported at once, as with the product's own
settings.
"""

import json
from pathlib import Path
from typing import Any, Final

from gypsumpier.codes.setting import SETTING_MALFORMED, SETTING_MISSING
from gypsumpier.fleet.node import Address, Bounds, NodeSettings
from gypsumpier.settings import MAX_PORT, Problem, SettingsError, is_ip_address

FILE_FIELD: Final = "field of the settings file"
BITS_PER_MBIT: Final = 1_000_000
BITS_PER_BYTE: Final = 8
BYTES_PER_MB: Final = 1024 * 1024
PORT_DIGITS_MAX: Final = 5


def read_settings(path: Path) -> NodeSettings:
    """Return the settings in the file; raise SettingsError with every problem."""
    try:
        body = json.loads(path.read_bytes())
    except (OSError, ValueError, RecursionError) as error:
        raise SettingsError([Problem(SETTING_MALFORMED, "node file", str(error))]) from error
    if not isinstance(body, dict):
        raise SettingsError([Problem(SETTING_MALFORMED, "node file", "is not a JSON object")])
    reader = Reader(body)
    settings = node_settings(reader)
    if reader.problems:
        raise SettingsError(reader.problems)
    return settings


class Reader:
    """Reads fields and collects the problems, so that all are reported at once."""

    def __init__(self, body: dict[str, Any]) -> None:
        self.body = body
        self.problems: list[Problem] = []

    def add_problem(self, name: str, detail: str) -> None:
        """Record a missing or malformed field."""
        code = SETTING_MISSING if self.value(name) is None else SETTING_MALFORMED
        self.problems.append(Problem(code, f"{FILE_FIELD} {name}", detail))

    def value(self, name: str) -> Any:
        """Return the value at a dotted name; None if there is none."""
        value: Any = self.body
        for part in name.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        return value

    def text(self, name: str) -> str:
        """Return a text that is not empty; record a problem and return "" otherwise."""
        value = self.value(name)
        if isinstance(value, str) and value:
            return value
        self.add_problem(name, "is not a text")
        return ""

    def number(self, name: str, scale: float = 1.0) -> float:
        """Return a number of 0 or more, multiplied by ``scale``; record a problem otherwise."""
        value = self.value(name)
        if isinstance(value, int | float) and not isinstance(value, bool) and 0 <= value < 1e15:
            return value * scale
        self.add_problem(name, "is not a number of 0 or more")
        return 0.0

    def optional_number(self, name: str, default: float) -> float:
        """Return a number of 0 or more, or ``default`` if the field is absent."""
        return default if self.value(name) is None else self.number(name)

    def address(self, name: str) -> Address:
        """Return an address; record a problem otherwise."""
        value = address(self.value(name))
        if value is None:
            self.add_problem(name, "is not IP:PORT")
            return Address("0.0.0.0", 0)
        return value

    def optional_address(self, name: str) -> Address | None:
        """Return an address, or None if the field is absent."""
        return None if self.value(name) is None else self.address(name)

    def addresses(self, name: str) -> tuple[Address, ...]:
        """Return a list of addresses; an absent list is empty."""
        value = self.value(name)
        parsed = [address(item) for item in value] if isinstance(value, list) else []
        if any(item is None for item in parsed) or not isinstance(value, list | None):
            self.add_problem(name, "is not a list of IP:PORT")
        return tuple(item for item in parsed if item is not None)

    def ports(self, name: str) -> tuple[int, int]:
        """Return the first and the last port of a range."""
        value = self.value(name)
        is_pair = isinstance(value, list) and len(value) == 2
        if is_pair and all(type(item) is int and 0 < item <= MAX_PORT for item in value):
            return value[0], value[1]
        self.add_problem(name, "is not [FIRST, LAST]")
        return 0, 0

    def texts(self, name: str) -> dict[str, str]:
        """Return an object whose values are texts; record a problem otherwise."""
        value = self.value(name)
        if isinstance(value, dict) and all(isinstance(item, str) for item in value.values()):
            return dict(value)
        self.add_problem(name, "is not an object of texts")
        return {}


def node_settings(reader: Reader) -> NodeSettings:
    """Return the settings; problems are collected in the reader."""
    first_port, last_port = reader.ports("port_range")
    return NodeSettings(
        name=reader.text("node"),
        host=reader.text("ip"),
        zone=reader.text("zone"),
        region=reader.text("region"),
        regions_by_zone=reader.texts("zones"),
        caller_address=reader.optional_address("listen.front"),
        readiness_address=reader.optional_address("listen.ready"),
        stream_address=reader.optional_address("listen.control"),
        seeds=reader.addresses("seeds"),
        store_address=reader.address("provider.address"),
        engine_address=reader.optional_address("app"),
        engine_service=reader.text("service") if reader.value("app") else "",
        first_port=first_port,
        last_port=last_port,
        link_bytes_per_s=reader.number("limits.link_mbps", BITS_PER_MBIT / BITS_PER_BYTE),
        memory_bytes=int(reader.number("limits.memory_mb", BYTES_PER_MB)),
        bounds=bounds(reader),
    )


def bounds(reader: Reader) -> Bounds:
    """Return the guaranteed bounds; times are in seconds."""
    return Bounds(
        configuration_in_force_s=reader.number("bounds.config_apply_ms", 0.001),
        key_revoked_s=reader.number("bounds.revoke_ms", 0.001),
        upstream_drain_s=reader.number("bounds.drain_ms", 0.001),
        stop_s=reader.number("bounds.grace_s"),
        version_in_force_s=reader.number("bounds.version_ms", 0.001),
        retry_share=reader.number("bounds.retry_ratio"),
        retry_window_s=reader.number("bounds.retry_window_s"),
        retry_slack=reader.number("bounds.retry_slack"),
        cold_excess=reader.optional_number("bounds.cold_excess", 1.0),
        cold_slack=reader.optional_number("bounds.cold_slack", 0.0),
    )


def address(found: object) -> Address | None:
    """Return the text IP:PORT as an address; None if it is malformed."""
    if not isinstance(found, str):
        return None
    host, _, port = found.rpartition(":")
    is_number = port.isascii() and port.isdecimal() and len(port) <= PORT_DIGITS_MAX
    if not is_ip_address(host) or not is_number or not 0 < int(port) <= MAX_PORT:
        return None
    return Address(host, int(port))
