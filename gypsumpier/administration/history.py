"""The most recent decisions, kept in a ring buffer for the administration API."""

import logging
from collections import deque
from typing import Final

from gypsumpier import log
from gypsumpier.administration.view import DecisionView
from gypsumpier.metrics import DECISIONS

MAX_DECISIONS: Final = 2000
JSON_SCALARS: Final = (str, int, float, bool, type(None))


class DecisionHistory(logging.Handler):
    """Keeps the decisions logged by ``log.decision``; a full buffer drops the oldest one."""

    def __init__(self, length: int = MAX_DECISIONS) -> None:
        super().__init__(logging.INFO)
        self.ring: deque[DecisionView] = deque(maxlen=length)
        self.sequence = 0
        self.previous_level = logging.NOTSET

    def attach(self) -> None:
        """Start receiving decisions, also if the log level is above INFO."""
        self.previous_level = log.LOGGER.level
        log.LOGGER.setLevel(min(log.LOGGER.getEffectiveLevel(), logging.INFO))
        log.LOGGER.addHandler(self)

    def detach(self) -> None:
        """Stop receiving decisions."""
        log.LOGGER.removeHandler(self)
        log.LOGGER.setLevel(self.previous_level)

    def emit(self, record: logging.LogRecord) -> None:
        """Store one decision; log records without fields are not decisions."""
        decision_fields = getattr(record, "fields", None)
        if not isinstance(decision_fields, dict):
            return
        event = record.getMessage()
        DECISIONS.labels(event).inc()
        self.ring.append(
            DecisionView(
                sequence=self.sequence,
                wall_s=record.created,
                event=event,
                fields=scalar_fields(decision_fields),
            )
        )
        self.sequence += 1

    def matching(self, wanted: dict[str, str], after: int, limit: int) -> list[DecisionView]:
        """Return the newest ``limit`` matching decisions numbered above ``after``, oldest first.

        ``wanted`` maps the name of a field, or ``event``, to its value as text.
        """
        matching_views = [
            view for view in self.ring if view["sequence"] > after and has_values(view, wanted)
        ]
        return matching_views[-limit:]


def scalar_fields(fields: dict[str, object]) -> dict[str, object]:
    """Return the fields as scalars, so that the buffer keeps no exception and its frames alive."""
    return {
        name: value if isinstance(value, JSON_SCALARS) else str(value)
        for name, value in fields.items()
    }


def has_values(view: DecisionView, wanted: dict[str, str]) -> bool:
    """Return whether the decision has every wanted value."""
    values = {**view["fields"], "event": view["event"]}
    return all(name in values and str(values[name]) == text for name, text in wanted.items())
