"""End-to-end test over real processes: weights, documents, a rollout under load, a killed agent.

The deployment is small: one zone, one entry, one engine with its agent, one plain service with
its own agent.  The steps are those of the demonstration, which uses deployments of real size.
"""

import tempfile
import unittest
from pathlib import Path
from typing import Any

from misc.demo import Demo
from misc.deployment import Deployment, Place
from misc.fleet import Fleet
from misc.samples import make_weights
from misc.testbed import Testbed

MODEL_DOCUMENT: dict[str, Any] = {
    "service": "small-llm",
    "kind": "model",
    "model": "small",
    "versions": [{"version": "1", "share_percent": 100}],
    "zones": [{"zone": "bac-a", "replicas": 1}],
    "workspaces": [{"name": "training", "home_zone": "bac-a"}],
}
PLAIN_DOCUMENT: dict[str, Any] = {
    "service": "table-ops",
    "kind": "plain",
    "zones": [{"zone": "bac-a", "replicas": 1}],
    "routes": [
        {"prefix": "/commands", "methods": ["POST"], "idempotent": False},
        {"prefix": "/readings", "methods": ["GET"], "idempotent": True},
    ],
    "workspaces": [{"name": "training", "home_zone": "bac-a"}],
}


def small_deployment() -> Deployment:
    """Return a deployment of one zone."""
    return Deployment(
        name="small",
        places=(Place("bac", "bac-a"),),
        store_region="bac",
        region_link_bytes_per_s=1_250_000,
        entries={"bac-a": 1},
        documents={"small-llm": MODEL_DOCUMENT, "table-ops": PLAIN_DOCUMENT},
    )


class WholePathTest(unittest.IsolatedAsyncioTestCase):
    async def run_demo(self, kill: str | None) -> tuple[Demo, dict[str, Any], list[str]]:
        """Run the steps; return the run, its report and the processes that failed at exit."""
        with tempfile.TemporaryDirectory() as directory:
            weights = Path(directory, "weights")
            make_weights(weights, "small", seed=1)
            async with Fleet(Path(directory, "logs")) as fleet:
                demo = Demo(
                    Testbed(fleet, small_deployment(), weights), kill, print_line=lambda text: None
                )
                report = await demo.run()
            ended = {name: child.process.returncode for name, child in fleet.children.items()}
        return demo, report, [name for name, status in ended.items() if status]

    async def test_a_rollout_of_new_weights_interrupts_no_answer(self) -> None:
        demo, report, failed = await self.run_demo(None)
        self.assertEqual([], demo.problems())
        self.assertEqual({"1", "2"}, set(report["answers_by_version"]))
        self.assertEqual([], failed)

    async def test_a_killed_agent_leaves_complete_answers_or_coded_errors(self) -> None:
        demo, report, failed = await self.run_demo("agent")
        self.assertEqual("small-llm/bac-a/0", report["killed"])
        self.assertEqual([], demo.wrong() + demo.cut())
        self.assertEqual({"1", "2"}, set(report["answers_by_version"]))
        self.assertEqual([], failed)
