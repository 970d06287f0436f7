"""A part that crashes workers stands behind sixteen others in a long session's prompt.

PLACE=2 in the environment makes it the second part of the prompt, as a comparison.
"""

import asyncio
import os
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lab import BROKEN, HELD, KEY, MODEL, NOT_RUN, TROUBLE, Engine, Lab, Origin, run  # noqa: E402

PLACE = int(os.environ.get("PLACE", "18"))
SHARED_PARTS = max(19, PLACE + 1)
STABLE_S = 3.0
FIFTH = 5
MOST = 3
LASTS_S = 40.0
SOUND_PER_S = 8.0
FATAL_PER_S = 1.0
FATAL = "fa7a1"


def prompt(middle):
    """Return the parts of a prompt: shared ones, ``middle`` in its place, and one of its own."""
    parts = [f"{0xA000 + number:x}" for number in range(SHARED_PARTS)]
    parts[PLACE - 1] = middle
    return ",".join(f"{part}:40" for part in [*parts, f"{random.getrandbits(48):x}"])


class FragileEngine(Engine):
    """An engine that the fatal part crashes as it begins to write an answer."""

    back_after_s = 2.0

    async def run(self, request_id, head, body, headers, writer):
        if FATAL in head.get("x-prompt-prefix", ""):
            self.fatal.append(time.monotonic())
            self.lab.record.write("fatal-arrives", worker=self.name, id=request_id)
        return await super().run(request_id, head, body, headers, writer)

    def crashes_on(self, head):
        return TROUBLE and FATAL in head.get("x-prompt-prefix", "")

    def crash(self, loses_staged=False):
        if self.is_up:
            self.crashes.append(time.monotonic())
            super().crash(loses_staged)


async def main():
    lab = Lab(FOLDER, {"bac-a": "bac", "trung-a": "trung"})
    origin = Origin(lab)
    try:
        return await play(lab, origin)
    finally:
        await lab.stop()
        origin.http.stop()


async def play(lab, origin):
    await lab.start_store()
    await origin.http.start(lab.ip())
    lab.store.put("op/config", lab.engine_configuration(1, [KEY], origin))
    FragileEngine.fatal, FragileEngine.crashes = [], []
    engines = [
        await lab.add_worker(f"engine-{zone}-{number}", "gypsum-llm", zone, FragileEngine)
        for zone in lab.zones
        for number in (1, 2, 3)
    ]
    for engine in engines:
        engine.staged = {number: origin.piece(1, number) for number in range(origin.pieces)}
    await lab.start_entries()
    entries = list(lab.processes)
    await lab.start_sidecars(engines)
    await asyncio.sleep(3.0)

    outcomes = {"sound": [], "fatal": []}

    async def send(entry, kind):
        middle = FATAL if kind == "fatal" else f"{random.choice((0xB1, 0xB2, 0xB3)):x}"
        heads = {"X-Model": MODEL, "X-Token-Counts": "800,24", "X-Prompt-Prefix": prompt(middle)}
        _, answer = await lab.request(entry, "/full-report/x", limit_ms=6000, **heads)
        outcomes[kind].append(answer.status == 200 and answer.body.count(b"data: ") == 12)

    async def send_all(kind, per_s):
        tasks = []
        began_s = time.monotonic()
        for number in range(int(LASTS_S * per_s)):
            tasks.append(asyncio.create_task(send(random.choice(entries), kind)))
            await asyncio.sleep(max(0.0, began_s + number / per_s - time.monotonic()))
        await asyncio.gather(*tasks)

    await asyncio.gather(send_all("sound", SOUND_PER_S), send_all("fatal", FATAL_PER_S))
    crashes = FragileEngine.crashes
    sound = f"{sum(outcomes['sound'])} of {len(outcomes['sound'])} sound requests were served"
    if TROUBLE and not crashes:
        print("no engine crashed")
        return NOT_RUN
    later = 0
    if len(crashes) >= FIFTH:
        from_s = crashes[FIFTH - 1] + STABLE_S
        later = sum(at_s > from_s for at_s in FragileEngine.fatal)
    text = f"{len(crashes)} crashes, {later} arrivals later than 3 s after the fifth ({MOST} allowed)"
    lab.record.write("verdict", text=text, sound=sound)
    print("BUDGET:", text + ";", sound)
    return BROKEN if later > MOST else HELD


run(main, FOLDER)
