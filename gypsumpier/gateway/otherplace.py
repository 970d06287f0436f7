"""A place at another upstream for a request whose upstream is silent."""

from typing import NamedTuple, Self

from gypsumpier.fleet.upstream import UpstreamRecord
from gypsumpier.gateway.admission import Admission
from gypsumpier.gateway.refusal import Refusal
from gypsumpier.gateway.request import GatewayRequest
from gypsumpier.gateway.retries import RetryBudget
from gypsumpier.gateway.writer import AnswerWriter


class Place(NamedTuple):
    """A place at an upstream, which counts as one more request there with that unread prompt."""

    record: UpstreamRecord
    unread_tokens: int


class OtherPlace:
    """Takes the request's place at another upstream than ``silent``, and its retry.

    Until both are taken the request stays with the silent upstream, which may go on.  At the end of
    the context a place that was not claimed is given back.
    """

    def __init__(
        self,
        admission: Admission,
        retries: RetryBudget,
        request: GatewayRequest,
        silent: UpstreamRecord,
        writer: AnswerWriter,
    ) -> None:
        self.admission = admission
        self.retries = retries
        self.request = request
        self.silent = silent
        self.writer = writer
        self.place: Place | None = None

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *error: object) -> None:
        self.release()

    def may_move(self) -> bool:
        """Return whether the request may go to another upstream, and whether there is one.

        The caller of a stream has a part of it; without the id of an event it can't be continued.
        """
        request = self.request
        if self.writer.status and not request.last_event_id:
            return False
        if not request.may_repeat(tries=2) or not self.retries.has_left(request.service):
            return False
        tried = request.tried | {self.silent.run_key()}
        return self.admission.has_other_upstream(request.service, tried)

    def take(self) -> bool:
        """Take a place that is free now; return whether there is one."""
        self.admission.selector.silences.record_found(self.silent.run_key())
        if not self.may_move():
            return False
        self.begin_move()
        try:
            record = self.admission.try_enter(self.request)
            return record is not None and self.accept(record)
        finally:
            self.request.is_moving = False

    async def wait(self) -> bool:
        """Queue for a place and take it; return False if none is to be had in time."""
        self.admission.selector.silences.record_found(self.silent.run_key())
        if not self.may_move():
            return False
        self.begin_move()
        try:
            return self.accept(await self.admission.enter_again(self.request))
        except Refusal:
            return False
        finally:
            self.request.is_moving = False

    def begin_move(self) -> None:
        """Stop counting the prompt as unread at the silent upstream, and rule that one out."""
        self.admission.forget_prompt(self.request, self.silent)
        self.request.tried.add(self.silent.run_key())
        self.request.is_moving = True

    def accept(self, record: UpstreamRecord) -> bool:
        """Keep the place that the request was admitted to; return False if it can't be used."""
        is_silent_one = record.run_key() == self.silent.run_key()
        if is_silent_one or not self.retries.spend(self.request.service):
            self.admission.give_back(self.request, record)
            return False
        self.place = Place(record, self.request.unread_tokens)
        self.request.unread_tokens = 0
        return True

    def claim(self) -> UpstreamRecord | None:
        """Return the upstream of the place, for which the request now counts; None without one."""
        place, self.place = self.place, None
        if place is None:
            return None
        self.request.unread_tokens = place.unread_tokens
        return place.record

    def release(self) -> None:
        """Give the place back, if there is one."""
        record = self.claim()
        if record is not None:
            self.admission.give_back(self.request, record)
