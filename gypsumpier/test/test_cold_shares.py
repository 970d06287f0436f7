"""Tests of the shares of a zone's entries, and of what seeds must have told an entry."""

import time
import unittest
from typing import Any, Final
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from gypsumpier.coldstart.entrynames import COLD_ENTRIES, MESSAGES_PER_S, EntryNames
from gypsumpier.coldstart.knownentries import GOODBYE_S, KEPT_S, KnownEntries
from gypsumpier.coldstart.rule import ColdRule
from gypsumpier.coldstart.seedproof import SeedProof
from gypsumpier.coldstart.seedproofs import KNOWN_MIN_S, LEASE_S, SeedProofs
from gypsumpier.coldstart.share import equal_share, is_chosen
from gypsumpier.coldstart.zoneshares import JOIN_S
from gypsumpier.fleet.node import Address
from gypsumpier.mesh.peer import Peer
from gypsumpier.test.fakes_mesh import RecordingMesh

SEEDS: Final = tuple(Address(f"10.0.0.{number}", 1) for number in range(1, 4))
OWN: Final = Address("10.0.0.9", 1)
ALLOWANCES = st.floats(0.0, 200.0)


def peer_at(number: int, zone: str = "a") -> Peer:
    """Return an entry; those from 1 to 3 are seeds."""
    return Peer(f"front-{number:02}", "entry", zone, "r", f"10.0.0.{number}", 1, f"run-{number}")


class ShareTest(unittest.TestCase):
    # Guards against shares that are rounded so that their sum is above the allowance.
    @given(ALLOWANCES, st.integers(1, 500))
    def test_equal_shares_are_within_the_allowance(self, allowance: float, entries: int) -> None:
        self.assertLessEqual(entries * equal_share(allowance, entries), allowance)

    # Guards against entries that know different names, and that are all among the chosen ones.
    @given(ALLOWANCES, st.integers(1, 120), st.data())
    def test_chosen_entries_are_within_the_allowance(
        self, allowance: float, entries: int, data: st.DataObject
    ) -> None:
        names = [f"front-{number}" for number in range(entries)]
        chosen = 0
        for name in names:
            others = data.draw(st.integers(0, 3))
            known = [*names, *(f"gone-{number}" for number in range(others))]
            chosen += is_chosen(allowance, ("i-1", 1), name, known)
        self.assertLessEqual(chosen, max(0.0, allowance))

    # Guards against a zone that leaves a low allowance unused, or always to the same entries.
    def test_many_entries_use_a_low_allowance_in_turn(self) -> None:
        names = [f"front-{number}" for number in range(60)]
        chosen = {
            upstream: {name for name in names if is_chosen(44.0, (upstream, 1), name, names)}
            for upstream in ("i-1", "i-2")
        }
        self.assertEqual([42, 42], [len(found) for found in chosen.values()])
        self.assertNotEqual(*chosen.values())


class SeedProofsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now_s = 1000.0
        self.enterContext(mock.patch.object(time, "clock_gettime", lambda _: self.now_s))
        self.enterContext(mock.patch.object(time, "monotonic", lambda: self.now_s))
        self.proofs = SeedProofs()

    def tell(self, *numbers: int, known_s: float = KNOWN_MIN_S, entries: int = 5) -> None:
        """Let these seeds tell that they know this entry."""
        for number in numbers:
            self.proofs.record(SEEDS[number], SeedProof(self.now_s, known_s, entries))

    def counted(self, own: Address = OWN, running_s: float = 99.0) -> int | None:
        """Return what the seeds count."""
        return self.proofs.counted_by(SEEDS, own, running_s)

    # Guards against two sides of a cut that both find enough seeds.
    def test_a_majority_of_the_seeds_is_required(self) -> None:
        self.tell(0)
        self.assertIsNone(self.counted())
        self.tell(1, entries=7)
        self.assertEqual(7, self.counted())

    # Guards against a share that is used for good by an entry that is cut off.
    def test_what_a_seed_told_expires(self) -> None:
        self.tell(0, 1)
        self.now_s += LEASE_S - 0.1
        self.assertIsNotNone(self.counted())
        self.now_s += 0.1
        self.assertIsNone(self.counted())

    # Guards against a seed that has restarted and can't know who uses a share.
    def test_a_seed_that_knows_the_name_for_less_does_not_count(self) -> None:
        self.tell(0, 1)
        self.tell(1, known_s=KNOWN_MIN_S - 0.1)
        self.assertIsNone(self.counted())

    # Guards against an older message that arrives after a newer one.
    def test_an_older_message_does_not_replace_a_newer_one(self) -> None:
        self.tell(0, 1)
        self.now_s -= 5.0
        self.tell(1, known_s=0.0)
        self.now_s += 5.0
        self.assertIsNotNone(self.counted())

    # Guards against a seed that trusts itself before what its earlier run told has expired.
    def test_a_seed_counts_for_itself_once_it_has_run_for_long(self) -> None:
        self.tell(1)
        self.assertIsNone(self.counted(SEEDS[0], KNOWN_MIN_S - 0.1))
        self.assertIsNotNone(self.counted(SEEDS[0], KNOWN_MIN_S))

    # Guards against an entry without seeds that believes to be alone.
    def test_without_seeds_nothing_is_used(self) -> None:
        self.assertIsNone(self.proofs.counted_by((), OWN, 99.0))


class EntryNamesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now_s = 1000.0
        self.enterContext(mock.patch.object(time, "clock_gettime", lambda _: self.now_s))
        self.enterContext(mock.patch.object(time, "monotonic", lambda: self.now_s))

    def names_of(self, number: int, others: list[Peer], is_used: bool = True) -> EntryNames:
        """Return the names at an entry that is connected to others."""
        mesh: Any = RecordingMesh(peer_at(number), others)
        mesh.seeds = SEEDS
        names = EntryNames(mesh, {"engines": ColdRule(3.0, 44.0)} if is_used else {})
        for other in others:
            names.handle_connected(mock.Mock(peer=other))
        return names

    def posted(self, names: EntryNames) -> list[tuple[str, str, dict[str, Any]]]:
        """Return and clear what an entry has posted."""
        mesh: Any = names.mesh
        posted = list(mesh.posted)
        mesh.posted.clear()
        return posted

    # Guards against messages in deployments without cold upstreams.
    def test_nothing_is_sent_where_no_service_limits_cold_upstreams(self) -> None:
        names = self.names_of(1, [peer_at(2), peer_at(8)], is_used=False)
        names.say_goodbye()
        self.assertEqual([], self.posted(names))

    # Guards against seeds whose messages take too much of their links in a large fleet.
    def test_a_seed_sends_a_bounded_number_of_messages(self) -> None:
        others = [peer_at(number, f"zone-{number % 36}") for number in range(2, 382)]
        names = self.names_of(1, others)
        self.posted(names)
        names.send_round()
        began_s, sent = self.now_s, 0
        self.posted(names)
        while self.now_s < began_s + 60.0:
            self.now_s += 0.1
            names.send_round()
            sent += len(self.posted(names))
        self.assertLessEqual(sent / 60.0, MESSAGES_PER_S)

    # Guards against lists of names in every message.
    def test_names_are_sent_again_only_when_they_have_changed(self) -> None:
        names = self.names_of(1, [peer_at(2)])
        [(_, _, first)] = self.posted(names)
        self.assertEqual({"front-01", "front-02"}, {name for name, _ in first["names"]})
        names.send_round()
        [(_, kind, second)] = self.posted(names)
        self.assertEqual(COLD_ENTRIES, kind)
        self.assertNotIn("names", second)
        names.known.record_seen("a", "front-77", self.now_s)
        self.now_s += 1.0
        names.send_round()
        [(_, _, third)] = self.posted(names)
        self.assertIn("front-77", {name for name, _ in third["names"]})

    # Guards against a share of an entry that forgets those that it can't reach.
    def test_a_name_counts_for_an_hour(self) -> None:
        known = KnownEntries()
        known.record_seen("a", "x", self.now_s)
        self.now_s += KEPT_S - 1.0
        known.drop_expired()
        self.assertEqual({"x"}, set(known.names("a")))
        self.now_s += 1.0
        known.drop_expired()
        self.assertEqual({}, known.names("a"))

    # Guards against names that entries tell each other for ever, and against a lost goodbye.
    def test_a_goodbye_outweighs_older_news(self) -> None:
        names = self.names_of(8, [peer_at(2), peer_at(3)])
        names.handle(peer_at(2), {"leaves": True}, 0.0)
        names.handle(peer_at(3), {"names": [["front-02", 5.0]], "known_s": 1, "entries": 1}, 0.0)
        self.assertIn("front-02", names.known.names("a"))
        self.now_s += GOODBYE_S
        names.send_round()
        self.assertEqual({"front-03", "front-08"}, set(names.known.names("a")))

    # Guards against a message that is malformed or comes from no seed.
    def test_malformed_messages_are_rejected(self) -> None:
        names = self.names_of(8, [peer_at(1), peer_at(7)])
        for payload in (
            {"names": [["x", float("nan")]]},
            {"names": [["x", -1.0]]},
            {"names": [[3, 1.0]]},
            {"known_s": float("inf"), "entries": 1},
            {"known_s": "x", "entries": 1},
            {"entries": 1},
        ):
            with self.assertRaises((KeyError, TypeError, ValueError)):
                names.handle(peer_at(1), payload, 0.0)
        names.handle(peer_at(7), {"known_s": 99.0, "entries": 1}, 0.0)
        self.assertEqual({}, names.proofs.proofs)

    # Guards against a message that waited in buffers while the process was stopped.
    def test_the_age_of_a_message_counts(self) -> None:
        names = self.names_of(8, [peer_at(1), peer_at(2)])
        self.now_s += JOIN_S
        names.stalls.tick()
        self.now_s += 1.0
        for _ in range(3):
            names.stalls.tick()
        self.now_s += 0.4
        names.stalls.tick()
        self.now_s += 0.4
        names.stalls.tick()
        self.now_s += 0.4
        for seed in (1, 2):
            payload = {"known_s": KNOWN_MIN_S, "entries": 4}
            names.handle(peer_at(seed), payload, LEASE_S - 1.0)
        self.assertEqual(4, names.shares.entry_count())
        self.now_s += 1.0
        self.assertIsNone(names.shares.entry_count())


if __name__ == "__main__":
    unittest.main()
