"""Tests of the messages between agents whose news is older than their receipt."""

import asyncio
import unittest
from typing import Final

from gypsumpier.test.fleet import CHUNK_BYTES, MODEL, Fleet, FleetAgent
from gypsumpier.test.virtual import virtual
from gypsumpier.weight.catalogue import Catalogue
from gypsumpier.weight.peer import Peer
from gypsumpier.weight.standings import FRESH_S

SIZE: Final = 8 * CHUNK_BYTES
KEY: Final = (MODEL, "v1")
DELAY_S: Final = 2.0
"""Seconds by which a message is late; less than the silence after which a connection is closed."""
NEVER_S: Final = 1e6
REPEATED_BEFORE_S: Final = 5.0
"""Seconds before a standing becomes stale at which another agent starts and is sent it."""


async def fleet_with_weights(count: int) -> Fleet:
    """Return a fleet of one zone whose agents serve a version and read no file list again."""
    fleet = Fleet({"bac": count}, manifest_interval_s=NEVER_S)
    fleet.publish("v1", SIZE)
    await fleet.start()
    fleet.name("v1")
    await fleet.wait_live("v1")
    return fleet


def catalogue_of(agent: FleetAgent) -> Catalogue:
    """Return the file lists that the agent knows."""
    return agent.rollout.swarm.catalogue


def peer_of(agent: FleetAgent, other: FleetAgent) -> Peer:
    """Return the connection of the agent to another one."""
    return agent.rollout.swarm.peers.by_name[other.options.name]


class LateFileListTest(unittest.TestCase):
    async def read_new_content(self, fleet: Fleet, agent: FleetAgent) -> str:
        """Publish other content under the same version, and return its digest as read."""
        fleet.publish("v1", SIZE, seed=1)
        await catalogue_of(agent).read(KEY)
        return catalogue_of(agent).known[KEY].manifest.digest

    @virtual
    async def test_a_list_that_was_long_on_its_way_does_not_replace_one_read_later(self) -> None:
        """Guards against older weights loaded again, as a list counts as read when it arrives."""
        fleet = await fleet_with_weights(2)
        sender, reader = fleet.agents
        for link in fleet.network.between(sender.host, reader.host):
            link.delay_s = DELAY_S
        catalogue_of(sender).send_known_lists(peer_of(sender, reader))
        await asyncio.sleep(DELAY_S / 2)
        digest = await self.read_new_content(fleet, reader)
        await asyncio.sleep(DELAY_S)
        self.assertEqual(digest, catalogue_of(reader).known[KEY].manifest.digest)
        await fleet.stop()

    @virtual
    async def test_a_list_that_waited_to_be_sent_does_not_replace_one_read_later(self) -> None:
        """Guards against the same where the list waits for chunks before it on a slow link."""
        fleet = await fleet_with_weights(2)
        sender, reader = fleet.agents
        peer = peer_of(sender, reader)
        write = peer.connection.stream.write

        async def write_late(content: bytes) -> None:
            await asyncio.sleep(DELAY_S)
            await write(content)

        peer.connection.stream.write = write_late  # type: ignore[method-assign]
        peer.post(catalogue_of(sender).files_message(KEY))
        peer.post(catalogue_of(sender).files_message(KEY))
        await asyncio.sleep(DELAY_S / 2)
        digest = await self.read_new_content(fleet, reader)
        await asyncio.sleep(2 * DELAY_S)
        self.assertEqual(digest, catalogue_of(reader).known[KEY].manifest.digest)
        await fleet.stop()


class RepeatedStandingTest(unittest.TestCase):
    @virtual
    async def test_a_standing_does_not_become_fresh_again_by_being_passed_on(self) -> None:
        """Guards against more engines out of service than allowed: a dead agent seems to serve."""
        fleet = await fleet_with_weights(3)
        dead, old, new = fleet.agents
        await dead.kill()
        await asyncio.sleep(FRESH_S - REPEATED_BEFORE_S)
        await new.replace()
        await fleet.wait_live("v1")
        await asyncio.sleep(2 * REPEATED_BEFORE_S)
        for agent in (old, new):
            standings = agent.rollout.swarm.standings
            with self.subTest(agent.options.name):
                self.assertFalse(standings.is_fresh(dead.options.name))
                self.assertFalse(standings.may_leave_service("other", max_unavailable=1))
        await fleet.stop()


if __name__ == "__main__":
    unittest.main()
