"""Requests that were sent to an upstream and that it has not started to answer."""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Final, NamedTuple

from prometheus_client import Counter

from gypsumpier.fleet.upstream import UpstreamRecord
from gypsumpier.gateway.request import GatewayRequest
from gypsumpier.metrics import REGISTRY
from gypsumpier.upstream.exchange import Exchange
from gypsumpier.upstream.selector import UpstreamSelector

CHECK_INTERVAL_S: Final = 0.05
"""Seconds between two checks; small against the margin before a version's time limit."""

WITHDRAWN: Final = Counter(
    "gypsumpier_withdrawn_requests",
    "Requests withdrawn from an upstream that had not started them.",
    ["service"],
    registry=REGISTRY,
)


class PendingStart(NamedTuple):
    """A request that was sent to an upstream, which held that version of the weights."""

    request: GatewayRequest
    record: UpstreamRecord
    sent_version: int


class PendingStarts:
    """Withdraws requests from upstreams that must not start them any more.

    An upstream may start a request long after it was sent: it waits in the upstream's queue, and
    before that on the way.  ``due_version`` returns the oldest version of a service's weights that
    a request may still start on.  ``pending`` holds for each exchange its request, the upstream and
    the version that it held when the request was sent.
    """

    def __init__(self, selector: UpstreamSelector, due_version: Callable[[str], int]) -> None:
        self.selector = selector
        self.due_version = due_version
        self.pending: dict[Exchange, PendingStart] = {}

    @contextmanager
    def track(
        self, exchange: Exchange, request: GatewayRequest, record: UpstreamRecord
    ) -> Iterator[None]:
        """Count the exchange's request as not started for the time of the context."""
        version = self.selector.held_version(record)
        self.pending[exchange] = PendingStart(request, record, version)
        try:
            yield
        finally:
            del self.pending[exchange]

    async def run(self) -> None:
        """Check periodically; never returns."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.withdraw_outdated()

    def withdraw_outdated(self) -> None:
        """Withdraw requests from upstreams whose weights are too old to start them.

        An upstream that is loading holds no version; it may load one that is too old as well.
        """
        services = {pending.record.service for pending in self.pending.values()}
        due_by_service = {service: self.due_version(service) for service in services}
        for exchange, (_, record, sent_version) in list(self.pending.items()):
            due = due_by_service[record.service]
            # Held versions are worked out only in the rare case of a request sent on an older one.
            if sent_version >= due:
                continue
            held = max(sent_version, self.selector.held_version(record))
            if held < due and exchange.withdraw(f"not started on version {held}, {due} is due"):
                WITHDRAWN.labels(record.service).inc()

    def withdraw(self, is_refused: Callable[[GatewayRequest], bool], reason: str) -> None:
        """Withdraw the requests that are refused by now."""
        for exchange, (request, record, _) in list(self.pending.items()):
            if is_refused(request) and exchange.withdraw(reason):
                WITHDRAWN.labels(record.service).inc()
