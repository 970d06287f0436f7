"""A worker that fails after it has run a command answers 503; see claim.txt."""

import asyncio
import random
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from lab_2 import BROKEN, HELD, CannotRunError, Lab, Message, Record, has_trouble, run  # noqa: E402

QUIET_S = 3.0
TROUBLE_S = 6.5
FAILED_SHARE = 0.45
COMMANDS_PER_S = 24.0
WORKERS = 8
REFUSALS = (408, 421, 429, 503)


async def case(record: Record, directory: Path) -> int:
    """Send commands while one of eight workers fails a share of those that it has run."""
    rng = random.Random(6)
    lab = Lab(record, directory, workers=WORKERS)
    try:
        await lab.start()
        answers: list[tuple[str, Message | None]] = []

        async def command() -> None:
            answers.append(await lab.send(rng.choice(lab.entries)))

        async def commands(seconds: float) -> None:
            tasks = []
            for _ in range(int(seconds * COMMANDS_PER_S)):
                tasks.append(asyncio.create_task(command()))
                await asyncio.sleep(1.0 / COMMANDS_PER_S)
            await asyncio.gather(*tasks)

        await commands(QUIET_S)
        if has_trouble():
            faulty = lab.workers[0]
            faulty.failure = 503, "Service Unavailable"
            faulty.fails = lambda request: rng.random() < FAILED_SHARE
            record.add(f"{faulty.name} begins to fail {FAILED_SHARE} of what it has run")
        await commands(TROUBLE_S)
        lab.workers[0].fails = lambda request: False
        await commands(QUIET_S)
    finally:
        await lab.stop()
    ran = {request.request_id for worker in lab.workers for request, _ in worker.runs}
    served = sum(found is not None and found.status == 200 for _, found in answers)
    false = [
        (request_id, found.status)
        for request_id, found in answers
        if found is not None and found.status in REFUSALS and request_id in ran
    ]
    record.add(f"{len(answers)} commands, {served} served, {len(false)} refused though they have run")
    for request_id, status in false:
        record.add(f"refused with {status} though it has run: {request_id}")
    if served < len(answers) // 2:
        raise CannotRunError("too few commands were served")
    return BROKEN if false else HELD


if __name__ == "__main__":
    run(HERE, case)
