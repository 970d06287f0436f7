"""A mesh that records what is posted, for tests without a network."""

from typing import Any

from gypsumpier.mesh.peer import Peer


class RecordingMesh:
    """A mesh that records posted messages."""

    def __init__(self, own: Peer, others: list[Peer]) -> None:
        self.own = own
        self.others = others
        self.listeners: dict[str, Any] = {}
        self.aged_listeners: dict[str, Any] = {}
        self.proof_kinds: set[str] = set()
        self.on_peer_connected: list[Any] = []
        self.posted: list[tuple[str, str, dict[str, Any]]] = []

    def peers(self, role: str = "entry", zone: str = "") -> list[Peer]:
        return sorted(p for p in self.others if p.role == role and (not zone or p.zone == zone))

    def post(self, name: str, kind: str, payload: dict[str, Any]) -> None:
        self.posted.append((name, kind, payload))

    def post_all(self, peers: list[Peer], kind: str, payload: dict[str, Any]) -> None:
        for peer in peers:
            self.post(peer.name, kind, payload)
