"""Requests suspected of crashing the upstreams that run them, shared among the entries."""

import time
from typing import Any, Final

from gypsumpier.entry.quarantine import Quarantine
from gypsumpier.fleet.upstream import UpstreamRecord
from gypsumpier.gateway.request import GatewayRequest
from gypsumpier.log import decision
from gypsumpier.mesh.mesh import Mesh
from gypsumpier.mesh.peer import Peer

CRASH: Final = "crash"
FINISHED: Final = "finished"
QUARANTINE_S: Final = 60.0
"""Seconds for which a request that is suspected of several crashes is refused."""


class CrashTracker:
    """Records which requests were running when the connections of an upstream broke."""

    def __init__(self, mesh: Mesh) -> None:
        self.mesh = mesh
        self.quarantine = Quarantine(QUARANTINE_S)
        mesh.listeners[CRASH] = self.on_crash
        mesh.listeners[FINISHED] = self.on_finished

    def refused_for_s(self, request: GatewayRequest) -> float:
        """Return for how many seconds the request is still refused; 0 if it is not."""
        return self.quarantine.refused_for_s(request.fingerprint, time.monotonic())

    def record_crash(self, request: GatewayRequest, record: UpstreamRecord) -> None:
        """Record that the request was running when the upstream crashed; notify all peers."""
        crash = f"{record.id}/{record.started_ms}"
        self.quarantine.record_crash(request.fingerprint, crash, time.monotonic())
        message = {"fingerprint": request.fingerprint, "crash": crash}
        self.mesh.post_all(self.mesh.peers(), CRASH, message)
        decision(
            "crash_suspected",
            request=request.head.request_id,
            upstream=record.id,
            crash=crash,
            fingerprint=request.fingerprint,
            parts=request.head.prompt_parts,
        )

    def record_finished(self, request: GatewayRequest) -> None:
        """Clear an answered request; notify the other entries if it was a suspect."""
        if not self.quarantine.is_suspect(request.fingerprint, time.monotonic()):
            return
        self.quarantine.record_finished(request.fingerprint)
        message = {"fingerprint": request.fingerprint}
        self.mesh.post_all(self.mesh.peers(), FINISHED, message)

    def on_crash(self, peer: Peer, payload: dict[str, Any]) -> None:
        """Record a crash that another entry reports."""
        self.quarantine.record_crash(
            str(payload["fingerprint"]), str(payload["crash"]), time.monotonic()
        )

    def on_finished(self, peer: Peer, payload: dict[str, Any]) -> None:
        """Clear a request that another entry reports as answered."""
        self.quarantine.record_finished(str(payload["fingerprint"]))
