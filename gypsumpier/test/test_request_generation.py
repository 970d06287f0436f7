"""A generation over interrupted streams is complete or an error, never truncated."""

import unittest
from collections.abc import AsyncIterator

from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumpier.agent.generation import RESUMES_MAX, generate
from gypsumpier.codes.platform import PLATFORM_REFUSED, PLATFORM_UNREACHABLE
from gypsumpier.errors import GypsumpierError
from gypsumpier.external.engine import CacheEvent, Completion, EngineEvent, EngineStatus, LoadOrder
from gypsumpier.test.virtual import run

LENGTH = 6
COMPLETION = Completion("s", "m", "v1", 1, {})


class CutEngine:
    """Cuts each stream after the given number of events.

    With ``restarts`` the engine no longer knows a cut stream; with ``skips`` it resumes one event
    too late.
    """

    def __init__(self, cuts: list[int], restarts: bool = False, skips: bool = False) -> None:
        self.cuts = list(cuts)
        self.restarts = restarts
        self.skips = skips

    async def events(self, position: int) -> AsyncIterator[EngineEvent]:
        cut = self.cuts.pop(0) if self.cuts else LENGTH + 1
        for number in range(position, LENGTH + 1):
            if number - position >= cut:
                raise GypsumpierError(PLATFORM_UNREACHABLE, "cut")
            yield EngineEvent(number, f"{number}", "stop" if number == LENGTH else None, "v1")

    def complete(self, completion: Completion) -> AsyncIterator[EngineEvent]:
        return self.events(0)

    async def resume(self, stream_id: str, next_position: int) -> AsyncIterator[EngineEvent]:
        if self.restarts:
            raise GypsumpierError(PLATFORM_REFUSED, "unknown stream")
        async for event in self.events(next_position + self.skips):
            yield event

    async def status(self) -> EngineStatus:
        raise NotImplementedError

    async def stage(self, digest: str, path: str, offset: int, content: bytes) -> None:
        raise NotImplementedError

    async def load(self, order: LoadOrder) -> None:
        raise NotImplementedError

    async def unload(self, order: LoadOrder) -> None:
        raise NotImplementedError

    async def cancel(self, stream_id: str) -> None:
        raise NotImplementedError

    async def cache_events(self, after: int) -> list[CacheEvent]:
        raise NotImplementedError


def answer(engine: CutEngine) -> tuple[list[str], str]:
    """Return the tokens, and the finish reason or the name of the error's code."""

    async def scenario() -> tuple[list[str], str]:
        texts: list[str] = []
        try:
            async for event in generate(engine, COMPLETION):
                if event.finish_reason is not None:
                    return texts, event.finish_reason
                texts.append(event.text)
        except GypsumpierError as error:
            return texts, error.code.name
        return texts, "short"

    return run(scenario())


class GenerationTest(unittest.TestCase):
    @given(st.lists(st.integers(0, LENGTH), max_size=RESUMES_MAX + 2), st.booleans())
    @settings(derandomize=True, deadline=None, max_examples=150)
    def test_an_answer_is_complete_or_an_error(self, cuts: list[int], restarts: bool) -> None:
        texts, end = answer(CutEngine(cuts, restarts))
        self.assertEqual([str(number) for number in range(len(texts))], texts)
        self.assertIn(end, ("stop", "platform_unreachable"))
        if end == "stop":
            self.assertEqual(LENGTH, len(texts))

    def test_a_cut_stream_is_resumed(self) -> None:
        self.assertEqual("stop", answer(CutEngine([2, 1, 2]))[1])

    def test_a_gap_after_a_resume_is_an_error(self) -> None:
        self.assertEqual("upstream_failed", answer(CutEngine([2], skips=True))[1])


if __name__ == "__main__":
    unittest.main()
