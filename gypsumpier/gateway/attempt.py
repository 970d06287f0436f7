"""One try of a request at one upstream."""

import time

from gypsumpier.fleet.node import Address
from gypsumpier.fleet.upstream import UpstreamRecord
from gypsumpier.gateway.request import GatewayRequest
from gypsumpier.upstream.exchange import Exchange
from gypsumpier.upstream.head import AnswerHead


class Attempt:
    """A try of a request at an upstream.  Times are monotonic seconds.

    ``began_at_s`` is when the connection was asked for.  ``connected_at_s``, when the request was
    sent, and ``answered_at_s``, when the head of the answer had arrived, are 0 until then.
    ``exchange`` is set while the upstream may be working on the request, and ``head`` once it has
    begun a usable answer.  ``is_resumption`` is set if only the rest of a stream is asked for, and
    ``is_silence_recorded`` once its silence has counted as a failure of the upstream.
    """

    def __init__(self, request: GatewayRequest, record: UpstreamRecord) -> None:
        self.request = request
        self.record = record
        self.is_resumption = bool(request.last_event_id)
        self.began_at_s = time.monotonic()
        self.connected_at_s = 0.0
        self.answered_at_s = 0.0
        self.exchange: Exchange | None = None
        self.head: AnswerHead | None = None
        self.is_silence_recorded = False

    def address(self) -> Address:
        """Return the address that the request is sent to."""
        return Address(self.record.host, self.record.port)

    def connect_s(self) -> float:
        """Return the seconds that the connection took, or has taken so far."""
        return (self.connected_at_s or time.monotonic()) - self.began_at_s

    def unanswered_s(self) -> float:
        """Return the seconds that the connected upstream took, or has taken so far, to answer."""
        if not self.connected_at_s:
            return 0.0
        return (self.answered_at_s or time.monotonic()) - self.connected_at_s
