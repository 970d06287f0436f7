"""What the cases 11 to 15 share: stand-ins of the platform's store and of servers, clients, processes.

The stand-ins follow the pages: PROTOCOL.md for the store, the servers and the clients, DEPLOY.md for
the settings and the command of a process.  Every address is a loopback address.
"""

import asyncio
import base64
import ctypes
import itertools
import json
import os
import random
import resource
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parent.parent
HOST = "lab.example"
KEY = "key-of-lab"
TENANT = "lab"
PLAIN = "table-ops"
ENGINES = "gypsum-llm"
ORIGIN = "lab-portal"
MODEL = "seismic"
LAYERS = 16
MB = 1024 * 1024
ZONES = {"bac-a": "bac", "trung-a": "trung", "nam-a": "nam"}
PR_SET_PDEATHSIG = 1
RULE_BROKEN, RULE_HELD, NOT_RUN = 1, 0, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not run; nothing was shown."""


class Record:
    """The record of one run of a case: what was sent, answered and run."""

    def __init__(self, directory: Path) -> None:
        self.began_s = time.monotonic()
        self.lines: list[str] = []
        self.path = directory / "record.txt"

    def add(self, text: str) -> None:
        self.lines.append(f"{time.monotonic() - self.began_s:8.3f} s  {text}")

    def write(self) -> None:
        self.path.write_text("\n".join(self.lines) + "\n")


def free_port(host: str = "127.0.0.1") -> int:
    with socket.socket() as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


class Request(NamedTuple):
    """A request as a stand-in has received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @property
    def id(self) -> str:
        return self.headers.get("x-request-id", "")


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers, by names in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    first, *lines = head.split("\r\n")
    pairs = (line.split(":", 1) for line in lines if line)
    return first, {name.strip().lower(): value.strip() for name, value in pairs}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return the body of a message with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            parts.append((await reader.readexactly(size + 2))[:-2])
        await reader.readuntil(b"\r\n")
        return b"".join(parts)
    return await reader.readexactly(int(headers.get("content-length", "0")))


class HttpServer:
    """An HTTP/1.1 server with kept connections; ``handle`` returns False to close the connection."""

    def __init__(self, handle: Callable[[Request], Awaitable[bool]], host: str = "127.0.0.1") -> None:
        self.handle = handle
        self.host = host
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> None:
        self.server = await asyncio.start_server(
            self.serve, self.host, port, limit=8 * MB, backlog=1000
        )
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        return f"{self.host}:{self.port}"

    async def read_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> Request:
        first, headers = await read_head(reader)
        method, target, _ = first.split(" ", 2)
        body = await read_body(reader, headers)
        return Request(method, target, headers, body, reader, writer)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while await self.handle(await self.read_request(reader, writer)):
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            # The case has ended.
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


def answer(
    status: int, body: bytes, headers: dict[str, str] | None = None, reason: str = "OK"
) -> bytes:
    """Return an answer with a length."""
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin1") + body


class Store:
    """The platform's store: items, pages of them, and watches."""

    def __init__(self) -> None:
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[dict[str, Any]] = []
        self.rev = 100
        self.changed = asyncio.Condition()
        self.http = HttpServer(self.handle)
        self.calls = 0

    async def put(self, key: str, value: object) -> None:
        """Write an item; returning is the ack."""
        content = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.rev += 1
        created = self.items.get(key, {}).get("created", self.rev)
        item = {
            "key": key,
            "value": base64.b64encode(content).decode(),
            "rev": self.rev,
            "created": created,
            "lease": 0,
        }
        self.items[key] = item
        await self.publish(item)

    async def remove(self, key: str) -> None:
        self.rev += 1
        self.items.pop(key, None)
        await self.publish({"key": key, "rev": self.rev, "removed": True})

    async def publish(self, event: dict[str, Any]) -> None:
        self.events.append(event)
        async with self.changed:
            self.changed.notify_all()

    async def handle(self, request: Request) -> bool:
        self.calls += 1
        path, _, query = request.target.partition("?")
        fields = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)
        prefix = fields.get("prefix", "").replace("%2F", "/")
        if path.endswith("/kv-range"):
            found = [
                item
                for key, item in sorted(self.items.items())
                if key.startswith(prefix) and key > fields.get("after", "").replace("%2F", "/")
            ]
            body = {"items": found[:500], "more_pages": len(found) > 500, "current_rev": self.rev}
        elif path.endswith("/kv-watch"):
            body = await self.watch(prefix, int(fields["after"]), int(fields["wait_ms"]) / 1000)
        else:
            request.writer.write(answer(404, b"{}"))
            return True
        headers = {"Content-Type": "application/json", "Store-Era": "1"}
        request.writer.write(answer(200, json.dumps(body).encode(), headers))
        return True

    async def watch(self, prefix: str, after: int, wait_s: float) -> dict[str, Any]:
        def found() -> list[dict[str, Any]]:
            return [
                event
                for event in self.events
                if event["rev"] > after and event["key"].startswith(prefix)
            ]

        try:
            async with asyncio.timeout(wait_s), self.changed:
                await self.changed.wait_for(found)
        except TimeoutError:
            pass
        return {"events": found(), "current_rev": self.rev}


class Run(NamedTuple):
    """A request that a server began to work on."""

    id: str
    at_s: float
    server: str
    headers: dict[str, str]


class Server:
    """A plain server: runs each request for ``work_s`` seconds and answers it whole."""

    def __init__(self, name: str, service: str, zone: str, host: str, slots: int = 6) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = 0.02
        self.runs: list[Run] = []
        self.answer_bytes = 800
        self.born = int(time.time() * 1000)
        self.http = HttpServer(self.handle, host)

    def record(self, **fields: object) -> dict[str, Any]:
        return {
            "service": self.service,
            "address": self.http.address,
            "zone": self.zone,
            "version": "1",
            "slots": self.slots,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": 1,
            "born": self.born,
        } | fields

    def sealed(self, request: Request) -> dict[str, str]:
        return {"X-Request-Id": request.id, "X-Server-Seal": f"seal.{self.name}.{request.id}"}

    def is_misdirected(self, request: Request) -> bool:
        return request.headers.get("x-expect-instance", self.name) != self.name

    async def handle(self, request: Request) -> bool:
        if self.is_misdirected(request):
            headers = {"X-Request-Id": request.id, "X-Not-Executed": "1"}
            request.writer.write(answer(421, b"", headers, "Misdirected"))
            return True
        self.runs.append(Run(request.id, time.monotonic(), self.name, request.headers))
        return await self.work(request)

    async def work(self, request: Request) -> bool:
        await asyncio.sleep(self.work_s)
        request.writer.write(answer(200, b"r" * self.answer_bytes, self.sealed(request)))
        return True


class Reply(NamedTuple):
    """What a client got: status 0 where there was no answer, ``is_whole`` if it was complete."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool
    error: str = ""


class Client:
    """A client with one kept connection."""

    def __init__(self, host: str, port: int) -> None:
        self.host, self.port = host, port
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(self.host, self.port, limit=8 * MB), 2.0
        )

    async def send(
        self, method: str, target: str, request_id: str, body: bytes = b"", **headers: str
    ) -> None:
        if self.writer is None:
            await self.connect()
        assert self.writer is not None
        lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}", f"X-Request-Id: {request_id}"]
        fields = {"X_Key": KEY, "X_Deadline_Ms": "6000"} | headers
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        await self.writer.drain()

    async def reply(self) -> Reply:
        assert self.reader is not None
        status, headers = 0, {}
        try:
            first, headers = await read_head(self.reader)
            status = int(first.split(" ")[1])
            return Reply(status, headers, await read_body(self.reader, headers), True)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
            return Reply(status, headers, b"", False, repr(error))

    async def call(
        self, method: str, target: str, request_id: str, body: bytes = b"", **headers: str
    ) -> Reply:
        try:
            await self.send(method, target, request_id, body, **headers)
        except (ConnectionError, TimeoutError, OSError) as error:
            return Reply(0, {}, b"", False, repr(error))
        return await self.reply()

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()


def route(name: str, kind: str, service: str, **fields: object) -> dict[str, Any]:
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 6000,
        "goal_ms": 400,
        "priority": 1,
        "service": service,
        "attempts": 2,
        "public": False,
    } | fields


def engine_service() -> dict[str, Any]:
    engine = {
        "slots": 16,
        "models": [{"name": MODEL}],
        "layers": LAYERS,
        "chunks": 64,
        "chunk_bytes": 32768,
        "step_ms": 6.73,
        "read_per_s": 30600.0,
        "report_lag_ms": 200.0,
        "usual": {"prompt": 964, "answer": 119},
    }
    return {"name": ENGINES, "health_path": "/health", "max_conns": 434, "engine": engine}


def manifest(version: int, routes: list[dict[str, Any]], **fields: object) -> dict[str, Any]:
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": PLAIN, "health_path": "/health", "max_conns": 110},
            engine_service(),
            {
                "name": ORIGIN,
                "origin": f"127.0.0.1:{ORIGIN_PORT}",
                "zone": "bac-a",
                "link_mbps": 9.9,
                "max_conns": 48,
            },
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
    } | fields


ORIGIN_PORT = free_port()


class Process:
    """One process of the system, started with the command of the deploy file."""

    def __init__(self, directory: Path, role: str, settings: dict[str, Any]) -> None:
        self.name: str = settings["node"]
        self.role = role
        self.settings = settings
        self.settings_path = directory / f"{self.name}.json"
        self.log_path = directory / f"{self.name}.log"
        self.settings_path.write_text(json.dumps(settings))
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0

    @property
    def host(self) -> str:
        return self.settings["ip"]

    def port_of(self, what: str) -> int:
        return int(self.settings["listen"][what].rpartition(":")[2])

    async def start(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"][self.role]["run"].split()
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment |= {
            "GYPSUMPIER_NODE_FILE": str(self.settings_path),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        self.starts += 1
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL,
                stdout=log, stderr=log, preexec_fn=self.prepare,
            )  # fmt: skip

    def prepare(self) -> None:
        """Apply the limit of the settings, as the platform does; end with the case."""
        most = int(self.settings["limits"]["max_fds"])
        resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
        ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)

    def is_running(self) -> bool:
        return self.process is not None and self.process.returncode is None

    def send(self, number: signal.Signals) -> None:
        if self.process is not None and self.is_running():
            self.process.send_signal(number)

    async def kill(self) -> None:
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    def memory_mb(self) -> float:
        """Return the resident memory of the process in MB; 0 if it does not run."""
        if self.process is None or not self.is_running():
            return 0.0
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0


class Lab:
    """A small deployment: a store, servers, and the processes of the system."""

    def __init__(self, directory: Path) -> None:
        self.scratch = tempfile.TemporaryDirectory(prefix="review-")
        self.directory = Path(self.scratch.name)
        self.record = Record(directory)
        self.store = Store()
        self.servers: list[Server] = []
        self.processes: list[Process] = []
        # The processes of all runs have one port in common, so that each run has its own addresses.
        self.network = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        self.addresses = itertools.count(11)
        self.version = 0

    def new_host(self) -> str:
        return f"{self.network}.{next(self.addresses)}"

    async def add_server(self, server: Server, **fields: object) -> Server:
        await server.http.start()
        self.servers.append(server)
        await self.store.put(f"servers/{server.name}", server.record(**fields))
        return server

    async def configure(self, routes: list[dict[str, Any]], **fields: object) -> None:
        self.version += 3
        await self.store.put("op/config", manifest(self.version, routes, **fields))

    def add_entries(self, zones: list[str], store_address: str = "", **fields: object) -> None:
        """Add an entry in each of the zones, which may repeat."""
        listens = []
        hosts = [self.new_host() for _ in zones]
        for host in hosts:
            ports = [free_port(host) for _ in range(3)]
            listens.append(
                {
                    name: f"{host}:{port}"
                    for name, port in zip(("front", "ready", "control"), ports, strict=True)
                }
            )
        seeds = [listen["control"] for listen in listens][:3]
        for number, (zone, host, listen) in enumerate(zip(zones, hosts, listens, strict=True), 1):
            settings = self.settings(f"front-{zone}-{number}", zone, host, listen, seeds)
            self.processes.append(Process(self.directory, "entry", settings | fields))

    def settings(
        self, name: str, zone: str, host: str, listen: dict[str, str], seeds: list[str]
    ) -> dict[str, Any]:
        return {
            "node": name,
            "ip": host,
            "zone": zone,
            "region": ZONES[zone],
            "zones": ZONES,
            "listen": listen,
            "port_range": [20000, 20015],
            "seeds": seeds,
            "bootstrap": True,
            "limits": {
                "cpu_share": 0.537, "cores": 2, "memory_mb": 300, "max_fds": 4100,
                "link_mbps": 1000.0, "disk_mb": 0,
            },
            "data_dir": None,
            "heartbeat_ms": 1200,
            "tolerate": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": {
                "seed_lag_s": 3, "reuse_after_s": 2, "stable_ms": 3000, "ack_ms": 4000,
                "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
                "config_apply_ms": 2000, "revert_slack_ms": 250, "skew_max_ms": 5000,
                "strict_revoke": True, "revoke_ms": 5000, "retry_ratio": 0.2,
                "retry_window_s": 10, "retry_slack": 106, "recovery_s": 12, "pass_ms": 120,
                "retry_after_s": 0, "version_ms": 8000, "version_all_ms": 0,
            },
            "provider": {
                "address": self.store.http.address, "form": "read", "reads_per_s": 2000,
                "history_s": 20, "value_bytes": 1048576,
            },
        }  # fmt: skip

    async def start(self) -> None:
        """Start every process and wait until each entry is ready."""
        for process in self.processes:
            await process.start()
        for process in self.processes:
            if process.role == "entry":
                await self.wait_ready(process)

    async def wait_ready(self, process: Process, timeout_s: float = 25.0) -> None:
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s:
            if not process.is_running():
                raise CannotRun(f"{process.name} ended: {self.log_tail(process)}")
            client = Client(process.host, process.port_of("ready"))
            found = await client.call("GET", "/gypsumpier/readiness", "")
            client.close()
            if found.status == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{process.name} is not ready: {self.log_tail(process)}")

    def log_tail(self, process: Process) -> str:
        return process.log_path.read_text(errors="replace")[-1500:]

    def client(self, process: Process) -> Client:
        return Client(process.host, process.port_of("front"))

    async def stop(self) -> None:
        for process in self.processes:
            process.send(signal.SIGCONT)
            await process.kill()
        for server in self.servers:
            server.http.stop()
        self.store.http.stop()
        self.record.write()
        self.scratch.cleanup()


def run_case(directory: Path, case: Callable[[Lab], Awaitable[bool]], limit_s: float = 110) -> None:
    """Run the case, which returns whether the rule was broken, and exit."""

    async def run() -> int:
        lab = Lab(directory)
        await lab.store.http.start()
        try:
            async with asyncio.timeout(limit_s):
                is_broken = await case(lab)
            return RULE_BROKEN if is_broken else RULE_HELD
        except (CannotRun, TimeoutError, OSError) as error:
            lab.record.add(f"could not run: {error!r}")
            return NOT_RUN
        finally:
            await lab.stop()

    status = asyncio.run(run())
    print({RULE_BROKEN: "rule broken", RULE_HELD: "rule held", NOT_RUN: "could not run"}[status])
    sys.exit(status)
