"""Requests at engines that fall silent, refuse, cut and go on at random, in virtual time."""

import asyncio
import random
import unittest
from collections import Counter
from typing import Any, Final
from unittest import mock

from tornado.httputil import HTTPHeaders

from gypsumpier.codes.result import Outcome
from gypsumpier.fleet.clock import boot_time_s
from gypsumpier.fleet.node import Address
from gypsumpier.fleet.upstream import UpstreamRecord
from gypsumpier.gateway.pendingstarts import PendingStarts
from gypsumpier.gateway.refusal import Refusal
from gypsumpier.gateway.relay import Relay
from gypsumpier.gateway.request import GatewayRequest
from gypsumpier.gateway.retries import RetryBudget
from gypsumpier.test.builders_gateway import admission_of, engines_in, request_of
from gypsumpier.test.builders_platform import BOUNDS, ENGINES, ZONE
from gypsumpier.test.movingengine import FAULTS, MovingEngine, MovingPool, whole_stream
from gypsumpier.test.silentcase import OTHER_ZONE
from gypsumpier.test.simulated_entries import simulate
from gypsumpier.upstream.head import AnswerHead

SEEDS: Final = range(25)
REQUESTS: Final = 40
ARRIVING_S: Final = 6.0
SETTLE_S: Final = 1.0
WITHDRAWALS_PER_S: Final = 2.0
WITHDRAWN_SHARE: Final = 0.2


class RecordingWriter:
    """Records an answer; ``is_whole`` is set once it is complete."""

    def __init__(self) -> None:
        self.status = 0
        self.content = b""
        self.is_whole = False

    def has_caller_departed(self) -> bool:
        return False

    def begin(self, head: AnswerHead, body_bytes: int | None) -> None:
        assert not self.status, "an answer begins twice"
        self.status = head.status

    async def write(self, content: bytes) -> None:
        await asyncio.sleep(0)
        self.content += content

    def finish(self) -> None:
        self.is_whole = True

    async def answer(self, head: AnswerHead, body: bytes) -> None:
        self.begin(head, len(body))
        await self.write(body)
        self.finish()


class Call:
    """One caller's request; ``refusal`` or ``is_late`` tells why there is no complete answer."""

    def __init__(self, request: GatewayRequest) -> None:
        self.request = request
        self.writer = RecordingWriter()
        self.refusal: Refusal | None = None
        self.is_late = False
        self.has_left = False

    @property
    def id(self) -> str:
        """The id of the request."""
        return self.request.head.request_id


class Scenario:
    """One entry and five engines in two zones."""

    def __init__(self, seed: int, faults: tuple[str, ...], silence_max_s: float) -> None:
        self.rng = random.Random(seed)
        self.silence_max_s = silence_max_s
        self.is_withdrawing = "cut" in faults
        self.state = engines_in((ZONE, OTHER_ZONE), 5, slots=3)
        self.admission = admission_of(self.state)
        self.selector = self.admission.selector
        self.engines = {
            Address(record.host, record.port): MovingEngine(record.id, self.rng, faults)
            for record in self.state.upstreams.values()
        }
        self.pool = MovingPool(self.engines)
        self.retries = RetryBudget(BOUNDS._replace(retry_share=1.0, retry_slack=20.0), 1)
        self.retries.entry_count = 1
        self.starts = PendingStarts(self.selector, lambda service: 0)
        crashes = mock.Mock(refused_for_s=lambda request: 0.0)
        self.relay = Relay(
            self.admission,
            self.selector,
            self.pool,
            self.retries,
            crashes,
            self.starts,
            mock.Mock(),
        )
        self.taken: Counter[str] = Counter()
        self.calls: list[Call] = []

    def count_turns(self, record: UpstreamRecord) -> None:
        """Count a turn that is taken at an engine."""
        self.taken[record.id] += 1

    def count_turns_back(self, record: UpstreamRecord) -> None:
        """Count a turn that is given back."""
        self.taken[record.id] -= 1

    async def run(self) -> None:
        """Send requests over a time, and wait for the end of each."""
        statements = self.selector.statements
        statements.take = self.count_turns  # type: ignore[assignment]
        statements.give_back = self.count_turns_back  # type: ignore[assignment]
        tasks = [asyncio.create_task(self.admission.run())]
        for engine in self.engines.values():
            tasks.append(asyncio.create_task(engine.stand_still(self.silence_max_s)))
        if self.is_withdrawing:
            tasks.append(asyncio.create_task(self.withdraw_some()))
        calls = []
        for number in range(REQUESTS):
            await asyncio.sleep(self.rng.expovariate(REQUESTS / ARRIVING_S))
            calls.append(asyncio.create_task(self.call(number)))
        await asyncio.gather(*calls)
        await asyncio.sleep(SETTLE_S)
        for task in tasks:
            task.cancel()

    async def withdraw_some(self) -> None:
        """Withdraw some of the requests that engines have not begun to answer; never returns."""
        while True:
            await asyncio.sleep(self.rng.expovariate(WITHDRAWALS_PER_S))
            self.starts.withdraw(lambda _: self.rng.random() < WITHDRAWN_SHARE, "withdrawn")

    def request(self, number: int) -> GatewayRequest:
        """Return a request; one in five may run only once."""
        self.state.record_proof(boot_time_s())
        request_id = f"r{number}"
        headers = HTTPHeaders({"X-Request-Id": request_id})
        fields: dict[str, Any] = {
            "request_id": request_id,
            "forwarded_headers": headers,
            "time_limit_s": 8.0,
        }
        request = request_of(self.state, **fields)
        request.route = request.route._replace(
            is_repeatable=self.rng.random() < 0.8, max_attempts=self.rng.choice((2, 3))
        )
        return request

    async def call(self, number: int) -> None:
        """Send a request as a caller that may leave, and record its answer."""
        call = Call(self.request(number))
        self.calls.append(call)
        task = asyncio.create_task(self.relayed(call))
        if self.rng.random() < 0.2:
            done, _ = await asyncio.wait({task}, timeout=self.rng.uniform(0.0, 3.0))
            call.has_left = not done
            task.cancel()
        await asyncio.wait({task})
        if not call.has_left:
            await task

    async def relayed(self, call: Call) -> None:
        """Relay the request as an entry does, within its time limit."""
        try:
            async with asyncio.timeout(call.request.left_s()):
                await self.relay.run(call.request, call.writer)  # type: ignore[arg-type]
        except Refusal as refusal:
            call.refusal = refusal
        except TimeoutError:
            call.is_late = True


class RandomMovesTest(unittest.TestCase):
    def simulate(
        self, seed: int, faults: tuple[str, ...], silence_max_s: float
    ) -> tuple[Scenario, Counter[str]]:
        """Run a scenario; return it with the runs of each request."""
        found: list[Scenario] = []

        async def run() -> None:
            found.append(Scenario(seed, faults, silence_max_s))
            await found[0].run()

        simulate(run(), seed)
        scenario = found[0]
        runs = [run for engine in scenario.engines.values() for run in engine.runs]
        return scenario, Counter(run.request_id for run in runs)

    def check(self, scenario: Scenario, runs: Counter[str]) -> None:
        """Check what holds whatever engines do."""
        self.assertEqual({}, scenario.selector.own_loads)
        self.assertEqual([], scenario.admission.queue(ENGINES).waiting)
        self.assertEqual(set(), scenario.pool.open_streams)
        self.assertEqual([], [e.name for e in scenario.engines.values() if e.running])
        self.assertEqual(
            {name: count for name, count in scenario.pool.sent.items() if count},
            {name: count for name, count in scenario.taken.items() if count},
        )
        for call in scenario.calls:
            self.check_call(call, runs[call.id])

    def check_call(self, call: Call, runs: int) -> None:
        """Check that an answer is whole or visibly cut, and the runs of its request."""
        route = call.request.route
        self.assertLessEqual(runs, route.max_attempts if route.is_repeatable else 1, call.id)
        writer, whole = call.writer, whole_stream(call.id)
        if writer.is_whole:
            self.assertEqual((200, whole) if writer.status == 200 else (500, b""),
                             (writer.status, writer.content), call.id)  # fmt: skip
        else:
            self.assertTrue(whole.startswith(writer.content), call.id)
        is_not_run = call.is_late and not call.request.may_have_run()
        if call.refusal is not None and not writer.status:
            is_not_run = call.refusal.code.outcome is Outcome.NOT_RUN
        if is_not_run:
            self.assertEqual(0, runs, call.id)

    # Guards against places, turns and connections that leak, runs beyond the route's attempts,
    # streams that are joined wrongly, and runs that are called not run.
    def test_moves_among_engines_with_any_fault(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                scenario, runs = self.simulate(seed, ("", "", "", "", *FAULTS), 2.5)
                self.check(scenario, runs)

    # Guards against streams that are cut though their engine is only silent for a time.
    def test_streams_of_engines_that_go_on_are_whole(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                scenario, runs = self.simulate(seed, ("", "", "refuse"), 1.8)
                self.check(scenario, runs)
                for call in scenario.calls:
                    if call.writer.status and not call.has_left:
                        self.assertTrue(call.writer.is_whole, call.id)


if __name__ == "__main__":
    unittest.main()
