"""Liveness and readiness for the platform."""

from gypsumpier.administration.handler import AdministrationHandler


class HealthHandler(AdministrationHandler):
    """Answers 200 as long as the event loop runs."""

    def get(self) -> None:
        """Answer 200 with the phase of the process."""
        self.answer({"state": self.state.shown_phase})


class ReadinessHandler(AdministrationHandler):
    """Answers 200 while the process accepts new work, 503 while it starts or stops."""

    def get(self) -> None:
        """Answer 200 or 503 with the phase of the process."""
        phase = self.state.shown_phase
        if phase != "ready":
            self.set_status(503)
        self.answer({"state": phase})
