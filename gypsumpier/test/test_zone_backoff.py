"""Tests of what one failing upstream in another zone does to requests, in virtual time.

The pattern is an own zone without enough places beside another zone that has plenty: what does not
fit into the own zone goes to the other one, of which one upstream fails.
"""

import asyncio
import random
import time
import unittest
from typing import Final
from unittest import mock

from gypsumpier.gateway.attempt import Attempt
from gypsumpier.gateway.failures import FailureRecorder
from gypsumpier.gateway.refusal import Refusal
from gypsumpier.test.builders_gateway import engines_in, request_of
from gypsumpier.test.builders_platform import apply_records, engine_record
from gypsumpier.test.simulated_entries import SimulatedEntries, simulate
from gypsumpier.upstream.errors import NotRunError, OutcomeUnknownError

OWN_ZONE: Final = "bac-a"
OTHER_ZONE: Final = "nam-a"
FAILING: Final = "i-10"
OTHER_ZONE_ENGINES: Final = 3
REFUSED_S: Final = 0.001
"""Seconds until a host refuses a connection to a port on which nothing listens."""
TIMED_OUT_S: Final = 0.4
"""Seconds until a connection attempt without any answer is given up."""
SILENT_S: Final = 1.0
"""Seconds until a request without any answer is given up."""
PROMPT_S: Final = 0.1
"""Seconds for the first event of a request that no failure delays."""
ARRIVALS_PER_S: Final = (8.0, 16.0)
SENDING_S: Final = 8.0
ENDED_TIMEOUT_S: Final = 8.0
SEEDS: Final = (1, 2, 3, 4, 5)


class SimulatedZones:
    """An entry and engines of two zones, one of which fails each request after ``fails_after_s``.

    ``late`` holds the seconds to the first event of the requests that came late; those that were
    sent to the failing engine are allowed the time until it has failed.
    """

    def __init__(self, is_silent: bool, fails_after_s: float) -> None:
        self.is_silent = is_silent
        self.fails_after_s = fails_after_s
        fleet_state = engines_in((OWN_ZONE,), 1, slots=4)
        for number in range(OTHER_ZONE_ENGINES):
            apply_records(fleet_state, engine_record(10 + number, 100 + number, zone=OTHER_ZONE))
        self.fleet = SimulatedEntries(fleet_state, 1, (OWN_ZONE,))
        self.entry = self.fleet.entries[0]
        self.failures = FailureRecorder(self.entry.selector, mock.Mock(), mock.Mock())
        self.refused = self.failed = 0
        self.late: list[float] = []

    async def send(self, per_s: float) -> None:
        """Send requests at random times and wait until they have ended."""
        await self.fleet.start()
        until_s = time.monotonic() + SENDING_S
        calls = []
        while time.monotonic() < until_s:
            await asyncio.sleep(random.expovariate(per_s))
            # Without a fresh proof every request would be refused after 4.5 s.
            self.fleet.state.record_proof(time.monotonic())
            calls.append(asyncio.create_task(self.serve()))
        async with asyncio.timeout(ENDED_TIMEOUT_S):
            await asyncio.gather(*calls)

    async def serve(self) -> None:
        """Admit a request until an engine runs it."""
        request = request_of(self.fleet.state, prompt_tokens=300)
        allowed_s = PROMPT_S
        while True:
            try:
                record = await self.entry.admission.enter(request)
            except Refusal:
                self.refused += 1
                return
            attempt = Attempt(request, record)
            if record.id != FAILING:
                break
            self.failed += 1
            allowed_s += self.fails_after_s
            await asyncio.sleep(self.fails_after_s)
            self.record_failure(attempt)
            self.entry.admission.leave(request, record)

        def record_first_event() -> None:
            self.entry.admission.record_prompt_read(request, record)
            if request.age_s() > allowed_s:
                self.late.append(request.age_s())

        await self.fleet.engines[record.id].run(request.head.prompt_tokens, record_first_event)
        self.entry.admission.leave(request, record)
        self.entry.selector.record_success(record)

    def record_failure(self, attempt: Attempt) -> None:
        """Record that the failing engine could not be connected to, or was silent."""
        if self.is_silent:
            silent = OutcomeUnknownError("silent", is_silent=True)
            self.failures.record_unknown(attempt, silent)
        else:
            unreachable = NotRunError("cannot connect", is_refusal=False)
            self.failures.record_not_run(attempt, unreachable)


class ZoneBackoffTest(unittest.TestCase):
    def check(self, is_silent: bool, fails_after_s: float) -> None:
        """Check that nothing is refused, and nothing late but what was sent to the engine."""

        async def scenario(per_s: float) -> None:
            zones = SimulatedZones(is_silent, fails_after_s)
            await zones.send(per_s)
            self.assertGreater(zones.failed, 0)
            self.assertEqual((0, []), (zones.refused, zones.late))

        for per_s in ARRIVALS_PER_S:
            for seed in SEEDS:
                with self.subTest(per_s=per_s, seed=seed):
                    simulate(scenario(per_s), seed)

    # Guards against refusing requests for 0.5 s and more because one port of a zone is closed.
    def test_one_upstream_that_refuses_connections(self) -> None:
        self.check(is_silent=False, fails_after_s=REFUSED_S)

    # Guards against the same because one host of a zone does not answer.
    def test_one_upstream_that_does_not_accept_connections(self) -> None:
        self.check(is_silent=False, fails_after_s=TIMED_OUT_S)

    # Guards against the same because one upstream of a zone is silent.
    def test_one_silent_upstream(self) -> None:
        self.check(is_silent=True, fails_after_s=SILENT_S)


if __name__ == "__main__":
    unittest.main()
