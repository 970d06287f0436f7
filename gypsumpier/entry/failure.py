"""The failed attempts of one request, and the error that the caller gets."""

from typing import Final

from gypsumpier.codes import request as codes
from gypsumpier.codes.refusalstatus import REFUSAL_STATUSES
from gypsumpier.codes.result import Outcome
from gypsumpier.entry.delivery import Delivery, LostAttemptError
from gypsumpier.entry.link import Link
from gypsumpier.entry.request import CallerRequest
from gypsumpier.errors import GypsumpierError

RETRY_AFTER_S: Final = 1.0

# The home did not run this copy of the request, although the key may have run before.
NOT_RUN_BY_HOME: Final = frozenset(
    {codes.HOME_RECOVERING, codes.NOT_HOME, codes.KEYS_FULL, codes.UPSTREAM_UNREACHABLE}
)


class FailureHistory:
    """The failures of one request's attempts so far.

    ``lost`` are the attempts that may still run and can be resumed.  ``is_begun`` is set once a
    frame has been yielded for the caller; no other attempt may answer then.
    """

    def __init__(self, request: CallerRequest) -> None:
        self.request = request
        self.tried: set[str] = set()
        self.may_have_run = False
        self.is_begun = False
        self.lost: list[Delivery] = []
        self.last = GypsumpierError(codes.NO_LIVE_UPSTREAM, request.service, RETRY_AFTER_S)

    def record(self, error: GypsumpierError, link: Link | None) -> None:
        """Record the failure of an attempt on a link; None where no home was reached."""
        self.last = error
        if isinstance(error, LostAttemptError):
            self.lost.append(error.delivery)
        if link is not None:
            self.tried.add(link.member.name)
            certain = error.code.outcome is Outcome.NOT_RUN or error.code in NOT_RUN_BY_HOME
            self.may_have_run = self.may_have_run or not certain
        self.request.progress.may_have_run = self.may_have_run

    def caller_error(self) -> GypsumpierError:
        """Return the error for the caller, never *not run* after an attempt that may have run.

        A refusal has a time to return.
        """
        last = self.last
        if self.may_have_run and last.code.outcome is Outcome.NOT_RUN:
            return GypsumpierError(codes.OUTCOME_UNKNOWN, last.detail, last.retry_after_s)
        if last.code is codes.UPSTREAM_UNREACHABLE and self.request.has_home():
            # This copy never reached the home, but another copy may have.
            return GypsumpierError(codes.HOME_UNREACHABLE, last.detail, last.retry_after_s)
        without_key = not self.request.idempotent and not self.request.key
        if without_key and last.code.outcome is Outcome.UNKNOWN:
            return GypsumpierError(codes.OUTCOME_UNKNOWN_WITHOUT_KEY, last.detail)
        is_refusal = last.code.outcome is Outcome.NOT_RUN
        if is_refusal and last.code.http_status in REFUSAL_STATUSES and last.retry_after_s is None:
            return GypsumpierError(last.code, last.detail, RETRY_AFTER_S)
        return last
