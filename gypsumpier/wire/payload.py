"""Reading the payloads of frames, whose fields a peer may have got wrong."""

from collections.abc import Iterator
from contextlib import contextmanager

from gypsumpier.codes.wire import BAD_FRAME
from gypsumpier.errors import GypsumpierError
from gypsumpier.wire.frame import Frame


@contextmanager
def bad_frame_on_error(frame: Frame) -> Iterator[None]:
    """Turn what a missing or mistyped field raises into GypsumpierError with BAD_FRAME.

    Without it such an error would end the task of a connection for good, in place of closing the
    connection with a code.
    """
    try:
        yield
    except (AttributeError, LookupError, TypeError, ValueError) as error:
        raise GypsumpierError(BAD_FRAME, f"{frame.kind}: {error!r}") from error
