"""Metrics of the shares that entries take of free places."""

from typing import Final

from prometheus_client import Counter, Histogram

from gypsumpier.metrics import REGISTRY

UNSEEN_REQUESTS: Final = Histogram(
    "gypsumpier_load_report_rise_requests",
    "Requests by which a report of loads exceeds the one before it, summed over its upstreams: "
    "those that choices in between did not know of.",
    ["scope"],
    buckets=(0, 1, 2, 3, 5, 10, 20, 50),
    registry=REGISTRY,
)
"""By the scope of the report, ``entry`` or ``zone``."""
ENTRY_RISE: Final = UNSEEN_REQUESTS.labels("entry")
ZONE_RISE: Final = UNSEEN_REQUESTS.labels("zone")
BEYOND_SLOTS: Final = Counter(
    "gypsumpier_requests_beyond_slots",
    "Requests sent to an upstream whose known load was at or above its slots.",
    registry=REGISTRY,
)
SHARED_CHOICES: Final = Counter(
    "gypsumpier_shared_choices",
    "Choices by this entry's share of the free places, by whether a place was within it.",
    ["outcome"],
    registry=REGISTRY,
)
CLAIMED: Final = SHARED_CHOICES.labels("claimed")
NOT_CLAIMED: Final = SHARED_CHOICES.labels("none")
