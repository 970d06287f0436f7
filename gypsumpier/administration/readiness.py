"""Whether a process is ready for new work.

A process starts without documents, members and upstreams.  It becomes ready once it has documents
and members and, as an entry, a healthy upstream for each service in force.  A service without any
healthy upstream must not keep every entry from serving the other services, so an entry waits for
upstreams for at most ``UPSTREAM_WAIT_S``.  A ready process stays ready: if a load balancer dropped
every entry at once, a fault of the platform would become an outage.
"""

from typing import Final

from gypsumpier.application import Application
from gypsumpier.clock import Clock
from gypsumpier.options import Options

UPSTREAM_WAIT_S: Final = 5.0


class Readiness:
    """Determines whether an application is ready; evaluated on each call of ``check``."""

    def __init__(self, options: Options, application: Application, clock: Clock) -> None:
        self.options = options
        self.application = application
        self.clock = clock
        self.ready = False
        self.known_at_s: float | None = None

    def check(self) -> bool:
        """Return whether the process has become ready."""
        if not self.ready and self.has_documents_and_members():
            self.ready = self.has_healthy_upstreams() or self.upstream_wait_is_over()
        return self.ready

    def has_documents_and_members(self) -> bool:
        """Return whether documents and members are known; record when this first holds."""
        application = self.application
        known = bool(application.documents.accepted) and bool(application.members.members)
        if known and self.known_at_s is None:
            self.known_at_s = self.clock.monotonic()
        return known

    def has_healthy_upstreams(self) -> bool:
        """Return whether each service in force has a healthy upstream; always True for an agent."""
        if self.options.role != "entry":
            return True
        accepted = self.application.documents.accepted.values()
        wanted = {found.name for found in accepted if found.document is not None}
        return wanted <= self.healthy_services()

    def healthy_services(self) -> set[str]:
        """Return the names of services that have a healthy upstream."""
        members = self.application.members.members
        shown = self.application.inspect().get("upstreams", [])
        views = shown if isinstance(shown, list) else []
        names = {view["name"] for view in views if view["healthy"]}
        return {members[name].service for name in names if name in members}

    def upstream_wait_is_over(self) -> bool:
        """Return whether ``UPSTREAM_WAIT_S`` has passed since documents and members were known."""
        if self.known_at_s is None:
            return False
        return self.clock.monotonic() - self.known_at_s >= UPSTREAM_WAIT_S
