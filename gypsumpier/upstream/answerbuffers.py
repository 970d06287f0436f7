"""Bounds the memory of answers that a process holds until they are complete."""

from typing import Final, Protocol

from prometheus_client import Counter, Gauge

from gypsumpier.metrics import REGISTRY

HELD_MAX_BYTES: Final = 32 * 1024 * 1024
"""Bytes of all incomplete answers; a tenth of the memory of the smallest instances."""

HELD_BYTES: Final = Gauge(
    "gypsumpier_held_answer_bytes", "Bytes of incomplete answers in memory.", registry=REGISTRY
)
GIVEN_UP: Final = Counter(
    "gypsumpier_given_up_answers",
    "Incomplete answers that were given up as all of them together took too much memory.",
    registry=REGISTRY,
)


class HeldAnswer(Protocol):
    """An answer whose body is held until it is complete."""

    def give_up(self, reason: str) -> None:
        """End the reading of the answer and drop what is held of it."""


class AnswerBuffers:
    """The incomplete answers of a process and their bytes.

    Where they are too many bytes, the largest answer is given up: a faulty upstream may send bytes
    without end in each of many answers.
    """

    def __init__(self, max_bytes: int = HELD_MAX_BYTES) -> None:
        self.max_bytes = max_bytes
        self.held: dict[HeldAnswer, int] = {}
        self.total_bytes = 0

    def add(self, answer: HeldAnswer, count: int) -> None:
        """Count bytes that an answer now holds; give up the largest answers if needed."""
        self.held[answer] = self.held.get(answer, 0) + count
        self.total_bytes += count
        while self.total_bytes > self.max_bytes:
            largest = max(self.held, key=self.held.__getitem__)
            reason = (
                f"{self.held[largest]} of {self.total_bytes} bytes of incomplete answers,"
                f" {self.max_bytes} are held"
            )
            self.release(largest)
            GIVEN_UP.inc()
            largest.give_up(reason)
        HELD_BYTES.set(self.total_bytes)

    def release(self, answer: HeldAnswer) -> None:
        """Count an answer no longer: it is complete, or its bytes were dropped."""
        self.total_bytes -= self.held.pop(answer, 0)
        HELD_BYTES.set(self.total_bytes)
