"""Validated access to the fields of decoded JSON objects."""

from typing import Any, TypeVar

T = TypeVar("T")


class FieldError(ValueError):
    """A field is missing or has a type other than the platform documents."""


def field(body: dict[str, Any], name: str, kind: type[T]) -> T:
    """Return a field of that type; raise FieldError otherwise.  A bool is not an int."""
    value = body.get(name)
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise FieldError(f"{name} is not of type {kind.__name__}")
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
