"""Handler of the metrics, in the Prometheus text format."""

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from gypsumpier.administration.handler import AdministrationHandler
from gypsumpier.metrics import REGISTRY


class MetricsHandler(AdministrationHandler):
    """Answers the process's metrics."""

    def get(self) -> None:
        """Answer every metric of the registry."""
        self.set_header("Content-Type", CONTENT_TYPE_LATEST)
        self.finish(generate_latest(REGISTRY))
