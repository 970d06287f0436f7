"""Metrics of documents and of calls of the platform's services."""

from typing import Final

from prometheus_client import Counter, Gauge

from gypsumpier.metrics import REGISTRY

DOCUMENTS_ACCEPTED: Final = Counter(
    "gypsumpier_documents_accepted", "Revisions that came into force here.", registry=REGISTRY
)
DOCUMENTS_REFUSED: Final = Counter(
    "gypsumpier_documents_refused",
    "Revisions that were refused here, by result code.",
    ["code"],
    registry=REGISTRY,
)
PLATFORM_READS: Final = Counter(
    "gypsumpier_platform_reads",
    "Calls of the platform's services, by service and by whether they were answered.",
    ["service", "answered"],
    registry=REGISTRY,
)
DOCUMENT_DISTANCE: Final = Gauge(
    "gypsumpier_document_distance",
    "Processes between this one and the configuration service; 16 where there is no way to it.",
    registry=REGISTRY,
)


def count_read(service: str, answered: bool) -> None:
    """Count one call of a platform service."""
    PLATFORM_READS.labels(service, "yes" if answered else "no").inc()
