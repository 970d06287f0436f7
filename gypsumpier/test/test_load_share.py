"""Tests of the loads that entries send each other."""

import unittest

from gypsumpier.gateway.loadshare import LoadShare
from gypsumpier.mesh.peer import Peer
from gypsumpier.test.builders_gateway import demand_of, engines, selector_of
from gypsumpier.test.fakes_piece import entry_peer
from gypsumpier.upstream.peerloads import Load


class ListeningMesh:
    """A mesh without peers that stores its listeners."""

    def __init__(self) -> None:
        self.own = entry_peer("front-bac-a-1", "bac-a")
        self.listeners: dict[str, object] = {}
        self.on_peer_connected: list[object] = []

    def peers(self, role: str = "entry", zone: str = "") -> list[Peer]:
        return []


class LoadShareTest(unittest.TestCase):
    def setUp(self) -> None:
        self.selector = selector_of(engines(2))
        mesh = ListeningMesh()
        self.share = LoadShare(mesh, self.selector, demand_of(mesh))  # type: ignore[arg-type]

    def load(self) -> int:
        """Return the requests in flight at the first engine."""
        return self.selector.load(self.selector.fleet_state.upstreams["i-1"])

    def test_the_sum_of_a_zone_is_counted_once_whichever_entry_sends_it(self) -> None:
        for name in ("front-nam-a-1", "front-nam-a-2"):
            peer = entry_peer(name, "nam-a")
            self.share.on_loads(peer, {"loads": {"i-1": [5, 0]}, "zone": "nam-a"})
        self.assertEqual(5, self.load())

    def test_entries_of_the_own_zone_count_each(self) -> None:
        for number in (2, 3):
            peer = entry_peer(f"front-bac-a-{number}", "bac-a")
            self.share.on_loads(peer, {"loads": {"i-1": [4, 100]}})
        self.assertEqual(8, self.load())
        total = self.selector.summed_loads(["front-bac-a-2", "front-bac-a-3"])
        self.assertEqual({"i-1": Load(8, 200)}, total)

    def test_a_malformed_message_is_an_error_that_the_mesh_logs(self) -> None:
        with self.assertRaises((ValueError, TypeError)):
            self.share.on_loads(entry_peer("x", "nam-a"), {"loads": {"i-1": 3}})
