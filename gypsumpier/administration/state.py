"""What the administration API can show of one process."""

import time
from typing import Final, cast

from gypsumpier.administration.history import DecisionHistory
from gypsumpier.administration.view import Inspection, StatusView
from gypsumpier.application import Application
from gypsumpier.options import Options

PROGRAM_VERSION: Final = "0.1.0"
PORT_SETTINGS: Final = ("port", "bulk_port", "http_port", "administration_port")


class ProcessState:
    """The options, the application and the phase: starting, ready or stopping."""

    def __init__(
        self, options: Options, application: Application, history: DecisionHistory
    ) -> None:
        self.options = options
        self.application = application
        self.history = history
        self.phase = "starting"
        self.started_at_s = time.monotonic()

    def inspection(self) -> Inspection:
        """Return the application's view of itself, as of now."""
        return cast(Inspection, self.application.inspect())

    def ports(self) -> dict[str, int]:
        """Return the bound ports; a port that the role does not have is 0."""
        return {name: int(getattr(self.options, name)) for name in PORT_SETTINGS}

    def status(self) -> StatusView:
        """Return the view of the process."""
        options = self.options
        lists = self.application.inspect().items()
        return StatusView(
            program_version=PROGRAM_VERSION,
            role=options.role,
            name=options.name,
            incarnation=options.incarnation,
            region=options.region,
            zone=options.zone,
            service=options.service,
            state=self.phase,
            uptime_s=time.monotonic() - self.started_at_s,
            ports=self.ports(),
            counts={name: len(value) for name, value in lists if isinstance(value, list)},
        )
