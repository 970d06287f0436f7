"""Sends one attempt and, for a request with a home, records the state of its key."""

from collections.abc import AsyncIterator
from typing import Any, Final

from gypsumpier.clock import Clock
from gypsumpier.codes import request as codes
from gypsumpier.codes.result import Outcome
from gypsumpier.entry.attempt import Attempt
from gypsumpier.entry.delivery import Delivery
from gypsumpier.entry.failure import NOT_RUN_BY_HOME
from gypsumpier.entry.keys import EntryKeys
from gypsumpier.entry.link import Link
from gypsumpier.entry.links import Links
from gypsumpier.entry.request import CallerRequest
from gypsumpier.errors import GypsumpierError
from gypsumpier.idempotency.key import KeyId, fingerprint
from gypsumpier.idempotency.record import KeyState
from gypsumpier.options import Options
from gypsumpier.wire.frame import Frame

RETRY_AFTER_S: Final = 1.0


class Sender:
    """Sends attempts over the links."""

    def __init__(self, options: Options, clock: Clock, links: Links, keys: EntryKeys) -> None:
        self.options = options
        self.clock = clock
        self.links = links
        self.keys = keys

    async def deliver(
        self, request: CallerRequest, link: Link, attempt: Attempt, payload: dict[str, Any]
    ) -> AsyncIterator[Frame]:
        """Yield the frames of one attempt; a key is recorded before it is sent."""
        delivery = Delivery(
            self.options,
            self.clock,
            link,
            request,
            attempt,
            lambda: self.has_other_upstream(request, link),
        )
        if not request.has_home():
            async for frame in delivery.frames(payload):
                yield frame
            return
        key_id = KeyId(request.workspace, request.key)
        request_fingerprint = fingerprint(request.method, request.path, request.body)
        now_s = self.clock.monotonic()
        home = link.incarnation
        if not self.keys.sent.record_send(
            request.service, key_id, request_fingerprint, home, now_s
        ):
            raise GypsumpierError(
                codes.KEYS_FULL, "this entry's memory for keys is full", RETRY_AFTER_S
            )
        state: KeyState | None = KeyState.UNKNOWN
        try:
            async for frame in delivery.frames(payload):
                state = KeyState.DONE if frame.kind == "end" else state
                yield frame
        except GypsumpierError as error:
            state = settled_state(error)
            raise
        finally:
            self.settle(request.service, key_id, home, state)

    def has_other_upstream(self, request: CallerRequest, link: Link) -> bool:
        """Return whether another upstream of the service is usable."""
        links = self.links.of_service(request.service)
        return any(other is not link and other.is_usable() for other in links)

    def settle(self, service: str, key_id: KeyId, home: str, state: KeyState | None) -> None:
        """Record the outcome of one send; ``state`` is None if the home has not run this copy."""
        now_s = self.clock.monotonic()
        if state is None:
            self.keys.sent.withdraw(service, key_id, home, now_s)
        else:
            self.keys.sent.record_outcome(service, key_id, home, state, now_s)


def settled_state(error: GypsumpierError) -> KeyState | None:
    """Return the state of a sent key after an error; None if the home has not run this copy."""
    if error.code in NOT_RUN_BY_HOME:
        return None
    if error.code.outcome is Outcome.NOT_RUN:
        return KeyState.REFUSED
    return KeyState.DONE if error.code.outcome is Outcome.DONE else KeyState.UNKNOWN
