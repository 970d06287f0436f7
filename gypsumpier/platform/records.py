"""Decodes records of the platform's store: configuration, upstreams, versions, evacuations.

Upstream records may be written by others and be malformed; such a record counts as no upstream.
"""

from typing import Any, Final

from gypsumpier.fleet.change import (
    ConfigurationChange,
    EvacuationChange,
    FleetChange,
    UpstreamChange,
    VersionChange,
)
from gypsumpier.fleet.configuration import CallerLimits, FleetConfiguration, Workspace
from gypsumpier.fleet.record import Record
from gypsumpier.fleet.regions import AllowedRegions
from gypsumpier.fleet.route import Route, RouteTarget
from gypsumpier.fleet.service import ModelTraits, Origin, Service
from gypsumpier.fleet.upstream import LoadedLayers, UpstreamRecord
from gypsumpier.log import decision
from gypsumpier.loginterval import LogInterval
from gypsumpier.platform.fields import (
    FieldError,
    field,
    is_encodable,
    json_value,
    number,
    objects,
    whole,
)
from gypsumpier.platform.settings import BITS_PER_BYTE, BITS_PER_MBIT, address

CONFIGURATION_KEY: Final = "op/config"
VERSION_PREFIX: Final = "op/version/"
UPSTREAM_PREFIX: Final = "servers/"
EVACUATION_PREFIX: Final = "op/evacuate/"
UPSTREAM_STATES: Final = ("ready", "draining")
ROUTE_KINDS: Final = ("idempotent", "non_idempotent", "streaming")
SECONDS_PER_MS: Final = 0.001
SLOTS_MAX: Final = 65_535
"""Largest number of slots of an upstream: as many connections as one of its ports can have from one
address."""
REJECTION_LOG_INTERVAL_S: Final = 10.0
"""Seconds between two log lines about the same malformed record, which may be written often."""
REASON_MAX_CHARACTERS: Final = 200
"""Logged characters of the reason of a rejection, which may quote the content."""


class RecordDecoder:
    """Decodes records, and logs rejected ones at intervals."""

    def __init__(self) -> None:
        self.rejections = LogInterval(REJECTION_LOG_INTERVAL_S)

    def decode(self, record: Record) -> FleetChange | None:
        """Return the change that the record makes; None if it is malformed or its key is unused.

        A removed configuration or wanted version is no change either.  A removed or malformed
        upstream is a change to None.  The key of an evacuation counts whatever its value.
        """
        try:
            return decoded(record)
        except ValueError as error:
            self.log_rejection(record.key, record.revision, str(error))
        if record.key.startswith(UPSTREAM_PREFIX):
            return UpstreamChange(record.key.removeprefix(UPSTREAM_PREFIX), None)
        return None

    def log_rejection(self, key: str, revision: int, reason: str) -> None:
        """Log that a record is ignored, unless a line about its key was logged just before."""
        if self.rejections.is_due(key):
            reason = reason[:REASON_MAX_CHARACTERS]
            decision("record_rejected", key=ascii(key), revision=revision, reason=reason)


def decoded(record: Record) -> FleetChange | None:
    """Return the change that the record makes, as ``RecordDecoder.decode``; raise ValueError."""
    key, value = record.key, record.value
    if key.startswith(UPSTREAM_PREFIX):
        upstream = key.removeprefix(UPSTREAM_PREFIX)
        found = None if value is None else upstream_record(upstream, json_value(value))
        return UpstreamChange(upstream, found)
    if key.startswith(EVACUATION_PREFIX):
        return EvacuationChange(key.removeprefix(EVACUATION_PREFIX), value is not None)
    if value is not None and key == CONFIGURATION_KEY:
        return ConfigurationChange(configuration(json_value(value)))
    if value is not None and key.startswith(VERSION_PREFIX):
        body = json_value(value)
        return VersionChange(field(body, "model", str), whole(body, "version"))
    return None


def upstream_record(upstream: str, body: dict[str, Any]) -> UpstreamRecord:
    """Return the decoded record; raise FieldError if a field is wrong."""
    upstream_address = address(body.get("address"))
    state = field(body, "state", str)
    if upstream_address is None or state not in UPSTREAM_STATES:
        raise FieldError("address is not IP:PORT or state is unknown")
    return UpstreamRecord(
        id=upstream,
        service=field(body, "service", str),
        host=upstream_address.host,
        port=upstream_address.port,
        zone=field(body, "zone", str),
        slots=whole(body, "slots", SLOTS_MAX),
        is_leaving=state == "draining",
        started_ms=whole(body, "born") if "born" in body else 0,
        layers=loaded_layers(body),
        sequence=sequence(body),
        cold_left_s=optional_number(body, "cold_left_ms") * SECONDS_PER_MS,
        states_cold=is_number(body.get("cold_left_ms")),
    )


def is_number(value: object) -> bool:
    """Return whether the value is a finite number of 0 or more."""
    return isinstance(value, int | float) and not isinstance(value, bool) and 0 <= value < 1e18


def optional_number(body: dict[str, Any], name: str) -> float:
    """Return a number of 0 or more; 0 where it is absent or malformed."""
    return number(body, name) if is_number(body.get(name)) else 0.0


def sequence(body: dict[str, Any]) -> int:
    """Return the number of the report; 0 where there is none, as an upstream works without it."""
    value = body.get("seq")
    return value if isinstance(value, int) and not isinstance(value, bool) else 0


def loaded_layers(body: dict[str, Any]) -> tuple[LoadedLayers, ...]:
    """Return the layers that an engine reports as loaded; a plain service has none.

    ``layers`` is a field beside ``models`` or of a model, and holds one range or several.
    """
    ranges: list[LoadedLayers] = []
    models = objects(body, "models") if body.get("models") is not None else []
    for model in models:
        ranges += layer_ranges(field(model, "name", str), model.get("layers"))
    if models:
        ranges += layer_ranges(field(models[0], "name", str), body.get("layers"))
    return tuple(ranges)


def layer_ranges(model: str, held: object) -> list[LoadedLayers]:
    """Return the ranges of layers of a model; an engine that holds none reports none."""
    parts = held if isinstance(held, list) else [held] if held else []
    if not all(isinstance(part, dict) for part in parts):
        raise FieldError("layers holds something other than objects")
    return [layer_range(model, part) for part in parts]


def layer_range(model: str, part: dict[str, Any]) -> LoadedLayers:
    """Return one range of layers; ``to`` is exclusive."""
    start, end = int(number(part, "from")), int(number(part, "to"))
    return LoadedLayers(model, int(number(part, "version")), start, end)


def configuration(body: dict[str, Any]) -> FleetConfiguration:
    """Return the configuration; raise FieldError if a field is wrong."""
    services = [service(item) for item in objects(body, "services")]
    return FleetConfiguration(
        version=whole(body, "version"),
        routes=[route(item) for item in objects(body, "routes")],
        services={found.name: found for found in services},
        workspaces_by_key=workspaces(body) if "tenants" in body else None,
        limits=caller_limits(field(body, "limits", dict)),
    )


def workspaces(body: dict[str, Any]) -> dict[str, Workspace]:
    """Return the workspaces by API key; the platform's name for a workspace is "tenant"."""
    workspaces_by_key = {}
    for tenant in objects(body, "tenants"):
        priority = tenant.get("priority")
        workspace = Workspace(
            field(tenant, "name", str),
            priority if isinstance(priority, int) else None,
            allowed_regions(tenant),
        )
        for key in field(tenant, "api_keys", list):
            workspaces_by_key[str(key)] = workspace
    return workspaces_by_key


def allowed_regions(body: dict[str, Any]) -> AllowedRegions:
    """Return the regions that a route or a tenant allows; none listed means any.

    Raises FieldError if the value is anything but a list of names: a misread one must not allow
    more than was meant.
    """
    if "allowed_regions" not in body:
        return None
    names = field(body, "allowed_regions", list)
    for name in names:
        if not isinstance(name, str) or not name or not is_encodable(name):
            raise FieldError("allowed_regions holds something other than names")
    return frozenset(names) or None


def caller_limits(body: dict[str, Any]) -> CallerLimits:
    """Return the limits of callers' requests and connections."""
    return CallerLimits(
        header_bytes=int(number(body, "max_header_bytes")),
        body_bytes=int(number(body, "max_body_bytes")),
        header_timeout_s=number(body, "header_timeout_ms") * SECONDS_PER_MS,
        idle_timeout_s=number(body, "idle_timeout_ms") * SECONDS_PER_MS,
    )


def route(body: dict[str, Any]) -> Route:
    """Return one route; for a streamed route ``goal_ms`` is the time to the first event."""
    kind = field(body, "kind", str)
    if kind not in ROUTE_KINDS:
        raise FieldError(f"unknown kind of route: {kind!r}")
    is_streamed = kind == "streaming"
    return Route(
        name=field(body, "name", str),
        host=field(body, "host", str),
        prefix=field(body, "prefix", str),
        is_streamed=is_streamed,
        is_repeatable=body.get("resumable") is True if is_streamed else kind == "idempotent",
        is_public=body.get("public") is True,
        timeout_s=number(body, "timeout_ms") * SECONDS_PER_MS,
        goal_s=number(body, "goal_ms") * SECONDS_PER_MS,
        event_gap_goal_s=(
            number(body, "gap_goal_ms") * SECONDS_PER_MS if "gap_goal_ms" in body else 0.0
        ),
        priority=int(number(body, "priority")) if "priority" in body else 0,
        max_attempts=max(1, int(number(body, "attempts"))) if "attempts" in body else 1,
        targets=route_targets(body),
        allowed_regions=allowed_regions(body),
    )


def route_targets(body: dict[str, Any]) -> tuple[RouteTarget, ...]:
    """Return the services of a route: one ``service``, or ``backends`` with their weights."""
    if "backends" in body:
        return tuple(
            RouteTarget(field(item, "service", str), int(number(item, "weight")))
            for item in objects(body, "backends")
        )
    return (RouteTarget(field(body, "service", str), 1),)


def service(body: dict[str, Any]) -> Service:
    """Return one service."""
    engine = body.get("engine")
    return Service(
        name=field(body, "name", str),
        max_connections=int(number(body, "max_conns")) if "max_conns" in body else 0,
        model=model_traits(engine) if isinstance(engine, dict) else None,
        origin=origin(body) if "origin" in body else None,
        cold_s=optional_number(body, "cold_s"),
        cold_per_s=optional_number(body, "cold_per_s"),
    )


def model_traits(body: dict[str, Any]) -> ModelTraits:
    """Return the models, capacity and speed of the engines of a service."""
    usual = body.get("usual")
    usual = usual if isinstance(usual, dict) else {}
    return ModelTraits(
        models=tuple(field(model, "name", str) for model in objects(body, "models")),
        batch_slots=int(number(body, "slots")),
        layers=int(number(body, "layers")) if "layers" in body else 0,
        piece_count=int(number(body, "chunks")) if "chunks" in body else 0,
        piece_bytes=int(number(body, "chunk_bytes")) if "chunk_bytes" in body else 0,
        report_lag_s=(
            number(body, "report_lag_ms") * SECONDS_PER_MS if "report_lag_ms" in body else 0.0
        ),
        step_s=number(body, "step_ms") * SECONDS_PER_MS,
        prompt_tokens_per_s=number(body, "read_per_s"),
        mean_prompt_tokens=int(number(usual, "prompt")) if "prompt" in usual else 0,
        mean_answer_tokens=int(number(usual, "answer")) if "answer" in usual else 0,
    )


def origin(body: dict[str, Any]) -> Origin:
    """Return the origin of weights; raise FieldError if a field is wrong."""
    origin_address = address(body.get("origin"))
    if origin_address is None:
        raise FieldError("origin is not IP:PORT")
    return Origin(
        host=origin_address.host,
        port=origin_address.port,
        zone=field(body, "zone", str),
        link_bytes_per_s=number(body, "link_mbps") * BITS_PER_MBIT / BITS_PER_BYTE,
        max_connections=int(number(body, "max_conns")) if "max_conns" in body else 1,
    )
