"""The registry of the process's metrics, which the administration port serves.

A module that measures something declares its metric beside the code, with ``registry=REGISTRY``.
Names begin with ``gypsumpier_`` and end with the unit.  Labels come from bounded sets only: a
service, a zone, a result code, never a workspace or a request.
"""

from typing import Final

from prometheus_client import CollectorRegistry, Counter, PlatformCollector, ProcessCollector
from prometheus_client.gc_collector import GCCollector

REGISTRY: Final = CollectorRegistry()

ProcessCollector(registry=REGISTRY)
PlatformCollector(registry=REGISTRY)
GCCollector(registry=REGISTRY)

DECISIONS: Final = Counter(
    "gypsumpier_decisions",
    "Routing and placement decisions by event.",
    ["event"],
    registry=REGISTRY,
)
ADMINISTRATION_CALLS: Final = Counter(
    "gypsumpier_administration_calls",
    "Calls of the administration API by path and HTTP status.",
    ["path", "status"],
    registry=REGISTRY,
)
