"""Stand-in for a plain service, which counts the runs of each key and of each body.

Every path but ``/healthz`` and ``/control/`` runs the call and, after the delay, answers what was
run.  Control: ``POST /control/delay {"delay_s"}``, ``/control/down {"on"}``, ``/control/fail
{"status"}`` (answers that status after running the call; 0 turns this off) and ``GET
/control/counts``.
"""

import asyncio
import hashlib

import click
from tornado.web import Application

from gypsumpier.test.standin.server import DownControl, StandinHandler, serve


class ServiceState:
    """The counts of runs and the faults."""

    def __init__(self, delay_s: float = 0.0) -> None:
        self.down = False
        self.delay_s = delay_s
        self.fail_status = 0
        self.keys: dict[str, int] = {}
        self.bodies: dict[str, int] = {}
        self.runs = 0

    def count(self, key: str, body: str) -> int:
        """Count a run; return how often the key has run, including this run."""
        self.runs += 1
        self.bodies[body] = self.bodies.get(body, 0) + 1
        if key:
            self.keys[key] = self.keys.get(key, 0) + 1
        return self.keys.get(key, 0)


class RunHandler(StandinHandler):
    """Runs any call."""

    async def run(self) -> None:
        """Count the call, wait, and answer what was run."""
        key = self.request.headers.get("Idempotency-Key", "")
        body = hashlib.sha256(self.request.body).hexdigest()
        runs_of_key = self.state.count(key, body)
        await asyncio.sleep(self.state.delay_s)
        self.set_status(self.state.fail_status or 200)
        self.finish(
            {
                "method": self.request.method,
                "path": self.request.uri,
                "key": key,
                "body_sha256": body,
                "runs_of_key": runs_of_key,
            }
        )

    get = post = put = delete = patch = head = run


class HealthHandler(StandinHandler):
    """``GET /healthz``."""

    def get(self) -> None:
        self.finish({})


class ControlHandler(StandinHandler):
    """Sets faults and reads the counts."""

    def post(self, action: str) -> None:
        body = self.json_body()
        if action == "delay":
            self.state.delay_s = float(body["delay_s"])
        elif action == "fail":
            self.state.fail_status = int(body["status"])
        self.finish({})

    def get(self, action: str) -> None:
        state = self.state
        self.finish({"runs": state.runs, "keys": state.keys, "bodies": state.bodies})


def make_application(state: ServiceState) -> Application:
    """Return the stand-in as an application."""
    arguments = {"state": state}
    return Application(
        [
            ("/healthz", HealthHandler, arguments),
            ("/control/down", DownControl, arguments),
            ("/control/(.*)", ControlHandler, arguments),
            ("/.*", RunHandler, arguments),
        ]
    )


@click.command()
@click.option("--port", default=0)
@click.option("--delay-s", default=0.0)
def main(port: int, delay_s: float) -> None:
    """Serve the stand-in as a process."""
    asyncio.run(serve(make_application(ServiceState(delay_s)), port))


if __name__ == "__main__":
    main()
