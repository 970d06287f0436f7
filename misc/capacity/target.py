"""The size that the system has to carry in two years, and the limits that hold there."""

from typing import Final

ENTRIES: Final = 380
WORKERS: Final = 12_000
ZONES: Final = 36
REGIONS: Final = 11
REQUESTS_PER_S: Final = 8_800
TOKENS_PER_S: Final = 2_400_000
BURST_INSTANCES: Final = 580
CHANGES_PER_DAY: Final = 51_000
REPLACEMENTS_PER_DAY: Final = 660
FAILURES_PER_DAY: Final = 62
SECONDS_PER_DAY: Final = 86_400

MEMBERS: Final = ENTRIES + WORKERS
ENTRIES_PER_ZONE: Final = ENTRIES / ZONES
WORKERS_PER_ZONE: Final = WORKERS / ZONES
CHANGES_PER_S: Final = CHANGES_PER_DAY / SECONDS_PER_DAY
# A replaced or failed instance changes the list three times: it leaves, disappears and returns.
LIST_CHANGES_PER_S: Final = 3 * (REPLACEMENTS_PER_DAY + FAILURES_PER_DAY) / SECONDS_PER_DAY
TOKENS_PER_ENTRY_S: Final = TOKENS_PER_S / ENTRIES
TOKENS_PER_WORKER_S: Final = TOKENS_PER_S / WORKERS

# The link plan: every agent of the entry's own zone, since each service has too few there to divide
# among the entries, and four agents of each service in other zones, at ten workers of a service per
# zone.
SERVICES: Final = WORKERS_PER_ZONE / 10
ENTRY_LINKS: Final = WORKERS_PER_ZONE + 4 * SERVICES
AGENT_LINKS: Final = ENTRY_LINKS * ENTRIES / WORKERS

CONTROL_CORE_SHARE: Final = 0.039
CONTROL_MEMORY_BYTES: Final = 128_000_000
CONTROL_BYTES_PER_S: Final = 11_000.0
IN_FORCE_S: Final = 4.0
FIRST_TOKEN_S: Final = 0.35
BETWEEN_TOKENS_S: Final = 0.045
CONFIGURATION_CALLS_PER_S: Final = 2_000.0
ROLLOUT_S: Final = 300.0
WHOLE_CORE: Final = 1.0
