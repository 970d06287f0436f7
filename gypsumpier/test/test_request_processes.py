"""At-most-once execution over real processes, under silent links, pauses, kills and stops.

The test guards against requests that run twice, requests reported as not run that have run, and
wrong or partial answers.
"""

import asyncio
import random
import tempfile
import unittest
from pathlib import Path
from typing import Final

from misc.deployment import load_deployment
from misc.faulting.actions import Faults
from misc.faulting.checker import Report, check
from misc.faulting.faulttestbed import FaultTestbed
from misc.faulting.load import MixedLoad
from misc.faults import WEIGHTS_SEED, counts, reduced_deployment, start
from misc.fleet import Fleet
from misc.samples import make_weights

SEED: Final = 1
RATE_PER_S: Final = 25.0
LOAD_S: Final = 7.0
RESENDS: Final = 2
VIOLATIONS: Final = ("ran_twice", "false_not_run", "wrong_or_partial_answers")
PAUSE_S: Final = 1.0
HOME: Final = "table-ops/bac-a/0"
OTHER_HOME: Final = "table-ops/bac-a/1"
ENTRY: Final = "entry/bac-a/0"


async def faults_of_all_kinds(testbed: FaultTestbed, faults: Faults) -> None:
    """Inject the faults one after the other."""
    await asyncio.sleep(1.0)
    testbed.proxies[HOME].drop_traffic()
    testbed.fleet.freeze(ENTRY)
    await asyncio.sleep(PAUSE_S)
    testbed.fleet.thaw(ENTRY)
    await testbed.fleet.kill(OTHER_HOME)
    await testbed.replace_agent(OTHER_HOME)
    testbed.proxies[OTHER_HOME].cut()
    await testbed.fleet.stop(ENTRY)
    await testbed.replace_entry(ENTRY)


async def run_load(directory: Path) -> Report:
    """Run load and faults on a small deployment; return the checker's report."""
    deployment = reduced_deployment(load_deployment("rung-lab"))
    weights = directory / "weights"
    for service in deployment.model_services():
        make_weights(weights, deployment.documents[service]["model"], WEIGHTS_SEED)
    async with Fleet(directory / "logs") as fleet:
        testbed = FaultTestbed(fleet, deployment, weights, {})
        await start(testbed)
        faults = Faults(testbed, random.Random(SEED))
        load = MixedLoad(testbed, random.Random(SEED), RATE_PER_S, RESENDS)
        await asyncio.gather(load.run(LOAD_S), faults_of_all_kinds(testbed, faults))
        return check(SEED, load.sender.copies, await counts(testbed), [], 0)


class ProcessTest(unittest.TestCase):
    def test_nothing_runs_twice_and_no_outcome_is_wrong(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            report = asyncio.run(run_load(Path(directory)))
        broken = [name for name in VIOLATIONS if report[name]]  # type: ignore[literal-required]
        self.assertFalse(broken, report)
        self.assertGreater(report["done"], 0)


if __name__ == "__main__":
    unittest.main()
