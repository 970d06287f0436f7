"""Builds the options from the text of flags and environment variables, and validates them.

All settings are validated before errors are reported, so that an operator sees all of them at once.
The type of a setting is that of its default in the options; its range follows from the unit at the
end of its name.
"""

import re
import uuid
from dataclasses import fields
from ipaddress import ip_address
from typing import Final, NamedTuple
from urllib.parse import urlsplit

from gypsumpier.codes.result import ResultCode
from gypsumpier.codes.setting import (
    SETTING_MALFORMED,
    SETTING_MISSING,
    SETTING_OUT_OF_RANGE,
    SETTINGS_CONFLICT,
)
from gypsumpier.options import Options
from gypsumpier.weight.manifest import MAX_CHUNK_BYTES

CHOICES: Final[dict[str, tuple[str, ...]]] = {
    "role": ("entry", "agent"),
    "upstream_kind": ("model", "plain"),
    "log_level": ("DEBUG", "INFO", "WARNING", "ERROR"),
}
LABEL: Final = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
MAX_PORT: Final = 65535
MAX_TIME_S: Final = 86400.0
MAX_COUNT: Final = 2**48
MIN_CHUNKS: Final = 8
BOOLEANS: Final = {"true": True, "1": True, "yes": True, "false": False, "0": False, "no": False}
REQUIRED_BY_ROLE: Final[dict[str, tuple[str, ...]]] = {
    "entry": ("region", "zone", "configuration_url", "membership_url"),
    "agent": ("region", "zone", "service", "configuration_url", "membership_url", "upstream_url"),
}


class Problem(NamedTuple):
    """One invalid setting."""

    code: ResultCode
    setting: str
    detail: str


class SettingsError(Exception):
    """All problems found in the settings."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("; ".join(f"{problem.setting}: {problem.detail}" for problem in problems))
        self.problems = problems


class Range(NamedTuple):
    """The valid values of a number, both ends included."""

    lowest: float
    highest: float


def flag_name(setting: str) -> str:
    """Return the flag of a setting."""
    return "--" + setting.replace("_", "-")


def variable_name(setting: str) -> str:
    """Return the environment variable of a setting."""
    return "GYPSUMPIER_" + setting.upper()


def build(texts: dict[str, str]) -> Options:
    """Return validated options; raise SettingsError with every problem.

    ``texts`` holds the text of each given setting; the others keep their defaults.
    """
    problems: list[Problem] = []
    options = Options()
    for field in fields(Options):
        if field.name not in texts:
            continue
        value = parse_value(field.name, texts[field.name], field.default, problems)
        if value is not None:
            setattr(options, field.name, value)
    malformed = {problem.setting for problem in problems}
    problems += [found for found in validation_problems(options) if found.setting not in malformed]
    if problems:
        raise SettingsError(problems)
    options.name = options.name or default_name(options)
    options.incarnation = options.incarnation or uuid.uuid4().hex
    return options


def parse_value(name: str, text: str, default: object, problems: list[Problem]) -> object:
    """Return the text as a value of the default's type; add a problem and return None on error."""
    try:
        if isinstance(default, bool):
            return BOOLEANS[text.lower()]
        if isinstance(default, int):
            return in_range(name, int(text), problems)
        if isinstance(default, float):
            return in_range(name, float(text), problems)
    except (KeyError, ValueError):
        kind = {bool: "true or false", int: "a whole number", float: "a number"}[type(default)]
        problems.append(Problem(SETTING_MALFORMED, name, f"{text!r} is not {kind}"))
        return None
    return text


def in_range(name: str, value: float, problems: list[Problem]) -> float | None:
    """Return the value; add a problem and return None if it is out of range."""
    allowed = allowed_range(name)
    if allowed.lowest <= value <= allowed.highest:
        return value
    detail = f"{value} is not from {allowed.lowest:g} to {allowed.highest:g}"
    problems.append(Problem(SETTING_OUT_OF_RANGE, name, detail))
    return None


def allowed_range(name: str) -> Range:
    """Return the range of a numeric setting, by the unit at the end of its name."""
    if name.endswith("port"):
        return Range(0, MAX_PORT)
    if name.endswith("_share"):
        return Range(0, 1)
    if name.endswith("_s") and not name.endswith("_per_s"):
        return Range(0.001, MAX_TIME_S)
    return Range(1, MAX_COUNT)


def validation_problems(options: Options) -> list[Problem]:
    """Return the problems of options that have been parsed."""
    return [
        *choice_problems(options),
        *role_problems(options),
        *label_problems(options),
        *address_problems(options),
        *name_problems(options),
        *relation_problems(options),
    ]


def choice_problems(options: Options) -> list[Problem]:
    """Return the problems of settings that have a fixed set of values."""
    problems = []
    for name, words in CHOICES.items():
        value = getattr(options, name)
        if value not in words:
            detail = f"{value!r} is not one of {', '.join(words)}"
            problems.append(Problem(SETTING_MALFORMED, name, detail))
    return problems


def role_problems(options: Options) -> list[Problem]:
    """Return the problems of settings that the role requires or excludes."""
    problems = []
    required = () if options.node_file else REQUIRED_BY_ROLE.get(options.role, ())
    for name in required:
        if not getattr(options, name):
            detail = f"required for the role {options.role}"
            problems.append(Problem(SETTING_MISSING, name, detail))
    if options.role == "entry" and options.service:
        problems.append(Problem(SETTINGS_CONFLICT, "service", "an entry has no service"))
    return problems


def label_problems(options: Options) -> list[Problem]:
    """Return the problems of the names of region, zone and service."""
    problems = []
    for name in ("region", "zone", "service"):
        value = getattr(options, name)
        if value and not LABEL.fullmatch(value):
            detail = f"{value!r} is not 1 to 63 of a-z, 0-9 and inner hyphens"
            problems.append(Problem(SETTING_MALFORMED, name, detail))
    return problems


def address_problems(options: Options) -> list[Problem]:
    """Return the problems of the IP address and of the URLs."""
    problems = []
    if not is_ip_address(options.host):
        problems.append(
            Problem(SETTING_MALFORMED, "host", f"{options.host!r} is not an IP address")
        )
    for field in fields(Options):
        value = getattr(options, field.name)
        if field.name.endswith("_url") and value and not is_http_url(value):
            detail = f"{value!r} is not http://HOST:PORT"
            problems.append(Problem(SETTING_MALFORMED, field.name, detail))
    return problems


def name_problems(options: Options) -> list[Problem]:
    """Return the problems of the name, which contains the service and the zone."""
    if not options.name:
        return []
    expected_prefix = options.service or "entry"
    parts = options.name.split("/")
    if len(parts) != 3 or not parts[2].isdecimal():
        detail = f"{options.name!r} is not {expected_prefix}/ZONE/NUMBER"
        return [Problem(SETTING_MALFORMED, "name", detail)]
    if parts[0] != expected_prefix or parts[1] != options.zone:
        detail = f"{options.name!r} does not begin with {expected_prefix}/{options.zone}/"
        return [Problem(SETTINGS_CONFLICT, "name", detail)]
    return []


def relation_problems(options: Options) -> list[Problem]:
    """Return the conflicts between two settings."""
    problems = []
    if options.silence_s <= options.heartbeat_s:
        detail = f"{options.silence_s:g} is not above the heartbeat of {options.heartbeat_s:g}"
        problems.append(Problem(SETTINGS_CONFLICT, "silence_s", detail))
    if options.weight_memory_bytes < MIN_CHUNKS * MAX_CHUNK_BYTES:
        detail = f"{options.weight_memory_bytes} is below {MIN_CHUNKS} chunks of {MAX_CHUNK_BYTES}"
        problems.append(Problem(SETTINGS_CONFLICT, "weight_memory_bytes", detail))
    return problems


def default_name(options: Options) -> str:
    """Return the name of the first instance of the service, or of the first entry, in the zone."""
    return f"{options.service or 'entry'}/{options.zone}/0"


def is_ip_address(text: str) -> bool:
    """Return whether the text is a numeric IP address."""
    try:
        ip_address(text)
    except ValueError:
        return False
    return True


def is_http_url(text: str) -> bool:
    """Return whether the text is an HTTP URL with a host and without query and fragment."""
    try:
        parts = urlsplit(text)
        port = parts.port
    except ValueError:
        return False
    return (
        parts.scheme in ("http", "https")
        and bool(parts.hostname)
        and not parts.query
        and not parts.fragment
        and port != 0
    )
