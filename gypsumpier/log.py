"""Structured logging, with one line for each routing or placement decision.

Fields never hold a prompt, an answer or a credential.  ``configure`` selects key=value or JSON.
"""

import json
import logging
import sys

LOGGER = logging.getLogger("gypsumpier")


def configure(level: str, as_json: bool) -> None:
    """Log the package's records to standard error, as JSON or key=value."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter() if as_json else KeyValueFormatter())
    handler.setLevel(level)
    LOGGER.handlers = [handler]
    LOGGER.setLevel(level)
    LOGGER.propagate = False


def configure_output(level: str, handler: logging.Handler, node: str) -> None:
    """Log the package's records, with the name of the node, as JSON objects to the handler."""
    handler.setFormatter(JsonFormatter(node))
    handler.setLevel(level)
    LOGGER.handlers = [handler]
    LOGGER.setLevel(level)
    LOGGER.propagate = False


def decision(event: str, **fields: object) -> None:
    """Log one decision with its fields, including the reason."""
    LOGGER.info(event, extra={"fields": fields})


class KeyValueFormatter(logging.Formatter):
    """Formats a record as one line of key=value pairs."""

    def format(self, record: logging.LogRecord) -> str:
        pairs = " ".join(f"{key}={quoted(value)}" for key, value in record_fields(record).items())
        return f"{self.formatTime(record)} {record.levelname.lower()} {pairs}"


class JsonFormatter(logging.Formatter):
    """Formats a record as one JSON object, with the name of the node if it is set."""

    def __init__(self, node: str = "") -> None:
        super().__init__()
        self.node = node

    def format(self, record: logging.LogRecord) -> str:
        head = {"time": self.formatTime(record), "level": record.levelname.lower()}
        if self.node:
            head["node"] = self.node
        return json.dumps(head | record_fields(record), default=str)


def record_fields(record: logging.LogRecord) -> dict[str, object]:
    """Return the event, the fields and the exception of the record."""
    fields: dict[str, object] = {"event": record.getMessage()}
    fields.update(getattr(record, "fields", {}))
    if record.exc_info and record.exc_info[1] is not None:
        fields["exception"] = repr(record.exc_info[1])
    return fields


def quoted(value: object) -> str:
    """Return the value as text, quoted if it contains white space or a quotation mark."""
    text = str(value)
    return json.dumps(text) if any(char.isspace() or char == '"' for char in text) else text
