"""Tests of the soak test: each check detects its violation, and a short run has none."""

import json
import subprocess
import sys
import unittest
from pathlib import Path
from typing import Any

from tornado.httputil import HTTPHeaders

from gypsumpier.test.builders_platform import BOUNDS
from gypsumpier.test.gatewayfleet import free_port
from gypsumpier.test.standin.platform import Run
from misc.faulting.actions import Window
from misc.soaking.checks import STABLE_S, Facts, check
from misc.soaking.connection import CUT, Answer
from misc.soaking.deployment import EVENTS
from misc.soaking.load import COMMAND, PROBE, REPORT, Sent, answer_error

RUN_TIMEOUT_S = 120.0


def sent_of(kind: str = COMMAND, at_s: float = 100.0, **fields: Any) -> Sent:
    """Return a request that was answered successfully."""
    own = {"ended_at_s": at_s + 0.1, "status": 200}
    return Sent(f"{kind}-1", kind, "front-1", 1, "key", at_s, **(own | fields))


def run_of(sent: Sent, **fields: Any) -> Run:
    """Return the run of a request."""
    return Run(sent.request_id, "plain-1", sent.sent_at_s + 0.05, 0)._replace(**fields)


def found(**fields: Any) -> dict[str, int]:
    """Return the number of violations of each violated guarantee."""
    facts = Facts([], [], [], {1: 0.0}, {}, {}, {1: 0.0}, 0, 0)._replace(**fields)
    return {promise: len(items) for promise, items in check(facts).items() if items}


class CheckTest(unittest.TestCase):
    def test_what_is_well_is_not_found(self) -> None:
        sent = sent_of()
        self.assertEqual({}, found(sent=[sent], runs=[run_of(sent)]))

    def test_a_command_that_ran_twice_is_found(self) -> None:
        sent = sent_of()
        runs = [run_of(sent), run_of(sent, upstream="plain-2")]
        self.assertEqual({"ran_twice": 1}, found(sent=[sent], runs=runs))

    def test_a_stream_may_run_again(self) -> None:
        sent = sent_of(REPORT)
        runs = [run_of(sent, version=1), run_of(sent, version=1)]
        self.assertEqual({}, found(sent=[sent], runs=runs))

    def test_a_command_that_ran_and_was_refused_is_found(self) -> None:
        for status in (408, 421, 429, 503):
            sent = sent_of(status=status)
            self.assertEqual({"false_not_run": 1}, found(sent=[sent], runs=[run_of(sent)]))
        sent = sent_of(status=502)
        self.assertEqual({}, found(sent=[sent], runs=[run_of(sent)]))

    def test_a_run_by_a_revoked_key_is_found_also_under_faults(self) -> None:
        late_s = BOUNDS.key_revoked_s + 0.5
        sent = sent_of()
        faults = [Window("freeze", "front-1", False, 0.0, 200.0)]
        revoked = {"key": sent.sent_at_s - late_s}
        facts = {"sent": [sent], "runs": [run_of(sent)], "windows": faults}
        self.assertEqual({"revoked_key_ran": 1}, found(**facts, revoked_at_s=revoked))
        revoked = {"key": sent.sent_at_s - 1.0}
        self.assertEqual({}, found(**facts, revoked_at_s=revoked))

    def test_a_run_at_an_upstream_that_had_left_is_found_while_all_is_quiet(self) -> None:
        sent = sent_of()
        left = {"plain-1": sent.sent_at_s - BOUNDS.upstream_drain_s - 0.5}
        facts = {"sent": [sent], "runs": [run_of(sent)], "draining_at_s": left}
        self.assertEqual({"ran_after_drain": 1}, found(**facts))
        ended_s = left["plain-1"] - STABLE_S + 0.5
        faults = [Window("kill", "front-1", False, 0.0, ended_s)]
        self.assertEqual({}, found(**facts, windows=faults))

    def test_a_run_on_an_old_version_is_found_while_all_is_quiet(self) -> None:
        sent = sent_of(REPORT)
        named = {1: 0.0, 2: sent.sent_at_s - BOUNDS.version_in_force_s - 0.5}
        facts = {"sent": [sent], "runs": [run_of(sent, version=1)], "named_at_s": named}
        self.assertEqual({"old_version_ran": 1}, found(**facts))
        facts["runs"] = [run_of(sent, version=2)]
        self.assertEqual({}, found(**facts))

    def test_a_configuration_that_goes_back_within_one_run_of_a_process_is_found(self) -> None:
        served = sent_of(PROBE, 90.0, probed_version=2)
        refused = sent_of(PROBE, 100.0, probed_version=1, status=404)
        times = {1: 0.0, 2: 99.0}
        faults = [Window("lose_store", "store", False, 0.0, 200.0)]
        facts = {"windows": faults, "configured_at_s": times}
        self.assertEqual({"configuration_went_back": 1}, found(sent=[served, refused], **facts))
        served.run = 0
        self.assertEqual({}, found(sent=[served, refused], **facts))

    def test_a_configuration_that_is_late_is_found_while_all_is_quiet(self) -> None:
        refused = sent_of(PROBE, 100.0, probed_version=2, status=404)
        bound_s = BOUNDS.configuration_in_force_s
        times = {1: 0.0, 2: refused.sent_at_s - bound_s - 0.5}
        self.assertEqual({"configuration_late": 1}, found(sent=[refused], configured_at_s=times))
        times[2] = refused.sent_at_s - bound_s + 0.5
        self.assertEqual({}, found(sent=[refused], configured_at_s=times))

    def test_a_request_that_a_graceful_stop_cut_is_found(self) -> None:
        sent = sent_of(status=CUT)
        stop = Window("stop", "front-1", True, sent.sent_at_s - 0.5, sent.sent_at_s + 3.0)
        facts = {"sent": [sent], "runs": [run_of(sent)]}
        self.assertEqual({"cut_by_graceful_stop": 1}, found(**facts, windows=[stop]))
        crash = Window("kill", "engine", False, sent.sent_at_s - 1.0, sent.sent_at_s)
        self.assertEqual({}, found(**facts, windows=[stop, crash]))
        self.assertEqual({}, found(sent=[sent], windows=[stop]))

    def test_partial_loads_and_slow_stops_are_found(self) -> None:
        self.assertEqual({"partial_loads": 2}, found(partial_loads=2))
        self.assertEqual({"stop_too_slow": 1}, found(killed_at_stop=1))


class AnswerTest(unittest.TestCase):
    """The check of single answers."""

    def fault(self, kind: str, body: str, status: int = 200, **headers: str) -> str:
        """Return what the check finds wrong with an answer."""
        sent = sent_of(kind)
        own = {"X-Request-Id": sent.request_id, "X-Server-Seal": "seal"}
        if kind == REPORT:
            own["Content-Type"] = "text/event-stream"
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        return answer_error(sent, Answer(status, HTTPHeaders(own | names), body.encode()))

    def stream(self, ids: list[int]) -> str:
        """Return a stream of events."""
        return "".join(f"id: {number}\ndata: event {number}\n\n" for number in ids)

    def test_own_whole_answers_are_well(self) -> None:
        self.assertEqual("", self.fault(COMMAND, "answer to command-1 by plain-1"))
        self.assertEqual("", self.fault(REPORT, self.stream(list(range(1, EVENTS + 1)))))
        self.assertEqual("", self.fault(REPORT, self.stream([1, 2]), status=CUT))

    def test_foreign_answers_are_found(self) -> None:
        self.assertTrue(self.fault(COMMAND, "answer to command-2 by plain-1"))
        self.assertTrue(self.fault(COMMAND, "answer to command-1 by plain-1", X_Request_Id="r"))
        self.assertTrue(self.fault(COMMAND, "answer to command-1 by plain-1", X_Server_Seal=""))

    def test_streams_that_are_short_or_out_of_order_are_found(self) -> None:
        self.assertTrue(self.fault(REPORT, self.stream(list(range(1, EVENTS)))))
        self.assertTrue(self.fault(REPORT, self.stream([1, 3]), status=CUT))
        self.assertTrue(self.fault(REPORT, self.stream([1, 2, 2]), status=CUT))


class PortTest(unittest.TestCase):
    def test_a_port_is_none_that_an_outgoing_connection_may_take(self) -> None:
        """An outgoing connection took an entry's port while the entry restarted (soak seed 106).

        Ports must therefore lie below the range of ephemeral ports.
        """
        text = Path("/proc/sys/net/ipv4/ip_local_port_range")
        first = int(text.read_text().split()[0]) if text.exists() else 32_768
        ports = [free_port() for _ in range(200)]
        self.assertLess(max(ports), first)
        self.assertGreater(len(set(ports)), 190)


class ShortSoakTest(unittest.TestCase):
    def test_a_short_run_of_real_processes_keeps_every_promise(self) -> None:
        command = [sys.executable, "-m", "misc.soak", "--seed", "1", "--seconds", "15"]
        done = subprocess.run(
            command, capture_output=True, text=True, timeout=RUN_TIMEOUT_S, check=False
        )
        self.assertEqual(0, done.returncode, done.stdout + done.stderr)
        report = json.loads(done.stdout.splitlines()[-1])
        self.assertGreaterEqual(report["served"], 500)
        self.assertEqual(0, sum(report["broken"].values()))
