"""Demonstrates an entry on the Rung Lab platform: ``make demo PLATFORM=rung-lab``.

A store, three engines, two plain upstreams and one entry run in one event loop, over loopback.
A share of their answers is planned to be cut, refused or wrong; every answer is checked.  The last
line is one JSON object; the exit status is 1 if an answer was wrong or a command ran twice.
"""

import asyncio
import json
import random
import sys
from collections import Counter
from typing import Final

from tornado.simple_httpclient import HTTPStreamClosedError

from gypsumpier.test.builders_platform import ENGINES, PLAIN
from gypsumpier.test.gatewayfleet import GatewayFleet

REQUESTS: Final = 300
CONCURRENCY: Final = 20
FAULTY_SHARE: Final = 0.15
ENGINE_FAULTS: Final = ("cut", "full", "wrong")
PLAIN_FAULTS: Final = ("full", "crossed", "extra")
SEED: Final = 1


async def main() -> int:
    """Run the demonstration; return the exit status."""
    rng = random.Random(SEED)
    fleet = GatewayFleet()
    fleet.configure()
    for number in range(1, 4):
        fleet.add(f"engine-{number}", ENGINES)
    for number in range(1, 3):
        fleet.add(f"plain-{number}", PLAIN)
    await fleet.start()
    await fleet.settle()
    for name, upstream in fleet.upstreams.items():
        faults = ENGINE_FAULTS if name.startswith("engine") else PLAIN_FAULTS
        upstream.plan = [
            rng.choice(faults) if rng.random() < FAULTY_SHARE else "ok" for _ in range(REQUESTS)
        ]
    print(f"entry on 127.0.0.1:{fleet.port}, {len(fleet.upstreams)} upstreams")
    ended_by_outcome: Counter[str] = Counter()
    remaining = iter(range(REQUESTS))

    async def send_remaining() -> None:
        for number in remaining:
            ended_by_outcome[await outcome(fleet, number)] += 1

    await asyncio.gather(*(send_remaining() for _ in range(CONCURRENCY)))
    run_counts = Counter(name for upstream in fleet.upstreams.values() for name in upstream.run_ids)
    run_twice = sum(count > 1 for name, count in run_counts.items() if name.startswith("command"))
    await fleet.stop()
    print(json.dumps({"requests": REQUESTS, "commands_run_twice": run_twice, **ended_by_outcome}))
    return 1 if ended_by_outcome["wrong"] or run_twice else 0


async def outcome(fleet: GatewayFleet, number: int) -> str:
    """Send one request; return its outcome: answered, wrong, cut or its error status."""
    kind = "command" if number % 3 == 0 else "report"
    request_id = f"{kind}-{number}"
    path = "/commands/x" if kind == "command" else "/reports/x"
    try:
        answer = await fleet.call(path, request_id=request_id)
    except HTTPStreamClosedError:
        return "cut"
    if answer.code != 200:
        return f"status_{answer.code}"
    text = answer.body.decode()
    if kind == "command":
        return "answered" if text.startswith(f"answer to {request_id} ") else "wrong"
    ids = [line.removeprefix("id: ") for line in text.splitlines() if line.startswith("id: ")]
    return "answered" if ids == ["1", "2", "3", "4", "5"] else "wrong"


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
