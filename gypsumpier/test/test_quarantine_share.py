"""Tests of how processes share what they suspect: restarts, sidecars, late and bad messages."""

import asyncio
import time
import unittest
from typing import Final

from gypsumpier.fleet.node import Address
from gypsumpier.mesh.mesh import SIDECAR
from gypsumpier.quarantine.quarantine import CRASHES_TO_REFUSE_PART, FIRST_REFUSAL_S, Quarantine
from gypsumpier.quarantine.share import CRASH, FINISHED, SUSPECTS, TRIAL, QuarantineShare
from gypsumpier.quarantine.trait import traits_of
from gypsumpier.test.meshnode import Node, wait_until

FATAL: Final = ("part:bad",)
CRASH_INTERVAL_S: Final = 0.06
"""Seconds between two crashes, so that they are not taken for one fault."""


class SharingNode(Node):
    """A process that shares its quarantine."""

    def __init__(self, name: str, zone: str = "a", role: str = "entry") -> None:
        super().__init__(name, zone, role)
        self.quarantine = Quarantine(FIRST_REFUSAL_S)
        self.share = QuarantineShare(self.mesh, self.quarantine)

    def is_refused(self) -> bool:
        """Return whether the fatal part is refused."""
        return bool(self.quarantine.refused(FATAL))


class QuarantineShareTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.nodes: list[SharingNode] = []
        self.first = await self.add("a-1")

    async def asyncTearDown(self) -> None:
        for node in self.nodes:
            await node.stop()

    async def add(self, name: str, zone: str = "a", role: str = "entry") -> SharingNode:
        """Start a process that knows the first one, and wait until they are connected."""
        node = SharingNode(name, zone, role)
        node.start(*self.nodes[:1])
        self.nodes.append(node)
        others = self.nodes[:-1]
        await wait_until(lambda: all(name in other.names(role) for other in others[:1]))
        return node

    async def crash(self, node: SharingNode) -> None:
        """Let requests with the fatal part end upstreams until the entry refuses it."""
        for number in range(CRASHES_TO_REFUSE_PART):
            node.share.record_crash(traits_of(f"request-{number}", ["bad"]), f"i-{number}/1")
            await asyncio.sleep(CRASH_INTERVAL_S)
        self.assertTrue(node.is_refused())

    # Guards against a part that only the entry of its request suspects: it is one of many.
    async def test_a_part_behind_many_others_is_known_everywhere(self) -> None:
        other = await self.add("b-1", "b")
        parts = [f"{number:x}" for number in range(1000)] + ["bad"]
        for number in range(CRASHES_TO_REFUSE_PART):
            self.first.share.record_crash(traits_of(f"r-{number}", parts), f"i-{number}/1")
            await asyncio.sleep(CRASH_INTERVAL_S)
        await wait_until(other.is_refused)
        self.first.share.record_answered(traits_of("r-9", parts))
        await wait_until(lambda: not other.is_refused())

    async def test_entries_of_every_zone_and_sidecars_of_the_own_learn_of_crashes(self) -> None:
        others = [await self.add("b-1", "b"), await self.add("side", "a", SIDECAR)]
        await self.crash(self.first)
        await wait_until(lambda: all(node.is_refused() for node in others))

    async def test_an_entry_that_connects_later_learns_of_earlier_crashes(self) -> None:
        await self.crash(self.first)
        late = await self.add("a-2")
        await wait_until(late.is_refused)

    # Guards against a fatal part ending engines anew each time that all entries were killed.
    async def test_entries_that_all_restart_learn_from_a_sidecar(self) -> None:
        sidecar = await self.add("side", "a", SIDECAR)
        await self.crash(self.first)
        await wait_until(sidecar.is_refused)
        await self.first.stop()
        restarted = SharingNode("a-1")
        self.nodes = [restarted, sidecar]
        restarted.start()
        sidecar.mesh.seeds = (Address(restarted.mesh.own.host, restarted.mesh.own.port),)
        await wait_until(restarted.is_refused)

    # Guards against an entry that stood still taking separate crashes for one fault.
    async def test_crashes_that_are_heard_of_together_count_by_when_they_were_reported(
        self,
    ) -> None:
        peer = self.first.mesh.own
        for number in range(CRASHES_TO_REFUSE_PART):
            payload = {"traits": [f"request-{number}", *FATAL], "crash": f"i-{number}/1"}
            self.first.mesh.aged_listeners[CRASH](peer, payload, 2.0 - 0.5 * number)
        self.assertTrue(self.first.is_refused())

    async def test_an_answer_anywhere_ends_the_refusal_everywhere(self) -> None:
        others = [await self.add("b-1", "b"), await self.add("side", "a", SIDECAR)]
        await self.crash(self.first)
        await wait_until(lambda: all(node.is_refused() for node in others))
        others[0].share.record_answered(traits_of("request-9", ["bad"]))
        await wait_until(lambda: not any(node.is_refused() for node in self.nodes))

    async def test_a_trial_keeps_the_others_from_trying(self) -> None:
        other = await self.add("a-2")
        await self.crash(self.first)
        await wait_until(other.is_refused)
        for node in (self.first, other):
            node.quarantine.suspects["part:bad"].refused_until_s = 0.0
        self.assertEqual(["part:bad"], self.first.share.begin_trial(FATAL))
        await wait_until(lambda: other.quarantine.suspects["part:bad"].trial_until_s > 0.0)
        self.assertGreater(other.quarantine.refused_for_s(FATAL, time.monotonic()), 0.0)

    async def test_malformed_messages_are_logged_and_change_nothing(self) -> None:
        other = await self.add("a-2")
        malformed: list[tuple[str, dict[str, object]]] = [
            (CRASH, {}),
            (CRASH, {"traits": 5, "crash": "i-1/1"}),
            (FINISHED, {"cleared": ["part:bad"]}),
            (TRIAL, {"traits": None}),
            (SUSPECTS, {"suspects": []}),
            (SUSPECTS, {"suspects": {"part:bad": {"crashes": [], "refused_for_s": 1e9}}}),
        ]
        for kind, payload in malformed:
            self.first.mesh.post("a-2", kind, payload)
        await self.crash(self.first)
        await wait_until(other.is_refused)
        self.assertEqual(["a-1"], other.names())
        self.assertEqual(["part:bad"], other.quarantine.refused(other.quarantine.suspects))

    async def test_a_message_of_an_earlier_build_names_the_fingerprint_alone(self) -> None:
        other = await self.add("a-2")
        for crash in ("i-1/1", "i-2/1"):
            self.first.mesh.post("a-2", CRASH, {"fingerprint": "request-1", "crash": crash})
        await wait_until(lambda: other.quarantine.refused(["request-1"]))
        self.first.mesh.post("a-2", FINISHED, {"fingerprint": "request-1"})
        await wait_until(lambda: not other.quarantine.refused(["request-1"]))


if __name__ == "__main__":
    unittest.main()
