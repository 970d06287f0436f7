"""Tests of the load tool: the requests it sends and how it classifies answers."""

import json
import unittest
from typing import ClassVar

from tornado.web import Application, RequestHandler

from gypsumpier.test.standin.answer import answer, prompt_of
from gypsumpier.test.standin.server import listen
from misc.capacity.slope import Point, Slope, fit_line
from misc.load import run_load
from misc.load_arrivals import Profile, arrivals
from misc.load_call import Target


class ChatHandler(RequestHandler):
    """Streams the right answer, with the fault that ``fault`` names."""

    fault: ClassVar[str] = ""

    def post(self) -> None:
        body = json.loads(self.request.body)
        tokens = answer("v1", prompt_of(body))
        if self.fault == "short":
            tokens = tokens[:-1]
        for text in tokens:
            delta = {"choices": [{"delta": {"content": text}}], "version": "v1"}
            self.write(f"data: {json.dumps(delta)}\n\n")
        if self.fault == "error":
            error = {"error": {"name": "answer_cut"}}
            self.write(f"event: error\ndata: {json.dumps(error)}\n\n")
        elif self.fault != "no end":
            self.write("data: [DONE]\n\n")


class LoadTest(unittest.IsolatedAsyncioTestCase):
    async def test_answers_are_classified_as_right_wrong_or_cut(self) -> None:
        server, port = listen(Application([("/v1/chat/completions", ChatHandler)]))
        self.addCleanup(server.stop)
        target = Target((f"http://127.0.0.1:{port}",), "model")
        expected = {
            "": "done",
            "short": "wrong",
            "no end": "ended_early",
            "error": "answer_cut",
        }
        for fault, outcome in expected.items():
            ChatHandler.fault = fault
            result = await run_load(Profile(rate_per_s=500.0, duration_s=0.05), target)
            self.assertEqual({outcome}, set(result.outcomes), fault)

    async def test_an_unreachable_entry_is_reported(self) -> None:
        server, port = listen(Application([]))
        server.stop()
        target = Target((f"http://127.0.0.1:{port}",), "model")
        result = await run_load(Profile(rate_per_s=500.0, duration_s=0.02), target)
        self.assertEqual({"transport_ConnectionRefusedError"}, set(result.outcomes))

    def test_arrivals_depend_on_the_seed_only(self) -> None:
        profile = Profile(rate_per_s=100.0, duration_s=2.0, workspaces=("large", "small"))
        first = list(arrivals(profile))
        self.assertEqual(first, list(arrivals(profile)))
        self.assertNotEqual(first, list(arrivals(profile._replace(seed=2))))
        self.assertEqual(sorted(first), first)


class SlopeTest(unittest.TestCase):
    def test_a_line_is_fitted_and_evaluated_at_the_target(self) -> None:
        points = [Point(size, 3.0 + 0.5 * size) for size in (1, 2, 4, 8)]
        line = fit_line(points)
        self.assertAlmostEqual(0.5, line.slope)
        self.assertAlmostEqual(3.0, line.intercept)
        self.assertAlmostEqual(1.0, line.r2)
        summary = Slope("cost", "s", "agents", points, 100.0, 52.0).summary()
        self.assertAlmostEqual(53.0, summary["at_target"])
        self.assertFalse(summary["holds"])
