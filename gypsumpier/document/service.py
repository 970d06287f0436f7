"""The accepted form of one service team's document."""

from typing import NamedTuple


class VersionShare(NamedTuple):
    """A version and its share of the traffic, in percent."""

    version: str
    share_percent: int


class Route(NamedTuple):
    """The policy for calls below a path prefix; the longest matching prefix applies."""

    prefix: str
    methods: tuple[str, ...]
    idempotent: bool
    priority: int


class WorkspacePolicy(NamedTuple):
    """A workspace's weight in fair sharing and the availability zone that is its home."""

    name: str
    weight: int
    home_zone: str


class Limits(NamedTuple):
    """Bounds for requests to the service."""

    in_flight_per_upstream: int
    body_bytes: int
    deadline_s: float


class ZoneReplicas(NamedTuple):
    """The number of upstreams of the service in an availability zone."""

    zone: str
    replicas: int


class ServiceDocument(NamedTuple):
    """The configuration of a service as its team requests it.

    ``kind`` is "model" or "plain"; a plain service has no model and no versions.  ``live_by`` is
    the wall-clock time, in seconds since the epoch, by which the versions should be live.
    """

    service: str
    kind: str
    model: str
    versions: tuple[VersionShare, ...]
    zones: tuple[ZoneReplicas, ...]
    live_by: float | None
    max_unavailable: int
    routes: tuple[Route, ...]
    limits: Limits
    workspaces: tuple[WorkspacePolicy, ...]
    engines_honour_fencing: bool


class Accepted(NamedTuple):
    """A document in force, with its revision; ``document`` is None where it was deleted."""

    name: str
    revision: int
    document: ServiceDocument | None
