"""Whether a process is ready for new work.

A process that has started knows nothing yet: no documents, no members, no upstream.  It becomes
ready once it knows documents and members and, where it is an entry, sees a healthy upstream of
each service in force.  A service all of whose upstreams are away must not keep every entry from
the others, so an entry waits for upstreams at most ``UPSTREAM_WAIT_S``.  Ready stays ready, because
a balancer that drops every entry at once would turn a fault of the platform into an outage.
"""

from typing import Final

from gypsumpier.application import Application
from gypsumpier.clock import Clock
from gypsumpier.options import Options

UPSTREAM_WAIT_S: Final = 5.0


class Readiness:
    """Follows one application from its start; asked, not told."""

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
        """Tell whether documents and members are known."""
        application = self.application
        known = bool(application.documents.accepted) and bool(application.members.members)
        if known and self.known_at_s is None:
            self.known_at_s = self.clock.monotonic()
        return known

    def has_healthy_upstreams(self) -> bool:
        """Tell whether each service in force has a healthy upstream, as an entry sees them."""
        if self.options.role != "entry":
            return True
        accepted = self.application.documents.accepted.values()
        wanted = {found.name for found in accepted if found.document is not None}
        return wanted <= self.healthy_services()

    def healthy_services(self) -> set[str]:
        """Return the services that have a healthy upstream."""
        members = self.application.members.members
        shown = self.application.inspect().get("upstreams", [])
        views = shown if isinstance(shown, list) else []
        names = {view["name"] for view in views if view["healthy"]}
        return {members[name].service for name in names if name in members}

    def upstream_wait_is_over(self) -> bool:
        """Tell whether the time for upstreams to appear is over."""
        if self.known_at_s is None:
            return False
        return self.clock.monotonic() - self.known_at_s >= UPSTREAM_WAIT_S
