"""A small deployment for the review's scripts: entries as processes, and stand-ins around them.

The store, the workers and the requesters run in this process, on loopback addresses and the real
clock; each machine has a loopback address of its own.  Only the standard library is used.  The
entries are started with the command and the variables of the deploy file.
"""

import asyncio
import base64
import hashlib
import json
import os
import random
import shutil
import signal
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "lab.example"
KEY = "key-in-force"
READS_PER_S = 2000
MODEL = "daka510000"
LAYERS = 16


class Record:
    """What was sent, answered and run, as lines of ``record.txt``."""

    def __init__(self, folder):
        self.began_s = time.monotonic()
        self.file = (Path(folder) / "record.txt").open("w")

    def write(self, event, /, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{time.monotonic() - self.began_s:8.3f} {event} {text}\n")
        self.file.flush()


class Http:
    """One HTTP/1.1 server; ``handle(head, body, writer)`` returns the bytes of the answer or None."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.address = ""
        self.writers = set()

    async def start(self, ip, port=0):
        self.server = await asyncio.start_server(self.serve, ip, port)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()
        return self.address

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head, body = await read_message(reader)
                if head is None:
                    return
                answer = await self.handle(head, body, writer)
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    def cut(self):
        for writer in list(self.writers):
            writer.transport.abort()

    def stop(self):
        self.cut()
        if self.server is not None:
            self.server.close()


async def read_message(reader):
    """Return the head, with the first line under "" and names in lower case, and the body."""
    line = await reader.readline()
    if not line:
        return None, b""
    head = {"": line.decode("latin1").strip()}
    while (line := await reader.readline()).strip():
        name, _, value = line.decode("latin1").partition(":")
        head[name.strip().lower()] = value.strip()
    if "chunked" in head.get("transfer-encoding", ""):
        body = b""
        while size := int((await reader.readline()).strip() or b"0", 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
        return head, body
    return head, await reader.readexactly(int(head.get("content-length", "0")))


def answer_of(status, reason, headers, body):
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin1") + body


class Store:
    """The platform's store: items by key, one revision counter, watches, and drills.

    ``copy`` is what a drill brings back: the items, the history and the revision of that moment.
    """

    def __init__(self, record):
        self.record = record
        self.items, self.events, self.revision = {}, [], 100
        self.era, self.is_away, self.calls = 1, False, 0
        self.reads = []
        self.changed = asyncio.Event()
        self.http = Http(self.handle)

    def put(self, key, value):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {
            "key": key,
            "value": base64.b64encode(json.dumps(value).encode()).decode(),
            "rev": self.revision,
            "created": created,
            "lease": 0,
        }
        self.items[key] = item
        self.events.append(item)
        self.wake()
        self.record.write("store-put", key=key, rev=self.revision, era=self.era)
        return self.revision

    def remove(self, key):
        self.revision += 1
        self.items.pop(key, None)
        self.events.append({"key": key, "rev": self.revision, "removed": True})
        self.wake()
        self.record.write("store-remove", key=key, rev=self.revision, era=self.era)

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def copied(self):
        return dict(self.items), list(self.events), self.revision

    def leave(self):
        """Be away: every call is cut, and so are the waiting watches."""
        self.is_away = True
        self.http.cut()
        self.record.write("store-away", rev=self.revision, era=self.era)

    def come_back(self, copy):
        """Come back from a copy; without one, as it was."""
        if copy is not None:
            (self.items, self.events, self.revision), self.era = copy, self.era + 1
        self.is_away = False
        self.record.write("store-back", rev=self.revision, era=self.era)

    async def handle(self, head, body, writer):
        if self.is_away:
            writer.transport.abort()
            return None
        self.calls += 1
        now_s = time.monotonic()
        self.reads = [at_s for at_s in self.reads if at_s > now_s - 1.0] + [now_s]
        if len(self.reads) > READS_PER_S:
            return self.answer(429, {})
        await asyncio.sleep(0.004)
        path, _, query = head[""].split(" ")[1].partition("?")
        fields = dict(part.partition("=")[::2] for part in query.split("&"))
        fields = {name: unquote(value) for name, value in fields.items()}
        if path == "/gypsumpier/kv-range":
            return self.range(fields)
        if path == "/gypsumpier/kv-watch":
            return await self.watch(fields)
        return self.answer(404, {})

    def answer(self, status, body):
        headers = {"Content-Type": "application/json", "Store-Era": str(self.era)}
        return answer_of(status, "Answer", headers, json.dumps(body).encode())

    def range(self, fields):
        prefix, after = fields.get("prefix", ""), fields.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        items = [self.items[key] for key in keys[:500]]
        body = {"items": items, "more_pages": len(keys) > 500, "current_rev": self.revision}
        return self.answer(200, body)

    async def watch(self, fields):
        after, wait_s = int(fields["after"]), int(fields["wait_ms"]) / 1000
        if after > self.revision:
            return self.answer(410, {})
        until_s = time.monotonic() + wait_s
        prefix = fields.get("prefix", "")
        while True:
            events = [e for e in self.events if e["rev"] > after and e["key"].startswith(prefix)]
            left_s = until_s - time.monotonic()
            if events or left_s <= 0:
                return self.answer(200, {"events": events, "current_rev": self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except TimeoutError:
                pass


def unquote(text):
    from urllib.parse import unquote as plain

    return plain(text)


class Worker:
    """A sound worker of a plain service; ``runs`` holds what it ran."""

    def __init__(self, lab, name, service, zone):
        self.lab, self.name, self.service, self.zone = lab, name, service, zone
        self.state, self.born = "ready", int(time.time() * 1000)
        self.work_s = 0.02
        self.runs = []
        self.http = Http(self.handle)

    async def start(self):
        await self.http.start(self.lab.ip())
        return self

    def entry(self):
        return {
            "service": self.service,
            "address": self.http.address,
            "zone": self.zone,
            "version": "1",
            "slots": 6,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": 1,
            "born": self.born,
        }

    def register(self):
        return self.lab.store.put(f"servers/{self.name}", self.entry())

    async def handle(self, head, body, writer):
        request_id = head.get("x-request-id", "")
        headers = {"X-Request-Id": request_id, "X-Instance-Id": self.name}
        if head.get("x-expect-instance", self.name) != self.name:
            return answer_of(421, "Misdirected", headers | {"X-Not-Executed": "1"}, b"")
        if not request_id:
            return answer_of(400, "Bad", headers | {"X-Not-Executed": "1"}, b"")
        return await self.run(request_id, head, body, headers, writer)

    async def run(self, request_id, head, body, headers, writer):
        self.ran(request_id)
        await asyncio.sleep(self.work_s)
        seal = {"X-Server-Seal": f"seal-{self.name}-{request_id}", "Keep-Alive": "timeout=5"}
        return answer_of(200, "OK", headers | seal, f"{request_id} by {self.name}".encode())

    def ran(self, request_id):
        self.runs.append((request_id, time.monotonic()))
        self.lab.record.write("run", worker=self.name, id=request_id)


class Engine(Worker):
    """A sound model worker: pieces are staged, an order loads them, requests are streams.

    ``origin`` tells which pieces belong to a version.  A crash cuts all channels; the engine is
    back under its id after ``back_after_s`` and holds no layers then.
    """

    def __init__(self, lab, name, service, zone):
        super().__init__(lab, name, service, zone)
        self.version, self.is_busy, self.seq, self.staged = 1, False, 0, {}
        self.active, self.events, self.event_s = 0, 12, 0.02
        self.is_up = True
        self.back_after_s = 2.0
        self.ip = ""

    async def start(self):
        self.ip = self.lab.ip()
        await self.http.start(self.ip)
        return self

    def body(self):
        body = {"stage": "colocated", "models": [], "seq": self.seq, "born": self.born}
        if self.version:
            body["models"] = [{"name": MODEL, "version": self.version, "adapters": []}]
            body["layers"] = {"from": 0, "to": LAYERS, "version": self.version}
        return body

    def entry(self):
        return super().entry() | {"slots": 16} | self.body()

    async def handle(self, head, body, writer):
        method, target, _ = head[""].split(" ")
        path, _, query = target.partition("?")
        fields = dict(part.partition("=")[::2] for part in query.split("&"))
        if path == "/gypsumpier/report":
            counts = {"busy": self.is_busy, "queued": 0, "active": self.active, "kv_used": 0,
                      "kv_total": 1640000, "handles": 0, "pace": 1.0}  # fmt: skip
            return answer_of(200, "OK", {}, json.dumps(self.body() | counts).encode())
        if path.startswith("/gypsumpier/stage-put/"):
            self.staged[int(fields["num"])] = body
            return answer_of(200, "OK", {}, b"{}")
        if path.startswith("/gypsumpier/stage-get/"):
            content = self.staged.get(int(fields["num"]))
            return answer_of(404, "None", {}, b"") if content is None else answer_of(
                200, "OK", {}, content
            )
        if path == "/gypsumpier/order":
            return self.order(json.loads(body))
        return await super().handle(head, body, writer)

    def order(self, order):
        self.lab.record.write("order", worker=self.name, order=json.dumps(order))
        if order["op"] != "start" or self.is_busy:
            return answer_of(409, "Conflict", {}, b"{}")
        self.seq, self.is_busy = self.seq + 1, True
        asyncio.get_running_loop().call_later(0.3, self.loaded, order["version"], self.born)
        return answer_of(202, "Accepted", {}, b"{}")

    def loaded(self, version, born):
        if born == self.born and self.is_up:
            self.is_busy, self.version = False, version
            self.lab.record.write("loaded", worker=self.name, version=version)
            self.register()

    async def run(self, request_id, head, body, headers, writer):
        expected = head.get("x-expect-version")
        if not self.version or self.is_busy:
            return answer_of(503, "Full", headers | {"X-Not-Executed": "1"}, b"")
        if expected and int(expected) != self.version:
            return answer_of(421, "Misdirected", headers | {"X-Not-Executed": "1"}, b"")
        self.ran(request_id)
        self.active += 1
        try:
            await asyncio.sleep(0.05)
            if self.crashes_on(head):
                self.crash()
                return None
            headers = headers | {
                "X-Server-Seal": f"seal-{request_id}", "Content-Type": "text/event-stream",
                "X-Weight-Versions": str(self.version), "Transfer-Encoding": "chunked",
            }  # fmt: skip
            lines = ["HTTP/1.1 200 OK"] + [f"{n}: {v}" for n, v in headers.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin1"))
            for number in range(int(head.get("last-event-id", "0")) + 1, self.events + 1):
                event = f"id: {number}\ndata: event {number}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(self.event_s)
            return b"0\r\n\r\n"
        finally:
            self.active -= 1

    def crashes_on(self, head):
        """Return whether the request crashes the engine as it begins to write an answer."""
        return False

    def crash(self, loses_staged=False):
        """Stop at once; be back after some seconds as a new run that holds nothing."""
        self.is_up, self.version, self.is_busy = False, 0, False
        if loses_staged:
            self.staged.clear()
        self.lab.record.write("crash", worker=self.name)
        self.http.server.close()
        self.http.cut()
        self.back = asyncio.create_task(self.come_back())

    async def come_back(self):
        await asyncio.sleep(self.back_after_s)
        self.born, self.seq, self.is_up = int(time.time() * 1000), 0, True
        host, _, port = self.http.address.rpartition(":")
        await self.http.start(host, int(port))
        self.lab.record.write("back", worker=self.name)
        self.register()


class Origin:
    """The origin of weights; ``spoil_lists`` lists are sent with one digit of a digest changed."""

    def __init__(self, lab, pieces=64, piece_bytes=2048):
        self.lab, self.pieces, self.piece_bytes = lab, pieces, piece_bytes
        self.spoil_lists = 0
        self.answers = 0
        self.http = Http(self.handle)

    def piece(self, version, number):
        return random.Random(f"{version}/{number}").randbytes(self.piece_bytes)

    async def handle(self, head, body, writer):
        self.answers += 1
        path, _, query = head[""].split(" ")[1].partition("?")
        fields = dict(part.partition("=")[::2] for part in query.split("&"))
        version = int(fields.get("version", "1"))
        if "/piece/" in path:
            number = int(fields["num"])
            self.lab.record.write("origin-piece", version=version, num=number)
            return answer_of(200, "OK", {}, self.piece(version, number))
        digests = [
            hashlib.sha256(self.piece(version, number)).hexdigest() for number in range(self.pieces)
        ]
        listed = {"model": MODEL, "version": version, "chunk_bytes": self.piece_bytes,
                  "layers": LAYERS, "digests": digests}  # fmt: skip
        content = json.dumps(listed)
        is_spoilt = self.spoil_lists > 0
        if is_spoilt:
            self.spoil_lists -= 1
            at = content.index(digests[7])
            content = content[:at] + ("0" if content[at] != "0" else "1") + content[at + 1 :]
        self.lab.record.write("origin-list", version=version, spoilt=is_spoilt)
        headers = {"Content-Type": "application/json"}
        return answer_of(200, "OK", headers, content.encode())


class Answer:
    def __init__(self, status, head, body, sent_at_s):
        self.status, self.head, self.body, self.sent_at_s = status, head, body, sent_at_s


class Lab:
    """The deployment; ``zones`` maps zones to regions, with ``entries_per_zone`` entries in each."""

    def __init__(self, folder, zones, entries_per_zone=2, **bounds):
        self.record = Record(folder)
        self.zones = zones
        self.entries_per_zone = entries_per_zone
        self.bounds = BOUNDS | bounds
        self.directory = Path(tempfile.mkdtemp(prefix="review-"))
        self.net = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        self.last = 1
        self.store = Store(self.record)
        self.workers = {}
        self.processes = {}
        self.settings = {}
        self.number = 0

    def ip(self):
        """Return the address of another machine."""
        self.last += 1
        return f"{self.net}.{self.last}"

    async def start_store(self):
        await self.store.http.start(self.ip())

    async def add_worker(self, name, service, zone, kind=None):
        worker = self.workers[name] = await (kind or Worker)(self, name, service, zone).start()
        worker.register()
        return worker

    def command(self, role):
        return tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"][role]["run"]

    async def start_sidecars(self, engines):
        """Start the process beside each engine; the entries are known by then."""
        for engine in engines:
            name = engine.name.replace("engine", "side")
            settings = dict(next(iter(self.settings.values())))
            settings |= {
                "node": name, "role": "agent", "machine_class": "side", "serves": ["side"],
                "ip": engine.ip, "zone": engine.zone, "region": self.zones[engine.zone],
                "listen": {}, "app": engine.http.address, "service": engine.service,
            }  # fmt: skip
            settings["limits"] = settings["limits"] | {
                "cpu_share": 0.645, "memory_mb": 168, "max_fds": 1124, "link_mbps": 3.8,
            }  # fmt: skip
            self.settings[name] = settings
            await self.start_process(name, self.command("agent"))

    async def start_entries(self, wait_s=20.0):
        command = self.command("entry")
        names = [f"front-{z}-{n}" for z in self.zones for n in range(1, self.entries_per_zone + 1)]
        ips = {name: self.ip() for name in names}
        seeds = [f"{ips[name]}:8000" for name in names[:3]]
        for name in names:
            zone = next(zone for zone in self.zones if zone in name)
            self.settings[name] = self.settings_of(name, zone, ips[name], seeds)
            await self.start_process(name, command)
        await self.wait_ready(names, wait_s)

    async def wait_ready(self, names, wait_s=20.0):
        until_s = time.monotonic() + wait_s
        while not all([await self.is_ready(name) for name in names]):
            if time.monotonic() > until_s:
                raise NotStarted("the entries are not ready")
            await asyncio.sleep(0.1)
        self.record.write("ready", entries=",".join(names))

    def settings_of(self, name, zone, ip, seeds):
        return {
            "node": name,
            "role": "entry",
            "machine_class": "front",
            "serves": ["front", "control"],
            "ip": ip,
            "zone": zone,
            "region": self.zones[zone],
            "zones": self.zones,
            "listen": {"front": f"{ip}:8005", "ready": f"{ip}:8002", "control": f"{ip}:8000"},
            "port_range": [7700, 7715],
            "seeds": seeds,
            "bootstrap": True,
            "in_fault_budget": False,
            "limits": {
                "cpu_share": 0.537, "cores": 2, "memory_mb": 300, "max_fds": 4100,
                "link_mbps": 1000.0, "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine",
                          "stream", "tenants", "platform", "chunks"],
            "tolerate": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": self.bounds,
            "provider": {
                "address": self.store.http.address, "form": "read", "writes_per_s": 400,
                "reads_per_s": READS_PER_S, "history_s": 20, "value_bytes": 1048576,
                "ttl_min_ms": 1000,
            },
        }  # fmt: skip

    async def start_process(self, name, command):
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(self.settings[name]))
        kept = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        variables = kept | {
            "GYPSUMPIER_NODE_FILE": str(path),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (self.directory / f"{name}.log").open("ab") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                *command.split(), cwd=ROOT, env=variables, stdout=log, stderr=log,
                stdin=asyncio.subprocess.DEVNULL,
            )  # fmt: skip
        self.record.write("start", process=name, pid=self.processes[name].pid)

    async def is_ready(self, name):
        """Ask as the platform does; a process that ends while it starts can't be ready."""
        if self.processes[name].returncode is not None:
            raise NotStarted(f"{name} ended with {self.processes[name].returncode}")
        ip = self.settings[name]["ip"]
        try:
            answer = await asyncio.wait_for(
                self.call(f"{ip}:8002", "GET", "/gypsumpier/readiness", {"Host": ip}), 1.0
            )
        except (OSError, TimeoutError):
            return False
        return answer.status == 200

    def signal(self, name, number):
        self.processes[name].send_signal(number)
        self.record.write("signal", process=name, number=int(number))

    async def call(self, address, method, path, headers, body=b""):
        """Return the answer over a new channel; status 0 where there is no complete one."""
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        sent_at_s = time.monotonic()
        try:
            lines = [f"{method} {path} HTTP/1.1"] + [f"{n}: {v}" for n, v in headers.items()]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin1") + body)
            head, content = await read_message(reader)
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            return Answer(0, {}, b"", sent_at_s)
        finally:
            writer.close()
        if head is None:
            return Answer(0, {}, b"", sent_at_s)
        return Answer(int(head[""].split(" ")[1]), head, content, sent_at_s)

    async def request(self, entry, path, key=KEY, limit_ms=1500, method="POST", **headers):
        """Send one request to an entry; returns its id and the answer."""
        self.number += 1
        request_id = f"{random.getrandbits(40):010x}{self.number:06x}"
        head = {"Host": HOST, "X-Request-Id": request_id, "X-Deadline-Ms": str(limit_ms)}
        head |= {"X-Key": key} | headers
        self.record.write("send", id=request_id, entry=entry, path=path, key=key)
        ip = self.settings[entry]["ip"]
        try:
            answer = await asyncio.wait_for(
                self.call(f"{ip}:8005", method, path, head, b"{}" if method == "POST" else b""),
                limit_ms / 1000 + 1.0,
            )
        except (OSError, TimeoutError) as error:
            answer = Answer(0, {}, repr(error).encode(), 0.0)
        self.record.write("answer", id=request_id, status=answer.status, body=answer.body[:160])
        return request_id, answer

    def configuration(self, version, keys, routes):
        """Return a manifest for the plain service."""
        return {
            "version": version,
            "routes": routes,
            "services": [{"name": "table-ops", "max_conns": 110}],
            "limits": {
                "max_header_bytes": 16384, "max_body_bytes": 4194304,
                "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
            },
            "tenants": [{"name": "lab", "api_keys": keys}],
        }  # fmt: skip

    async def kill(self, name):
        self.signal(name, signal.SIGKILL)
        await self.processes[name].wait()

    def engine_configuration(self, version, keys, origin):
        """Return a manifest with resumable streams to engines, and the origin of weights."""
        body = self.configuration(version, keys, [])
        engine = {
            "slots": 16, "kv_capacity": 1640000, "stride": 6,
            "models": [{"name": MODEL, "pace": 1.0, "load_s": 4.0, "warm_s": 0.3}],
            "mb": 282000.0, "layers": LAYERS, "layer_mb": 4540.0, "step_ms": 6.73,
            "per_seq_ms": 0.0219, "context_per_k": 0.0068, "read_per_s": 30600.0,
            "chunk": 2048, "report_lag_ms": 200.0, "usual": {"prompt": 964, "answer": 119},
            "chunks": origin.pieces, "chunk_bytes": origin.piece_bytes,
        }  # fmt: skip
        body["services"] = [
            {"name": "gypsum-llm", "health_path": "/health", "max_conns": 434, "engine": engine},
            {"name": "lab-portal", "origin": origin.http.address, "zone": "bac-a",
             "link_mbps": 9.9, "max_conns": 48},
        ]  # fmt: skip
        body["routes"] = [
            route("full-report", kind="streaming", service="gypsum-llm", timeout_ms=6000,
                  goal_ms=400, priority=1, attempts=2, affinity=True, resumable=True,
                  gap_goal_ms=300)
        ]  # fmt: skip
        return body

    async def stop(self):
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            await process.wait()
        self.store.http.stop()
        for worker in self.workers.values():
            worker.http.stop()
        if keep := os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.directory, keep, dirs_exist_ok=True)
        shutil.rmtree(self.directory, ignore_errors=True)


class NotStarted(Exception):
    """The deployment did not come up, so that the case can't be judged."""


BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "stable_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
    "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
    "revert_slack_ms": 250, "skew_max_ms": 5000, "strict_revoke": True, "revoke_ms": 5000,
    "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 106, "recovery_s": 12,
    "pass_ms": 120, "retry_after_s": 0, "version_ms": 8000, "version_all_ms": 0,
}  # fmt: skip


def route(name="table-command", **fields):
    """Return a route to the plain service."""
    body = {
        "name": name, "host": HOST, "prefix": f"/{name}/", "kind": "non_idempotent",
        "timeout_ms": 1500, "goal_ms": 200, "priority": 2, "service": "table-ops", "attempts": 1,
        "public": False,
    }  # fmt: skip
    return body | fields


def run(main, folder):
    """Run a case; exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""

    async def guarded():
        try:
            return await asyncio.wait_for(main(), 115.0)
        except Exception as error:
            traceback.print_exc()
            print("the case could not run:", repr(error))
            return NOT_RUN

    sys.exit(asyncio.run(guarded()))

