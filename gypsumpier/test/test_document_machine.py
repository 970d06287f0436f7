"""A state machine test of whole control planes against a naive model.

Hypothesis draws edits, partitions, pauses, replacements and faults of the platform in any order.
The model is the list of published revisions.  No instance may ever put a lower revision in force,
and QUIET_S after the last fault has ended all must hold the same revision of each name, the last
one where that is valid.
"""

import asyncio
import unittest
from collections.abc import Coroutine
from typing import Any, Final

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from gypsumpier.document.service import Accepted
from gypsumpier.external.configuration import DocumentRevision
from gypsumpier.test.builders_document import refused_revision, revised
from gypsumpier.test.builders_spread import Fleet, Instance
from gypsumpier.test.virtual import VirtualLoop

NAMES: Final = ("gypsum-llm", "table-ops")
ZONES: Final = ("bac-a", "nam-a", "trung-a")
ENTRIES_PER_ZONE: Final = 2
QUIET_S: Final = 4.0
START_S: Final = 3.0
EXAMPLES: Final = 60


class SpreadMachine(RuleBasedStateMachine):
    """Two services and three zones of two entries and one agent each."""

    def __init__(self) -> None:
        super().__init__()
        self.runner = asyncio.Runner(loop_factory=VirtualLoop)
        self.fleet = Fleet()
        self.published: list[DocumentRevision] = []
        self.highest: dict[tuple[str, str], int] = {}
        self.reverted: list[str] = []

    def run(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run one step in the virtual loop."""
        self.runner.run(coroutine)

    @initialize()
    def begin(self) -> None:
        """Start the fleet."""
        self.run(self.start())

    async def start(self) -> None:
        """Start all instances and wait START_S, in which they connect to each other."""
        entries = dict.fromkeys(ZONES, ENTRIES_PER_ZONE)
        await self.fleet.start(entries, dict.fromkeys(ZONES, 1), NAMES[0])
        for instance in self.fleet.instances.values():
            self.follow(instance)
        await asyncio.sleep(START_S)

    def follow(self, instance: Instance) -> None:
        """Record each revision that comes into force at the instance, and each revert."""
        incarnation = instance.options.incarnation

        def note(accepted: Accepted) -> None:
            key = (incarnation, accepted.name)
            if accepted.revision <= self.highest.get(key, 0):
                self.reverted.append(f"{instance.options.name} {accepted}")
            self.highest[key] = accepted.revision

        instance.documents.subscribe(note)

    @rule(name=st.sampled_from(NAMES), kind=st.sampled_from(["valid", "refused", "deleted"]))
    def edit(self, name: str, kind: str) -> None:
        """Publish the next revision."""
        number = len(self.published) + 1
        edited = DocumentRevision(name, number, None)
        if kind == "valid":
            edited = revised(name, number, max_unavailable=number)
        elif kind == "refused":
            edited = refused_revision(name, number)
        self.published.append(edited)
        self.fleet.platform.put(edited)

    @rule(seconds=st.sampled_from([0.01, 0.3, 2.0, 3.2, 8.0]))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.run(asyncio.sleep(seconds))

    @rule(zone=st.sampled_from(ZONES), from_platform=st.booleans())
    def cut(self, zone: str, from_platform: bool) -> None:
        """Partition a zone from the others, and from the platform if so drawn."""
        self.fleet.cut_zone(zone, from_platform)

    @rule(zone=st.sampled_from(ZONES))
    def heal(self, zone: str) -> None:
        """End the partition of a zone."""
        self.fleet.heal_zone(zone)

    @rule(is_down=st.booleans(), lag=st.sampled_from([None, 1, 3]))
    def disturb(self, is_down: bool, lag: int | None) -> None:
        """Make the configuration service down, stale, both or neither."""
        position = len(self.published)
        self.fleet.platform.is_down = is_down
        self.fleet.platform.stale_position = None if lag is None else max(0, position - lag)

    @rule(index=st.integers(0, 8))
    def silence(self, index: int) -> None:
        """Silence the current connections of an instance permanently."""
        instance = list(self.fleet.instances.values())[index]
        for link in self.fleet.network.links:
            if instance.options.host in (link.source, link.target):
                link.silent = True

    @rule(index=st.integers(0, 8))
    def replace(self, index: int) -> None:
        """Stop an instance and start a new incarnation of it."""
        self.run(self.restart(list(self.fleet.instances.values())[index]))

    async def restart(self, old: Instance) -> None:
        """Stop an instance and start its successor."""
        await old.stop()
        options = old.options
        number = int(options.name.rsplit("/", 1)[1])
        instance = self.fleet.add(options.role, options.zone, number, options.service)
        self.follow(instance)
        await instance.start()

    @invariant()
    def never_lower(self) -> None:
        """No instance has put a lower revision in force."""
        assert not self.reverted, self.reverted

    def teardown(self) -> None:
        """End all faults and check that all instances agree with the model."""
        try:
            self.run(self.end())
        finally:
            self.runner.close()

    async def end(self) -> None:
        """End all faults, wait QUIET_S, check the agreement and stop the fleet."""
        for zone in ZONES:
            self.fleet.heal_zone(zone)
        self.fleet.platform.is_down = False
        self.fleet.platform.stale_position = None
        await asyncio.sleep(QUIET_S)
        for name in NAMES:
            self.check_equal(name)
        assert not self.reverted, self.reverted
        await self.fleet.stop()

    def check_equal(self, name: str) -> None:
        """Check that all hold the same revision of the name, the last published if it is valid.

        Where the last one is refused, the platform may have replaced the one before it before any
        instance read it; then only the agreement is checked.
        """
        held: dict[str, DocumentRevision | None] = {}
        for instance in self.fleet.instances.values():
            if instance.options.role == "entry" or name == instance.options.service:
                record = instance.documents.records.get(name)
                held[instance.options.name] = record.revised if record else None
        assert len(set(held.values())) == 1, held
        last = [one for one in self.published if one.name == name][-1:]
        if last and not is_refused(last[0]):
            assert set(held.values()) == set(last), (held, last)


def is_refused(published: DocumentRevision) -> bool:
    """Return whether ``refused_revision`` created it."""
    return published.body is not None and b'"share_percent": 99' in published.body


class SpreadMachineTest(unittest.TestCase):
    def test_any_history_converges_and_never_reverts(self) -> None:
        machine = SpreadMachine.TestCase()
        machine.settings = settings(
            derandomize=True,
            deadline=None,
            max_examples=EXAMPLES,
            stateful_step_count=12,
            phases=(Phase.generate,),
        )
        machine.runTest()
