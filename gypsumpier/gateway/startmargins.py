"""How close to the time limit of a version requests have started on older weights.

A request that starts past the limit breaks a promise; how much time the last one had left shows
how near an entry came to that.
"""

from typing import Final, NamedTuple

from prometheus_client import Gauge

from gypsumpier.fleet.clock import boot_time_s
from gypsumpier.fleet.state import UNKNOWN_AGE_S, FleetState
from gypsumpier.fleet.upstream import UpstreamRecord
from gypsumpier.fleet.wantedversion import WantedVersion
from gypsumpier.gateway.request import GatewayRequest
from gypsumpier.log import decision
from gypsumpier.metrics import REGISTRY
from gypsumpier.upstream.selector import UpstreamSelector

SMALLEST_MARGIN: Final = Gauge(
    "gypsumpier_older_weights_margin_seconds",
    "Smallest time left before the limit of a version when a request started on older weights.",
    ["model"],
    registry=REGISTRY,
)


class LastStart(NamedTuple):
    """The last start on weights older than some version.

    ``at_s`` is the time on ``boot_time_s`` at which its first event was read, which is later than
    the start itself.
    """

    at_s: float
    held_version: int
    upstream: str
    request: str


class StartMargins:
    """Records the last starts on older weights, and logs them as the limit of a version passes.

    ``in_force_s`` is the time limit in seconds for a version.  ``last_starts`` holds the last start
    on older weights for each model and version whose limit has not passed.  ``passed`` holds the
    newest version of each model whose limit was logged.
    """

    def __init__(
        self, fleet_state: FleetState, selector: UpstreamSelector, in_force_s: float
    ) -> None:
        self.fleet_state = fleet_state
        self.selector = selector
        self.in_force_s = in_force_s
        self.last_starts: dict[tuple[str, int], LastStart] = {}
        self.smallest_s: dict[str, float] = {}
        self.passed: dict[str, int] = {}

    def record(self, request: GatewayRequest, record: UpstreamRecord, version: int) -> None:
        """Record that an upstream has started the request on that version of the weights."""
        traits = self.selector.model(record.service)
        if traits is None or not version:
            return
        start = LastStart(boot_time_s(), version, record.id, request.head.request_id)
        for model in traits.models:
            for wanted in self.fleet_state.versions.get(model, []):
                if wanted.version > version and wanted.earliest_named_at_s > float("-inf"):
                    self.last_starts[model, wanted.version] = start

    def log_limit(self, model: str, wanted: WantedVersion) -> None:
        """Log once what was believed of the time of a naming as the version's limit passes."""
        if wanted.version <= self.passed.get(model, 0):
            return
        self.passed[model] = wanted.version
        named_ago_s = boot_time_s() - wanted.earliest_named_at_s
        decision(
            "version_limit_passed",
            model=model,
            version=wanted.version,
            named_ago_s=round(min(named_ago_s, UNKNOWN_AGE_S), 3),
            evidence=wanted.evidence.name.lower(),
        )

    def log_passed_limits(self) -> None:
        """Log each version whose limit has passed, and the last start on older weights."""
        now_s = boot_time_s()
        for model, named in self.fleet_state.versions.items():
            for found in named:
                if found.earliest_named_at_s + self.in_force_s <= now_s:
                    self.log_limit(model, found)
        for (model, version), start in list(self.last_starts.items()):
            wanted = self.fleet_state.wanted_version(model, version)
            limit_s = wanted.earliest_named_at_s + self.in_force_s if wanted else now_s
            if now_s < limit_s:
                continue
            del self.last_starts[model, version]
            if wanted is None:
                continue
            left_s = limit_s - start.at_s
            self.smallest_s[model] = min(left_s, self.smallest_s.get(model, left_s))
            SMALLEST_MARGIN.labels(model).set(self.smallest_s[model])
            decision(
                "older_weights_last_start",
                model=model,
                version=version,
                left_s=round(left_s, 3),
                ago_s=round(now_s - start.at_s, 3),
                named_ago_s=round(now_s - wanted.earliest_named_at_s, 3),
                in_force_s=self.in_force_s,
                held_version=start.held_version,
                upstream=start.upstream,
                request=start.request,
            )
