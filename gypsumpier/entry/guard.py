"""Checks before an attempt: admission to the service and the quarantine."""

from gypsumpier.clock import Clock
from gypsumpier.codes import request as codes
from gypsumpier.document.service import ServiceDocument
from gypsumpier.entry.admission import Admission
from gypsumpier.entry.delivery import CrashError
from gypsumpier.entry.keys import EntryKeys
from gypsumpier.entry.links import Links
from gypsumpier.entry.quarantine import Quarantine
from gypsumpier.entry.request import CallerRequest
from gypsumpier.errors import GypsumpierError
from gypsumpier.log import decision
from gypsumpier.options import Options


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
        """Raise QUARANTINED for a request that was running in two crashes."""
        now_s = self.clock.monotonic()
        refused_s = self.quarantine.refused_for_s(request.fingerprint, now_s)
        if refused_s > 0:
            decision(
                "quarantine",
                request=request.request_id,
                reason="was running during two upstream crashes",
            )
            raise GypsumpierError(
                codes.QUARANTINED, "was running during two upstream crashes", refused_s
            )

    def record_suspects(self, suspects: list[list[str]]) -> None:
        """Record the requests that an agent reports as running during a crash."""
        now_s = self.clock.monotonic()
        for named, crash in suspects:
            self.quarantine.record_crash(named, crash, now_s)

    def handle_attempt_failure(self, request: CallerRequest, error: GypsumpierError) -> None:
        """Shrink the window if the upstream was full; record the request if the upstream crashed.

        Raises GypsumpierError with QUARANTINED if two crashes name the request now.
        """
        if error.code is codes.UPSTREAM_FULL:
            self.admissions[request.service].decrease_window()
        if isinstance(error, CrashError):
            self.record_suspects([[request.fingerprint, error.crash]])
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
