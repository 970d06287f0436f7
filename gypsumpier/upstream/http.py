"""Tornado's HTTP/1 client connection, adapted for a proxy."""

from typing import Final

from prometheus_client import Counter
from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPInputError, HTTPMessageDelegate
from tornado.iostream import IOStream, StreamClosedError

from gypsumpier.metrics import REGISTRY
from gypsumpier.upstream.finalanswer import FinalAnswer

READ_BYTES = 65536
INTERIM_ANSWERS_MAX: Final = 16
"""Interim answers (1xx) that may precede an answer."""

INVALID_STATUSES: Final = Counter(
    "gypsumpier_invalid_statuses",
    "Heads of answers, to requests or to own calls, whose three digits are no status.",
    registry=REGISTRY,
)


class MalformedHeadError(HTTPInputError):
    """What has arrived is the head of no answer."""


class UpstreamStream(IOStream):
    """A stream that can report whether it has buffered bytes that were not read.

    While it ``is_idle``, it is closed as soon as bytes arrive.
    """

    is_idle = False

    def _read_to_buffer(self) -> int | None:
        count = super()._read_to_buffer()
        if self.is_idle and self._read_buffer_size:
            # Tornado would buffer what arrives without end until somebody looks.
            self.close()
        return count

    def has_unread_bytes(self) -> bool:
        """Return whether bytes are buffered; after an answer they belong to no request."""
        return bool(self._read_buffer_size)


class UpstreamHttp(HTTP1Connection):
    """Skips interim answers, rejects invalid statuses, and delivers a body without a length as it
    arrives.

    Tornado would recurse for each interim answer and then read behind the answer until the close;
    a body without a length it would buffer until its end.
    """

    async def _read_message(self, delegate: HTTPMessageDelegate) -> bool:
        stream = self.stream
        for _ in range(INTERIM_ANSWERS_MAX + 1):
            answer = FinalAnswer(self, delegate)
            is_open = await super()._read_message(answer)
            if answer.invalid_status is not None:
                # Whatever follows belongs to no answer.
                stream.close()
                INVALID_STATUSES.inc()
                raise MalformedHeadError(f"status {answer.invalid_status:03} is none")
            if not answer.has_head:
                # Tornado logs a malformed head and closes the connection, but tells no one.
                raise MalformedHeadError("malformed head of an answer")
            if not answer.is_interim:
                return is_open
            self.stream = stream
        raise HTTPInputError(f"more than {INTERIM_ANSWERS_MAX} interim answers")

    async def _read_chunked_body(self, delegate: HTTPMessageDelegate) -> None:
        try:
            await super()._read_chunked_body(delegate)
        except AssertionError as error:
            raise HTTPInputError("chunk without an end") from error

    async def _read_body_until_close(self, delegate: HTTPMessageDelegate) -> None:
        total_bytes = 0
        while True:
            try:
                content = await self.stream.read_bytes(READ_BYTES, partial=True)
            except StreamClosedError:
                if self.stream.error is not None:
                    # A connection reset; only a regular close ends such a body.
                    raise
                return
            total_bytes += len(content)
            if total_bytes > self._max_body_size:
                raise HTTPInputError("body without a length too large")
            waiting = delegate.data_received(content)
            if waiting is not None:
                await waiting
