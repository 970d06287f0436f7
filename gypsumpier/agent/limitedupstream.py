"""An upstream that is sent no more requests per second than it states in its answers.

The agent is the only one that sends requests to its upstream, so the whole limit is its own.
"""

import time
from collections.abc import AsyncIterator
from typing import NamedTuple

from gypsumpier.agent.order import AttemptOrder
from gypsumpier.agent.upstream import Part, Upstream
from gypsumpier.codes.request import UPSTREAM_LIMITED
from gypsumpier.errors import GypsumpierError
from gypsumpier.external.engine import LiveModel
from gypsumpier.ratelimit.limits import RequestLimits, WholeShare
from gypsumpier.ratelimit.statedlimit import StatedLimit


class OwnUpstream(NamedTuple):
    """The agent's upstream by name and service."""

    id: str
    service: str

    def run_key(self) -> tuple[str, int]:
        """Return the key of its run; the limit of an earlier run ends with its first answer."""
        return self.id, 0


class LimitedUpstream:
    """The Upstream protocol, with refusals of what the limit does not allow."""

    def __init__(self, upstream: Upstream, own: OwnUpstream) -> None:
        self.upstream = upstream
        self.own = own
        self.limits = RequestLimits(WholeShare())

    def record_answer(self, stated: StatedLimit, sent_at_s: float) -> None:
        """Record what an answer of the upstream states."""
        self.limits.record_answer(self.own, stated, sent_at_s)

    async def run(self, order: AttemptOrder) -> AsyncIterator[Part]:
        """Run the order; raise GypsumpierError with UPSTREAM_LIMITED where that would exceed it."""
        bucket = self.limits.bucket(self.own)
        wait_s = bucket.wait_s(time.monotonic()) if bucket else 0.0
        if wait_s > 0:
            detail = f"{self.own.id} takes {bucket.rate_per_s:g} requests/s" if bucket else ""
            raise GypsumpierError(UPSTREAM_LIMITED, detail, wait_s)
        self.limits.take(self.own)
        async for part in self.upstream.run(order):
            yield part

    async def cancel(self, exchange: str) -> None:
        await self.upstream.cancel(exchange)

    async def refresh(self) -> None:
        await self.upstream.refresh()

    def live(self) -> list[LiveModel]:
        return self.upstream.live()

    def retire(self, live: LiveModel) -> None:
        self.upstream.retire(live)

    def refuse(self, live: LiveModel) -> None:
        self.upstream.refuse(live)

    def restore(self, live: LiveModel) -> None:
        self.upstream.restore(live)
