"""The published file lists of the versions that this agent follows.

Two agents of the store's region and one of each other region read a version's list from the store
and read it again at an interval.  The other agents receive it from their peers, and read it
themselves only where no peer sends it.  So a burst reads a few lists from the store instead of one
for each agent, and a change of the content under a version's name is detected everywhere.  The
list that was read last takes precedence.
"""

import asyncio
from contextlib import suppress
from typing import Final, NamedTuple

from gypsumpier.codes.wire import BAD_FRAME
from gypsumpier.errors import GypsumpierError
from gypsumpier.external.store import WeightFile
from gypsumpier.log import decision
from gypsumpier.weight.context import RolloutContext
from gypsumpier.weight.manifest import Manifest, build_manifest
from gypsumpier.weight.message import AskFiles, Files
from gypsumpier.weight.peer import Peer
from gypsumpier.weight.peers import Peers
from gypsumpier.weight.rank import ranked

STORE_REGION_READERS: Final = 2
PEER_ANSWER_TIMEOUT_S: Final = 3.0
ASK_INTERVAL_S: Final = 0.5
REMOTE_INTERVAL_FACTOR: Final = 6
"""Agents outside the store's region read lists less often by this factor."""
MIN_RECHECK_INTERVAL_S: Final = 1.0

Key = tuple[str, str]


class Published(NamedTuple):
    """A version's manifest and the monotonic time at which its list was read from the store."""

    manifest: Manifest
    read_at_s: float


class Catalogue:
    """The newest known manifest of each followed version."""

    def __init__(self, context: RolloutContext, peers: Peers) -> None:
        self.context = context
        self.clock = context.clock
        self.options = context.options
        self.peers = peers
        self.known: dict[Key, Published] = {}
        self.followed: set[Key] = set()
        self.changed = asyncio.Event()

    async def run(self) -> None:
        """Read the lists again at an interval until cancelled."""
        while True:
            await self.clock.sleep(self.interval_s())
            for key in list(self.followed):
                if self.is_reader(key):
                    await self.try_read(key)

    def interval_s(self) -> float:
        """Return the interval between two reads in seconds, with 25 % jitter either way."""
        factor = 1 if self.is_store_local() else REMOTE_INTERVAL_FACTOR
        jitter = 0.75 + self.context.random.random() / 2
        return self.options.manifest_interval_s * factor * jitter

    def is_store_local(self) -> bool:
        """Return whether reads from the store cross no link between regions, as configured."""
        return self.options.store_region in ("", self.options.region)

    def is_reader(self, key: Key) -> bool:
        """Return whether this agent is one of its region's readers of the list."""
        agents = self.context.members.agents(self.options.service)
        names = {agent.name for agent in agents if agent.region == self.options.region}
        order = ranked(f"files/{key[0]}/{key[1]}", names | {self.options.name})
        return order.index(self.options.name) < (
            STORE_REGION_READERS if self.is_store_local() else 1
        )

    async def manifest(self, key: Key) -> Manifest:
        """Return the newest manifest; raise GypsumpierError where no source provides the list."""
        self.followed.add(key)
        if key not in self.known and not self.is_reader(key):
            await self.ask_peers(key)
        if key not in self.known:
            await self.read(key)
        return self.known[key].manifest

    async def ask_peers(self, key: Key) -> None:
        """Request the list from the peers until one sends it or the jittered timeout passes."""
        jitter = 1 + self.context.random.random()
        until_s = self.clock.monotonic() + PEER_ANSWER_TIMEOUT_S * jitter
        while key not in self.known and self.clock.monotonic() < until_s:
            for peer in self.peers.by_name.values():
                peer.post(AskFiles(*key))
            await self.wait_for_change(ASK_INTERVAL_S)

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait until any list changes, at most ``timeout_s``."""
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self.changed.wait()

    async def read(self, key: Key) -> None:
        """Read the list from the store."""
        read_at_s = self.clock.monotonic()
        files = await self.context.store_reader.files(*key)
        self.update(key, files, read_at_s)

    async def try_read(self, key: Key) -> None:
        """Read the list again; log a failure and keep the known list."""
        try:
            await self.read(key)
        except GypsumpierError as error:
            decision("file_list_unread", model=key[0], version=key[1], reason=str(error))

    async def recheck(self, key: Key) -> None:
        """Read the list now, unless that was just done, because content doesn't match it."""
        known = self.known.get(key)
        if known is None or self.clock.monotonic() - known.read_at_s > MIN_RECHECK_INTERVAL_S:
            await self.try_read(key)

    def has_changed(self, manifest: Manifest) -> bool:
        """Return whether the newest list of the manifest's version describes other content."""
        known = self.known.get((manifest.model, manifest.version))
        return known is not None and known.manifest.layout != manifest.layout

    def update(self, key: Key, files: list[WeightFile], read_at_s: float) -> bool:
        """Store a list that was read later than the known one; return whether it differs."""
        known = self.known.get(key)
        if known is not None and known.read_at_s >= read_at_s:
            return False
        manifest = build_manifest(*key, files)
        self.known[key] = Published(manifest, read_at_s)
        if known is not None and known.manifest.layout == manifest.layout:
            return False
        decision(
            "file_list_read",
            model=key[0],
            version=key[1],
            digest=manifest.digest,
            reason="first" if known is None else "the content changed under the version's name",
        )
        self.peers.post(self.files_message(key))
        self.changed.set()
        self.changed = asyncio.Event()
        return True

    def drop(self, key: Key) -> None:
        """Stop following a version."""
        self.followed.discard(key)
        self.known.pop(key, None)

    def files_message(self, key: Key) -> Files:
        """Return the message that carries the list."""
        manifest, read_at_s = self.known[key]
        age_s = self.clock.monotonic() - read_at_s
        return Files(*key, float(age_s), [list(file) for file in manifest.files])

    def send_known_lists(self, peer: Peer) -> None:
        """Send a new peer the known lists, which may have changed while it was disconnected."""
        for key in self.known:
            peer.post(self.files_message(key))

    def on_ask(self, peer: Peer, message: AskFiles) -> None:
        """Send the list to a peer that requests it, if it is known."""
        key = (message.model, message.version)
        if key in self.known:
            peer.post(self.files_message(key))

    def on_files(self, peer: Peer, message: Files, delay_s: float) -> None:
        """Store a list sent by a peer, whose age grew by ``delay_s`` seconds on the way.

        Raises GypsumpierError with BAD_FRAME or BAD_MANIFEST where it is malformed.
        """
        key = (message.model, message.version)
        if key not in self.followed:
            return
        read_at_s = self.clock.monotonic() - message.age_s - delay_s
        try:
            files = [WeightFile._make([*fields[:4], tuple(fields[4])]) for fields in message.files]
            self.update(key, files, read_at_s)
        except (TypeError, IndexError) as error:
            raise GypsumpierError(BAD_FRAME, f"malformed file list of {peer.name}") from error
