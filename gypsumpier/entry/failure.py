"""What the attempts of one request have come to, and what the caller is told of it."""

from typing import Final

from gypsumpier.codes import request as codes
from gypsumpier.codes.result import Outcome
from gypsumpier.entry.link import Link
from gypsumpier.entry.request import CallerRequest
from gypsumpier.errors import GypsumpierError

RETRY_AFTER_S: Final = 1.0

# The copy was not run by its home, although the key may have run before.
WITHDRAWN: Final = frozenset(
    {codes.HOME_RECOVERING, codes.NOT_HOME, codes.KEYS_FULL, codes.UPSTREAM_UNREACHABLE}
)


class Failure:
    """What the attempts of one request have come to so far."""

    def __init__(self, request: CallerRequest) -> None:
        self.request = request
        self.tried: set[str] = set()
        self.counted = 0
        self.may_have_run = False
        self.last = GypsumpierError(codes.NO_LIVE_UPSTREAM, request.service, RETRY_AFTER_S)

    def note(self, error: GypsumpierError, link: Link | None) -> None:
        """Take in how an attempt failed."""
        self.last = error
        if link is not None:
            self.note_tried(error, link)
            certain = error.code.outcome is Outcome.NOT_RUN or error.code in WITHDRAWN
            self.may_have_run = self.may_have_run or not certain

    def note_tried(self, error: GypsumpierError, link: Link) -> None:
        """Count the attempt, unless the upstream was only full; that one may be tried again."""
        if error.code is not codes.UPSTREAM_FULL:
            self.counted += 1
            self.tried.add(link.member.name)

    def told(self) -> GypsumpierError:
        """Return the error for the caller: never *not run* after an attempt that may have run."""
        last = self.last
        if self.may_have_run and last.code.outcome is Outcome.NOT_RUN:
            return GypsumpierError(codes.OUTCOME_UNKNOWN, last.detail, last.retry_after_s)
        if last.code is codes.UPSTREAM_UNREACHABLE and self.request.has_home():
            # This copy never reached the home; another one may have.
            return GypsumpierError(codes.HOME_UNREACHABLE, last.detail, last.retry_after_s)
        without_key = not self.request.idempotent and not self.request.key
        if without_key and last.code.outcome is Outcome.UNKNOWN:
            return GypsumpierError(codes.OUTCOME_UNKNOWN_WITHOUT_KEY, last.detail)
        return last
