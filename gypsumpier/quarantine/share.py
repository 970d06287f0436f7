"""Shares suspicions among processes: crashes and answers as they happen, all of them on connection.

Sidecars take part, so that entries that were all restarted at once learn what they knew.
"""

import time
from typing import Any, Final

from gypsumpier.log import decision
from gypsumpier.mesh.link import MeshLink
from gypsumpier.mesh.mesh import ENTRY, SIDECAR, Mesh
from gypsumpier.mesh.peer import Peer
from gypsumpier.quarantine.quarantine import Quarantine
from gypsumpier.quarantine.trait import traits_of

CRASH: Final = "crash"
FINISHED: Final = "finished"
TRIAL: Final = "trial"
SUSPECTS: Final = "suspects"
SENT_SUSPECTS_MAX: Final = 128
"""Suspects in the message to a peer that has connected; the refused and the newest go first."""


class QuarantineShare:
    """Keeps a quarantine that agrees with those of the other processes."""

    def __init__(self, mesh: Mesh, quarantine: Quarantine) -> None:
        self.mesh = mesh
        self.quarantine = quarantine
        mesh.aged_listeners[CRASH] = self.on_crash
        mesh.listeners[FINISHED] = self.on_finished
        mesh.listeners[TRIAL] = self.on_trial
        mesh.aged_listeners[SUSPECTS] = self.on_suspects
        mesh.on_peer_connected.append(self.send_suspects)
        quarantine.listeners.append(self.tell_sidecars)

    def post(self, kind: str, payload: dict[str, Any]) -> None:
        """Send a message to the other entries."""
        self.mesh.post_all(self.mesh.peers(ENTRY), kind, payload)

    def tell_sidecars(self, changed: list[str]) -> None:
        """Tell the sidecars of the zone what is refused or no more; its first entry does so."""
        own = self.mesh.own
        if own.role != ENTRY or any(peer < own for peer in self.mesh.peers(ENTRY, own.zone)):
            return
        now_s = time.monotonic()
        suspects = {
            trait: self.quarantine.suspects[trait].as_fields(now_s)
            for trait in changed[:SENT_SUSPECTS_MAX]
            if trait in self.quarantine.suspects
        }
        sidecars = self.mesh.peers(SIDECAR, own.zone)
        self.mesh.post_all(sidecars, SUSPECTS, {"suspects": suspects})

    def record_crash(self, traits: tuple[str, ...], crash: str) -> None:
        """Record that a request with these traits ran in a crash; tell the others."""
        self.quarantine.record_crash(traits, crash, time.monotonic())
        # Processes of earlier builds read the fingerprint alone, which comes first.
        payload = {"fingerprint": traits[0], "traits": list(traits), "crash": crash}
        self.post(CRASH, payload)

    def record_answered(self, traits: tuple[str, ...]) -> None:
        """Clear the traits of an answered request; tell the others of those that were suspects."""
        cleared = self.quarantine.record_answered(traits, time.monotonic())
        if cleared:
            self.post(FINISHED, {"fingerprint": traits[0], "cleared": cleared})
            decision("suspects_cleared", traits=list(cleared))

    def begin_trial(self, traits: tuple[str, ...]) -> list[str]:
        """Record that a refused trait is tried now; keep the others from doing so too."""
        tried = self.quarantine.begin_trial(traits, time.monotonic())
        if tried:
            self.post(TRIAL, {"traits": tried})
        return tried

    def on_crash(self, peer: Peer, payload: dict[str, Any], delay_s: float) -> None:
        """Record a crash that another process reported ``delay_s`` seconds ago.

        Without the delay, a process that has stood still would take separate crashes for one.
        Raises KeyError if a field is missing.
        """
        traits = payload.get("traits") or traits_of(str(payload["fingerprint"]), ())
        names = [str(trait) for trait in traits]
        self.quarantine.record_crash(names, str(payload["crash"]), time.monotonic() - delay_s)

    def on_finished(self, peer: Peer, payload: dict[str, Any]) -> None:
        """Clear traits of which another process reports an answer, also of what it doesn't know."""
        found = payload.get("cleared") or {str(payload["fingerprint"]): []}
        cleared = {}
        for trait, crashes in found.items():
            suspect = self.quarantine.suspects.get(str(trait))
            known = list(suspect.crashes) if suspect is not None else []
            cleared[str(trait)] = [*map(str, crashes), *known]
        self.quarantine.clear(cleared, time.monotonic())

    def on_trial(self, peer: Peer, payload: dict[str, Any]) -> None:
        """Record that another process tries refused traits."""
        names = [str(trait) for trait in payload["traits"]]
        self.quarantine.begin_trial(names, time.monotonic())

    def send_suspects(self, link: MeshLink) -> None:
        """Send what is known to a process that has connected: it may have restarted."""
        now_s = time.monotonic()
        found = [item for item in self.quarantine.suspects.items() if item[1].is_worth_sending()]
        found.sort(key=lambda item: (item[1].is_refused, item[1].named_at_s), reverse=True)
        if found:
            suspects = {
                trait: suspect.as_fields(now_s) for trait, suspect in found[:SENT_SUSPECTS_MAX]
            }
            link.post(SUSPECTS, {"suspects": suspects})

    def on_suspects(self, peer: Peer, payload: dict[str, Any], delay_s: float) -> None:
        """Add what another process knew ``delay_s`` seconds ago.

        Raises KeyError, TypeError or ValueError if it is malformed.
        """
        found = list(payload["suspects"].items())[:SENT_SUSPECTS_MAX]
        suspects = {str(trait): fields for trait, fields in found}
        self.quarantine.merge(suspects, time.monotonic() - delay_s)
