"""Refuses requests like those that ran when upstreams crashed, and reports crashes and answers."""

import time
from collections.abc import Callable
from typing import Final

from prometheus_client import Counter, Gauge

from gypsumpier.codes.request import SUSPECTED_OF_CRASHES
from gypsumpier.fleet.upstream import UpstreamRecord
from gypsumpier.gateway.refusal import Refusal
from gypsumpier.gateway.request import GatewayRequest
from gypsumpier.log import decision
from gypsumpier.mesh.mesh import ENTRY, Mesh
from gypsumpier.metrics import REGISTRY
from gypsumpier.quarantine.quarantine import FIRST_REFUSAL_S, Quarantine
from gypsumpier.quarantine.share import QuarantineShare

TRIAL_STAGGER_S: Final = 0.5
"""Seconds between the first moments at which two entries may try; a trial is known everywhere in a
tenth of it."""

CRASHES: Final = Counter(
    "gypsumpier_suspected_requests",
    "Attempts that were running when their upstream crashed.",
    registry=REGISTRY,
)
REFUSED_TRAITS: Final = Gauge(
    "gypsumpier_refused_traits",
    "Requests and parts of prompts that are refused as they ended upstreams.",
    registry=REGISTRY,
)


class CrashTracker:
    """Records which requests were running when the connections of an upstream broke.

    ``on_refused`` is called when something is refused or refused for longer.
    """

    def __init__(self, mesh: Mesh) -> None:
        self.mesh = mesh
        self.quarantine = Quarantine(FIRST_REFUSAL_S)
        self.share = QuarantineShare(mesh, self.quarantine)
        self.on_refused: list[Callable[[], None]] = []
        self.quarantine.listeners.append(self.handle_change)

    def refused_for_s(self, request: GatewayRequest) -> float:
        """Return for how many seconds the request is still refused; 0 if it is not.

        A trial goes on until an upstream may have run it.
        """
        if request.is_trial and not request.attempts:
            return 0.0
        return self.quarantine.refused_for_s(request.traits, time.monotonic())

    def check(self, request: GatewayRequest) -> None:
        """Raise Refusal if the request must not be sent to an upstream now."""
        refused_s = self.refused_for_s(request)
        if refused_s > 0:
            raise self.refusal(request, refused_s)

    def refusal(self, request: GatewayRequest, refused_s: float) -> Refusal:
        """Return the refusal of a request that may be sent again in so many seconds."""
        refused = self.quarantine.refused(request.traits)
        detail = f"requests with {', '.join(refused)} ran when upstreams crashed"
        return Refusal(SUSPECTED_OF_CRASHES, 503, detail, refused_s)

    def begin(self, request: GatewayRequest) -> None:
        """Record that the request is sent to an upstream; it may be a trial."""
        tried = self.share.begin_trial(request.traits)
        if tried:
            request.is_trial = True
            decision("suspect_tried", request=request.head.request_id, traits=tried)

    def record_crash(self, request: GatewayRequest, record: UpstreamRecord) -> None:
        """Record that the request was running when the upstream crashed; notify all peers."""
        crash = f"{record.id}/{record.started_ms}"
        CRASHES.inc()
        decision(
            "crash_suspected",
            request=request.head.request_id,
            upstream=record.id,
            crash=crash,
            fingerprint=request.fingerprint,
            parts=request.head.prompt_parts,
        )
        self.share.record_crash(request.traits, crash)

    def record_answered(self, request: GatewayRequest) -> None:
        """Clear what a request has in common with others, as it was answered from the beginning.

        The rest of a stream that was resumed proves nothing.
        """
        self.share.record_answered(request.traits)

    def update_rank(self) -> None:
        """Set how much later than the other entries this one tries what is refused."""
        rank = sum(peer.name < self.mesh.own.name for peer in self.mesh.peers(ENTRY))
        self.quarantine.trial_delay_s = rank * TRIAL_STAGGER_S

    def handle_change(self, changed: list[str]) -> None:
        """Log what is refused, for longer or no more; notify the listeners of a refusal."""
        REFUSED_TRAITS.set(len(self.quarantine.failed_trials))
        for trait in changed:
            suspect = self.quarantine.suspects.get(trait)
            if suspect is None or not suspect.is_refused:
                decision("suspect_allowed", trait=trait)
                continue
            decision(
                "suspect_refused",
                trait=trait,
                crashes=list(suspect.crashes),
                requests=suspect.requests,
                failed_trials=suspect.failed_trials,
                seconds=round(suspect.refused_until_s - time.monotonic(), 1),
            )
        if self.quarantine.refused(changed):
            for listener in self.on_refused:
                listener()
