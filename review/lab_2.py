"""A small deployment for the scripts of the second review: the project's programs and stand-ins.

Everything is on loopback addresses, one for each machine.  The stand-ins follow the users' pages and
use the standard library alone.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
ZONES = ("bac-a", "trung-a", "nam-a")
HOST = "voka93.example"
SERVICE = "table-ops"
KEYS = ("key-of-lab-one", "key-of-lab-two")
HEAD_MAX_BYTES = 64 * 1024
REPORT = b'{"stage":"plain","models":[],"busy":false,"seq":0,"queued":0,"active":0,"born":1700000000000}'
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "stable_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
    "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
    "revert_slack_ms": 250, "skew_max_ms": 5000, "strict_revoke": True, "revoke_ms": 5000,
    "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 106, "recovery_s": 12,
    "pass_ms": 120, "retry_after_s": 0, "version_ms": 8000, "version_all_ms": 0,
}  # fmt: skip


class CannotRunError(Exception):
    """The case can't be shown here; this says nothing of the rule."""


def has_trouble() -> bool:
    """Return whether the run has its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The lines of ``record.txt``, with the seconds since the start."""

    def __init__(self, directory: Path) -> None:
        self.path = directory / "record.txt"
        self.began_s = time.monotonic()
        self.lines: list[str] = []

    def add(self, text: str) -> None:
        """Add a line."""
        self.lines.append(f"{time.monotonic() - self.began_s:9.3f} {text}")

    def write(self) -> None:
        """Write the file."""
        self.path.write_text("\n".join(self.lines) + "\n")


class Message:
    """The head and the body of an HTTP message."""

    def __init__(self, first: bytes, headers: dict[str, str], body: bytes) -> None:
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.first.split(b" ", 2)[1])

    @property
    def target(self) -> bytes:
        """The target of a request."""
        return self.first.split(b" ", 2)[1]

    @property
    def request_id(self) -> str:
        """The id of the request."""
        return self.headers.get("x-request-id", "")


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message; None if the connection ended before its first byte.

    Raises EOFError or OSError if it ends later.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise EOFError("in a head") from error
        return None
    lines = head[:-4].split(b"\r\n")
    pairs = [line.split(b":", 1) for line in lines[1:]]
    headers = {name.decode("latin1").lower(): value.strip().decode("latin1") for name, value in pairs}
    body = b""
    if headers.get("transfer-encoding", "") == "chunked":
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Message(lines[0], headers, body)


def answer(status: int, reason: str, headers: dict[str, str], body: bytes) -> bytes:
    """Return the bytes of an answer."""
    own = {**headers, "Content-Length": str(len(body))}
    lines = [f"HTTP/1.1 {status} {reason}", *(f"{name}: {value}" for name, value in own.items())]
    return "\r\n".join(lines).encode("latin1") + b"\r\n\r\n" + body


class Server:
    """A listener whose connections are closed with it.

    ``receive_bytes`` is the size of the receive buffer of its connections; 0 for the usual one.
    """

    def __init__(self, serve: Callable[..., Awaitable[None]]) -> None:
        self.serve = serve
        self.receive_bytes = 0
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[Any]] = set()

    async def listen(self, host: str, port: int = 0) -> str:
        """Listen, and return the address as IP:PORT."""
        found = socket.socket()
        found.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.receive_bytes:
            found.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_bytes)
        found.bind((host, port))
        self.server = await asyncio.start_server(self.accept, sock=found, limit=HEAD_MAX_BYTES)
        return "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            await self.serve(reader, writer)
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    def close(self) -> None:
        """Stop to listen and end the connections."""
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()


class StoreDoor:
    """The address at which one machine reaches the store; ``is_silent`` while it is cut off."""

    def __init__(self, store: "Store") -> None:
        self.store = store
        self.is_silent = False
        self.server = Server(self.serve)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the calls on one connection."""
        was_cut = False
        while (call := await read_message(reader)) is not None:
            was_cut = was_cut or self.is_silent
            content = await self.store.answer(call.target.decode())
            # A channel on which an answer is lost returns nothing further.
            was_cut = was_cut or self.is_silent
            if not was_cut:
                writer.write(content)
                await writer.drain()


class Store:
    """The platform's store, which the system can only read."""

    def __init__(self) -> None:
        self.revision = 10
        self.items: dict[str, tuple[bytes, int]] = {}
        self.events: list[dict[str, Any]] = []
        self.changed = asyncio.Event()

    def put(self, key: str, body: dict[str, Any]) -> float:
        """Write an item; return the time of the acknowledgement."""
        self.revision += 1
        self.items[key] = json.dumps(body).encode(), self.revision
        self.events.append(self.item(key))
        self.wake()
        return time.monotonic()

    def wake(self) -> None:
        """Wake the watches."""
        self.changed.set()
        self.changed = asyncio.Event()

    def item(self, key: str) -> dict[str, Any]:
        """Return an item as it is answered."""
        value, revision = self.items[key]
        text = base64.b64encode(value).decode()
        return {"key": key, "value": text, "rev": revision, "created": revision, "lease": 0}

    async def answer(self, target: str) -> bytes:
        """Return the answer to a call."""
        path, _, query = target.partition("?")
        fields = dict(part.partition("=")[::2] for part in query.split("&"))
        if path.endswith("/kv-watch"):
            body = await self.watch(int(fields["after"]), int(fields["wait_ms"]) / 1000)
        else:
            prefix = fields.get("prefix", "").replace("%2F", "/")
            items = [self.item(key) for key in sorted(self.items) if key.startswith(prefix)]
            body = {"items": items, "more_pages": False, "current_rev": self.revision}
        return answer(200, "OK", {"Content-Type": "application/json"}, json.dumps(body).encode())

    async def watch(self, after: int, wait_s: float) -> dict[str, Any]:
        """Return the events after a revision, once there is one or the wait is over."""
        until_s = time.monotonic() + wait_s
        while after >= self.revision and (left_s := until_s - time.monotonic()) > 0:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left_s)
        events = [event for event in self.events if event["rev"] > after]
        return {"events": events, "current_rev": self.revision}


class Worker:
    """A plain worker: it runs each request for ``work_s`` and answers it with its seal.

    ``runs`` holds the requests that it has run, with the time at which each began.  ``fails``
    decides for each request whether the worker fails in it, and ``failure`` is its answer then.
    """

    def __init__(self, name: str, zone: str, record: Record) -> None:
        self.name = name
        self.zone = zone
        self.record = record
        self.work_s = 0.03
        self.runs: list[tuple[Message, float]] = []
        self.fails: Callable[[Message], bool] = lambda request: False
        self.failure: tuple[int, str] = (500, "Internal Server Error")
        self.server = Server(self.serve)
        self.address = ""

    def body(self) -> dict[str, Any]:
        """Return its item in the store."""
        return {
            "service": SERVICE, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": 6, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1_700_000_000_000,
        }  # fmt: skip

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Run the requests on one connection, one after the other."""
        while (request := await read_message(reader)) is not None:
            echo = {"X-Request-Id": request.request_id}
            if request.target == b"/gypsumpier/report":
                writer.write(answer(200, "OK", {**echo, "Content-Type": "application/json"}, REPORT))
                continue
            expected = request.headers.get("x-expect-instance", self.name)
            if expected != self.name:
                writer.write(answer(421, "Misdirected Request", {**echo, "X-Not-Executed": "1"}, b""))
                continue
            self.runs.append((request, time.monotonic()))
            self.record.add(f"run {request.request_id} at {self.name} tenant "
                            f"{request.headers.get('x-tenant', '-')} target {request.target!r}")
            await asyncio.sleep(self.work_s)
            seal = {**echo, "X-Server-Seal": f"seal-of-{self.name}"}
            if self.fails(request):
                status, reason = self.failure
                writer.write(answer(status, reason, seal, b"failed"))
            else:
                text = f"answer to {request.request_id}".encode()
                writer.write(answer(200, "OK", seal, text))
            await writer.drain()


class Entry:
    """One machine with a role of the deploy file: a front machine with its entry, or a worker's
    machine with its agent.
    """

    def __init__(
        self, name: str, zone: str, host: str, directory: Path, role: str = "entry"
    ) -> None:
        self.name = name
        self.role = role
        self.zone = zone
        self.host = host
        self.path = directory / f"{name}.json"
        self.log = directory / f"{name}.log"
        self.settings: dict[str, Any] = {}
        self.process: asyncio.subprocess.Process | None = None

    @property
    def caller_address(self) -> tuple[str, int]:
        """The address for requesters."""
        host, _, port = self.settings["listen"]["front"].rpartition(":")
        return host, int(port)

    def write_settings(self) -> None:
        """Write the settings file, whole at any moment."""
        part = self.path.with_suffix(".part")
        part.write_text(json.dumps(self.settings))
        part.replace(self.path)

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"][self.role]["run"].split()
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment |= {
            "GYPSUMPIER_NODE_FILE": str(self.path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL,
                stdout=log, stderr=log,
            )  # fmt: skip

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process."""
        if self.process is not None:
            self.send(signal.SIGKILL)
            await self.process.wait()

    def resident_mb(self) -> float:
        """Return the resident memory of the process in MB; 0 if it has ended."""
        if self.process is None or self.process.returncode is not None:
            return 0.0
        try:
            fields = Path(f"/proc/{self.process.pid}/statm").read_text().split()
        except OSError:
            return 0.0
        return int(fields[1]) * os.sysconf("SC_PAGE_SIZE") / 1024 / 1024

    async def is_ready(self) -> bool:
        """Return whether the entry counts as ready."""
        host, _, port = self.settings["listen"]["ready"].rpartition(":")
        try:
            found = await call((host, int(port)), "GET", b"/gypsumpier/readiness", {"Host": "ready"}, b"", 1.0)
        except (OSError, EOFError, TimeoutError):
            return False
        return found is not None and found.status == 200


async def call(
    address: tuple[str, int],
    method: str,
    target: bytes,
    headers: dict[str, str],
    body: bytes,
    timeout_s: float,
) -> Message | None:
    """Send one request on a new connection; return its answer, None if the channel was closed.

    Raises OSError, EOFError or TimeoutError.
    """
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(*address, limit=HEAD_MAX_BYTES)
        try:
            lines = [f"{name}: {value}" for name, value in headers.items()]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            head = method.encode() + b" " + target + b" HTTP/1.1\r\n"
            writer.write(head + "\r\n".join([*lines, "", ""]).encode("latin1") + body)
            await writer.drain()
            return await read_message(reader)
        finally:
            writer.close()


class Lab:
    """The store, the workers and the entries of one small deployment."""

    def __init__(
        self,
        record: Record,
        directory: Path,
        entries: int = 3,
        workers: int = 3,
        has_agents: bool = False,
    ) -> None:
        self.record = record
        self.directory = directory
        self.network = f"127.{random.randrange(20, 240)}"
        self.store = Store()
        self.workers = [Worker(f"i-{n}a{n}", ZONES[n % 3], record) for n in range(workers)]
        self.entries = [
            Entry(f"front-{ZONES[n % 3]}-{n}", ZONES[n % 3], f"{self.network}.1.{n + 1}", directory)
            for n in range(entries)
        ]
        self.agents = [
            Entry(f"side-{worker.zone}-{n}", worker.zone, f"{self.network}.2.{n + 1}", directory, "agent")
            for n, worker in enumerate(self.workers if has_agents else [])
        ]
        self.doors: dict[str, StoreDoor] = {}
        self.stale_seeds: set[str] = set()
        self.version = 0
        self.keys = list(KEYS)
        self.route_fields: dict[str, Any] = {}
        self.numbers = 0

    def configure(self) -> float:
        """Write the next manifest; return the time of its ack."""
        self.version += 1
        route = {
            "host": HOST, "priority": 2, "service": SERVICE, "public": False, "affinity": False,
            "timeout_ms": 1000, "goal_ms": 207,
        }  # fmt: skip
        routes = [
            {**route, "name": "commands", "prefix": "/commands/", "kind": "non_idempotent",
             "attempts": 1, **self.route_fields},
            {**route, "name": "lookups", "prefix": "/lookups/", "kind": "idempotent", "attempts": 2},
        ]  # fmt: skip
        body = {
            "version": self.version,
            "routes": routes,
            "services": [{"name": SERVICE, "health_path": "/health", "max_conns": 110,
                          "protocol": "h1", "tls": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "lab", "api_keys": self.keys, "priority": 1}],
        }  # fmt: skip
        return self.store.put("op/config", body)

    async def start(self) -> None:
        """Start everything and wait until all entries are ready."""
        for number, worker in enumerate(self.workers):
            worker.address = await worker.server.listen(f"{self.network}.3.{number + 1}")
            self.store.put(f"servers/{worker.name}", worker.body())
        self.configure()
        seeds = [f"{entry.host}:{free_port(entry.host)}" for entry in self.entries]
        for number, entry in enumerate(self.entries):
            door = self.doors[entry.name] = StoreDoor(self.store)
            store = await door.server.listen(f"{self.network}.4.{number + 1}")
            listen = {"front": f"{entry.host}:{free_port(entry.host)}",
                      "ready": f"{entry.host}:{free_port(entry.host)}", "control": seeds[number]}
            known = [seeds[n] for n, found in enumerate(self.entries) if found.name not in self.stale_seeds]
            if entry.name in self.stale_seeds:
                known = [f"{self.network}.9.{n + 1}:{free_port(f'{self.network}.9.{n + 1}')}" for n in range(3)]
            entry.settings = settings(entry, listen, known[:3], store)
            entry.write_settings()
            await entry.start()
        for number, (agent, worker) in enumerate(zip(self.agents, self.workers, strict=False)):
            door = self.doors[agent.name] = StoreDoor(self.store)
            store = await door.server.listen(f"{self.network}.5.{number + 1}")
            agent.settings = settings(agent, {}, seeds[:3], store) | {
                "role": "agent", "machine_class": "side", "serves": ["side"],
                "app": worker.address, "service": SERVICE,
            }  # fmt: skip
            agent.write_settings()
            await agent.start()
        try:
            async with asyncio.timeout(30.0):
                for entry in self.entries:
                    while not await entry.is_ready():
                        if entry.process is not None and entry.process.returncode is not None:
                            raise CannotRunError(f"{entry.name} ended: {entry.log.read_text()[-500:]}")
                        await asyncio.sleep(0.05)
        except TimeoutError as error:
            raise CannotRunError("the entries are not ready") from error
        self.record.add("all entries are ready")

    async def stop(self) -> None:
        """End everything that was started."""
        for entry in [*self.entries, *self.agents]:
            await entry.end()
        for server in [door.server for door in self.doors.values()]:
            server.close()
        for worker in self.workers:
            worker.server.close()

    async def send(
        self,
        entry: Entry,
        target: bytes = b"/commands/2f",
        key: str = KEYS[0],
        body: bytes = b"{}",
        deadline_ms: int = 1000,
        method: str = "POST",
    ) -> tuple[str, Message | None]:
        """Send one request of a requester; return its id and its answer, None without one."""
        self.numbers += 1
        request_id = f"{random.getrandbits(40):010x}{self.numbers:06x}"
        headers = {"Host": HOST, "X-Request-Id": request_id, "X-Deadline-Ms": str(deadline_ms),
                   "X-Key": key}
        self.record.add(f"sent {request_id} to {entry.name} {method} {target!r} key {key}")
        try:
            found = await call(
                entry.caller_address, method, target, headers, body, deadline_ms / 1000 + 0.5
            )
        except (OSError, EOFError, TimeoutError):
            found = None
        if found is None:
            self.record.add(f"answered {request_id} with a closed channel or nothing")
        else:
            seal = found.headers.get("x-server-seal", "-")
            self.record.add(f"answered {request_id} {found.status} seal {seal} {found.body[:120]!r}")
        return request_id, found


def settings(
    entry: Entry, listen: dict[str, str], seeds: list[str], store: str
) -> dict[str, Any]:
    """Return the settings of an entry as the platform fills them in."""
    return {
        "node": entry.name, "role": "entry", "machine_class": "front", "serves": ["front", "control"],
        "ip": entry.host, "zone": entry.zone, "region": entry.zone.split("-")[0],
        "zones": {zone: zone.split("-")[0] for zone in ZONES}, "listen": listen,
        "port_range": [7700, 7715], "seeds": seeds, "bootstrap": True, "in_fault_budget": False,
        "limits": {"cpu_share": 0.537, "cores": 2, "memory_mb": 300, "max_fds": 4100,
                   "link_mbps": 1000.0, "disk_mb": 0},
        "data_dir": None, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
        "contracts": ["base", "drain", "config", "cost", "retry", "recover", "tenants", "platform"],
        "tolerate": {"machines": 1, "zones": 1, "regions": 0}, "bounds": dict(BOUNDS),
        "provider": {"address": store, "form": "read", "writes_per_s": 400, "reads_per_s": 2000,
                     "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000},
    }  # fmt: skip


def free_port(host: str) -> int:
    """Return a port that is free on the address."""
    with socket.socket() as found:
        found.bind((host, 0))
        port: int = found.getsockname()[1]
        return port


def run(directory: Path, case: Callable[[Record, Path], Awaitable[int]]) -> None:
    """Run a case and exit with its status; 2 if it could not run."""
    record = Record(directory)
    record.add(f"begins, {'with' if has_trouble() else 'without'} the disruption")
    status = COULD_NOT_RUN
    try:
        with tempfile.TemporaryDirectory() as folder:
            status = asyncio.run(asyncio.wait_for(case(record, Path(folder)), 110.0))
    except (CannotRunError, TimeoutError, OSError) as error:
        record.add(f"could not run: {error!r}")
    record.add({BROKEN: "the rule was broken", HELD: "the rule held"}.get(status, "could not run"))
    record.write()
    print(record.lines[-1])
    sys.exit(status)
