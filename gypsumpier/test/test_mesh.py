"""Tests of the streams between processes on the platform, over loopback connections."""

import asyncio
import unittest
from typing import Any

from gypsumpier.errors import GypsumpierError
from gypsumpier.mesh.link import SEND_QUEUE_MAX
from gypsumpier.mesh.mesh import SIDECAR
from gypsumpier.mesh.peer import Peer
from gypsumpier.test.meshnode import Node, wait_until


class MeshTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.nodes = [Node("a-1", "a"), Node("a-2", "a"), Node("b-1", "b")]
        first = self.nodes[0]
        for node in self.nodes:
            node.start(first)
        await wait_until(lambda: all(len(node.names()) == 2 for node in self.nodes))

    async def asyncTearDown(self) -> None:
        for node in self.nodes:
            await node.stop()

    async def test_entries_find_each_other_through_one_seed(self) -> None:
        self.assertEqual(["a-1", "a-2"], self.nodes[2].names())

    # Guards against lists of all entries on each of many connections at once.
    async def test_only_seeds_list_the_entries_that_they_know(self) -> None:
        lists = [node.mesh.welcome_payload for node in self.nodes]
        asked: list[list[bool]] = [[] for _ in self.nodes]
        for payload_of, node, wanted in zip(lists, self.nodes, asked, strict=True):

            def record(
                wants_known: bool, payload_of: Any = payload_of, wanted: list[bool] = wanted
            ) -> dict[str, Any]:
                wanted.append(wants_known)
                found: dict[str, Any] = payload_of(wants_known)
                return found

            node.mesh.welcome_payload = record  # type: ignore[method-assign]
        last = Node("b-2", "b")
        self.nodes.append(last)
        last.start(self.nodes[0])
        await wait_until(lambda: last.names() == ["a-1", "a-2", "b-1"])
        self.assertEqual([{True}, {False}, {False}], [set(wanted) for wanted in asked])

    async def test_entries_find_each_other_although_the_only_seed_has_ended(self) -> None:
        last = Node("b-2", "b")
        self.nodes.append(last)
        last.start(self.nodes[0])
        await wait_until(lambda: last.names() == ["a-1", "a-2", "b-1"])
        await self.nodes[0].stop()
        await wait_until(lambda: last.names() == ["a-2", "b-1"])
        newest = Node("b-3", "b")
        self.nodes.append(newest)
        newest.start(self.nodes[1])
        await wait_until(lambda: newest.names() == ["a-2", "b-1", "b-2"])

    async def test_a_sidecar_keeps_only_the_entries_of_its_zone(self) -> None:
        sidecar = Node("side", "b", SIDECAR)
        sidecar.start(self.nodes[0])
        self.nodes.append(sidecar)
        await wait_until(lambda: sidecar.names() == ["b-1"])
        self.assertEqual(["side"], self.nodes[2].names(SIDECAR))

    async def test_messages_and_requests_reach_the_peer(self) -> None:
        received: list[tuple[str, Any]] = []
        self.nodes[1].mesh.listeners["note"] = lambda peer, body: received.append((peer.name, body))

        async def answer(peer: Peer, body: dict[str, Any]) -> dict[str, Any]:
            return {"twice": body["number"] * 2}

        self.nodes[1].mesh.request_handlers["double"] = answer
        self.nodes[0].mesh.post("a-2", "note", {"n": 1})
        link = self.nodes[0].mesh.link("a-2")
        assert link is not None
        self.assertEqual({"twice": 42}, await link.request("double", {"number": 21}, 1.0))
        await wait_until(lambda: received == [("a-1", {"n": 1})])

    async def test_a_failed_request_is_an_error_and_leaves_the_connection_open(self) -> None:
        async def answer(peer: Peer, body: dict[str, Any]) -> dict[str, Any]:
            return {"value": body["missing"]}

        self.nodes[1].mesh.request_handlers["broken"] = answer
        link = self.nodes[0].mesh.link("a-2")
        assert link is not None
        with self.assertRaises(GypsumpierError):
            await link.request("broken", {}, 1.0)
        self.assertIn("a-2", self.nodes[0].names())

    async def test_a_malformed_message_leaves_the_connection_open(self) -> None:
        def listen(peer: Peer, body: dict[str, Any]) -> None:
            raise ValueError(body)

        self.nodes[1].mesh.listeners["note"] = listen
        self.nodes[0].mesh.post("a-2", "note", {"n": 1})
        await asyncio.sleep(0.05)
        self.assertIn("a-2", self.nodes[0].names())

    # Guards against a message with a list in place of an object ending the connection it came on.
    async def test_a_message_of_any_wrong_shape_leaves_the_connection_open(self) -> None:
        link = self.nodes[0].mesh.link("a-2")
        heard: list[Any] = []

        def listen(peer: Peer, body: dict[str, Any]) -> None:
            heard.append(body["field"])
            body["field"].items()
            int(body["number"])
            body["numbers"][0] / 0

        self.nodes[1].mesh.listeners["note"] = listen
        bodies: list[dict[str, Any]] = [
            {"field": []},
            {"field": {}, "number": float("inf")},
            {"field": {}, "number": 1, "numbers": []},
            {"field": {}, "number": 1, "numbers": [1]},
        ]
        for body in bodies:
            self.nodes[0].mesh.post("a-2", "note", body)
        await wait_until(lambda: len(heard) == len(bodies))
        await asyncio.sleep(0.05)
        self.assertIs(link, self.nodes[0].mesh.link("a-2"))

    async def test_a_peer_that_restarts_is_found_again(self) -> None:
        await self.nodes[1].stop()
        await wait_until(lambda: self.nodes[0].names() == ["b-1"])
        restarted = Node("a-2", "a")
        self.nodes[1] = restarted
        restarted.start(self.nodes[0])
        await wait_until(lambda: self.nodes[0].names() == ["a-2", "b-1"])
        await wait_until(lambda: self.nodes[2].names() == ["a-1", "a-2"])

    async def test_a_peer_that_reads_nothing_is_disconnected_and_blocks_no_sender(self) -> None:
        link = self.nodes[0].mesh.link("a-2")
        assert link is not None
        for number in range(SEND_QUEUE_MAX + 1):
            link.post("note", {"n": number})
        self.assertTrue(link.connection.closed)
