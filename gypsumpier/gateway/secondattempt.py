"""A second attempt at another upstream, for a request whose upstream is silent."""

from typing import Self

from gypsumpier.fleet.upstream import UpstreamRecord
from gypsumpier.gateway.attempt import Attempt
from gypsumpier.gateway.failures import FailureRecorder
from gypsumpier.gateway.refusal import Refusal
from gypsumpier.gateway.retries import RetryBudget
from gypsumpier.gateway.sender import UpstreamSender
from gypsumpier.gateway.writer import AnswerWriter
from gypsumpier.upstream.errors import NotRunError, OutcomeUnknownError
from gypsumpier.upstream.head import AnswerHead


class SecondAttempt:
    """Sends a request to another upstream while that of ``silent`` may still go on.

    A request that stays with the silent upstream can lose nothing, so ``attempt`` is set only once
    the other one has begun an answer that may be relayed.  Where the silent one goes on first, or
    at the end of the context, an attempt that was not claimed is ended.  ``refused`` holds the run
    keys of those that have not run the request, and that may have a place for it later.
    ``is_place_seen`` is set once the attempt is to be ended for a place at a third upstream.
    """

    def __init__(
        self,
        sender: UpstreamSender,
        retries: RetryBudget,
        failures: FailureRecorder,
        silent: Attempt,
        writer: AnswerWriter,
    ) -> None:
        self.sender = sender
        self.admission = sender.admission
        self.retries = retries
        self.failures = failures
        self.request = silent.request
        self.silent = silent
        self.writer = writer
        self.attempt: Attempt | None = None
        self.refused: set[tuple[str, int]] = set()
        self.is_asked = False
        self.is_place_seen = False
        self.unread_tokens = 0

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *error: object) -> None:
        self.release()

    def may_move(self, tried: frozenset[tuple[str, int]] = frozenset()) -> bool:
        """Return whether the request may go to an upstream besides those that have it.

        These are the silent one and those of the run keys in ``tried``.  The caller of a stream has
        a part of it; without the id of an event it can't be continued.
        """
        request = self.request
        if self.writer.status and not request.last_event_id:
            return False
        if not request.may_repeat(tries=2 + len(tried)) or not self.retries.has_left(
            request.service
        ):
            return False
        return self.admission.has_other_upstream(request, self.all_tried(tried))

    def all_tried(self, tried: frozenset[tuple[str, int]]) -> set[tuple[str, int]]:
        """Return the run keys of the upstreams that it does not go to, ``tried`` among them."""
        return self.request.tried | tried | {self.silent.record.run_key()}

    async def take(self) -> bool:
        """Send the request to an upstream that has a place now; return whether it answers."""
        return await self.move(is_queued=False)

    async def wait(self) -> bool:
        """Queue for a place, send the request there and return whether it answers."""
        return await self.move(is_queued=True)

    async def move(self, is_queued: bool) -> bool:
        """Take a place, after a wait if it ``is_queued``, and begin an attempt there."""
        if self.attempt is not None:
            return True
        self.admission.selector.silences.record_found(self.silent.record.run_key())
        if not self.may_move():
            # Once all have been asked, those that were full then may be asked again next time.
            self.request.tried -= self.refused
            self.refused.clear()
            return False
        self.is_place_seen = False
        record = await self.enter(is_queued)
        if record is None:
            return False
        return await self.send(record) or (self.is_place_seen and await self.take())

    async def enter(self, is_queued: bool) -> UpstreamRecord | None:
        """Return the upstream that the request is admitted to, at the cost of a retry, if any."""
        request = self.request
        # Its prompt no longer counts as unread at the silent upstream, which is ruled out.
        self.admission.forget_prompt(request, self.silent.record)
        request.tried.add(self.silent.record.run_key())
        request.is_moving = True
        try:
            if is_queued:
                record = await self.admission.enter_again(request)
            elif (found := self.admission.try_enter(request)) is not None:
                record = found
            else:
                return None
        except Refusal:
            return None
        finally:
            request.is_moving = False
        is_silent_one = record.run_key() == self.silent.record.run_key()
        if is_silent_one or not self.retries.spend(request.service):
            self.admission.give_back(request, record)
            return None
        self.failures.record_silent(self.silent)
        return record

    async def send(self, record: UpstreamRecord) -> bool:
        """Begin an attempt at the upstream; return whether its answer may be relayed."""
        attempt = Attempt(self.request, record)
        self.is_asked = True
        # Both attempts count their unread prompt by the request's.
        self.unread_tokens, self.request.unread_tokens = self.request.unread_tokens, 0
        try:
            await self.sender.begin(
                attempt, self.writer, LastResort(self, record), self.silent.record.id
            )
            assert attempt.head is not None
            self.check_usable(attempt.head)
            self.attempt = attempt
        except NotRunError as error:
            self.failures.record_not_run(attempt, error)
            if error.may_return:
                self.retries.give_back(self.request.service)
            if not (error.is_replaced or error.is_misdirected):
                self.refused.add(record.run_key())
        except OutcomeUnknownError as error:
            self.failures.record_unknown(attempt, error)
        except BaseException:
            self.record_dropped(attempt)
            raise
        finally:
            if self.attempt is None:
                self.leave(attempt)
        return self.attempt is not None

    def check_usable(self, head: AnswerHead) -> None:
        """Raise OutcomeUnknownError unless an answer serves better than that of the silent one."""
        if not head.is_success or (self.writer.status and not head.is_stream):
            raise OutcomeUnknownError(f"status {head.status} while moving", is_answered=True)

    def claim(self) -> Attempt | None:
        """Return the attempt, for which the request now counts; None if there is none."""
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            self.request.unread_tokens = self.unread_tokens
        return attempt

    def release(self) -> None:
        """End the attempt, if there is one."""
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            self.record_dropped(attempt)
            self.leave(attempt)

    def record_dropped(self, attempt: Attempt) -> None:
        """Record that the attempt is not needed; its upstream may have run the request."""
        if attempt.connected_at_s:
            self.request.attempts += 1

    def leave(self, attempt: Attempt) -> None:
        """End the attempt and its place."""
        self.is_asked = False
        self.sender.end(attempt)
        self.request.unread_tokens = self.unread_tokens
        self.admission.leave(self.request, attempt.record)


class LastResort:
    """Keeps a second attempt that is silent as well, unless a third upstream has a place now."""

    is_asked = False

    def __init__(self, other: SecondAttempt, record: UpstreamRecord) -> None:
        self.other = other
        self.record = record

    async def take(self) -> bool:
        return await self.wait()

    async def wait(self) -> bool:
        other, tried = self.other, frozenset({self.record.run_key()})
        other.is_place_seen = other.may_move(tried) and other.admission.has_place(
            other.request, other.all_tried(tried)
        )
        return other.is_place_seen

    def release(self) -> None:
        return None
