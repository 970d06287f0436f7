"""One generation on the engine, across cut streams.

When the engine's stream is cut, it is resumed from the first event that is missing, on the same
engine.  An engine that does not know the stream any more has lost it; the first error is told then.
Events out of place and cancelled streams are errors, so a short answer never looks whole.
"""

from collections.abc import AsyncIterator
from typing import Final

from gypsumpier.codes.platform import PLATFORM_BAD_ANSWER, PLATFORM_UNREACHABLE
from gypsumpier.codes.request import UPSTREAM_FAILED
from gypsumpier.errors import GypsumpierError
from gypsumpier.external.engine import Completion, Engine, EngineEvent
from gypsumpier.log import decision

RESUMES_MAX: Final = 3
CUT_CODES: Final = frozenset({PLATFORM_BAD_ANSWER, PLATFORM_UNREACHABLE})
CANCELLED: Final = "cancelled"


async def generate(engine: Engine, completion: Completion) -> AsyncIterator[EngineEvent]:
    """Yield every event of the generation; raise GypsumpierError where it can't be whole."""
    position = 0
    events = engine.complete(completion)
    first_error: GypsumpierError | None = None
    for _ in range(RESUMES_MAX + 1):
        try:
            async for event in events:
                check(event, position, completion)
                yield event
                if event.finish_reason is not None:
                    return
                position += 1
            raise GypsumpierError(PLATFORM_BAD_ANSWER, "the stream ended early")
        except GypsumpierError as error:
            if error.code is UPSTREAM_FAILED:
                raise
            if position == 0 or error.code not in CUT_CODES:
                raise first_error or error from error
            first_error = first_error or error
        decision("resume", stream=completion.stream_id, position=position, reason=first_error)
        events = engine.resume(completion.stream_id, position)
    assert first_error is not None
    raise first_error


def check(event: EngineEvent, position: int, completion: Completion) -> None:
    """Raise where the event is not the next one of this generation."""
    if event.version != completion.version:
        raise GypsumpierError(UPSTREAM_FAILED, f"the engine answered as {event.version}")
    if event.position != position:
        raise GypsumpierError(UPSTREAM_FAILED, f"event {event.position} in place of {position}")
    if event.finish_reason == CANCELLED:
        raise GypsumpierError(UPSTREAM_FAILED, "the engine cancelled the stream")
