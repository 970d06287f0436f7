"""Entries that read a scripted store on the clock of a test, and pass on what they read."""

import asyncio
import unittest
from typing import Final
from unittest import mock

from gypsumpier.codes.platform import PLATFORM_UNREACHABLE
from gypsumpier.errors import GypsumpierError
from gypsumpier.fleet import stall, state, watcher
from gypsumpier.fleet.change import Batch
from gypsumpier.fleet.position import Position
from gypsumpier.fleet.record import Record
from gypsumpier.fleet.watcher import StoreWatcher
from gypsumpier.mesh import feed
from gypsumpier.mesh.feed import FleetStateFeed
from gypsumpier.mesh.peer import Peer
from gypsumpier.test import builders_platform
from gypsumpier.test.builders_platform import (
    MODEL,
    DecodingSource,
    configuration_record,
    engine_record,
    fleet_state_of,
    record,
)
from gypsumpier.test.fakes_mesh import RecordingMesh
from gypsumpier.test.fakes_piece import entry_peer

VERSION_KEY: Final = f"op/version/{MODEL}"
VERSION_BODY: Final = {"model": MODEL, "version": 2}
START_S: Final = 1000.0
NAMED_S: Final = 1.0
"""Seconds from the start of a test until the version is named."""
REVISION: Final = 9


class ScriptedSource(DecodingSource):
    """A source whose calls take ``takes_s`` on the test's clock and then do as ``script`` says.

    Each item of the script is the list of records to answer with, or None for no answer.
    """

    def __init__(self, test: "StoreReadersCase") -> None:
        self.test = test
        self.takes_s = 0.0
        self.script: list[list[Record] | None] = []

    async def watch(self, revision: int, wait_s: float) -> Batch:
        return self.answer(revision, False)

    async def snapshot(self) -> Batch:
        return self.answer(0, True)

    async def current_position(self) -> Position:
        self.test.now_s += self.takes_s
        return Position(0, self.script_revision())

    def script_revision(self) -> int:
        """Return the newest revision of the records that the next call would answer with."""
        records = self.script.pop(0)
        if records is None:
            raise GypsumpierError(PLATFORM_UNREACHABLE, "no answer")
        return max((found.revision for found in records), default=0)

    def answer(self, after: int, is_snapshot: bool) -> Batch:
        self.test.now_s += self.takes_s
        records = self.script.pop(0)
        if records is None:
            raise GypsumpierError(PLATFORM_UNREACHABLE, "no answer")
        revision = max([after, *(found.revision for found in records)])
        return Batch(after, revision, records, is_snapshot, 0.0)


class Reader:
    """An entry with its watcher of the store, whose last proof is of the start of the test."""

    def __init__(self, test: "StoreReadersCase", own: Peer, others: list[Peer]) -> None:
        self.mesh = RecordingMesh(own, [peer for peer in others if peer != own])
        self.state = fleet_state_of(
            configuration_record(), engine_record(1, 2), engine_record(2, REVISION - 1)
        )
        self.feed = FleetStateFeed(self.mesh, self.state)  # type: ignore[arg-type]
        self.source = ScriptedSource(test)
        self.watcher = StoreWatcher(self.source, self.state, self.feed)
        self.watcher.needs_snapshot = False

    async def call(self, takes_s: float, records: list[Record] | None) -> None:
        """Make the watcher's next call to the store, which takes that long."""
        self.source.takes_s = takes_s
        self.source.script.append(records)
        try:
            await self.watcher.read()
            self.watcher.record_success()
        except GypsumpierError as error:
            with mock.patch.object(asyncio, "sleep", mock.AsyncMock()):
                await self.watcher.handle_failure(error)

    def believed_named_at_s(self) -> float:
        """Return the believed time of the version, in seconds from the start of the test."""
        return self.state.versions[MODEL][-1].earliest_named_at_s - START_S


class StoreReadersCase(unittest.IsolatedAsyncioTestCase):
    """Two entries of one zone and one of another; a version is named at ``named_s``."""

    def setUp(self) -> None:
        self.now_s = START_S
        self.named_s = NAMED_S
        for module in (state, feed, watcher, stall, builders_platform):
            patch = mock.patch.object(module, "boot_time_s", lambda: self.now_s)
            patch.start()
            self.addCleanup(patch.stop)
        names = [("front-bac-a-1", "bac-a"), ("front-bac-a-2", "bac-a"), ("front-nam-a-1", "nam-a")]
        peers = [entry_peer(name, zone) for name, zone in names]
        self.readers = [Reader(self, peer, peers) for peer in peers]
        self.news = [record(VERSION_KEY, VERSION_BODY, REVISION)]

    def at(self, seconds: float) -> None:
        """Set the clock to ``seconds`` after the start of the test."""
        self.now_s = START_S + seconds

    def deliver(self, delay_s: float = 0.0) -> None:
        """Deliver what the entries have posted to each other, ``delay_s`` after it was posted."""
        by_name = {reader.mesh.own.name: reader for reader in self.readers}
        for sender in self.readers:
            posted, sender.mesh.posted = sender.mesh.posted, []
            for name, kind, payload in posted:
                mesh = by_name[name].mesh
                if kind in mesh.listeners:
                    mesh.listeners[kind](sender.mesh.own, payload)
                else:
                    mesh.aged_listeners[kind](sender.mesh.own, payload, delay_s)
