"""Mixed load: keyed calls with retries, calls without an idempotency key, and chats."""

import asyncio
import json
import os
import random
import time
from typing import Final

from misc.faulting.faulttestbed import FaultTestbed
from misc.faulting.sending import CUT, NOT_RUN, REFUSED_CONNECTION, UNKNOWN, Copy, Sender
from misc.testbed import local_url

CALLER_TIMEOUT_S: Final = 15.0
SHORT_TIMEOUT_S: Final = 0.15
"""Time-out of callers that give up early on their first attempt."""
ATTEMPTS_MAX: Final = 6
ENTRY_TRIES: Final = 5


class MixedLoad:
    """Sends requests at a mean rate, each as a task; a keyed one at most ``attempts_max`` times."""

    def __init__(
        self,
        testbed: FaultTestbed,
        rng: random.Random,
        rate_per_s: float,
        attempts_max: int = ATTEMPTS_MAX,
    ) -> None:
        self.testbed = testbed
        self.rng = rng
        self.rate_per_s = rate_per_s
        self.attempts_max = attempts_max
        self.sender = Sender()
        self.number = 0
        self.tasks: set[asyncio.Task[None]] = set()
        documents = testbed.deployment.documents.values()
        self.models = [body["service"] for body in documents if body["kind"] == "model"]
        # At-most-once execution is promised only for routes that are declared not idempotent.
        self.routes = [
            (body["service"], route["prefix"])
            for body in documents
            for route in body["routes"]
            if body["kind"] == "plain" and "POST" in route["methods"] and not route["idempotent"]
        ]
        self.workspaces: list[str] = [
            workspace["name"] for workspace in next(iter(documents))["workspaces"]
        ] or ["default"]

    async def run(self, seconds: float) -> None:
        """Start requests for so many seconds, then wait for the last answer."""
        deadline_s = time.monotonic() + seconds
        while time.monotonic() < deadline_s:
            self.number += 1
            task = asyncio.create_task(self.send_one(self.number))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(self.rng.expovariate(self.rate_per_s))
        if self.tasks:
            await asyncio.gather(*self.tasks)

    async def send_one(self, number: int) -> None:
        """Run one request of a kind drawn from the seeded generator."""
        choice = self.rng.random()
        if choice < 0.3:
            await self.chat(number)
        elif choice < 0.45:
            await self.without_key(number)
        elif choice < 0.6:
            await self.crossed(number)
        else:
            await self.keyed(number)

    async def chat(self, number: int) -> None:
        """Run one chat completion."""
        prompt = f"specimen {number} " + "run " * self.rng.randint(1, 40)
        body = {
            "model": self.rng.choice(self.models),
            "messages": [{"role": "user", "content": prompt}],
            "stream": self.rng.random() < 0.6,
        }
        content = json.dumps(body).encode()
        for _ in range(ENTRY_TRIES):
            entry = self.entry()
            copy = Copy("chat", entry, "", content)
            await self.sender.chat(copy, self.url(entry), body, CALLER_TIMEOUT_S)
            if copy.told != REFUSED_CONNECTION:
                return

    async def without_key(self, number: int) -> None:
        """Send a call without an idempotency key, once."""
        await self.send("plain", number, "", self.rng.choice(self.routes), "lab", CALLER_TIMEOUT_S)

    async def crossed(self, number: int) -> None:
        """Send two copies of a keyed call concurrently, each through an entry drawn on its own."""
        key, route, workspace = self.key(number), self.rng.choice(self.routes), self.workspace()
        await asyncio.gather(
            self.send("crossed", number, key, route, workspace, CALLER_TIMEOUT_S),
            self.send("crossed", number, key, route, workspace, CALLER_TIMEOUT_S),
        )

    async def keyed(self, number: int) -> None:
        """Send a keyed call, and resend it after an unknown outcome or at random."""
        key, route, workspace = self.key(number), self.rng.choice(self.routes), self.workspace()
        uses_short_timeout = self.rng.random() < 0.3
        timeout_s = SHORT_TIMEOUT_S if uses_short_timeout else CALLER_TIMEOUT_S
        for attempt in range(self.attempts_max):
            copy = await self.send("keyed", number, key, route, workspace, timeout_s)
            must_resend = copy.told in (UNKNOWN, NOT_RUN, CUT) or self.rng.random() < 0.15
            if not must_resend:
                return
            timeout_s = CALLER_TIMEOUT_S
            await asyncio.sleep(self.rng.choice([0.0, 0.3, 1.0, 3.0]) * (1 + attempt / 2))

    async def send(
        self,
        kind: str,
        number: int,
        key: str,
        route: tuple[str, str],
        workspace: str,
        timeout_s: float,
    ) -> Copy:
        """Send one copy through an entry that accepts the connection, in up to ENTRY_TRIES."""
        service, path = route
        body = json.dumps({"call": number}).encode()
        copy = Copy(kind, "", key, body)
        for _ in range(ENTRY_TRIES):
            entry = self.entry()
            copy = Copy(kind, entry, key, body)
            await self.sender.plain(copy, self.url(entry), service, path, workspace, timeout_s)
            if copy.told != REFUSED_CONNECTION:
                return copy
        return copy

    def entry(self) -> str:
        """Return a random entry, as the platform's load balancer would."""
        return self.rng.choice(sorted(self.testbed.entries))

    def url(self, entry: str) -> str:
        """Return the entry's URL for callers."""
        return local_url(self.testbed.entries[entry].ports["http_port"])

    def workspace(self) -> str:
        """Return a random workspace."""
        return self.rng.choice(self.workspaces)

    def key(self, number: int) -> str:
        """Return a new idempotency key: half of the keys hold their creation time."""
        if self.rng.random() < 0.5:
            return f"order-{number}"
        return time_ordered_key()


def time_ordered_key() -> str:
    """Return a UUID of version 7."""
    milliseconds = int(time.time() * 1000).to_bytes(6, "big")
    tail = bytearray(os.urandom(10))
    tail[0] = 0x70 | tail[0] & 0x0F
    tail[2] = 0x80 | tail[2] & 0x3F
    digits = (milliseconds + bytes(tail)).hex()
    return "-".join([digits[:8], digits[8:12], digits[12:16], digits[16:20], digits[20:]])
