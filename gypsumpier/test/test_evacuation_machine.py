"""State machine test of evacuated zones in processes that read a store and tell each other.

The store is written, goes away and comes back from older copies; processes miss changes and
messages, get messages late, and restart.  The test guards against a process that ends an evacuation
without the store's word, and against processes that disagree with the store in the end.
"""

import unittest
from typing import Any, Final, NamedTuple
from unittest import mock

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from gypsumpier.fleet import evacuations, recordtable, state
from gypsumpier.fleet.change import Batch
from gypsumpier.fleet.evacuations import REPEAT_S
from gypsumpier.fleet.position import Position
from gypsumpier.fleet.record import Record
from gypsumpier.fleet.state import FleetState
from gypsumpier.mesh import feed
from gypsumpier.mesh.feed import FleetStateFeed
from gypsumpier.mesh.peer import Peer
from gypsumpier.test.builders_platform import DecodingSource, engine_record, evacuation_record
from gypsumpier.test.fakes_mesh import RecordingMesh
from gypsumpier.test.fakes_piece import entry_peer

ZONES: Final = ("bac-a", "nam-a")
PEERS: Final = (
    entry_peer("front-bac-a-1", "bac-a"),
    entry_peer("front-bac-a-2", "bac-a"),
    entry_peer("front-nam-a-1", "nam-a"),
)
READERS: Final = st.sets(st.integers(0, 2))
COPY_AGE_MAX: Final = 3
"""Changes that a copy lacks at most."""
MESSAGES_MAX: Final = 40


class Change(NamedTuple):
    """A key that the store wrote, or removed, and whether it did so in its era."""

    record: Record
    is_of_era: bool


class Message(NamedTuple):
    """A message that is under way since ``sent_at_s``."""

    sent_at_s: float
    sender: Peer
    receiver: str
    kind: str
    payload: dict[str, Any]


class StoreModel:
    """A store whose changes are counted, with copies of what it held after each of them."""

    def __init__(self) -> None:
        self.era = 1
        self.back_at_s = {self.era: float("-inf")}
        engine = Change(engine_record(1, 1), False)
        self.changes: list[Change] = [engine]
        self.histories: dict[int, list[Change]] = {self.era: self.changes}

    @property
    def position(self) -> Position:
        """The position of the newest change."""
        return Position(self.era, self.changes[-1].record.revision)

    def write(self, zone: str, is_evacuated: bool) -> None:
        """Write or remove the key of a zone."""
        found = evacuation_record(self.position.revision + 1, zone, is_evacuated)
        self.changes.append(Change(found._replace(era=self.era), True))

    def come_back(self, age: int, now_s: float) -> None:
        """Come back from a copy that lacks the last ``age`` changes."""
        kept = self.changes[: max(1, len(self.changes) - age)]
        self.era += 1
        self.back_at_s[self.era] = now_s
        self.changes = [Change(record._replace(era=self.era), False) for record, _ in kept]
        self.histories[self.era] = self.changes

    def held_at(self, position: Position) -> dict[str, Change]:
        """Return what the store held at a position, by key."""
        held: dict[str, Change] = {}
        for change in self.histories[position.era]:
            if change.record.revision <= position.revision:
                held[change.record.key] = change
        return {key: found for key, found in held.items() if found.record.value is not None}

    def is_removed_in_era(self, zone: str, position: Position) -> bool:
        """Return whether the key was removed in the era of the position, up to there."""
        return any(
            change.is_of_era
            and change.record.value is None
            and change.record.key == f"op/evacuate/{zone}"
            and change.record.revision <= position.revision
            for change in self.histories[position.era]
        )

    def snapshot(self) -> Batch:
        """Return what the store holds."""
        records = [change.record for change in self.held_at(self.position).values()]
        return Batch(0, self.position.revision, records, True, 0.0, self.era)

    def changes_after(self, revision: int) -> Batch:
        """Return the answer of a watch."""
        found = [change.record for change in self.changes if change.record.revision > revision]
        return Batch(revision, self.position.revision, found, False, 0.0, self.era)


class Process:
    """One process; it sends what it reads to the others."""

    def __init__(self, own: Peer) -> None:
        self.mesh = RecordingMesh(own, [peer for peer in PEERS if peer != own])
        self.state = FleetState(DecodingSource())
        self.feed = FleetStateFeed(self.mesh, self.state)  # type: ignore[arg-type]
        self.known: dict[str, Position] = {}


class EvacuationMachine(RuleBasedStateMachine):
    """The store, three processes and the messages between them."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 1000.0
        self.patches = [
            mock.patch.object(module, "boot_time_s", lambda: self.now_s)
            for module in (state, evacuations, recordtable, feed)
        ]
        for patch in self.patches:
            patch.start()
        self.store = StoreModel()
        self.is_down = False
        self.messages: list[Message] = []
        self.processes = {peer.name: Process(peer) for peer in PEERS}

    @precondition(lambda self: not self.is_down)
    @rule(zone=st.sampled_from(ZONES), readers=READERS)
    def write(self, zone: str, readers: set[int]) -> None:
        """Begin the evacuation of a zone or end it; some processes read that at once."""
        held = self.store.held_at(self.store.position)
        self.store.write(zone, f"op/evacuate/{zone}" not in held)
        self.read(readers, False)

    @precondition(lambda self: not self.is_down)
    @rule(zone=st.sampled_from(ZONES), readers=READERS, is_evacuated=st.booleans())
    def write_again(self, zone: str, readers: set[int], is_evacuated: bool) -> None:
        """Repeat a write that may have been lost."""
        self.store.write(zone, is_evacuated)
        self.read(readers, False)

    @precondition(lambda self: not self.is_down)
    @rule(readers=READERS, is_snapshot=st.booleans())
    def read(self, readers: set[int], is_snapshot: bool) -> None:
        """Let some processes read the store, as a snapshot or as a watch."""
        for number in sorted(readers):
            self.read_store(self.processes[PEERS[number].name], is_snapshot)

    @precondition(lambda self: not self.is_down)
    @rule()
    def fail(self) -> None:
        """Make the store unreachable for all."""
        self.is_down = True

    @rule(age=st.integers(0, COPY_AGE_MAX), readers=READERS)
    def restore(self, age: int, readers: set[int]) -> None:
        """Let the store come back from a copy; some processes read that at once."""
        if age or not self.is_down:
            self.store.come_back(age, self.now_s)
        self.is_down = False
        self.read(readers, True)

    @rule(number=st.integers(0, 2))
    def restart(self, number: int) -> None:
        own = PEERS[number]
        self.messages = [found for found in self.messages if found.receiver != own.name]
        self.processes[own.name] = Process(own)
        for process in self.processes.values():
            if process.mesh.own != own:
                process.feed.send_offer(mock.Mock(peer=own))
                self.collect(process)

    @rule(seconds=st.sampled_from([0.1, 1.0, REPEAT_S - 0.1, REPEAT_S + 0.1]))
    def wait(self, seconds: float) -> None:
        self.now_s += seconds
        for process in self.processes.values():
            process.state.drop_expired_lapsed()
            self.check(process)

    @precondition(lambda self: self.messages)
    @rule(data=st.data())
    def deliver(self, data: st.DataObject) -> None:
        number = data.draw(st.integers(0, len(self.messages) - 1))
        self.deliver_message(self.messages.pop(number))

    @precondition(lambda self: self.messages)
    @rule(data=st.data())
    def lose(self, data: st.DataObject) -> None:
        self.messages.pop(data.draw(st.integers(0, len(self.messages) - 1)))

    def read_store(self, process: Process, is_snapshot: bool) -> None:
        """Let a process read the store as the watcher does, and share what it has read."""
        known = process.state.position
        is_snapshot |= not known.revision or known.era != self.store.era
        batch = self.store.snapshot() if is_snapshot else self.store.changes_after(known.revision)
        process.state.apply(batch, self.now_s, "store")
        if batch.position == process.state.position:
            process.feed.share(process.state.snapshot() if is_snapshot else batch)
        self.collect(process)
        process.state.drop_expired_lapsed()
        self.check(process)
        self.check_written(process)

    def collect(self, process: Process) -> None:
        """Send what the process has posted."""
        for name, kind, payload in process.mesh.posted:
            self.messages.append(Message(self.now_s, process.mesh.own, name, kind, payload))
        process.mesh.posted.clear()
        del self.messages[:-MESSAGES_MAX]

    def deliver_message(self, message: Message) -> None:
        """Let a process handle a message."""
        process = self.processes[message.receiver]
        mesh = process.mesh
        if message.kind in mesh.listeners:
            mesh.listeners[message.kind](message.sender, message.payload)
        else:
            delay_s = self.now_s - message.sent_at_s
            mesh.aged_listeners[message.kind](message.sender, message.payload, delay_s)
        self.collect(process)
        process.state.drop_expired_lapsed()
        self.check(process)

    def check(self, process: Process) -> None:
        """Check that each evacuation that has ended here did so by the store's word."""
        position = process.state.position
        zones = process.state.evacuations.zones
        for zone, known in process.known.items():
            if zone in zones:
                continue
            held = self.store.held_at(position)
            assert f"op/evacuate/{zone}" not in held, f"{zone} is held at {position}"
            is_told = known.era == position.era or self.store.is_removed_in_era(zone, position)
            is_old = process.state.proven_at_s >= self.store.back_at_s[position.era] + REPEAT_S
            assert is_told or is_old, f"{zone} ended at {position}"
        process.known = {zone: found.position for zone, found in zones.items()}

    def check_written(self, process: Process) -> None:
        """Check that a process at the store's position knows each key written in its era."""
        known = process.state.evacuations
        for key, change in self.store.held_at(process.state.position).items():
            zone = key.removeprefix("op/evacuate/")
            if key.startswith("op/evacuate/") and zone not in known.zones:
                assert zone in known.doubted, f"{zone} is held and not known"
                # A write that got the number of one that the store has lost is taken for it.
                revisions = known.ended[zone].revisions
                assert not change.is_of_era or change.record.revision in revisions

    def teardown(self) -> None:
        try:
            self.check_agreement()
        finally:
            for patch in self.patches:
                patch.stop()

    def check_agreement(self) -> None:
        """Check that all agree with the store once everything has arrived."""
        while self.messages:
            self.deliver_message(self.messages.pop(0))
        for _ in range(2):
            for process in self.processes.values():
                self.read_store(process, False)
            while self.messages:
                self.deliver_message(self.messages.pop(0))
            self.now_s += 2 * REPEAT_S
        for process in self.processes.values():
            self.read_store(process, False)
        held = {
            key.removeprefix("op/evacuate/")
            for key in self.store.held_at(self.store.position)
            if key.startswith("op/evacuate/")
        }
        for process in self.processes.values():
            assert set(process.state.evacuations.zones) == held, process.mesh.own.name


class EvacuationMachineTest(EvacuationMachine.TestCase):  # type: ignore[misc, valid-type]
    settings = settings(derandomize=True, deadline=None, max_examples=500, stateful_step_count=40)


if __name__ == "__main__":
    unittest.main()
