"""Liveness and readiness for the platform."""

from gypsumpier.administration.handler import AdministrationHandler


class HealthHandler(AdministrationHandler):
    """Answers 200 as long as the event loop runs."""

    def get(self) -> None:
        """Tell that the process is alive."""
        self.answer({"state": self.state.shown_phase})


class ReadinessHandler(AdministrationHandler):
    """Answers 200 when the process takes new work, 503 while it starts or stops."""

    def get(self) -> None:
        """Tell whether the process takes new work."""
        phase = self.state.shown_phase
        if phase != "ready":
            self.set_status(503)
        self.answer({"state": phase})
