"""The JSON schema of a document, for editors and other tools, generated from the same shapes.

``python -m gypsumpier.document.schema`` writes schema.json; a test checks that the file is current.
The validator is stricter: it also checks the rules between fields and refuses 1.0 as an integer.
"""

import json
from pathlib import Path
from typing import Any, Final

from gypsumpier.document.fields import DOCUMENT
from gypsumpier.document.shape import Array, Boolean, Choice, Fields, Shape, Text

SCHEMA_PATH: Final = Path(__file__).with_name("schema.json")


def main() -> None:
    """Write the schema to SCHEMA_PATH."""
    SCHEMA_PATH.write_text(rendered())


def rendered() -> str:
    """Return the text of the schema file."""
    head = {"$schema": "https://json-schema.org/draft/2020-12/schema", "title": "Service document"}
    return json.dumps(head | schema_of(DOCUMENT), indent=2) + "\n"


def schema_of(shape: Shape) -> dict[str, Any]:
    """Return the schema of a shape."""
    if isinstance(shape, Fields):
        return schema_of_fields(shape)
    if isinstance(shape, Array):
        bounds = {"minItems": shape.min_items, "maxItems": shape.max_items}
        return {"type": "array", "items": schema_of(shape.item)} | bounds
    if isinstance(shape, Text):
        return {"type": "string", "pattern": shape.pattern, "maxLength": shape.max_length}
    if isinstance(shape, Choice):
        return {"type": "string", "enum": list(shape.values)}
    if isinstance(shape, Boolean):
        return {"type": "boolean"}
    type_name = "integer" if isinstance(shape.minimum, int) else "number"
    return {"type": type_name, "minimum": shape.minimum, "maximum": shape.maximum}


def schema_of_fields(shape: Fields) -> dict[str, Any]:
    """Return the schema of an object."""
    properties: dict[str, Any] = {}
    for field in shape.fields:
        properties[field.name] = schema_of(field.shape)
        if not field.required and field.default is not None:
            properties[field.name]["default"] = field.default
    required = [field.name for field in shape.fields if field.required]
    return {
        "type": "object",
        "properties": properties,
        "required": required,
        "additionalProperties": False,
    }


if __name__ == "__main__":
    main()
