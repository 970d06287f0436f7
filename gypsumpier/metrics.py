"""The registry of the process's metrics, served on the administration port.

Modules declare their own metrics beside the code that updates them, with ``registry=REGISTRY``.
Names begin with ``gypsumpier_`` and end with the unit.  Label values come from bounded sets only,
such as services, zones and result codes, never from workspaces or requests.
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
