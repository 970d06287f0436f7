"""The most recent decisions, kept in a ring of bounded length for the administration API."""

import logging
from collections import deque
from typing import Final

from gypsumpier import log
from gypsumpier.administration.view import DecisionView
from gypsumpier.metrics import DECISIONS

MAX_DECISIONS: Final = 2000
JSON_SCALARS: Final = (str, int, float, bool, type(None))


class DecisionHistory(logging.Handler):
    """Keeps what ``log.decision`` logs; the oldest decision makes room for a new one."""

    def __init__(self, length: int = MAX_DECISIONS) -> None:
        super().__init__(logging.INFO)
        self.ring: deque[DecisionView] = deque(maxlen=length)
        self.sequence = 0
        self.previous_level = logging.NOTSET

    def attach(self) -> None:
        """Begin to receive decisions, also where the level of the log hides them."""
        self.previous_level = log.LOGGER.level
        log.LOGGER.setLevel(min(log.LOGGER.getEffectiveLevel(), logging.INFO))
        log.LOGGER.addHandler(self)

    def detach(self) -> None:
        """Stop receiving decisions."""
        log.LOGGER.removeHandler(self)
        log.LOGGER.setLevel(self.previous_level)

    def emit(self, record: logging.LogRecord) -> None:
        """Keep one decision; log lines without fields are no decisions."""
        found = getattr(record, "fields", None)
        if not isinstance(found, dict):
            return
        event = record.getMessage()
        DECISIONS.labels(event).inc()
        self.ring.append(
            DecisionView(
                sequence=self.sequence,
                wall_s=record.created,
                event=event,
                fields=scalar_fields(found),
            )
        )
        self.sequence += 1

    def matching(self, wanted: dict[str, str], after: int, limit: int) -> list[DecisionView]:
        """Return the newest ``limit`` decisions past ``after`` that match, oldest first.

        Each item of ``wanted`` is a field, or ``event``, with the text of its value.
        """
        found = [
            view for view in self.ring if view["sequence"] > after and has_values(view, wanted)
        ]
        return found[-limit:]


def scalar_fields(found: dict[str, object]) -> dict[str, object]:
    """Return the fields as plain values, so that the ring holds no exception with its frames."""
    return {
        name: value if isinstance(value, JSON_SCALARS) else str(value)
        for name, value in found.items()
    }


def has_values(view: DecisionView, wanted: dict[str, str]) -> bool:
    """Tell whether the decision has every wanted value."""
    values = {**view["fields"], "event": view["event"]}
    return all(name in values and str(values[name]) == text for name, text in wanted.items())
