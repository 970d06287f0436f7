"""Validates a caller's request: finds its route, workspace and service, or refuses it."""

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
"""Maximum age of a freshness proof, as a share of the time allowed for a key revocation."""
UNINFORMED_RETRY_S: Final = 0.3
"""Retry-After, in seconds, of an entry that has just started or whose proof is stale."""


class Intake:
    """Checks requests against the configuration that is known to the process."""

    def __init__(self, settings: NodeSettings, fleet_state: FleetState) -> None:
        self.settings = settings
        self.fleet_state = fleet_state
        self.random = random.Random()

    def is_fresh(self) -> bool:
        """Return whether the configuration is so fresh that a key revocation is known in time."""
        return (
            self.fleet_state.proof_age_s()
            < PROOF_MAX_AGE_SHARE * self.settings.bounds.key_revoked_s
        )

    def request(self, head: CallerHead, body: bytes, received_at_s: float) -> GatewayRequest:
        """Return the validated request; raise Refusal if it can't be served.

        ``received_at_s`` is the monotonic time at which it arrived.
        """
        configuration = self.fleet_state.configuration
        if configuration is None or not self.fleet_state.is_confirmed():
            raise Refusal(
                ENTRY_UNINFORMED,
                503,
                "the entry has not received a configuration yet",
                UNINFORMED_RETRY_S,
            )
        if not head.request_id:
            raise Refusal(BAD_REQUEST, 400, "the request has no request id header")
        if len(body) > configuration.limits.body_bytes:
            raise Refusal(BODY_TOO_LARGE, 413, f"{len(body)} bytes exceed the body limit")
        route = configuration.match(head.host, head.path)
        if route is None:
            raise Refusal(
                NO_ROUTE, 404, f"configuration {configuration.version} has no matching route"
            )
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
            configuration=configuration,
        )

    def workspace(
        self, configuration: FleetConfiguration, route: Route, head: CallerHead
    ) -> Workspace | None:
        """Return the workspace of the caller's key, or None if no key is needed.

        Raises Refusal if the key is unknown or the configuration is stale.
        """
        keys = configuration.workspaces_by_key
        if keys is None or route.is_public:
            return None
        if not self.is_fresh():
            age_s = self.fleet_state.proof_age_s()
            detail = f"configuration {configuration.version} was proven {age_s:.1f} s ago"
            raise Refusal(STALE_CONFIGURATION, 503, detail, UNINFORMED_RETRY_S)
        workspace = keys.get(head.key)
        if workspace is None:
            raise Refusal(KEY_UNKNOWN, 401, f"configuration {configuration.version} lacks the key")
        return workspace

    def service(self, configuration: FleetConfiguration, route: Route) -> str:
        """Return a service drawn at random by weight; raise Refusal if the route has none."""
        targets = [target for target in route.targets if target.weight > 0]
        if not targets:
            raise Refusal(
                NO_UPSTREAM, 503, f"route {route.name} has no service with a weight above 0"
            )
        weights = [target.weight for target in targets]
        return self.random.choices(targets, weights)[0].service


def fingerprint(head: CallerHead, body: bytes) -> str:
    """Return a digest that copies of one request share.

    It covers the host, the path with its query, the key, the model and the body.
    """
    digest = hashlib.blake2b(digest_size=12)
    for part in (head.host, head.target, head.key, head.model):
        digest.update(part.encode("latin1", "replace") + b"\0")
    digest.update(body)
    return digest.hexdigest()
