"""A worker in need names its limit with all digits of the number, and is not spared.

LIMIT_TEXT=6.667 in the environment states the same limit with three digits, as a comparison.
"""

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lab import BROKEN, HELD, KEY, TROUBLE, Lab, NotStarted, Worker, answer_of, route, run  # noqa: E402

LIMIT_PER_S = 20 / 3
LIMIT_TEXT = os.environ.get("LIMIT_TEXT", repr(LIMIT_PER_S))
STABLE_S = 3.0
WINDOW_S = 4.0
PASSED_ON_S = 0.5
RATE_PER_S = 40.0
LASTS_S = 15.0


class NeedyWorker(Worker):
    """A worker that names its limit in all its answers while it is in need."""

    is_in_need = False
    named_at_s = None

    async def run(self, request_id, head, body, headers, writer):
        self.ran(request_id)
        await asyncio.sleep(self.work_s)
        headers = headers | {"X-Server-Seal": f"seal-{request_id}", "Keep-Alive": "timeout=5"}
        if self.is_in_need:
            headers["Server-Limit"] = LIMIT_TEXT
            if self.named_at_s is None:
                self.named_at_s = time.monotonic()
                self.lab.record.write("names-limit", worker=self.name, limit=LIMIT_TEXT)
        return answer_of(200, "OK", headers, request_id.encode())


async def main():
    lab = Lab(FOLDER, {"bac-a": "bac", "trung-a": "trung"})
    try:
        return await play(lab)
    finally:
        await lab.stop()


async def play(lab):
    await lab.start_store()
    routes = [route("run-lookup", kind="idempotent", attempts=2)]
    lab.store.put("op/config", lab.configuration(1, [KEY], routes))
    needy = await lab.add_worker("w1", "table-ops", "bac-a", NeedyWorker)
    await lab.add_worker("w2", "table-ops", "trung-a", NeedyWorker)
    await lab.start_entries()
    await asyncio.sleep(4.0)

    entry_of, passed_on_at_s, statuses = {}, {}, []
    entries = list(lab.processes)

    async def send(entry):
        request_id, answer = await lab.request(entry, "/run-lookup/x", method="GET")
        entry_of[request_id] = entry
        statuses.append(answer.status)
        if "server-limit" in answer.head and entry not in passed_on_at_s:
            passed_on_at_s[entry] = time.monotonic()

    tasks = []
    began_s = time.monotonic()
    for number in range(int(LASTS_S * RATE_PER_S)):
        if number == int(RATE_PER_S):
            if set(statuses[: int(RATE_PER_S) // 2]) != {200}:
                raise NotStarted("not every request is served before the need")
            needy.is_in_need = TROUBLE
        tasks.append(asyncio.create_task(send(entries[number % len(entries)])))
        await asyncio.sleep(max(0.0, began_s + number / RATE_PER_S - time.monotonic()))
    await asyncio.gather(*tasks)

    if needy.named_at_s is None:
        print("LIMIT: no limit was named")
        return HELD
    from_s = needy.named_at_s + STABLE_S
    counted = [
        at_s
        for request_id, at_s in needy.runs
        if at_s >= from_s
        and at_s >= passed_on_at_s.get(entry_of[request_id], float("inf")) + PASSED_ON_S
    ]
    most = max(
        (sum(at_s <= later_s < at_s + WINDOW_S for later_s in counted) for at_s in counted),
        default=0,
    )
    allowed = 1.5 * LIMIT_PER_S * WINDOW_S + 5
    text = f"{most} requests in some 4 s, {allowed:.0f} are allowed; it named {LIMIT_TEXT}"
    lab.record.write("verdict", text=text)
    print("LIMIT:", text)
    return BROKEN if most > allowed else HELD


run(main, FOLDER)
