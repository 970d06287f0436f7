"""Callers of the soak test: requests of all kinds over persistent connections to every entry."""

import asyncio
import random
import time
from dataclasses import dataclass
from typing import Final

from gypsumpier.test.builders_platform import KEY, MODEL
from gypsumpier.test.standin.platform import WORK_PREFIX
from misc.soaking.connection import Answer, CallerConnection
from misc.soaking.deployment import EVENTS, LONGEST_WORK_S, SoakDeployment

COMMAND: Final = "command"
LOOKUP: Final = "lookup"
REPORT: Final = "report"
PROBE: Final = "probe"
UPLOAD: Final = "upload"
PATHS: Final = {COMMAND: "/commands/x", LOOKUP: "/lookups/x", REPORT: "/reports/x"}
TIME_LIMITS_S: Final = {COMMAND: 1.0, LOOKUP: 1.0, REPORT: 6.0, PROBE: 1.0, UPLOAD: 12.0}
CALLERS_PER_ENTRY: Final = 8
UPLOADERS_PER_ENTRY: Final = 6
UPLOAD_PAUSE_S: Final = 0.2
BODY_DELAY_S: Final = (0.2, 7.0)
"""Seconds between the head and the body of an upload; up to the end of a grace."""
UPLOAD_WORK_S: Final = (0.05, LONGEST_WORK_S)
REVOKED_KEY_SHARE: Final = 0.1
PROBE_INTERVAL_S: Final = 0.25
RESPONSE_MARGIN_S: Final = 0.5
"""Seconds past its time limit for which a caller still waits for an answer."""


@dataclass
class Sent:
    """One request and its answer; times are monotonic seconds.

    ``run`` is how often the entry that handled it had been started.  ``probed_version`` is the
    configuration whose route a probe requests.  ``wrong`` is what is wrong with the answer.
    ``whole_at_s`` is when its last byte was sent; infinite if it never was.
    """

    request_id: str
    kind: str
    entry: str
    run: int
    key: str
    sent_at_s: float
    ended_at_s: float = 0.0
    status: int = 0
    wrong: str = ""
    probed_version: int = 0
    whole_at_s: float = float("inf")


class SoakLoad:
    """Sends requests until ``stopped``, as tasks that start with the object."""

    def __init__(self, deployment: SoakDeployment, rng: random.Random, rate_per_s: float) -> None:
        self.deployment = deployment
        self.rng = rng
        callers = CALLERS_PER_ENTRY * len(deployment.entries)
        self.pause_s = callers / rate_per_s
        self.sent: list[Sent] = []
        self.number = 0
        self.stopped = False
        self.tasks = [
            asyncio.create_task(self.run_caller(entry.name))
            for entry in deployment.entries
            for _ in range(CALLERS_PER_ENTRY)
        ]
        self.uploaders = [
            asyncio.create_task(self.run_uploader(entry.name, random.Random(rng.random())))
            for entry in deployment.entries
            for _ in range(UPLOADERS_PER_ENTRY)
        ]
        self.tasks += [
            asyncio.create_task(self.run_prober(entry.name)) for entry in deployment.entries
        ]

    async def stop(self) -> None:
        """Stop the callers; all but uploads in flight end first."""
        self.stopped = True
        await asyncio.gather(*self.tasks)
        for task in self.uploaders:
            task.cancel()
        await asyncio.wait(self.uploaders)

    def connection(self, entry: str) -> CallerConnection:
        """Return a new caller's connection to an entry."""
        place: str = self.deployment.nodes[entry].body["listen"]["front"]
        return CallerConnection(int(place.rpartition(":")[2]))

    async def run_caller(self, entry: str) -> None:
        """Send requests to one entry, one at a time, until stopped."""
        connection = self.connection(entry)
        while not self.stopped:
            await asyncio.sleep(self.rng.expovariate(1.0 / self.pause_s))
            kind = self.rng.choices([COMMAND, LOOKUP, REPORT], [0.4, 0.2, 0.4])[0]
            await self.send(connection, entry, kind, PATHS[kind], self.key())
        connection.close()

    async def run_uploader(self, entry: str, rng: random.Random) -> None:
        """Send long commands whose bodies follow their heads late, until cancelled."""
        connection = self.connection(entry)
        try:
            while True:
                await asyncio.sleep(rng.expovariate(1.0 / UPLOAD_PAUSE_S))
                path = f"{WORK_PREFIX}{rng.uniform(*UPLOAD_WORK_S):.2f}"
                delay_s = rng.uniform(*BODY_DELAY_S)
                await self.send(connection, entry, UPLOAD, path, KEY, body_delay_s=delay_s)
        finally:
            connection.close()

    async def run_prober(self, entry: str) -> None:
        """Probe the routes of recent configurations at one entry, until stopped."""
        connection = self.connection(entry)
        while not self.stopped:
            await asyncio.sleep(PROBE_INTERVAL_S)
            newest = self.deployment.version
            version = self.rng.choice([newest, self.rng.randint(max(1, newest - 3), newest)])
            await self.send(connection, entry, PROBE, f"/v{version}/x", KEY, version)
        connection.close()

    def key(self) -> str:
        """Return a key for a request; some requests use the one revoked last."""
        revoked = self.deployment.revoked_at_s
        if revoked and self.rng.random() < REVOKED_KEY_SHARE:
            return list(revoked)[-1]
        in_force = [key for key in self.deployment.keys if key not in revoked]
        # The newest key in force is the next to be revoked.
        return self.rng.choice([KEY, in_force[-1]])

    async def send(
        self,
        connection: CallerConnection,
        entry: str,
        kind: str,
        path: str,
        key: str,
        probed_version: int = 0,
        body_delay_s: float = 0.0,
    ) -> None:
        """Send one request, check its answer and record both."""
        self.number += 1
        node = self.deployment.nodes[entry]
        sent = Sent(f"{kind}-{self.number}", kind, entry, node.run, key, time.monotonic())
        sent.probed_version = probed_version
        limit_s = TIME_LIMITS_S[kind]
        headers = {
            "Host": "lab.example",
            "X-Request-Id": sent.request_id,
            "X-Key": key,
            "X-Deadline-Ms": str(int(limit_s * 1000)),
        }
        if kind == REPORT:
            headers |= {"X-Model": MODEL, "X-Token-Counts": "20,24"}
        timeout_s = limit_s + RESPONSE_MARGIN_S
        answer = await connection.call(path, headers, b"{}", timeout_s, body_delay_s)
        sent.ended_at_s, sent.status = time.monotonic(), answer.status
        sent.whole_at_s = answer.whole_at_s
        sent.wrong = answer_error(sent, answer)
        self.sent.append(sent)


def answer_error(sent: Sent, answer: Answer) -> str:
    """Return what is wrong with an answer, or an empty string."""
    if sent.kind == REPORT:
        ids = [
            line.removeprefix("id: ")
            for line in answer.body.decode(errors="replace").split("\n")[:-1]
            if line.startswith("id: ")
        ]
        expected_ids = [str(number) for number in range(1, EVENTS + 1)]
        is_stream = answer.headers.get("Content-Type", "").startswith("text/event-stream")
        if is_stream and ids != expected_ids[: len(ids)]:
            return f"unexpected order of events {ids}"
    if answer.status != 200:
        return ""
    if answer.headers.get("X-Request-Id") != sent.request_id:
        return "the answer's X-Request-Id is that of another request"
    if not answer.headers.get("X-Server-Seal"):
        return "the answer has no X-Server-Seal"
    if sent.kind == REPORT:
        return "" if ids == expected_ids else f"the stream ended early, after {len(ids)} events"
    is_matching = answer.body.startswith(f"answer to {sent.request_id} by ".encode())
    return "" if is_matching else "the body is the answer to another request"
