"""Reads documents from the configuration service while this process is responsible for it.

A read can't lower the revision in force, because the table keeps only the highest revision of each
name.  So an answer from a stale service is harmless, and a failed read changes nothing.

A starting process also fetches from its peers.  It applies the first answer of the service only
when the first entry has sent all that it holds or ``start_wait_s`` has passed.  Otherwise a stale
service could briefly put into force a revision that other instances have already replaced.
"""

import asyncio
import random
from typing import Final

from gypsumpier.backoff import Backoff
from gypsumpier.clock import Clock
from gypsumpier.codes.platform import PLATFORM_UNREACHABLE
from gypsumpier.document.metrics import count_read
from gypsumpier.document.spread import own_subscription
from gypsumpier.document.table import DocumentTable
from gypsumpier.errors import GypsumpierError
from gypsumpier.external.configuration import Changes, Configuration
from gypsumpier.options import Options
from gypsumpier.spread.spread import Spread
from gypsumpier.tasks import end_task

SOURCE: Final = "configuration"
ANSWER_MARGIN_S: Final = 1.0


class DocumentReader:
    """Component that fills a DocumentTable from the configuration service."""

    def __init__(
        self,
        options: Options,
        clock: Clock,
        configuration: Configuration,
        table: DocumentTable,
        spread: Spread | None = None,
        randomness: random.Random | None = None,
    ) -> None:
        self.options = options
        self.clock = clock
        self.configuration = configuration
        self.table = table
        self.spread = spread
        self.subscription = own_subscription(options)
        self.backoff = Backoff(randomness or random.Random(), options.platform_backoff_s)
        self.position: int | None = None
        self.calls = 0
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start reading; does not wait for the service, which may be down."""
        self.task = asyncio.create_task(self.run())

    async def stop(self) -> None:
        """Stop reading."""
        await end_task(self.task)

    async def run(self) -> None:
        """Read and watch in a loop, waiting while this process is not responsible for it."""
        is_first = True
        while True:
            if self.spread is not None:
                await self.spread.document_reads.wait_for_turn()
            try:
                changes = await self.read()
            except GypsumpierError as error:
                count_read(SOURCE, answered=False)
                self.position = None
                await self.clock.sleep(self.backoff.next_wait_s(error.retry_after_s))
                continue
            if is_first and self.spread is not None:
                await self.spread.wait_for_peers()
            is_first = False
            self.apply(changes)
            await self.clock.sleep(self.options.watch_pause_s)

    async def read(self) -> Changes:
        """Return all documents, or after a successful read those changed since.

        Raise GypsumpierError where the service fails or does not answer in time.
        """
        self.calls += 1
        try:
            async with asyncio.timeout(self.options.watch_timeout_s + ANSWER_MARGIN_S):
                if self.position is None:
                    return await self.configuration.read_all()
                return await self.configuration.watch(self.position, self.options.watch_timeout_s)
        except TimeoutError as error:
            raise GypsumpierError(PLATFORM_UNREACHABLE, "no answer in time") from error

    def apply(self, changes: Changes) -> None:
        """Offer the documents that were read to the table."""
        count_read(SOURCE, answered=True)
        self.position = changes.position
        self.backoff.reset()
        if self.spread is not None:
            self.spread.documents.freshness.record_read()
        for revised in changes.documents:
            if self.subscription is None or revised.name in self.subscription:
                self.table.offer(revised, SOURCE)
