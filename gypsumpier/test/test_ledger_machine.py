"""State machine test of at-most-once execution.

Copies of requests through several entries, some delayed, interleave with crashes and replacements
of entries and homes, and with documents that move keys between homes.  The test guards against
running a key twice, running a key after it was reported as not run, and reporting a wrong outcome.
"""

import unittest
from dataclasses import dataclass, field

from hypothesis import assume, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from gypsumpier.agent.handover import reported_keys
from gypsumpier.idempotency.key import KeyId
from gypsumpier.idempotency.ledger import Ledger
from gypsumpier.idempotency.record import KeyRecord, KeyState, StoredAnswer, Verdict
from gypsumpier.idempotency.recovery import EntryId, HomeRecovery, RecoveryLimits
from gypsumpier.idempotency.sent_keys import SentKeys

LIMITS = RecoveryLimits(horizon_s=100.0, settle_s=3.0, clock_skew_s=1.0)
SERVICE = "table-ops"
KEYS = [KeyId("w", "a")]
ENTRIES_MAX = 4
AGENTS_MAX = 6
ANSWER = StoredAnswer(b"done")


@dataclass
class EntryFake:
    """An entry with its sent keys, its document revision and the agents that it has connected to.

    ``connected_agents`` maps each slot to the number of the youngest agent that the entry has
    connected to, ``previous_agents`` to the one before that.  ``inherited`` holds the number of the
    vouching agent, the lost entry and the revision.
    """

    id: EntryId
    started_at_s: float
    revision: int
    sent: SentKeys = field(default_factory=lambda: SentKeys(100, LIMITS.horizon_s * 2))
    connected_agents: dict[int, int] = field(default_factory=dict)
    lost: dict[EntryId, float] = field(default_factory=dict)
    inherited: set[tuple[int, EntryId, int]] = field(default_factory=set)
    previous_agents: dict[int, int] = field(default_factory=dict)
    died_at_s: float | None = None


@dataclass
class AgentFake:
    """One incarnation in a slot."""

    number: int
    slot: int
    revision: int
    recovery: HomeRecovery
    ledger: Ledger = field(default_factory=lambda: Ledger(10**6, 10**6, LIMITS.horizon_s * 2))
    alive: bool = True


@dataclass
class Copy:
    """One copy of a request in transit to an agent."""

    entry: EntryFake
    agent: AgentFake
    key_id: KeyId
    received_at_s: float


class AtMostOnceMachine(RuleBasedStateMachine):
    """Interleaves all events in any order; the reference model counts the runs of each key."""

    @initialize()
    def begin(self) -> None:
        self.now_s = 1000.0
        self.revision = 0
        self.entries: list[EntryFake] = []
        self.agents: list[AgentFake] = []
        self.copies: list[Copy] = []
        self.running: list[Copy] = []
        self.runs = dict.fromkeys(KEYS, 0)
        self.sent_at_s: dict[KeyId, float] = {}
        self.refused_at_s: dict[KeyId, float] = {}
        for slot in (0, 1):
            self.start_agent(slot)
        for _ in range(2):
            self.start_entry()
        self.now_s += LIMITS.settle_s + 0.1
        self.read_lists()
        for entry in self.entries:
            self.connect(entry, 0)
            self.connect(entry, 1)

    @rule(settled=st.booleans())
    def replace_agent(self, settled: bool) -> None:
        assume(len(self.agents) < AGENTS_MAX)
        self.start_agent(self.revision % 2)
        if settled:
            self.advance(4.0)

    def start_agent(self, slot: int) -> None:
        """Start a new process in the slot; the previous one may still run."""
        recovery = HomeRecovery(LIMITS, self.now_s)
        recovery.restart(self.revision, self.now_s)
        self.agents.append(AgentFake(len(self.agents), slot, self.revision, recovery))

    @rule()
    def start_entry(self) -> None:
        assume(len(self.entries) < ENTRIES_MAX)
        entry_id = EntryId("entry", str(len(self.entries)))
        self.entries.append(EntryFake(entry_id, self.now_s, self.revision))

    @rule(data=st.data(), agents=st.booleans())
    def kill(self, data: st.DataObject, agents: bool) -> None:
        if agents:
            data.draw(st.sampled_from(self.agents)).alive = False
            return
        # One entry always stays alive: the guarantee does not hold if all entries are replaced
        # within the resend horizon.
        living = [entry for entry in self.entries[1:] if entry.died_at_s is None]
        assume(living)
        data.draw(st.sampled_from(living)).died_at_s = self.now_s

    @rule(step_s=st.sampled_from([0.5, 4.0, 30.0]))
    def advance(self, step_s: float) -> None:
        self.now_s += step_s
        self.read_lists()

    @rule()
    def publish(self) -> None:
        self.revision += 1

    @precondition(lambda self: any(agent.revision < self.revision for agent in self.agents))
    @rule(data=st.data(), agents=st.booleans())
    def adopt(self, data: st.DataObject, agents: bool) -> None:
        if agents:
            behind = [agent for agent in self.agents if agent.revision < self.revision]
            agent = data.draw(st.sampled_from(behind))
            agent.revision += 1
            agent.recovery.restart(agent.revision, self.now_s)
        else:
            data.draw(st.sampled_from(self.entries)).revision = self.revision

    @rule(data=st.data(), all_slots=st.booleans())
    def connect_some(self, data: st.DataObject, all_slots: bool) -> None:
        entry = data.draw(st.sampled_from(self.entries))
        for slot in (0, 1) if all_slots else (entry.revision % 2,):
            self.connect(entry, slot)

    @rule(data=st.data(), key_id=st.sampled_from(KEYS), connects=st.booleans())
    def send_and_deliver_at_once(self, data: st.DataObject, key_id: KeyId, connects: bool) -> None:
        entry = data.draw(st.sampled_from(self.entries))
        if connects:
            self.connect(entry, entry.revision % 2)
        self.submit(entry, key_id, True)

    @rule(data=st.data(), key_id=st.sampled_from(KEYS))
    def send(self, data: st.DataObject, key_id: KeyId) -> None:
        self.submit(data.draw(st.sampled_from(self.entries)), key_id, False)

    def submit(self, entry: EntryFake, key_id: KeyId, at_once: bool) -> None:
        """Make an entry send a copy, which arrives at once or later."""
        listed = self.now_s >= entry.started_at_s + LIMITS.settle_s
        agent_number = entry.connected_agents.get(entry.revision % 2)
        assume(entry.died_at_s is None and listed and agent_number is not None)
        assert agent_number is not None
        last_s = self.sent_at_s.get(key_id, self.now_s)
        assume(self.now_s - last_s < LIMITS.horizon_s)
        self.sent_at_s[key_id] = self.now_s
        assert entry.sent.record_send(SERVICE, key_id, "f", str(agent_number), self.now_s)
        copy = Copy(entry, self.agents[agent_number], key_id, self.now_s)
        if at_once:
            self.receive(copy, False)
        else:
            self.copies.append(copy)

    @precondition(lambda self: any(entry.died_at_s is not None for entry in self.entries))
    @rule(data=st.data())
    def vouch(self, data: st.DataObject) -> None:
        """Make a home hand over its records for dead entries that have reported to it."""
        living = [agent for agent in self.agents if agent.alive]
        assume(living)
        agent = data.draw(st.sampled_from(living))
        gone = [
            entry.id
            for entry in self.entries
            if entry.died_at_s is not None and agent.recovery.has_reported(entry.id)
        ]
        # Frames from a dead entry are either read before its connection is seen closed, or lost.
        self.copies = [
            copy for copy in self.copies if copy.entry.died_at_s is None or copy.agent is not agent
        ]
        for entry in self.entries:
            if entry.died_at_s is None and entry.connected_agents.get(agent.slot) == agent.number:
                self.hand_over(agent, entry, gone)

    def hand_over(self, agent: AgentFake, entry: EntryFake, vouched: list[EntryId]) -> None:
        """Hand an agent's records over to an entry."""
        for key in reported_keys(agent.ledger, self.now_s):
            entry.sent.merge(SERVICE, key, self.now_s)
        entry.inherited |= {(agent.number, lost, entry.revision) for lost in vouched}

    @precondition(lambda self: self.copies)
    @rule(data=st.data(), refused=st.booleans())
    def deliver(self, data: st.DataObject, refused: bool) -> None:
        copy = data.draw(st.sampled_from(self.copies))
        self.copies.remove(copy)
        self.receive(copy, refused)

    def receive(self, copy: Copy, refused: bool) -> None:
        """Make the agent handle the copy."""
        withdrawn = copy.agent.alive
        if self.now_s - copy.received_at_s > LIMITS.horizon_s or not self.accepts(copy):
            if copy.entry.died_at_s is None and withdrawn:
                copy.entry.sent.withdraw(SERVICE, copy.key_id, str(copy.agent.number), self.now_s)
            else:
                self.record_outcome(copy, KeyState.UNKNOWN)
            return
        ledger = copy.agent.ledger
        claim = ledger.claim(copy.key_id, "f", copy.received_at_s, self.now_s)
        if claim.verdict is Verdict.RUN and refused:
            assert ledger.refuse(copy.key_id, "f", self.now_s)
            self.report_not_run(copy)
        elif claim.verdict is Verdict.RUN:
            self.run(copy)
        elif claim.verdict is Verdict.REFUSED:
            self.report_not_run(copy)
        elif claim.verdict in (Verdict.DONE, Verdict.ANSWER_GONE):
            assert self.runs[copy.key_id] == 1, "reported as done, but not run once"
            self.record_outcome(copy, KeyState.DONE)

    @precondition(lambda self: self.running)
    @rule(data=st.data(), fails=st.booleans())
    def finish(self, data: st.DataObject, fails: bool) -> None:
        copy = data.draw(st.sampled_from(self.running))
        self.running.remove(copy)
        if not copy.agent.alive:
            return
        if fails:
            copy.agent.ledger.fail(copy.key_id, self.now_s)
        else:
            copy.agent.ledger.finish(copy.key_id, ANSWER, self.now_s)
        self.record_outcome(copy, KeyState.UNKNOWN if fails else KeyState.DONE)

    def connect(self, entry: EntryFake, slot: int) -> None:
        """Connect to the youngest living agent of the slot and report to it."""
        living = [agent for agent in self.agents if agent.slot == slot and agent.alive]
        if not living or entry.died_at_s is not None:
            return
        agent = living[-1]
        if agent.number < entry.connected_agents.get(slot, -1):
            return
        if entry.connected_agents.get(slot) != agent.number:
            entry.previous_agents[slot] = entry.connected_agents.get(slot, -1)
        entry.connected_agents[slot] = agent.number
        for reported in entry.sent.report(SERVICE, str(agent.number), self.now_s):
            changed_at_s = self.now_s - reported.age_s
            reported_record = KeyRecord(reported.fingerprint, reported.state, changed_at_s)
            agent.ledger.merge(reported.key_id, reported_record)
        for lost, lost_at_s in entry.lost.items():
            agent.recovery.record_loss(lost, lost_at_s)
        agent.recovery.record_report(entry.id, entry.revision)
        for voucher, lost, revision in entry.inherited:
            if (voucher, revision) == (entry.previous_agents[slot], entry.revision):
                agent.recovery.record_report(lost, entry.revision)

    def accepts(self, copy: Copy) -> bool:
        """Return whether the agent is the key's home and may decide about the copy."""
        agent = copy.agent
        if not agent.alive or agent.revision % 2 != agent.slot:
            return False
        known = agent.ledger.query(copy.key_id, self.now_s)
        if known is not None and known.state is not KeyState.REFUSED:
            return True
        return agent.recovery.wait_s(copy.key_id.key, self.now_s, self.now_s) == 0.0

    def run(self, copy: Copy) -> None:
        """Run the request upstream and check the guarantees."""
        self.runs[copy.key_id] += 1
        self.running.append(copy)
        assert self.runs[copy.key_id] == 1, "a key ran twice"
        refused_at_s = self.refused_at_s.get(copy.key_id, -1.0)
        assert copy.received_at_s > refused_at_s, "ran after it was reported as not run"

    def report_not_run(self, copy: Copy) -> None:
        """Report to the caller that the request was not run."""
        assert self.runs[copy.key_id] == 0, "reported as not run, but it has run"
        self.refused_at_s[copy.key_id] = self.now_s
        self.record_outcome(copy, KeyState.REFUSED)

    def record_outcome(self, copy: Copy, state: KeyState) -> None:
        """Record the outcome at the entry if it is alive."""
        if copy.entry.died_at_s is None:
            home = str(copy.agent.number)
            copy.entry.sent.record_outcome(SERVICE, copy.key_id, home, state, self.now_s)

    def read_lists(self) -> None:
        """Make every living process read the member list, which lags by the settling time."""
        before_s = self.now_s - LIMITS.settle_s
        listed = frozenset(
            entry.id
            for entry in self.entries
            if entry.started_at_s <= before_s
            and (entry.died_at_s is None or entry.died_at_s > before_s)
        )
        for entry in self.entries:
            if entry.died_at_s is None:
                self.note_losses(entry, listed)
        for agent in self.agents:
            if agent.alive:
                agent.recovery.record_member_list(self.entries[0].id, listed, self.now_s)
                for lost, lost_at_s in self.entries[0].lost.items():
                    agent.recovery.record_loss(lost, lost_at_s)

    def note_losses(self, entry: EntryFake, listed: frozenset[EntryId]) -> None:
        """Record at an entry which other entries have disappeared."""
        for other in self.entries:
            was_listed = other.started_at_s + LIMITS.settle_s <= self.now_s
            died_at_s = other.died_at_s
            if died_at_s is None or died_at_s + LIMITS.settle_s < entry.started_at_s:
                continue
            if was_listed and other.id not in listed:
                entry.lost.setdefault(other.id, self.now_s)


class LedgerMachineTest(AtMostOnceMachine.TestCase):  # type: ignore[misc, valid-type]
    settings = settings(derandomize=True, deadline=None, max_examples=1000, stateful_step_count=30)


if __name__ == "__main__":
    unittest.main()
