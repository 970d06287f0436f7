"""Validated access to decoded JSON objects and their fields."""

import json
from typing import Any, Final, TypeVar

T = TypeVar("T")

WHOLE_MAX: Final = 2**63 - 1
"""Largest whole number: messages between processes hold 64 bits."""


class FieldError(ValueError):
    """A value is missing, or has a type or a range other than the platform documents."""


def json_value(content: bytes) -> dict[str, Any]:
    """Return the content as a JSON object; raise ValueError otherwise."""
    try:
        body = json.loads(content)
    except RecursionError as error:
        raise FieldError("the value is nested too deeply") from error
    if not isinstance(body, dict):
        raise FieldError("the value is not a JSON object")
    return body


def field(body: dict[str, Any], name: str, kind: type[T]) -> T:
    """Return a field of that type; raise FieldError otherwise.

    A bool is not an int, and a text that has no encoding is not a str.
    """
    value = body.get(name)
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise FieldError(f"{name} is not of type {kind.__name__}")
    if isinstance(value, str) and not is_encodable(value):
        raise FieldError(f"{name} holds half of a character")
    return value


def is_encodable(text: str) -> bool:
    """Return whether the text can be sent and displayed: JSON may hold single surrogates."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def whole(body: dict[str, Any], name: str, most: int = WHOLE_MAX) -> int:
    """Return a whole number from 0 to ``most``; raise FieldError otherwise."""
    value = field(body, name, int)
    if not 0 <= value <= most:
        raise FieldError(f"{name} is not a number from 0 to {most}")
    return value


def number(body: dict[str, Any], name: str) -> float:
    """Return a finite number of 0 or more; raise FieldError otherwise."""
    value = body.get(name)
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < 1e18:
        raise FieldError(f"{name} is not a number of 0 or more")
    return value


def objects(body: dict[str, Any], name: str) -> list[dict[str, Any]]:
    """Return a list of objects; raise FieldError otherwise."""
    items = field(body, name, list)
    if not all(isinstance(item, dict) for item in items):
        raise FieldError(f"{name} holds something other than objects")
    return items
