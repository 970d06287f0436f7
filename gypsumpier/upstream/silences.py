"""Engines that the entries together take for silent.

An entry learns that an engine stands still from requests of its own there.  The others, whose
requests may be at other engines, see only that places become free as requests leave it.
"""

import time
from typing import Final, NamedTuple

from gypsumpier.fleet.upstream import UpstreamRecord
from gypsumpier.statement.run import RunKey
from gypsumpier.upstream.health import HealthTracker
from gypsumpier.upstream.peerloads import NO_LOAD, Load, PeerLoads

REPORT_MAX_AGE_S: Final = 1.0
"""Seconds after which a report counts no more; longer than the interval between two of them."""
REPORTERS_MIN: Final = 2
"""Entries that must find an engine silent, as one entry may itself be at fault."""
SILENCE_MAX_S: Final = 3.0
"""Longest time, in seconds, for which an entry reports a silence that does not end: its connections
may be lost while the engine answers on new ones."""


class SilenceReport(NamedTuple):
    """The engines that an entry finds silent, or its whole zone, as of ``at_s`` (monotonic)."""

    runs: frozenset[RunKey]
    at_s: float


class Silences:
    """What this entry and others report of silent engines.

    ``found`` holds when, in monotonic seconds, this entry found runs silent.  ``entries`` holds the
    reports of the own zone's other entries by name, ``zones`` what each other zone says of its own
    engines.  ``known`` holds the runs that are taken for silent, as of the last ``update``.
    """

    def __init__(
        self, health: HealthTracker, own_loads: dict[str, Load], peer_loads: PeerLoads
    ) -> None:
        self.health = health
        self.own_loads = own_loads
        self.peer_loads = peer_loads
        self.found: dict[RunKey, float] = {}
        self.entries: dict[str, SilenceReport] = {}
        self.zones: dict[str, SilenceReport] = {}
        self.known: frozenset[RunKey] = frozenset()

    def is_silent(self, record: UpstreamRecord) -> bool:
        """Return whether the engine is taken for silent and gets no requests.

        Where no request is left there that would tell of its end, one may be sent.
        """
        run = record.run_key()
        if run not in self.known:
            return False
        return self.own_in_flight(run) + self.peer_loads.in_flight.get(run[0], 0) > 0

    def own_in_flight(self, run: RunKey) -> int:
        """Return the requests of this entry in flight at the upstream."""
        return self.own_loads.get(run[0], NO_LOAD).in_flight

    def record_found(self, run: RunKey) -> None:
        """Record that a request of this entry at the upstream gets no answer, or no further one."""
        self.found.setdefault(run, time.monotonic())

    def record_heard(self, run: RunKey) -> None:
        """Record that an answer of the upstream begins or goes on."""
        self.found.pop(run, None)

    def own(self) -> frozenset[RunKey]:
        """Return the runs that this entry finds silent.

        It does so while its backoff holds, and as long as a request of its own waits there, which
        would tell it that the engine has gone on.
        """
        for run in list(self.found):
            if not (self.own_in_flight(run) or self.health.is_in_backoff(run)):
                del self.found[run]
        oldest_s = time.monotonic() - SILENCE_MAX_S
        return frozenset(run for run, since_s in self.found.items() if since_s > oldest_s)

    def record(self, reports: dict[str, SilenceReport], name: str, runs: frozenset[RunKey]) -> None:
        """Replace the report of an entry or a zone in ``entries`` or ``zones``."""
        if runs:
            reports[name] = SilenceReport(runs, time.monotonic())
        else:
            reports.pop(name, None)

    def update(self, own: frozenset[RunKey], peers: list[str]) -> frozenset[RunKey]:
        """Work out ``known`` from the own report and those of the ``peers`` in the own zone.

        Returns the runs that the own zone takes for silent.
        """
        self.drop_expired()
        reported = own.union(*(report.runs for report in self.entries.values()))
        here = frozenset(run for run in reported if self.is_majority(run, own, peers))
        self.known = here.union(*(report.runs for report in self.zones.values()))
        return here

    def drop_expired(self) -> None:
        """Drop the reports that are too old."""
        oldest_s = time.monotonic() - REPORT_MAX_AGE_S
        for reports in (self.entries, self.zones):
            for name in [name for name, report in reports.items() if report.at_s < oldest_s]:
                del reports[name]

    def is_majority(self, run: RunKey, own: frozenset[RunKey], peers: list[str]) -> bool:
        """Return whether most of the zone's entries that have requests there find it silent."""
        reporters = {name for name, report in self.entries.items() if run in report.runs}
        count = len(reporters) + (run in own)
        others = int(run not in own and self.own_in_flight(run) > 0)
        for name in peers:
            peer = self.peer_loads.reports.get(name)
            others += name not in reporters and peer is not None and run[0] in peer.loads
        return count >= REPORTERS_MIN and count > others
