"""Turns a caller's request into a request of the product, or refuses it."""

import hashlib
import random
from typing import Final

from gypsumpier.codes.request import (
    BAD_REQUEST,
    BODY_TOO_LARGE,
    ENTRY_UNINFORMED,
    KEY_UNKNOWN,
    NO_ROUTE,
    NO_UPSTREAM,
    STALE_CONFIGURATION,
)
from gypsumpier.fleet.configuration import FleetConfiguration, Workspace
from gypsumpier.fleet.node import NodeSettings
from gypsumpier.fleet.route import Route
from gypsumpier.fleet.state import FleetState
from gypsumpier.gateway.refusal import Refusal
from gypsumpier.gateway.request import GatewayRequest
from gypsumpier.upstream.head import CallerHead

PROOF_MAX_AGE_SHARE: Final = 0.9
"""Share of the time in which a revoked key must stop working up to which a proof holds."""
UNINFORMED_RETRY_S: Final = 0.3
"""Seconds after which an entry that has just started or lost its proof is worth another try."""


class Intake:
    """Checks requests against what the process believes."""

    def __init__(self, settings: NodeSettings, beliefs: FleetState) -> None:
        self.settings = settings
        self.beliefs = beliefs
        self.random = random.Random()

    def is_fresh(self) -> bool:
        """Tell whether a revocation of a key would be known in time."""
        return self.beliefs.proof_age_s() < PROOF_MAX_AGE_SHARE * self.settings.bounds.key_revoked_s

    def request(self, head: CallerHead, body: bytes, received_at_s: float) -> GatewayRequest:
        """Return the request; raise Refusal where it can't be served."""
        configuration = self.beliefs.configuration
        if configuration is None:
            raise Refusal(ENTRY_UNINFORMED, 503, "no configuration yet", UNINFORMED_RETRY_S)
        if not head.request_id:
            raise Refusal(BAD_REQUEST, 400, "the request has no id")
        if len(body) > configuration.limits.body_bytes:
            raise Refusal(BODY_TOO_LARGE, 413, f"{len(body)} bytes")
        route = configuration.match(head.host, head.path)
        if route is None:
            raise Refusal(NO_ROUTE, 404, f"configuration {configuration.version} has no route")
        workspace = self.workspace(configuration, route, head)
        time_limit_s = route.timeout_s if head.time_limit_s is None else head.time_limit_s
        return GatewayRequest(
            head=head,
            body=body,
            route=route,
            service=self.service(configuration, route),
            workspace=workspace,
            received_at_s=received_at_s,
            ends_at_s=received_at_s + min(time_limit_s, route.timeout_s),
            fingerprint=fingerprint(head, body),
        )

    def workspace(
        self, configuration: FleetConfiguration, route: Route, head: CallerHead
    ) -> Workspace | None:
        """Return the workspace of the caller's key; None where no key is needed."""
        keys = configuration.workspaces_by_key
        if keys is None or route.is_public:
            return None
        if not self.is_fresh():
            age_s = self.beliefs.proof_age_s()
            detail = f"configuration {configuration.version} was proven {age_s:.1f} s ago"
            raise Refusal(STALE_CONFIGURATION, 503, detail, UNINFORMED_RETRY_S)
        workspace = keys.get(head.key)
        if workspace is None:
            raise Refusal(KEY_UNKNOWN, 401, f"configuration {configuration.version} has no key")
        return workspace

    def service(self, configuration: FleetConfiguration, route: Route) -> str:
        """Return the service for one request, drawn by weight; raise Refusal without one."""
        targets = [target for target in route.targets if target.weight > 0]
        if not targets:
            raise Refusal(NO_UPSTREAM, 503, f"route {route.name} has no service")
        weights = [target.weight for target in targets]
        return self.random.choices(targets, weights)[0].service


def fingerprint(head: CallerHead, body: bytes) -> str:
    """Return what is alike in copies of one request: its path, its caller and its body."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (head.host, head.target, head.key, head.model):
        digest.update(part.encode("latin1", "replace") + b"\0")
    digest.update(body)
    return digest.hexdigest()
