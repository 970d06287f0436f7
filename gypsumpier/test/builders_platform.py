"""Builders of the Rung Lab platform's settings and records, and of fleet states made from them."""

import json
from collections.abc import Callable
from typing import Any, Final

from tornado.httputil import HTTPHeaders

from gypsumpier.fleet.change import Batch, FleetChange
from gypsumpier.fleet.clock import boot_time_s
from gypsumpier.fleet.node import Bounds
from gypsumpier.fleet.position import Position
from gypsumpier.fleet.record import Record
from gypsumpier.fleet.state import FleetState
from gypsumpier.platform.records import RecordDecoder
from gypsumpier.upstream.head import CallerHead

ENGINES: Final = "engines"
PLAIN: Final = "plain"
MODEL: Final = "seismic"
LAYERS: Final = 16
KEY: Final = "key-of-lab"
ZONE: Final = "bac-a"
BOUNDS: Final = Bounds(2.0, 5.0, 2.0, 8.0, 8.0, 0.2, 10.0, 100.0)


def settings_body(**fields: Any) -> dict[str, Any]:
    """Return the JSON object of an entry's settings file."""
    body: dict[str, Any] = {
        "node": "front-bac-a-1",
        "ip": "127.0.0.1",
        "zone": ZONE,
        "region": "bac",
        "zones": {ZONE: "bac", "nam-a": "nam"},
        "listen": {"front": "127.0.0.1:8005", "ready": "127.0.0.1:8002", "control": "127.0.0.1:1"},
        "port_range": [7700, 7715],
        "seeds": ["127.0.0.1:1"],
        "limits": {"memory_mb": 300, "link_mbps": 1000.0},
        "bounds": {
            "config_apply_ms": 2000,
            "revoke_ms": 5000,
            "drain_ms": 2000,
            "grace_s": 8,
            "version_ms": 8000,
            "retry_ratio": 0.2,
            "retry_window_s": 10,
            "retry_slack": 100,
        },
        "provider": {"address": "127.0.0.1:8007"},
    }
    return body | fields


def route_body(name: str = "reports", **fields: Any) -> dict[str, Any]:
    """Return a route for resumable streams to the engines."""
    body: dict[str, Any] = {
        "name": name,
        "host": "lab.example",
        "prefix": "/reports/",
        "kind": "streaming",
        "timeout_ms": 6000,
        "goal_ms": 400,
        "priority": 1,
        "service": ENGINES,
        "attempts": 2,
        "public": False,
        "resumable": True,
        "gap_goal_ms": 300,
    }
    return body | fields


def command_route_body(**fields: Any) -> dict[str, Any]:
    """Return the route of commands, which may run at most once."""
    body = route_body(
        "commands", prefix="/commands/", kind="non_idempotent", service=PLAIN, attempts=1
    )
    for name in ("resumable", "gap_goal_ms"):
        del body[name]
    return body | {"timeout_ms": 1000, "goal_ms": 200} | fields


def engine_service_body(piece_count: int = 64, **fields: Any) -> dict[str, Any]:
    """Return the service of the engines, whose weights have that many pieces."""
    engine = {
        "slots": 16,
        "models": [{"name": MODEL}],
        "layers": LAYERS,
        "chunks": piece_count,
        "chunk_bytes": 32768,
        "step_ms": 6.73,
        "read_per_s": 30600.0,
        "report_lag_ms": 200.0,
        "usual": {"prompt": 964, "answer": 119},
    }
    return {"name": ENGINES, "max_conns": 434, "engine": engine} | fields


def configuration_body(version: int = 1, **fields: Any) -> dict[str, Any]:
    """Return a configuration with an engine service, a plain one and an origin."""
    body: dict[str, Any] = {
        "version": version,
        "routes": [route_body(), command_route_body()],
        "services": [
            engine_service_body(),
            {"name": PLAIN, "max_conns": 110},
            {"name": "origin", "origin": "127.0.0.1:9", "zone": ZONE, "link_mbps": 9.9},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 65536,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "lab", "api_keys": [KEY]}],
    }
    return body | fields


def engine_body(number: int = 1, version: int = 1, **fields: Any) -> dict[str, Any]:
    """Return an engine's record; version 0 means that no weights are loaded."""
    body: dict[str, Any] = {
        "service": ENGINES,
        "address": f"127.0.0.{number}:8701",
        "zone": ZONE,
        "slots": 16,
        "state": "ready",
        "born": 1000 + number,
        "seq": 4,
    }
    if version:
        body["models"] = [{"name": MODEL, "version": version, "adapters": []}]
        body["layers"] = {"from": 0, "to": LAYERS, "version": version}
    return body | fields


def plain_body(number: int = 1, **fields: Any) -> dict[str, Any]:
    """Return a plain upstream's record."""
    body = engine_body(number, 0, service=PLAIN, address=f"127.0.0.{number}:8705", slots=6)
    return body | fields


def record(key: str, body: dict[str, Any] | None, revision: int) -> Record:
    """Return a record of the store; a body of None marks a removed key."""
    return Record(key, None if body is None else json.dumps(body).encode(), revision)


def configuration_record(revision: int = 1, **fields: Any) -> Record:
    """Return the record of a configuration."""
    return record("op/config", configuration_body(**fields), revision)


def engine_record(number: int, revision: int, **fields: Any) -> Record:
    """Return the record of an engine, ``i-NUMBER``."""
    return record(f"servers/i-{number}", engine_body(number, **fields), revision)


def evacuation_record(revision: int, zone: str = ZONE, is_evacuated: bool = True) -> Record:
    """Return the record that begins or ends the evacuation of a zone."""
    return record(f"op/evacuate/{zone}", {} if is_evacuated else None, revision)


def decode_record(found: Record) -> FleetChange | None:
    """Return the change that a record makes for a process that has rejected none so far."""
    return RecordDecoder().decode(found)


class DecodingSource:
    """A fleet source that only decodes records; the test itself supplies what is read."""

    on_progress: Callable[[], None]

    async def snapshot(self) -> Batch:
        raise NotImplementedError

    async def watch(self, revision: int, wait_s: float) -> Batch:
        raise NotImplementedError

    async def current_position(self) -> Position:
        raise NotImplementedError

    def decode(self, found: Record) -> FleetChange | None:
        return decode_record(found)

    def close(self) -> None:
        return None


def fleet_state_of(*records: Record, proven_ago_s: float = 0.0) -> FleetState:
    """Return the fleet state of a process that has read exactly these records.

    ``proven_ago_s`` is the age in seconds of its freshness proof.
    """
    fleet_state = FleetState(DecodingSource())
    revision = max((found.revision for found in records), default=1)
    batch = Batch(0, revision, list(records), True, 0.0)
    fleet_state.apply(batch, boot_time_s() - proven_ago_s, "test")
    return fleet_state


def apply_records(
    fleet_state: FleetState,
    *records: Record,
    proven_ago_s: float = 0.0,
    absent_at_s: float | None = None,
) -> None:
    """Apply further records, with a freshness proof that is ``proven_ago_s`` seconds old.

    ``absent_at_s`` is a time at which the store is known not to have had them.
    """
    revision = max(found.revision for found in records)
    batch = Batch(fleet_state.revision, revision, list(records), False, 0.0)
    if absent_at_s is not None:
        fleet_state.record_position(fleet_state.position, absent_at_s)
    fleet_state.apply(batch, boot_time_s() - proven_ago_s, "test")


def caller_head_of(**fields: Any) -> CallerHead:
    """Return the head of a request to the engines."""
    head = CallerHead(
        request_id="9c41d07be2a35f68",
        method="POST",
        target="/reports/2f",
        host="lab.example",
        key=KEY,
        time_limit_s=6.0,
        model=MODEL,
        last_event_id="",
        prompt_tokens=1000,
        answer_tokens=100,
        expected_answer_tokens=100,
        prompt_parts=(),
        forwarded_headers=HTTPHeaders(),
    )
    return head._replace(**fields)
