"""Stand-ins of the platform in this process, and entries and sidecars as processes."""

import asyncio
import time
from pathlib import Path
from typing import Any, Final

from gypsumpier.test.builders_platform import (
    ENGINES,
    KEY,
    LAYERS,
    MODEL,
    PLAIN,
    ZONE,
    command_route_body,
    configuration_body,
    engine_body,
    engine_service_body,
    plain_body,
    route_body,
    settings_body,
)
from gypsumpier.test.gatewayfleet import free_port
from gypsumpier.test.standin.platform import (
    WORK_PREFIX,
    OriginStandin,
    PlatformStandin,
    Run,
    UpstreamStandin,
)
from gypsumpier.test.standin.platformengine import EngineStandin
from misc.faulting.tcp_proxy import TcpProxy
from misc.soaking.evacuation import ZoneEvacuation
from misc.soaking.node import Node

ZONES: Final = (ZONE, "nam-a")
ENTRIES_PER_ZONE: Final = 2
ENGINES_PER_ZONE: Final = 1
SLOTS: Final = 6
"""Requests that an engine runs at once; the callers can fill the slots of every engine."""
PLAIN_COUNT: Final = 3
PIECES: Final = 16
PIECE_BYTES: Final = 2048
EVENTS: Final = 12
EVENT_PAUSE_S: Final = 0.02
RECORD_DELAY_S: Final = 0.2
SPARE_KEYS: Final = 40
LONGEST_WORK_S: Final = 3.0
"""Seconds of the longest command at a plain upstream."""
UPLOAD_ROUTE: Final = {"name": "uploads", "prefix": WORK_PREFIX, "timeout_ms": 12_000}
START_TIMEOUT_S: Final = 30.0
POLL_S: Final = 0.05


class StartError(Exception):
    """A process ended by itself while the deployment was starting."""


class SoakDeployment:
    """Two zones of entries and sidecars, engines, plain upstreams, a store and an origin.

    Every process reaches the store through a ``TcpProxy`` of its own, and each upstream is reached
    through one.  The ``_at_s`` mappings hold when a record was written, in monotonic seconds.
    """

    def __init__(self, directory: Path) -> None:
        self.store = PlatformStandin()
        self.store.era = "1"
        self.origin = OriginStandin(PIECES, PIECE_BYTES)
        self.upstreams: dict[str, UpstreamStandin] = {}
        self.proxies: dict[str, TcpProxy] = {}
        self.store_proxies: dict[str, TcpProxy] = {}
        self.nodes: dict[str, Node] = {}
        self.directory = directory
        self.zones: dict[str, str] = {}
        self.plain_added = 0
        self.version = 0
        self.configured_at_s: dict[int, float] = {}
        self.revoked_at_s: dict[str, float] = {}
        self.draining_at_s: dict[str, float] = {}
        self.named_at_s: dict[int, float] = {1: time.monotonic()}
        self.keys = [KEY] + [f"key-{number}" for number in range(SPARE_KEYS)]
        self.evacuations: list[ZoneEvacuation] = []
        self.retired_upstreams: list[UpstreamStandin] = []

    @property
    def entries(self) -> list[Node]:
        """The entries, running or not."""
        return [node for node in self.nodes.values() if node.role == "entry"]

    def engines(self) -> list[EngineStandin]:
        """Return the engines."""
        return [found for found in self.upstreams.values() if isinstance(found, EngineStandin)]

    def plain(self) -> list[UpstreamStandin]:
        """Return the plain upstreams that were not removed."""
        return [found for found in self.upstreams.values() if not isinstance(found, EngineStandin)]

    def runs(self) -> list[Run]:
        """Return every run at every upstream, including removed ones."""
        upstreams = [*self.upstreams.values(), *self.retired_upstreams]
        return [run for upstream in upstreams for run in upstream.runs]

    async def start(self) -> None:
        """Start everything and wait until each entry is ready."""
        self.configure()
        for _ in range(PLAIN_COUNT):
            await self.add_plain()
        for zone in ZONES:
            for number in range(1, ENGINES_PER_ZONE + 1):
                await self.add_engine(f"engine-{zone}-{number}", zone)
        names = [f"front-{zone}-{n}" for zone in ZONES for n in range(1, ENTRIES_PER_ZONE + 1)]
        control_addresses = {name: f"127.0.0.1:{free_port()}" for name in names}
        for name, place in control_addresses.items():
            listen = {
                "front": f"127.0.0.1:{free_port()}",
                "ready": f"127.0.0.1:{free_port()}",
                "control": place,
            }
            await self.add_node("entry", name, list(control_addresses.values()), listen=listen)
        for engine in self.engines():
            fields = {"app": f"127.0.0.1:{self.proxies[engine.name].port}", "service": ENGINES}
            name = engine.name.replace("engine", "side")
            await self.add_node(
                "agent", name, list(control_addresses.values()), listen={}, **fields
            )
        for node in self.nodes.values():
            await node.start()
        async with asyncio.timeout(START_TIMEOUT_S):
            while not all(engine.version for engine in self.engines()):
                ended = [name for name, node in self.nodes.items() if not node.is_running()]
                if ended:
                    raise StartError(f"ended while starting, see their logs: {', '.join(ended)}")
                await asyncio.sleep(POLL_S)

    async def add_node(self, role: str, name: str, seeds: list[str], **fields: Any) -> None:
        """Write the settings of a process and start its proxy to the store."""
        proxy = self.store_proxies[name] = TcpProxy(self.store.port)
        await proxy.start()
        zone = next(zone for zone in ZONES if zone in name)
        body = settings_body(
            node=name,
            zone=zone,
            region=zone.split("-")[0],
            port_range=[20000, 60000],
            seeds=seeds,
            provider={"address": f"127.0.0.1:{proxy.port}"},
            **fields,
        )
        self.nodes[name] = Node(role, body, self.directory)

    async def add_plain(self) -> None:
        """Add a plain upstream."""
        self.plain_added += 1
        name, zone = f"plain-{self.plain_added}", ZONES[self.plain_added % len(ZONES)]
        await self.add_proxy(UpstreamStandin(name), zone)
        self.write_record(name)

    async def add_engine(self, name: str, zone: str) -> None:
        """Add an engine without weights; its record is written RECORD_DELAY_S after each change."""
        engine = EngineStandin(name, MODEL, LAYERS, self.origin, SLOTS)
        engine.event_count, engine.event_pause_s = EVENTS, EVENT_PAUSE_S
        await self.add_proxy(engine, zone)
        loop = asyncio.get_running_loop()
        engine.on_change = lambda: discard(loop.call_later(RECORD_DELAY_S, self.write_record, name))
        self.write_record(name)

    async def add_proxy(self, upstream: UpstreamStandin, zone: str) -> None:
        """Start the proxy through which an upstream is reached."""
        self.upstreams[upstream.name] = upstream
        self.zones[upstream.name] = zone
        proxy = self.proxies[upstream.name] = TcpProxy(upstream.port)
        await proxy.start()

    def write_record(self, name: str) -> None:
        """Write the record of an upstream to the store, unless the upstream was removed."""
        upstream = self.upstreams.get(name)
        if upstream is None:
            return
        own: dict[str, Any] = {"address": f"127.0.0.1:{self.proxies[name].port}"}
        own["zone"] = self.zones[name]
        if name in self.draining_at_s:
            own["state"] = "draining"
        if isinstance(upstream, EngineStandin):
            self.store.put(
                f"servers/{name}", engine_body(1, 0, slots=SLOTS, **own) | upstream.body()
            )
        else:
            self.store.put(f"servers/{name}", plain_body(**own))

    def configure(self) -> None:
        """Write the next configuration, with one more route and without the revoked keys."""
        self.version += 1
        self.write_configuration()
        self.configured_at_s[self.version] = time.monotonic()

    def write_configuration(self) -> None:
        """Write the configuration of the newest version."""
        versions = [
            command_route_body(name=f"v{n}", prefix=f"/v{n}/", kind="idempotent", attempts=2)
            for n in range(1, self.version + 1)
        ]
        lookups = command_route_body(name="lookups", prefix="/lookups/", kind="idempotent")
        origin = f"127.0.0.1:{self.origin.port}"
        keys = [key for key in self.keys if key not in self.revoked_at_s]
        services = [
            engine_service_body(PIECES),
            {"name": PLAIN, "max_conns": 110},
            {"name": "origin", "origin": origin, "zone": ZONE, "link_mbps": 9.9},
        ]
        body = configuration_body(
            self.version,
            services=services,
            routes=[
                *(route_body(), command_route_body(), command_route_body(**UPLOAD_ROUTE)),
                *(lookups | {"attempts": 2}, *versions),
            ],
            tenants=[{"name": "lab", "api_keys": keys}],
        )
        self.store.put("op/config", body)

    def write_again(self) -> None:
        """Write what the store lacks after its return from a copy, as operator and upstreams do."""
        self.write_configuration()
        newest = max(self.named_at_s)
        if newest > 1:
            self.store.put(f"op/version/{MODEL}", {"model": MODEL, "version": newest})
        for name in self.upstreams:
            self.write_record(name)

    def remove_stale_records(self) -> None:
        """Remove the records of upstreams that are gone, which the copy still had."""
        for key in list(self.store.items):
            name = key.removeprefix("servers/")
            if name != key and name not in self.upstreams and not name.startswith("odd-"):
                self.store.remove(key)

    def revoke(self, key: str) -> None:
        """Revoke a key by a new configuration."""
        self.revoked_at_s[key] = float("inf")
        self.configure()
        self.revoked_at_s[key] = time.monotonic()

    def evacuate(self, zone: str) -> None:
        """Begin the evacuation of a zone."""
        self.store.put(f"op/evacuate/{zone}", {})
        upstreams = frozenset(name for name in self.upstreams if self.zones[name] == zone)
        self.evacuations.append(ZoneEvacuation(zone, upstreams, time.monotonic()))

    def end_evacuation(self) -> None:
        """End the evacuation that began last."""
        evacuation = self.evacuations[-1]
        self.evacuations[-1] = evacuation._replace(ended_at_s=time.monotonic())
        self.store.remove(f"op/evacuate/{evacuation.zone}")

    def drain(self, name: str) -> None:
        """Mark an upstream as draining."""
        self.draining_at_s[name] = time.monotonic()
        self.write_record(name)

    def retire(self, name: str) -> None:
        """Remove a drained upstream and its record."""
        self.store.remove(f"servers/{name}")
        upstream = self.upstreams.pop(name)
        self.retired_upstreams.append(upstream)
        upstream.server.stop()
        self.proxies.pop(name).stop()

    def publish_version(self) -> int:
        """Name the next version of the weights as the one to serve, and return it."""
        version = max(self.named_at_s) + 1
        self.store.put(f"op/version/{MODEL}", {"model": MODEL, "version": version})
        self.named_at_s[version] = time.monotonic()
        return version

    async def stop(self) -> None:
        """Kill every process and stop every stand-in."""
        await asyncio.gather(*(node.kill() for node in self.nodes.values()))
        for proxy in [*self.proxies.values(), *self.store_proxies.values()]:
            proxy.stop()
        self.store.wake_watches()
        for server in (self.store.server, self.origin.server):
            server.stop()
        for upstream in self.upstreams.values():
            upstream.server.stop()
        # Lets the upstreams' requests end as their connections close.
        await asyncio.sleep(POLL_S)


def discard(handle: object) -> None:
    """Discard a handle, so that a lambda returns None."""
