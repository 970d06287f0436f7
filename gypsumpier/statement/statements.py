"""What this process knows of upstreams by their own answers, and whether they may get a request."""

from gypsumpier.ratelimit.limits import RequestLimits, Shares
from gypsumpier.statement.leaving import LeavingUpstreams
from gypsumpier.statement.rests import Rests
from gypsumpier.statement.run import RunKey, StatingUpstream
from gypsumpier.statement.statement import Statement


class UpstreamStatements:
    """Limits, rests and leaving upstreams, by run."""

    def __init__(self, shares: Shares) -> None:
        self.limits = RequestLimits(shares)
        self.rests = Rests()
        self.leaving = LeavingUpstreams()

    def record_answer(
        self, record: StatingUpstream, statement: Statement, sent_at_s: float
    ) -> None:
        """Record what an answer states; its request was sent at ``sent_at_s``."""
        self.limits.record_answer(record, statement.limit, sent_at_s)
        self.rests.record_answer(record, statement.rest, sent_at_s)
        self.leaving.record_answer(record, statement.is_leaving, sent_at_s)

    def allows(self, record: StatingUpstream) -> bool:
        """Return whether neither a limit nor a rest keeps a request from the upstream now."""
        return self.limits.allows(record) and self.rests.allows(record)

    def take(self, record: StatingUpstream) -> None:
        """Count a request that is sent to the upstream."""
        self.limits.take(record)
        self.rests.take(record)

    def give_back(self, record: StatingUpstream) -> None:
        """Count a request as not sent, because there was no connection to the upstream."""
        self.limits.give_back(record)
        self.rests.give_back(record)

    def retain(self, runs: set[RunKey]) -> None:
        """Drop what is known of runs that are in no record."""
        self.limits.retain(runs)
        self.rests.retain(runs)
        self.leaving.retain(runs)
