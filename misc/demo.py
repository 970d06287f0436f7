"""Runs one of the two deployments at real size and moves it to new weights under load.

``python -m misc.demo [--deployment rung-lab|relojera] [--weights DIRECTORY]`` publishes two
versions of the weights, starts every process, waits until version 1 is live, sends calls through
every entry, moves the documents to version 2 while calls continue, and checks every answer.  The
last line is one JSON object; the exit status is 0 if every answer was complete and correct.

``--kill KIND`` kills one process of that kind during the move to version 2.  An answer may then
also be an error with a numbered code, and a connection to the killed entry may close without an
answer.
"""

import asyncio
import json
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

import click

from misc.caller import CUT, REFUSED, Verdict, call, chat
from misc.deployment import Deployment, load_deployment, with_version
from misc.fleet import Fleet
from misc.http import get_json
from misc.interrupt import run_interruptible
from misc.kill import KINDS, kill_one
from misc.progress import agents_not_live, entries_not_ready, wait_until
from misc.samples import copy_weights, make_weights
from misc.testbed import Testbed

SEED: Final = 1
SOURCES: Final = ("store", "origin")
LIVE_TIMEOUT_S: Final = 45.0
ROUNDS_PER_ENTRY: Final = 3
CALL_PAUSE_S: Final = 0.1
AFTER_MOVE_S: Final = 2.0


def print_now(text: str) -> None:
    """Print a line and flush it, as standard output is buffered on a pipe."""
    print(text, flush=True)


class Demo:
    """One run of the demonstration."""

    def __init__(
        self,
        testbed: Testbed,
        kill: str | None = None,
        print_line: Callable[[str], None] = print_now,
    ) -> None:
        self.print_line = print_line
        self.testbed = testbed
        self.kill = kill
        self.killed = ""
        self.deployment = testbed.deployment
        self.verdicts: list[Verdict] = []
        self.moved = asyncio.Event()
        self.times_s: dict[str, float] = {}
        self.started_at_s = time.monotonic()

    async def run(self) -> dict[str, Any]:
        """Run every step and return the report."""
        self.print_progress(f"starting {self.deployment.name}")
        await self.testbed.start()
        self.print_progress(f"{len(self.testbed.fleet.children)} processes are running")
        await self.move_to("1")
        await self.call_every_entry()
        async with asyncio.TaskGroup() as callers:
            for name in self.testbed.entries:
                callers.create_task(self.call_repeatedly(name))
            await self.move_to("2")
            await asyncio.sleep(AFTER_MOVE_S)
            self.moved.set()
        await self.call_every_entry()
        return await self.report()

    async def move_to(self, version: str) -> None:
        """Publish the documents with the version and wait until every instance serves it."""
        self.print_progress(f"publishing documents with version {version}")
        started_s = time.monotonic()
        for document in self.deployment.documents.values():
            wanted = with_version(document, version) if document["kind"] == "model" else document
            await self.testbed.publish(wanted)
        if self.kill and version == "2":
            self.killed = await kill_one(self.testbed, self.kill)
            self.print_progress(f"killed {self.killed}")
        await wait_until(
            lambda: agents_not_live(self.testbed, version), LIVE_TIMEOUT_S, self.print_progress
        )
        self.times_s[f"version_{version}_live_s"] = round(time.monotonic() - started_s, 2)
        await wait_until(
            lambda: entries_not_ready(self.testbed, version), LIVE_TIMEOUT_S, self.print_progress
        )
        self.print_progress(f"version {version} is live on every engine and known to every entry")

    async def call_every_entry(self) -> None:
        """Call every service through every entry."""
        for number in range(ROUNDS_PER_ENTRY):
            urls = self.testbed.entry_urls()
            await asyncio.gather(*(self.call_once(url, number) for url in urls))
        self.print_progress(
            f"{len(self.verdicts)} answers so far, {len(self.problems())} incomplete or wrong"
        )

    async def call_repeatedly(self, name: str) -> None:
        """Call through one entry until the move ends, or through another while it is down."""
        number = 0
        while not self.moved.is_set():
            await self.call_once(self.testbed.balanced_url(name), number)
            await asyncio.sleep(CALL_PAUSE_S)
            number += 1

    async def call_once(self, url: str, number: int) -> None:
        """Call every service once through one entry."""
        label = f"{url.rpartition(':')[2]}-{len(self.verdicts)}-{number}"
        for name, document in self.deployment.documents.items():
            workspaces = document["workspaces"]
            workspace = workspaces[number % len(workspaces)]["name"]
            if document["kind"] == "model":
                verdict = await chat(url, document["model"], f"{label} {name}", workspace)
            else:
                route = document["routes"][number % len(document["routes"])]
                method = route["methods"][0]
                key = f"{label}-{name}" if method == "POST" else ""
                verdict = await call(url, name, f"{route['prefix']}/{label}", method, key)
            self.verdicts.append(verdict)

    async def report(self) -> dict[str, Any]:
        """Print a readable summary and return the report."""
        kinds = Counter(verdict.kind for verdict in self.verdicts)
        versions = Counter(verdict.version for verdict in self.verdicts if verdict.version)
        problems = Counter(f"{v.problem} {v.code}" for v in self.problems())
        sources = [name for name in SOURCES if self.testbed.fleet.children[name].running]
        counts = [await get_json(f"{self.testbed.standin_url(n)}/control/counts") for n in sources]
        for name, seconds in self.times_s.items():
            self.print_progress(f"{name} {seconds}")
        self.print_progress(f"answers by version {dict(versions)}; problems {dict(problems)}")
        return {
            "deployment": self.deployment.name,
            "processes": len(self.testbed.fleet.children),
            "entries": len(self.testbed.entries),
            "agents": len(self.testbed.agents),
            "chats": kinds["chat"],
            "calls": kinds["call"],
            "answers_by_version": dict(versions),
            "cut": len(self.cut()),
            "killed": self.killed,
            "coded_errors": sum(verdict.problem == REFUSED for verdict in self.verdicts),
            "wrong_or_partial": len(self.wrong()),
            "problems": dict(problems),
            **self.times_s,
            "weight_bytes_read": sum(count["total_bytes"] for count in counts),
            "seconds": round(time.monotonic() - self.started_at_s, 1),
        }

    def problems(self) -> list[Verdict]:
        """Return the verdicts on answers that were not complete and correct."""
        return [verdict for verdict in self.verdicts if verdict.problem]

    def cut(self) -> list[Verdict]:
        """Return the verdicts on calls whose connection closed before a complete answer."""
        return [verdict for verdict in self.verdicts if verdict.problem == CUT]

    def wrong(self) -> list[Verdict]:
        """Return the problems that are neither a closed connection nor an error with a code."""
        return [verdict for verdict in self.problems() if verdict.problem not in (CUT, REFUSED)]

    def succeeded(self) -> bool:
        """Return whether every answer was acceptable.

        After a kill, errors with a code are acceptable; closed connections are only if the killed
        process was an entry.
        """
        if not self.killed:
            return not self.problems()
        cuts_allowed = self.killed in self.testbed.entries
        return not self.wrong() and (cuts_allowed or not self.cut())

    def print_progress(self, text: str) -> None:
        """Print a line with the seconds since the start."""
        self.print_line(f"{time.monotonic() - self.started_at_s:6.1f} s  {text}")


def prepare_weights(deployment: Deployment, source: Path | None, directory: Path) -> None:
    """Write two versions of the weights of every model service below the directory."""
    for service in deployment.model_services():
        model = deployment.documents[service]["model"]
        if source is None:
            make_weights(directory, model, SEED)
        else:
            copy_weights(source, directory, model)


async def run_demo(
    deployment: Deployment, source: Path | None, directory: Path, kill: str | None = None
) -> int:
    """Run the demonstration below the directory; return the exit status."""
    weights = directory / "weights"
    prepare_weights(deployment, source, weights)
    async with Fleet(directory / "logs") as fleet:
        demo = Demo(Testbed(fleet, deployment, weights), kill)
        report = await demo.run()
        names = list(fleet.children)
    exit_statuses = {name: fleet.children[name].process.returncode for name in names}
    failed = [name for name, status in exit_statuses.items() if status and name != demo.killed]
    report["ungraceful_stops"] = failed
    print(json.dumps(report))
    return 0 if demo.succeeded() and not failed else 1


@click.command()
@click.option("--deployment", default="rung-lab", show_default=True, help="rung-lab or relojera.")
@click.option(
    "--weights",
    type=click.Path(path_type=Path, exists=True, file_okay=False),
    help="Directory of weight files; generated by default.",
)
@click.option("--kill", type=click.Choice(KINDS), help="Kind of process to kill during the move.")
def main(deployment: str, weights: Path | None, kill: str | None) -> None:
    """Run the demonstration."""
    with tempfile.TemporaryDirectory(prefix="gypsumpier-demo-") as directory:
        chosen = load_deployment(deployment)
        status = run_interruptible(run_demo(chosen, weights, Path(directory), kill))
    sys.exit(status)


if __name__ == "__main__":
    main()
