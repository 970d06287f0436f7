"""Tests of which requests are withdrawn from engines that have not started them."""

import unittest

from tornado.httputil import HTTPHeaders, ResponseStartLine

from gypsumpier.fleet.upstream import LoadedLayers
from gypsumpier.gateway.pendingstarts import PendingStarts
from gypsumpier.test.builders_gateway import engines, request_of, selector_of
from gypsumpier.test.builders_platform import LAYERS, MODEL
from gypsumpier.upstream.enginestate import EngineState
from gypsumpier.upstream.errors import OutcomeUnknownError
from gypsumpier.upstream.exchange import Exchange
from gypsumpier.upstream.http import UpstreamStream
from gypsumpier.upstream.replacement import NoReplacement


class PendingStartsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        fleet_state = engines(1)
        self.request = request_of(fleet_state)
        self.record = fleet_state.upstreams["i-1"]
        self.selector = selector_of(fleet_state)
        self.due = 0
        self.starts = PendingStarts(self.selector, lambda service: self.due)

    def exchange(self) -> Exchange:
        """Return an exchange without an answer; nothing uses its connection."""
        stream: UpstreamStream = None  # type: ignore[assignment]
        return Exchange(stream, 1.0, NoReplacement())

    def report(self, version: int) -> None:
        """Set the version that the sidecar of the engine reports; 0 while it loads one."""
        layers = (LoadedLayers(MODEL, version, 0, LAYERS),) if version else ()
        address = f"{self.record.host}:{self.record.port}"
        state = EngineState(address, f"run {version}", 1, not version, 0, 0, 1.0, layers)
        self.selector.record_engine_state(state)

    def is_withdrawn(self, loads_version: int | None = None) -> bool:
        """Return whether a request at the engine is withdrawn.

        ``loads_version`` is the version that the engine reports after the request was sent.
        """
        exchange = self.exchange()
        with self.starts.track(exchange, self.request, self.record):
            if loads_version is not None:
                self.report(loads_version)
            self.starts.withdraw_outdated()
        return bool(exchange.withdrawn)

    async def test_only_older_weights_than_the_due_version_withdraw_a_request(self) -> None:
        self.assertFalse(self.is_withdrawn())
        self.due = 2
        self.assertTrue(self.is_withdrawn())
        self.report(2)
        self.assertFalse(self.is_withdrawn())

    async def test_an_engine_that_is_loading_keeps_only_requests_sent_on_the_due_version(
        self,
    ) -> None:
        """Guards against a start on the version being loaded, if that is past its limit too."""
        self.due = 2
        self.assertTrue(self.is_withdrawn(loads_version=0))
        self.report(2)
        self.assertFalse(self.is_withdrawn(loads_version=0))

    async def test_an_engine_that_has_loaded_the_due_version_keeps_its_requests(self) -> None:
        self.due = 2
        self.assertFalse(self.is_withdrawn(loads_version=2))

    async def test_a_withdrawn_request_may_have_run(self) -> None:
        """Guards against telling a caller that a withdrawn request has not run."""
        self.due = 2
        exchange = self.exchange()
        with self.starts.track(exchange, self.request, self.record):
            self.starts.withdraw_outdated()
            with self.assertRaises(OutcomeUnknownError) as raised:
                await exchange.answer("r1")
        self.assertTrue(raised.exception.is_withdrawn)

    async def test_an_answer_that_has_begun_is_not_withdrawn(self) -> None:
        exchange = self.exchange()
        exchange.headers_received(
            ResponseStartLine("HTTP/1.1", 200, "OK"), HTTPHeaders({"X-Request-Id": "r1"})
        )
        exchange.withdraw("too late")
        head = await exchange.answer("r1")
        self.assertEqual(200, head.status)

    async def test_a_request_that_has_started_is_no_longer_tracked(self) -> None:
        with self.starts.track(self.exchange(), self.request, self.record):
            self.assertEqual(1, len(self.starts.pending))
        self.assertEqual({}, self.starts.pending)
