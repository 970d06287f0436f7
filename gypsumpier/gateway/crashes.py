"""Requests that may crash the upstreams that run them, told among the entries."""

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
KEPT_S: Final = 60.0
"""Seconds for which a request named by several crashes is refused."""


class CrashBoard:
    """Notes which requests ran when an upstream's connections broke."""

    def __init__(self, mesh: Mesh) -> None:
        self.mesh = mesh
        self.quarantine = Quarantine(KEPT_S)
        mesh.listeners[CRASH] = self.take_crash
        mesh.listeners[FINISHED] = self.take_finished

    def refused_for_s(self, request: GatewayRequest) -> float:
        """Return for how many seconds the request is refused; 0 where it is not."""
        return self.quarantine.refused_for_s(request.fingerprint, time.monotonic())

    def note_crash(self, request: GatewayRequest, record: UpstreamRecord) -> None:
        """Note that the request ran on an upstream that broke off."""
        crash = f"{record.id}/{record.started_ms}"
        self.quarantine.record_crash(request.fingerprint, crash, time.monotonic())
        message = {"fingerprint": request.fingerprint, "crash": crash}
        self.mesh.post_all(self.mesh.peers(), CRASH, message)
        decision("crash_suspected", request=request.head.request_id, upstream=record.id)

    def note_finished(self, request: GatewayRequest) -> None:
        """Clear a request that was answered; tell the others where it was a suspect."""
        if not self.quarantine.is_suspect(request.fingerprint, time.monotonic()):
            return
        self.quarantine.record_finished(request.fingerprint)
        message = {"fingerprint": request.fingerprint}
        self.mesh.post_all(self.mesh.peers(), FINISHED, message)

    def take_crash(self, peer: Peer, payload: dict[str, Any]) -> None:
        """Note a crash that another entry tells of."""
        self.quarantine.record_crash(
            str(payload["fingerprint"]), str(payload["crash"]), time.monotonic()
        )

    def take_finished(self, peer: Peer, payload: dict[str, Any]) -> None:
        """Clear a request that another entry saw answered."""
        self.quarantine.record_finished(str(payload["fingerprint"]))
