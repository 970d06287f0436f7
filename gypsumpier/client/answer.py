"""The answer of one process to one call."""

from typing import Any, NamedTuple

from gypsumpier.errors import GypsumpierError


class Answer(NamedTuple):
    """The JSON object that one process returned, or the error that occurred instead."""

    url: str
    content: dict[str, Any]
    error: GypsumpierError | None = None

    def rows(self, name: str) -> list[dict[str, Any]]:
        """Return the objects in the list of that name; none where the call failed."""
        found = self.content.get(name, [])
        return [row for row in found if isinstance(row, dict)] if isinstance(found, list) else []

    def as_json(self) -> dict[str, Any]:
        """Return the answer or the error as ``--json`` prints it."""
        if self.error is None:
            return {"administration": self.url, "answer": self.content}
        code = self.error.code
        problem = {"code": code.number, "name": code.name, "detail": self.error.detail}
        return {"administration": self.url, "error": problem}
