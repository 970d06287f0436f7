"""Checks before an attempt: admission to the service and the quarantine."""

from typing import Final

from gypsumpier.clock import Clock
from gypsumpier.codes import request as codes
from gypsumpier.document.service import ServiceDocument
from gypsumpier.entry.admission import Admission
from gypsumpier.entry.delivery import CrashError
from gypsumpier.entry.keys import EntryKeys
from gypsumpier.entry.links import Links
from gypsumpier.entry.request import CallerRequest
from gypsumpier.errors import GypsumpierError
from gypsumpier.log import decision
from gypsumpier.options import Options
from gypsumpier.quarantine.quarantine import Quarantine

TRIAL_STAGGER_S: Final = 2.0
"""Seconds between the first moments at which two entries may try what is refused; an agent's report
of a crash reaches every entry in a tenth of it."""


class Guard:
    """The admission of each service, and the quarantine, which agents' crash reports update."""

    def __init__(self, options: Options, clock: Clock, links: Links, keys: EntryKeys) -> None:
        self.clock = clock
        self.links = links
        self.keys = keys
        self.admissions: dict[str, Admission] = {}
        self.quarantine = Quarantine(options.quarantine_s)
        links.on_suspects = self.record_suspects

    def admission(self, service: str, document: ServiceDocument) -> Admission:
        """Return the admission of the service, with its limit set for the usable upstreams."""
        admission = self.admissions.get(service)
        if admission is None:
            admission = self.admissions[service] = Admission(self.clock)
        usable = sum(link.is_usable() for link in self.links.of_service(service))
        limit = max(1, usable) * document.limits.in_flight_per_upstream
        admission.set_limit(limit, len(self.keys.listed))
        return admission

    def check_quarantine(self, request: CallerRequest) -> None:
        """Raise QUARANTINED for a request like those that were running in several crashes."""
        refused_s = self.quarantine.refused_for_s(request.traits, self.clock.monotonic())
        if refused_s > 0:
            refused = ", ".join(self.quarantine.refused(request.traits))
            reason = f"requests with {refused} were running when upstreams crashed"
            decision("quarantine", request=request.request_id, reason=reason)
            raise GypsumpierError(codes.QUARANTINED, reason, refused_s)

    def begin(self, request: CallerRequest) -> None:
        """Record that the request is sent to an upstream; it may try what is refused."""
        if not self.quarantine.refused(request.traits):
            return
        own_name = self.links.options.name
        rank = sum(entry.name < own_name for entry in self.keys.listed)
        self.quarantine.trial_delay_s = rank * TRIAL_STAGGER_S
        self.check_quarantine(request)
        tried = self.quarantine.begin_trial(request.traits, self.clock.monotonic())
        decision("suspect_tried", request=request.request_id, traits=tried)

    def record_answered(self, request: CallerRequest) -> None:
        """Clear what an answered request has in common with others."""
        self.quarantine.record_answered(request.traits, self.clock.monotonic())

    def record_suspects(self, suspects: list[list[str]]) -> None:
        """Record the traits of requests that an agent reports as running during a crash."""
        traits_by_crash: dict[str, list[str]] = {}
        for trait, crash in suspects:
            # Agents report a crash again and again.
            if not self.quarantine.knows(trait, crash):
                traits_by_crash.setdefault(crash, []).append(trait)
        for crash, traits in traits_by_crash.items():
            self.quarantine.record_crash(traits, crash, self.clock.monotonic())

    def handle_attempt_failure(self, request: CallerRequest, error: GypsumpierError) -> None:
        """Shrink the window if the upstream was full; record the request if the upstream crashed.

        Raises GypsumpierError with QUARANTINED if the request is refused now.
        """
        if error.code is codes.UPSTREAM_FULL:
            self.admissions[request.service].decrease_window()
        if isinstance(error, CrashError):
            self.record_suspects([[trait, error.crash] for trait in request.traits])
            self.check_quarantine(request)

    def inspect(self) -> dict[str, object]:
        """Return the windows and queues by service, and the number of suspects."""
        return {
            "windows": {
                service: {
                    "window": round(admission.window, 1),
                    "in_flight": admission.in_flight,
                    "queued": len(admission.queue),
                }
                for service, admission in self.admissions.items()
            },
            "suspects": len(self.quarantine.suspects),
        }
