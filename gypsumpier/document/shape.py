"""Shapes of JSON values, which both the validator and the JSON schema use.

A shape defines the values that a field on its own may have; rules between fields are in ``rules``.
``checked`` returns the value with the defaults of absent fields filled in, or raises DocumentError
with the path of the first invalid field.  The result depends on its arguments only, so all
instances accept or refuse the same values.
"""

import math
import re
from typing import Any, Final, NamedTuple

from gypsumpier.codes.document import (
    BAD_FORMAT,
    MISSING_FIELD,
    OUT_OF_RANGE,
    TOO_MANY_ITEMS,
    UNKNOWN_FIELD,
    WRONG_TYPE,
)
from gypsumpier.document.errors import DocumentError

NAME_MAX_CHARACTERS: Final = 80
"""Length to which the names in a displayed field path are truncated."""


class Text(NamedTuple):
    """A string of at most ``max_length`` characters that matches the whole pattern."""

    pattern: str
    max_length: int


class Choice(NamedTuple):
    """A string from a fixed set."""

    values: tuple[str, ...]


class Integer(NamedTuple):
    """An integer between two bounds, both included; 1.0 and true are not integers."""

    minimum: int
    maximum: int


class Number(NamedTuple):
    """A finite number between two bounds, both included."""

    minimum: float
    maximum: float


class Boolean(NamedTuple):
    """A boolean; 0 and 1 are not booleans."""


class Array(NamedTuple):
    """An array whose items all have the same shape."""

    item: "Shape"
    min_items: int
    max_items: int


class Field(NamedTuple):
    """A field of an object; if it is not required and absent, it gets the default."""

    name: str
    shape: "Shape"
    required: bool = True
    default: Any = None


class Fields(NamedTuple):
    """An object with these fields and no others."""

    fields: tuple[Field, ...]


Shape = Text | Choice | Integer | Number | Boolean | Array | Fields


def checked(shape: Shape, value: Any, path: str) -> Any:
    """Return the value with defaults filled in; raise DocumentError if it violates the shape."""
    if isinstance(shape, Fields):
        return checked_fields(shape, value, path)
    if isinstance(shape, Array):
        return checked_items(shape, value, path)
    if isinstance(shape, Boolean):
        expect(isinstance(value, bool), path, "a boolean", value)
        return value
    if isinstance(shape, Text | Choice):
        return checked_text(shape, value, path)
    return checked_number(shape, value, path)


def checked_fields(shape: Fields, value: Any, path: str) -> dict[str, Any]:
    """Check an object, first for unknown fields, then each field in the shape's order."""
    expect(isinstance(value, dict), path, "an object", value)
    known = {field.name for field in shape.fields}
    for name in sorted(value):
        if name not in known:
            raise DocumentError(UNKNOWN_FIELD, field_path(path, name), "unknown field")
    return {field.name: checked_field(field, value, path) for field in shape.fields}


def checked_field(field: Field, value: dict[str, Any], path: str) -> Any:
    """Check one field of an object, or return its default."""
    if field.name in value:
        return checked(field.shape, value[field.name], field_path(path, field.name))
    if field.required:
        raise DocumentError(MISSING_FIELD, field_path(path, field.name), "required")
    return field.default


def checked_items(shape: Array, value: Any, path: str) -> list[Any]:
    """Check an array and each of its items."""
    expect(isinstance(value, list), path, "an array", value)
    if not shape.min_items <= len(value) <= shape.max_items:
        detail = f"{len(value)} items; {shape.min_items} to {shape.max_items} are allowed"
        raise DocumentError(TOO_MANY_ITEMS, path, detail)
    return [checked(shape.item, item, f"{path}[{index}]") for index, item in enumerate(value)]


def checked_text(shape: Text | Choice, value: Any, path: str) -> str:
    """Check a string."""
    expect(isinstance(value, str), path, "a string", value)
    text = str(value)
    if isinstance(shape, Choice):
        if text not in shape.values:
            raise DocumentError(BAD_FORMAT, path, f"must be one of {', '.join(shape.values)}")
        return text
    if len(text) > shape.max_length:
        raise DocumentError(OUT_OF_RANGE, path, f"longer than {shape.max_length} characters")
    if not re.fullmatch(shape.pattern, text):
        raise DocumentError(BAD_FORMAT, path, f"must match {shape.pattern}")
    return text


def checked_number(shape: Integer | Number, value: Any, path: str) -> int | float:
    """Check an integer or a finite number."""
    allowed = (int,) if isinstance(shape, Integer) else (int, float)
    type_name = "an integer" if isinstance(shape, Integer) else "a number"
    expect(isinstance(value, allowed) and not isinstance(value, bool), path, type_name, value)
    number: int | float = value
    # An integer too large for a float is out of range, and comparing it is exact.
    if isinstance(number, float) and not math.isfinite(number):
        raise DocumentError(OUT_OF_RANGE, path, "must be finite")
    if not shape.minimum <= number <= shape.maximum:
        detail = f"must be from {shape.minimum} to {shape.maximum}"
        raise DocumentError(OUT_OF_RANGE, path, detail)
    return number


def expect(holds: bool, path: str, type_name: str, value: Any) -> None:
    """Raise DocumentError with WRONG_TYPE unless the condition is true."""
    if not holds:
        raise DocumentError(WRONG_TYPE, path, f"must be {type_name}, not {type(value).__name__}")


def field_path(path: str, name: str) -> str:
    """Return the path of a field for display; the name is truncated, and escaped if unusual."""
    shown = name if name.isidentifier() else repr(name)
    return f"{path}.{shown[:NAME_MAX_CHARACTERS]}" if path else shown[:NAME_MAX_CHARACTERS]
