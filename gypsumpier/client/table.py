"""Text tables: left-aligned columns, each as wide as its longest cell."""

from collections.abc import Sequence
from typing import Any, Final

COLUMN_GAP: Final = "  "
EMPTY_CELL: Final = "-"


def rendered(columns: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return the table as text, with a header line of the columns' names."""
    lines = [[column.upper() for column in columns]]
    lines += [[cell(value) for value in row] for row in rows]
    widths = [max(len(line[index]) for line in lines) for index in range(len(columns))]
    return "\n".join(joined(line, widths) for line in lines)


def joined(line: Sequence[str], widths: Sequence[int]) -> str:
    """Return the cells of one line, padded to the column widths and joined."""
    padded = [text.ljust(width) for text, width in zip(line, widths, strict=True)]
    return COLUMN_GAP.join(padded).rstrip()


def cell(value: Any) -> str:
    """Return a value as the text of one cell."""
    if value is None or value == "" or value == [] or value == {}:
        return EMPTY_CELL
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.1f}"
    if isinstance(value, dict):
        return ",".join(f"{name}={cell(item)}" for name, item in value.items())
    if isinstance(value, list | tuple):
        return ",".join(cell(item) for item in value)
    return str(value)
