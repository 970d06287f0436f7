"""Error handling for payloads of frames whose fields may be missing or of the wrong type."""

from collections.abc import Iterator
from contextlib import contextmanager

from gypsumpier.codes.wire import BAD_FRAME
from gypsumpier.errors import GypsumpierError
from gypsumpier.wire.frame import Frame


@contextmanager
def bad_frame_on_error(frame: Frame) -> Iterator[None]:
    """Convert the error of a missing or mistyped field into GypsumpierError with BAD_FRAME.

    Otherwise such an error would end the connection's task permanently instead of closing the
    connection with a result code.
    """
    try:
        yield
    except (
        AttributeError,
        LookupError,
        TypeError,
        ValueError,
        ArithmeticError,
        RecursionError,
    ) as error:
        raise GypsumpierError(BAD_FRAME, f"{frame.kind}: {error!r}") from error
