"""A spoilt list of digests from the origin, read as everything starts again, ends the service.

SPOILT=0 in the environment leaves the spoilt answer out but not the final fault, as a comparison.
"""

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lab import BROKEN, HELD, KEY, MODEL, TROUBLE, Engine, Lab, NotStarted, Origin, run  # noqa: E402

IS_SPOILT = os.environ.get("SPOILT", "1") != "0"
RECOVERY_S = 12.0
DOWN_S = 1.1
SPOILT_LISTS = 2
BEFORE_S = 6.0
AFTER_S = 30.0
RATE_PER_S = 5.0


async def main():
    lab = Lab(FOLDER, {"bac-a": "bac", "trung-a": "trung"})
    origin = Origin(lab)
    try:
        return await play(lab, origin)
    finally:
        await lab.stop()
        origin.http.stop()


async def traffic(lab, entries, lasts_s):
    """Send streams for so long; return how many were served whole, and how many were sent."""
    served = []

    async def send(entry):
        prompt = {"X-Model": MODEL, "X-Token-Counts": "40,24", "X-Prompt-Prefix": "a1:20,b2:20"}
        _, answer = await lab.request(entry, "/full-report/x", limit_ms=6000, **prompt)
        served.append(answer.status == 200 and answer.body.count(b"data: ") == 12)

    tasks = []
    began_s = time.monotonic()
    for number in range(int(lasts_s * RATE_PER_S)):
        tasks.append(asyncio.create_task(send(entries[number % len(entries)])))
        await asyncio.sleep(max(0.0, began_s + number / RATE_PER_S - time.monotonic()))
    await asyncio.gather(*tasks)
    return sum(served), len(served)


async def play(lab, origin):
    await lab.start_store()
    await origin.http.start(lab.ip())
    lab.store.put("op/config", lab.engine_configuration(1, [KEY], origin))
    engines = [
        await lab.add_worker(f"engine-{zone}-{number}", "gypsum-llm", zone, Engine)
        for zone in lab.zones
        for number in (1, 2)
    ]
    for engine in engines:
        engine.staged = {number: origin.piece(1, number) for number in range(origin.pieces)}
    await lab.start_entries()
    entries = list(lab.processes)
    await lab.start_sidecars(engines)
    await asyncio.sleep(3.0)
    good, sent = await traffic(lab, entries, BEFORE_S)
    if good * 4 < sent:
        raise NotStarted(f"only {good} of {sent} served before the final fault")

    if TROUBLE:
        origin.spoil_lists = SPOILT_LISTS if IS_SPOILT else 0
        for engine in engines:
            engine.back_after_s = DOWN_S
            engine.crash(loses_staged=True)
        await asyncio.gather(*(lab.kill(name) for name in lab.processes))
        await asyncio.sleep(DOWN_S)
        for name in lab.processes:
            await lab.start_process(name, lab.command(lab.settings[name]["role"]))
    lab.record.write("machines-back")
    await asyncio.sleep(RECOVERY_S)
    again, sent_again = await traffic(lab, entries, AFTER_S)
    text = f"served {good} of {sent} before, {again} of {sent_again} later than {RECOVERY_S:g} s"
    lab.record.write("verdict", text=text, origin_answers=origin.answers)
    print("RECOVER:", text, "after the machines are back; the origin answered", origin.answers)
    return BROKEN if again * 4 < sent_again else HELD


run(main, FOLDER)
