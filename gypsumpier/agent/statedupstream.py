"""An upstream that is sent only what it states in its answers that it takes.

The agent is the only one that sends requests to its upstream, so the whole limit is its own, and a
rest that the upstream asks for concerns all requests.
"""

import time
from collections.abc import AsyncIterator, Callable
from typing import NamedTuple

from gypsumpier.agent.order import AttemptOrder
from gypsumpier.agent.upstream import Part, Upstream
from gypsumpier.codes.request import UPSTREAM_LIMITED, UPSTREAM_RESTING
from gypsumpier.errors import GypsumpierError
from gypsumpier.external.engine import LiveModel
from gypsumpier.ratelimit.limits import WholeShare
from gypsumpier.statement.run import RunKey
from gypsumpier.statement.statement import Statement
from gypsumpier.statement.statements import UpstreamStatements

RESUMING_RETRY_AFTER_S = 0.1
"""Retry-After, in seconds, of requests beyond those that may follow a rest at once."""


class OwnUpstream(NamedTuple):
    """The agent's upstream by name and service; ``run`` counts its incarnations."""

    id: str
    service: str
    run: int = 0

    def run_key(self) -> RunKey:
        """Return the key of its run.

        A plain service reports no incarnation: what it has stated holds until it ends or the
        service states something else.
        """
        return self.id, self.run


def ignore_change() -> None:
    """Do nothing: there is no listener yet."""


class StatedUpstream:
    """The Upstream protocol, with refusals of what the upstream's statements do not allow.

    ``on_leaving_changed`` is called when the upstream begins or ceases to state that it leaves.
    """

    def __init__(self, upstream: Upstream, own: OwnUpstream) -> None:
        self.upstream = upstream
        self.own = own
        self.statements = UpstreamStatements(WholeShare())
        self.on_leaving_changed: Callable[[], None] = ignore_change

    def record_answer(self, statement: Statement, sent_at_s: float) -> None:
        """Record what the answer to a request states."""
        self.statements.record_answer(self.own, statement, sent_at_s)
        self.on_leaving_changed()

    def record_status(self, is_leaving: bool, sent_at_s: float) -> None:
        """Record whether the answer to a status check says that the upstream leaves."""
        self.statements.leaving.record_answer(self.own, is_leaving, sent_at_s)
        self.on_leaving_changed()

    def is_leaving(self) -> bool:
        """Return whether the upstream has stated that it leaves."""
        return self.statements.leaving.is_leaving(self.own)

    def check_allowed(self) -> None:
        """Raise GypsumpierError with a Retry-After where a limit or a rest allows no request."""
        limits, rests = self.statements.limits, self.statements.rests
        bucket = limits.bucket(self.own)
        wait_s = bucket.wait_s(time.monotonic()) if bucket else 0.0
        if bucket and wait_s > 0:
            detail = f"{self.own.id} takes {bucket.rate_per_s:g} requests/s"
            raise GypsumpierError(UPSTREAM_LIMITED, detail, wait_s)
        if not rests.allows(self.own):
            left_s = rests.left_s(self.own)
            detail = f"{self.own.id} rests for {left_s:.2f} s more"
            raise GypsumpierError(UPSTREAM_RESTING, detail, max(left_s, RESUMING_RETRY_AFTER_S))

    async def run(self, order: AttemptOrder) -> AsyncIterator[Part]:
        """Run the order; raise GypsumpierError where the upstream's statements don't allow it."""
        self.check_allowed()
        self.statements.take(self.own)
        async for part in self.upstream.run(order):
            yield part

    async def cancel(self, exchange: str) -> None:
        await self.upstream.cancel(exchange)

    async def refresh(self) -> None:
        before = self.upstream.incarnation()
        await self.upstream.refresh()
        if before and self.upstream.incarnation() != before:
            self.own = self.own._replace(run=self.own.run + 1)
            self.statements.retain({self.own.run_key()})
            self.on_leaving_changed()

    def incarnation(self) -> str:
        return self.upstream.incarnation()

    def live(self) -> list[LiveModel]:
        return self.upstream.live()

    def retire(self, live: LiveModel) -> None:
        self.upstream.retire(live)

    def refuse(self, live: LiveModel) -> None:
        self.upstream.refuse(live)

    def restore(self, live: LiveModel) -> None:
        self.upstream.restore(live)
