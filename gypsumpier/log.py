"""Structured log lines: one for each routing or placement decision.

Fields never hold a prompt, an answer or a credential.  ``configure`` chooses key=value or JSON.
"""

import json
import logging
import sys

LOGGER = logging.getLogger("gypsumpier")


def configure(level: str, as_json: bool) -> None:
    """Send the package's log lines to standard error in the chosen format."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter() if as_json else KeyValueFormatter())
    handler.setLevel(level)
    LOGGER.handlers = [handler]
    LOGGER.setLevel(level)
    LOGGER.propagate = False


def configure_output(level: str, handler: logging.Handler, node: str) -> None:
    """Send the package's log lines, with the name of the node, as JSON objects to the handler."""
    handler.setFormatter(JsonFormatter(node))
    handler.setLevel(level)
    LOGGER.handlers = [handler]
    LOGGER.setLevel(level)
    LOGGER.propagate = False


def decision(event: str, **fields: object) -> None:
    """Log one decision with its fields, which include the reason."""
    LOGGER.info(event, extra={"fields": fields})


class KeyValueFormatter(logging.Formatter):
    """Formats a record as one line of key=value pairs."""

    def format(self, record: logging.LogRecord) -> str:
        pairs = " ".join(f"{key}={quoted(value)}" for key, value in record_fields(record).items())
        return f"{self.formatTime(record)} {record.levelname.lower()} {pairs}"


class JsonFormatter(logging.Formatter):
    """Formats a record as one JSON object, with the name of the node where there is one."""

    def __init__(self, node: str = "") -> None:
        super().__init__()
        self.node = node

    def format(self, record: logging.LogRecord) -> str:
        head = {"time": self.formatTime(record), "level": record.levelname.lower()}
        if self.node:
            head["node"] = self.node
        return json.dumps(head | record_fields(record), default=str)


def record_fields(record: logging.LogRecord) -> dict[str, object]:
    """Return the event and the fields of the record."""
    fields: dict[str, object] = {"event": record.getMessage()}
    fields.update(getattr(record, "fields", {}))
    if record.exc_info and record.exc_info[1] is not None:
        fields["exception"] = repr(record.exc_info[1])
    return fields


def quoted(value: object) -> str:
    """Return the value as text, in quotes where it holds white space."""
    text = str(value)
    return json.dumps(text) if any(char.isspace() or char == '"' for char in text) else text
