"""One generation on the engine, resumed when its stream is interrupted.

An interrupted stream is resumed from the first missing event, on the same engine.  If the engine no
longer knows the stream, the first error is raised.  Events out of sequence and cancelled streams
are errors, so a truncated answer never looks complete.
"""

from collections.abc import AsyncIterator
from typing import Final

from gypsumpier.codes.platform import PLATFORM_BAD_ANSWER, PLATFORM_UNREACHABLE
from gypsumpier.codes.request import UPSTREAM_FAILED
from gypsumpier.errors import GypsumpierError
from gypsumpier.external.engine import Completion, Engine, EngineEvent
from gypsumpier.log import decision

RESUMES_MAX: Final = 3
RESUMABLE_CODES: Final = frozenset({PLATFORM_BAD_ANSWER, PLATFORM_UNREACHABLE})
CANCELLED: Final = "cancelled"


async def generate(engine: Engine, completion: Completion) -> AsyncIterator[EngineEvent]:
    """Yield every event of the generation; raise GypsumpierError if it can't be completed."""
    position = 0
    events = engine.complete(completion)
    first_error: GypsumpierError | None = None
    for _ in range(RESUMES_MAX + 1):
        try:
            async for event in events:
                check_event(event, position, completion)
                yield event
                if event.finish_reason is not None:
                    return
                position += 1
            raise GypsumpierError(PLATFORM_BAD_ANSWER, "the stream ended before its last event")
        except GypsumpierError as error:
            if error.code is UPSTREAM_FAILED:
                raise
            if position == 0 or error.code not in RESUMABLE_CODES:
                raise first_error or error from error
            first_error = first_error or error
        decision("resume", stream=completion.stream_id, position=position, reason=first_error)
        events = engine.resume(completion.stream_id, position)
    assert first_error is not None
    raise first_error


def check_event(event: EngineEvent, position: int, completion: Completion) -> None:
    """Raise GypsumpierError with UPSTREAM_FAILED if this is not the generation's next event."""
    if event.version != completion.version:
        raise GypsumpierError(UPSTREAM_FAILED, f"the engine answered with version {event.version}")
    if event.position != position:
        raise GypsumpierError(UPSTREAM_FAILED, f"got event {event.position}, expected {position}")
    if event.finish_reason == CANCELLED:
        raise GypsumpierError(UPSTREAM_FAILED, "the engine cancelled the stream")
