"""Tests of the ages in messages between processes, where the messages are late."""

import asyncio
import time
import unittest
from collections.abc import Callable
from unittest import mock

from gypsumpier.fleet.change import Batch
from gypsumpier.fleet.clock import boot_time_s
from gypsumpier.fleet.node import Address
from gypsumpier.fleet.state import FleetState
from gypsumpier.mesh.feed import FleetStateFeed
from gypsumpier.mesh.mesh import Mesh
from gypsumpier.mesh.peer import Peer
from gypsumpier.test.builders_platform import (
    MODEL,
    configuration_record,
    fleet_state_of,
    record,
)
from gypsumpier.test.network import Network

DELAY_S = 0.6
"""Seconds by which messages are late; far more than the tests themselves take."""
TOLERANCE_S = 0.05
STALE_S = 30.0
"""Age in seconds of the proof of the process that receives the messages."""
CONNECT_TIMEOUT_S = 5.0
VERSION_AGE_S = 2.0
REVISION = 7
SUSPENDED_S = 5.0
EXACT_AGAIN_S = 2.0
"""Seconds within which the ages of a connection are exact once its messages are no longer late."""


class Node:
    """One entry of the zone: its mesh, its fleet state and its feed."""

    def __init__(self, network: Network, name: str, proven_ago_s: float) -> None:
        own = Peer(name, "entry", "bac-a", "bac", name, 1, "run")
        wanted = record(f"op/version/{MODEL}", {"model": MODEL, "version": 3}, REVISION)
        self.fleet_state: FleetState = fleet_state_of(
            configuration_record(), wanted, proven_ago_s=proven_ago_s
        )
        self.mesh = Mesh(own, (Address("front-1", 1),), network.dialer(name))
        self.feed = FleetStateFeed(self.mesh, self.fleet_state)
        network.listen(name, 1, self.mesh.accept)

    def prove(self) -> None:
        """Share a proof of this moment, as after an answer of the store without changes."""
        batch = Batch(REVISION, REVISION, [], False, 0.0)
        self.fleet_state.apply(batch, boot_time_s(), "store")
        self.feed.share(batch)

    def version_age_s(self) -> float:
        """Return the seconds since the version was named, as far as this process knows."""
        return boot_time_s() - self.fleet_state.versions[MODEL][-1].earliest_named_at_s


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until the condition holds."""
    async with asyncio.timeout(CONNECT_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.005)


class FeedDelayTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.network = Network()
        self.sender = Node(self.network, "front-1", 0.0)
        self.sender.fleet_state.merge_version_ages({MODEL: [[3, VERSION_AGE_S]]})
        self.receiver = Node(self.network, "front-2", STALE_S)
        self.receiver.mesh.start()
        await wait_until(lambda: bool(self.sender.mesh.links and self.receiver.mesh.links))
        # The offer of the new connection must not bring a proof before the test does.
        await asyncio.sleep(TOLERANCE_S)
        self.receiver.fleet_state.proven_at_s = boot_time_s() - STALE_S

    async def asyncTearDown(self) -> None:
        await self.receiver.mesh.stop()
        await self.sender.mesh.stop()
        await asyncio.gather(*self.network.tasks)

    async def received_age_s(self) -> float:
        """Wait for the next proof to reach the receiver and return its age there."""
        await wait_until(lambda: self.receiver.fleet_state.proof_age_s() < STALE_S - 1.0)
        return self.receiver.fleet_state.proof_age_s()

    async def test_a_proof_is_no_fresher_for_having_been_on_its_way(self) -> None:
        """Guards against a revoked key in use: an entry resumes and reads what has waited."""
        for link in self.network.links:
            link.delay_s = DELAY_S
        self.sender.prove()
        self.assertGreaterEqual(await self.received_age_s(), DELAY_S - TOLERANCE_S)

    async def test_a_proof_is_no_fresher_for_having_been_queued(self) -> None:
        """Guards against the same for messages that wait for a slow link at their sender."""
        link = self.sender.mesh.link("front-2")
        assert link is not None
        write = link.connection.stream.write

        async def write_late(content: bytes) -> None:
            await asyncio.sleep(DELAY_S)
            await write(content)

        link.connection.stream.write = write_late  # type: ignore[method-assign]
        link.post("other", {})
        await asyncio.sleep(TOLERANCE_S)
        self.sender.prove()
        self.assertGreaterEqual(await self.received_age_s(), 2 * DELAY_S - 3 * TOLERANCE_S)

    async def test_the_time_that_a_machine_is_suspended_counts_as_time_on_the_way(self) -> None:
        """Guards against a proof that waited in a suspended machine's buffers and seems fresh."""
        clock = self.receiver.mesh.clock
        before_s = clock.monotonic()
        resumed_s = time.clock_gettime(time.CLOCK_BOOTTIME) + SUSPENDED_S
        with mock.patch.object(time, "clock_gettime", lambda which: resumed_s):
            self.assertGreaterEqual(clock.monotonic() - before_s, SUSPENDED_S)

    async def test_a_version_is_named_no_later_for_a_late_message(self) -> None:
        """Guards against old weights in use for as long as the message took."""
        for link in self.network.links:
            link.delay_s = DELAY_S
        self.sender.prove()
        await self.received_age_s()
        expected_s = self.sender.version_age_s()
        self.assertGreaterEqual(self.receiver.version_age_s(), expected_s - TOLERANCE_S)


class LateConnectionTest(unittest.IsolatedAsyncioTestCase):
    """Every message of a connection is late from its opening on, until ``hasten``."""

    async def asyncSetUp(self) -> None:
        self.network = Network()
        self.network.delay_s = DELAY_S
        self.sender = Node(self.network, "front-1", 0.0)
        self.sender.fleet_state.merge_version_ages({MODEL: [[3, VERSION_AGE_S]]})
        self.receiver = Node(self.network, "front-2", STALE_S)

    async def asyncTearDown(self) -> None:
        await self.receiver.mesh.stop()
        await self.sender.mesh.stop()
        await asyncio.gather(*self.network.tasks)

    async def connect(self, dialler: Node, other: Node) -> None:
        """Let one of the nodes dial the other."""
        dialler.mesh.seeds = (Address(other.mesh.own.host, 1),)
        dialler.mesh.start()
        await wait_until(lambda: bool(self.sender.mesh.links and self.receiver.mesh.links))

    async def excess_age_s(self) -> float:
        """Share a proof of this moment; return by how much older the receiver believes it."""
        # The offer of the new connection must not be taken for it.
        await asyncio.sleep(2 * DELAY_S)
        state = self.receiver.fleet_state
        state.proven_at_s = boot_time_s() - STALE_S
        proof_s = boot_time_s()
        self.sender.prove()
        await wait_until(lambda: state.proof_age_s() < STALE_S - 1.0)
        return proof_s - state.proven_at_s

    async def test_a_proof_is_no_fresher_where_every_message_was_late(self) -> None:
        """Guards against a revoked key in use: it opens to a machine that is stopped."""
        await self.connect(self.receiver, self.sender)
        self.assertGreaterEqual(await self.excess_age_s(), -TOLERANCE_S)

    async def test_nor_on_a_connection_that_the_sender_opened(self) -> None:
        """Guards against the same at the accepting end, which sends no first message."""
        await self.connect(self.sender, self.receiver)
        self.assertGreaterEqual(await self.excess_age_s(), -TOLERANCE_S)

    async def test_a_version_is_named_no_later_where_every_message_was_late(self) -> None:
        """Guards against old weights in use, for the same reason."""
        await self.connect(self.receiver, self.sender)
        await self.excess_age_s()
        expected_s = self.sender.version_age_s()
        self.assertGreaterEqual(self.receiver.version_age_s(), expected_s - TOLERANCE_S)

    async def test_ages_are_exact_again_once_messages_are_prompt(self) -> None:
        """Guards against proofs that seem old for good as the first messages were late."""
        await self.connect(self.receiver, self.sender)
        await self.excess_age_s()
        for link in self.network.links:
            link.delay_s = 0.0
        deadline_s = boot_time_s() + EXACT_AGAIN_S
        while boot_time_s() < deadline_s:
            self.sender.prove()
            await asyncio.sleep(0.2)
        self.assertLessEqual(self.receiver.fleet_state.proof_age_s(), 0.2 + 2 * TOLERANCE_S)


class FirstMessagesTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_proof_in_the_first_messages_of_a_connection_is_no_fresher(self) -> None:
        """Guards against a revoked key in use: an entry stands still as it connects."""
        network = Network()
        network.delay_s = DELAY_S
        sender, receiver = Node(network, "front-1", 0.0), Node(network, "front-2", STALE_S)
        receiver.mesh.start()
        await wait_until(lambda: receiver.fleet_state.proof_age_s() < STALE_S - 1.0)
        late_s = receiver.fleet_state.proven_at_s - sender.fleet_state.proven_at_s
        await receiver.mesh.stop()
        await sender.mesh.stop()
        await asyncio.gather(*network.tasks)
        self.assertLess(late_s, TOLERANCE_S)


if __name__ == "__main__":
    unittest.main()
