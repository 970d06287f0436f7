"""After a drill of the store, a key that a manifest took away stays in use."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lab import BROKEN, HELD, KEY, TROUBLE, Lab, NotStarted, route, run  # noqa: E402

TAKEN = "key-taken-away"
AWAY_S = 1.0
REVOKE_S = 5.0
ROUNDS = 3


async def main():
    lab = Lab(FOLDER, {"bac-a": "bac", "trung-a": "trung"})
    try:
        return await play(lab)
    finally:
        await lab.stop()


async def play(lab):
    store = lab.store
    await lab.start_store()
    routes = [route()]
    store.put("op/config", lab.configuration(1, [KEY, TAKEN], routes))
    for name, zone in (("w1", "bac-a"), ("w2", "trung-a"), ("w3", "bac-a"), ("w4", "trung-a")):
        await lab.add_worker(name, "table-ops", zone)
    await lab.start_entries()
    await asyncio.sleep(3.0)
    for entry in lab.processes:
        for key in (KEY, TAKEN):
            _, answer = await lab.request(entry, "/table-command/x", key)
            if answer.status != 200:
                raise NotStarted(f"{entry} answers {answer.status} before the drill")

    # Planned work in the seconds before the drill: two workers are replaced, a route is added.
    copy, copied_at_s = store.copied(), time.monotonic()
    await lab.add_worker("r1", "table-ops", "bac-a")
    await lab.add_worker("r2", "table-ops", "trung-a")
    for name in ("w1", "w2"):
        lab.workers[name].state = "draining"
        lab.workers[name].register()
    await asyncio.sleep(2.2)
    for name in ("w1", "w2"):
        store.remove(f"servers/{name}")
    routes = routes + [route("run-lookup", kind="idempotent", attempts=2)]
    manifest = lab.configuration(2, [KEY, TAKEN], routes)
    store.put("op/config", manifest)
    await asyncio.sleep(0.5)
    for name in ("w1", "w2"):
        lab.workers[name].http.stop()

    if TROUBLE:
        lab.record.write("drill", copy_is_s_old=f"{time.monotonic() - copied_at_s:.1f}")
        store.leave()
        await asyncio.sleep(AWAY_S)
        store.come_back(copy)
        # What the on-call engineer and the workers wrote since the copy is written again.
        store.put("op/config", manifest)
        for name in ("r1", "r2"):
            lab.workers[name].register()
    await asyncio.sleep(1.5)

    # The on-call engineer takes the key away.
    store.put("op/config", lab.configuration(3, [KEY], routes))
    acked_at_s = time.monotonic()
    lab.record.write("ack", manifest=3, takes_away=TAKEN)
    await asyncio.sleep(0.6)
    if TROUBLE:
        # The entries of the workers that have left are in the copy, and lapse.
        for name in ("w1", "w2"):
            store.remove(f"servers/{name}")
    # Two workers are added, one after the other.
    await asyncio.sleep(1.0)
    await lab.add_worker("s1", "table-ops", "bac-a")
    await asyncio.sleep(1.0)
    await lab.add_worker("s2", "table-ops", "trung-a")

    await asyncio.sleep(max(0.0, acked_at_s + REVOKE_S + 0.5 - time.monotonic()))
    ran = {request_id for worker in lab.workers.values() for request_id, _ in worker.runs}
    broken = []
    served = 0
    for number in range(ROUNDS):
        for entry in lab.processes:
            sent_s = time.monotonic() - acked_at_s
            request_id, _ = await lab.request(entry, "/table-command/x", TAKEN)
            _, good = await lab.request(entry, "/table-command/x", KEY)
            served += good.status == 200
            await asyncio.sleep(0.05)
            runs = [w.name for w in lab.workers.values() for i, _ in w.runs if i == request_id]
            if runs and request_id not in ran:
                broken.append((entry, round(sent_s, 2), runs[0]))
        await asyncio.sleep(3.0)
    for entry, sent_s, worker in broken:
        text = f"{entry}: sent {sent_s} s after the ack with the key taken away, run by {worker}"
        print(text)
        lab.record.write("broken", what=text)
    print(f"CONFIG: {len(broken)} of {ROUNDS * len(lab.processes)} requests ran with the key,")
    print(f"{served} of as many with the key in force were served; {store.calls} store calls")
    lab.record.write("verdict", broken=len(broken), served=served, store_calls=store.calls)
    return BROKEN if broken else HELD


run(main, FOLDER)
