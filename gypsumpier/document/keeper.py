"""Keeps the document table up to date from the configuration service.

One task reads all documents and then watches for changes.  Nothing read can lower what is in
force, because the table keeps only the highest revision of each name; so an answer from a stale
service is harmless and a failed one leaves everything as it is.
"""

import asyncio
import contextlib
import random
from typing import Final

from gypsumpier.backoff import Backoff
from gypsumpier.clock import Clock
from gypsumpier.document.table import DocumentTable
from gypsumpier.errors import GypsumpierError
from gypsumpier.options import Options
from gypsumpier.platform.configuration import Changes, Configuration

SOURCE: Final = "configuration"


class DocumentKeeper:
    """Component that fills a DocumentTable."""

    def __init__(
        self,
        options: Options,
        clock: Clock,
        configuration: Configuration,
        table: DocumentTable,
        randomness: random.Random | None = None,
    ) -> None:
        self.options = options
        self.clock = clock
        self.configuration = configuration
        self.table = table
        self.backoff = Backoff(randomness or random.Random(), options.platform_backoff_s)
        self.position: int | None = None
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start reading; does not wait for the service, which may be down."""
        self.task = asyncio.create_task(self.run())

    async def stop(self) -> None:
        """Stop reading."""
        if self.task is None:
            return
        self.task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self.task

    async def run(self) -> None:
        """Read and watch for ever."""
        while True:
            try:
                self.take(await self.changes())
                self.backoff.reset()
            except GypsumpierError as error:
                self.position = None
                await self.clock.sleep(self.backoff.next_wait_s(error.retry_after_s))

    async def changes(self) -> Changes:
        """Return all documents at first, and what has changed after that."""
        if self.position is None:
            return await self.configuration.read_all()
        return await self.configuration.watch(self.position, self.options.watch_timeout_s)

    def take(self, changes: Changes) -> None:
        """Offer what was read to the table."""
        self.position = changes.position
        for revised in changes.documents:
            self.table.offer(revised, SOURCE)
