"""One entry with stand-ins of the platform, in the event loop of a test."""

import asyncio
import errno
import itertools
import os
import socket
from collections import deque
from typing import Any, Final

from tornado.httpclient import HTTPRequest, HTTPResponse
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from gypsumpier.fleet.node import Address
from gypsumpier.gateway.application import GatewayApplication
from gypsumpier.options import Options
from gypsumpier.platform.origin import PlatformOrigin
from gypsumpier.platform.settings import Reader, node_settings
from gypsumpier.platform.store import PlatformStore
from gypsumpier.test.builders_platform import (
    ENGINES,
    KEY,
    PLAIN,
    ZONE,
    configuration_body,
    engine_body,
    engine_service_body,
    plain_body,
    settings_body,
)
from gypsumpier.test.standin.platform import OriginStandin, PlatformStandin, UpstreamStandin

START_TIMEOUT_S: Final = 5.0
CALL_TIMEOUT_S: Final = 10.0
CALLS_MAX: Final = 64
"""Calls at a time; further ones wait in the client."""
PORTS: Final = range(10_240, 32_768)
"""Ports below the range that Linux uses for outgoing connections."""
PORT_SHARES: Final = 64
"""Shares of these ports; a process holds one, so that two test runs don't take the same port."""
HELD_PORTS_MAX: Final = 160
"""Ports that are held at a time; more than the largest fleet of a test needs."""


def claim_share() -> tuple[range, socket.socket]:
    """Return a share of the ports, and the socket by which this process holds it until its end.

    The socket is bound to the first port of the share.
    """
    for number in range(os.getpid(), os.getpid() + PORT_SHARES):
        first, *_ = share = PORTS[number % PORT_SHARES :: PORT_SHARES]
        claim = socket.socket()
        if bind_port(claim, first):
            return share[1:], claim
        claim.close()
    raise AssertionError(f"{PORT_SHARES} other processes hold a share of the ports")


def bind_port(found: socket.socket, port: int) -> bool:
    """Bind a socket to a port of this machine; return False if another socket has it."""
    try:
        found.bind(("127.0.0.1", port))
    except OSError as error:
        if error.errno != errno.EADDRINUSE:
            raise
        return False
    return True


own_share, own_claim = claim_share()
own_ports = itertools.cycle(own_share)
held_ports: deque[socket.socket] = deque()


def free_port() -> int:
    """Return a port that is free now and outside the range of outgoing connections.

    A port chosen by the kernel could be assigned to an outgoing connection before a process binds
    it, or while that process restarts.  The port is held by a socket that does not listen: a server
    may listen on it, as servers set SO_REUSEADDR, and nobody else takes it for free.  It is given
    again only after all others of the share.
    """
    for port in own_ports:
        held = socket.socket()
        if bind_port(held, port):
            held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            held_ports.append(held)
            if len(held_ports) > HELD_PORTS_MAX:
                held_ports.popleft().close()
            return port
        held.close()
    raise AssertionError("the ports have no end")


class GatewayFleet:
    """A store, an origin, upstreams and one entry."""

    def __init__(self) -> None:
        self.store = PlatformStandin()
        self.origin = OriginStandin()
        self.upstreams: dict[str, UpstreamStandin] = {}
        self.client = SimpleAsyncHTTPClient(force_instance=True, max_clients=CALLS_MAX)
        self.port = free_port()
        body = settings_body(
            listen={
                "front": f"127.0.0.1:{self.port}",
                "ready": f"127.0.0.1:{free_port()}",
                "control": f"127.0.0.1:{free_port()}",
            },
            port_range=[7700, free_port()],
            seeds=[],
            provider={"address": f"127.0.0.1:{self.store.port}"},
        )
        self.settings = node_settings(Reader(body))
        self.entry = GatewayApplication(
            self.settings,
            Options(incarnation="run-1"),
            PlatformStore(self.settings.store_address),
            lambda host, port: PlatformOrigin(Address(host, port)),
        )

    def configure(self, version: int = 1, **fields: Any) -> None:
        """Write a configuration to the store."""
        services = [
            engine_service_body(),
            {"name": PLAIN, "max_conns": 110},
            {
                "name": "origin",
                "origin": f"127.0.0.1:{self.origin.port}",
                "zone": ZONE,
                "link_mbps": 9.9,
            },
        ]
        body = configuration_body(version, services=services) | fields
        self.store.put("op/config", body)

    def add(self, name: str, service: str, **fields: Any) -> UpstreamStandin:
        """Start an upstream and write its record to the store."""
        upstream = self.upstreams[name] = UpstreamStandin(name)
        self.write_record(name, service, **fields)
        return upstream

    def write_record(self, name: str, service: str, **fields: Any) -> None:
        """Write the record of an upstream to the store."""
        build = engine_body if service == ENGINES else plain_body
        self.store.put(f"servers/{name}", build(address=self.upstreams[name].address, **fields))

    async def start(self) -> None:
        """Start the entry and wait until it is ready."""
        await self.entry.start()
        async with asyncio.timeout(START_TIMEOUT_S):
            while not self.entry.is_ready():
                await asyncio.sleep(0.01)

    async def settle(self, timeout_s: float = START_TIMEOUT_S) -> None:
        """Wait until the entry has received every change in the store."""
        async with asyncio.timeout(timeout_s):
            while self.entry.fleet_state.revision < self.store.revision:
                await asyncio.sleep(0.01)

    async def call(self, path: str, request_id: str = "r1", **fields: Any) -> HTTPResponse:
        """Return the entry's answer; its status is 599 if the connection was cut."""
        headers = {"Host": "lab.example", "X-Request-Id": request_id, "X-Key": KEY}
        headers |= fields.pop("headers", {})
        request = HTTPRequest(
            f"http://127.0.0.1:{self.port}{path}",
            method="POST",
            body="{}",
            headers={name: value for name, value in headers.items() if value},
            request_timeout=CALL_TIMEOUT_S,
            **fields,
        )
        return await self.client.fetch(request, raise_error=False)

    async def stop(self) -> None:
        """Stop the entry and the stand-ins without draining."""
        for task in self.entry.tasks:
            task.cancel()
        await self.entry.watcher.stop()
        await self.entry.mesh.stop()
        self.entry.listener.stop()
        self.entry.server.stop()
        self.entry.pool.close()
        await self.entry.status.stop()
        self.client.close()
        # Lets the last watch requests return.
        self.store.wake_watches()
        await asyncio.sleep(0.02)
        self.store.server.stop()
        self.origin.server.stop()
        for upstream in self.upstreams.values():
            upstream.server.stop()
