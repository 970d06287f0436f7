"""The state of one process that the administration API shows."""

from typing import Final

from gypsumpier.administration.documents import document_views
from gypsumpier.administration.history import DecisionHistory
from gypsumpier.administration.readiness import Readiness
from gypsumpier.administration.view import StatusView
from gypsumpier.application import Application
from gypsumpier.clock import SystemClock
from gypsumpier.options import Options

PROGRAM_VERSION: Final = "0.1.0"
STARTING: Final = "starting"
RUNNING: Final = "running"
STOPPING: Final = "stopping"
LISTINGS: Final = ("documents", "members", "upstreams", "transfers")
PORT_SETTINGS: Final = ("port", "bulk_port", "http_port", "administration_port")


class ProcessState:
    """The options, the application and the phase.

    ``phase`` is starting, running or stopping.  A running process is shown as starting until it is
    ready.
    """

    def __init__(
        self, options: Options, application: Application, history: DecisionHistory
    ) -> None:
        self.options = options
        self.application = application
        self.history = history
        self.phase = STARTING
        self.clock = SystemClock()
        self.readiness = Readiness(options, application, self.clock)
        self.started_at_s = self.clock.monotonic()

    @property
    def shown_phase(self) -> str:
        """The phase that is shown: starting, ready or stopping."""
        if self.phase != RUNNING:
            return self.phase
        return "ready" if self.readiness.check() else STARTING

    def listing(self, name: str) -> list[object]:
        """Return the items of one list: documents, members, or a list from ``inspect``."""
        if name == "documents":
            return list(document_views(self.application.documents))
        if name == "members":
            return [as_json_value(member) for member in self.application.members.members.values()]
        items = self.application.inspect().get(name, [])
        return [as_json_value(item) for item in items] if isinstance(items, list) else []

    def ports(self) -> dict[str, int]:
        """Return the bound ports; ports that the role does not use are 0."""
        return {name: int(getattr(self.options, name)) for name in PORT_SETTINGS}

    def status(self) -> StatusView:
        """Return the view of the process."""
        options = self.options
        details = self.application.inspect()
        return StatusView(
            program_version=PROGRAM_VERSION,
            role=options.role,
            name=options.name,
            incarnation=options.incarnation,
            region=options.region,
            zone=options.zone,
            service=options.service,
            state=self.shown_phase,
            uptime_s=round(self.clock.monotonic() - self.started_at_s, 3),
            ports=self.ports(),
            counts={name: len(self.listing(name)) for name in LISTINGS},
            details={name: value for name, value in details.items() if name not in LISTINGS},
        )


def as_json_value(item: object) -> object:
    """Return a named tuple as a dict, so that JSON keeps its field names; others unchanged."""
    fields = getattr(item, "_asdict", None)
    return fields() if fields is not None else item
