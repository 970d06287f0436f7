"""Tests of the administration API over HTTP, in one event loop."""

import asyncio
import json
import unittest
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPResponse

from gypsumpier import log
from gypsumpier.administration.history import DecisionHistory
from gypsumpier.administration.readiness import UPSTREAM_WAIT_S, Readiness
from gypsumpier.administration.validation import DOCUMENT_LIMIT_BYTES
from gypsumpier.external.configuration import DocumentRevision
from gypsumpier.options import Options
from gypsumpier.test.builders_frame import (
    DOCUMENT,
    UPSTREAM,
    FakeApplication,
    ServedProcess,
    SettableClock,
)


class AdministrationTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.process = ServedProcess()
        await self.process.start()
        self.addAsyncCleanup(self.process.stop)

    async def call(self, path: str, method: str = "GET", body: bytes | None = None) -> HTTPResponse:
        """Call the server and return its answer, whatever its status."""
        return await AsyncHTTPClient().fetch(
            self.process.url + path,
            method=method,
            body=body,
            raise_error=False,
            allow_nonstandard_methods=True,
        )

    async def read(self, path: str) -> Any:
        """Return the JSON answer to a GET, which must have status 200."""
        response = await self.call(path)
        self.assertEqual(200, response.code)
        return json.loads(response.body)

    async def test_bad_calls_get_their_code_and_the_server_goes_on(self) -> None:
        oversized = b"x" * (DOCUMENT_LIMIT_BYTES + 1)
        cases = [
            ("GET", "/v1/nothing", None, 404, 8101),
            ("GET", "/", None, 404, 8101),
            ("PUT", "/v1/documents", b"{}", 405, 8102),
            ("DELETE", "/v1/members", None, 405, 8102),
            ("POST", "/v1/decisions", b"{}", 405, 8102),
            ("GET", "/v1/validate", None, 405, 8102),
            ("GET", "/v1/decisions?limit=all", None, 400, 8103),
            ("GET", "/v1/decisions?limit=0", None, 400, 8103),
            ("GET", "/v1/decisions?after=-2", None, 400, 8103),
            ("GET", "/v1/decisions?event=%ff", None, 400, 8103),
            ("POST", "/v1/validate", oversized, 413, 8104),
            ("POST", "/v1/validate", 4 * oversized, 413, 8104),
        ]
        for method, path, body, status, number in cases:
            with self.subTest(method=method, path=path):
                response = await self.call(path, method, body)
                self.assertEqual(status, response.code)
                self.assertEqual(number, json.loads(response.body)["code"])
                self.assertEqual({"state": "starting"}, await self.read("/healthz"))

    async def test_bad_documents_are_refused_by_code_and_field(self) -> None:
        cases: list[tuple[bytes, int, str]] = [
            (b"", 5001, ""),
            (b"{", 5001, ""),
            (b"\xff\xfe", 5001, ""),
            (b"[]", 5004, ""),
            (json.dumps(DOCUMENT | {"kind": 3}).encode(), 5004, "kind"),
            (json.dumps(DOCUMENT | {"colour": 3}).encode(), 5002, "colour"),
            (json.dumps(DOCUMENT | {"zones": []}).encode(), 5008, "zones"),
            (b" " * DOCUMENT_LIMIT_BYTES, 5000, ""),
        ]
        for body, number, field in cases:
            with self.subTest(body=body[:40]):
                response = await self.call("/v1/validate", "POST", body)
                found = json.loads(response.body)
                self.assertEqual((200, False), (response.code, found["accepted"]))
                self.assertEqual(
                    (number, field), (found["refusal"]["code"], found["refusal"]["field"])
                )
        good = await self.call("/v1/validate", "POST", json.dumps(DOCUMENT).encode())
        self.assertEqual({"accepted": True, "refusal": None}, json.loads(good.body))

    async def test_truncated_and_malformed_calls_leave_the_server_running(self) -> None:
        port = self.process.options.administration_port
        for content in (
            b"POST /v1/validate HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n{",
            b"POST /v1/validate HTTP/1.1\r\nHost: h\r\nContent-Length: none\r\n\r\n{}",
            b"GET /v1/status HTTP/1.1\r\nno colon\r\n\r\n",
            b"\x00\x01\x02\r\n\r\n",
            b"GET /v1/st",
        ):
            with self.subTest(content=content):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(content)
                writer.write_eof()
                await reader.read()
                writer.close()
                self.assertEqual({"state": "starting"}, await self.read("/healthz"))

    async def test_readiness_follows_the_phase_and_health_does_not(self) -> None:
        self.process.state.readiness.ready = True
        for phase, status in (("starting", 503), ("running", 200), ("stopping", 503)):
            self.process.state.phase = phase
            self.assertEqual(status, (await self.call("/readyz")).code)
            self.assertEqual(200, (await self.call("/healthz")).code)

    async def test_an_entry_is_ready_once_it_has_documents_members_and_healthy_upstreams(
        self,
    ) -> None:
        application = self.process.application
        self.assertEqual(503, (await self.call("/readyz")).code)
        body = json.dumps(DOCUMENT).encode()
        application.documents.offer(DocumentRevision("table-ops", 1, body), "test")
        self.assertEqual(503, (await self.call("/readyz")).code)
        application.members.merge_list([UPSTREAM])
        application.inspected["upstreams"] = [{"name": UPSTREAM.name, "healthy": False}]
        self.assertEqual(503, (await self.call("/readyz")).code)
        application.inspected["upstreams"] = [{"name": UPSTREAM.name, "healthy": True}]
        self.assertEqual(200, (await self.call("/readyz")).code)
        application.inspected["upstreams"] = []
        self.assertEqual(200, (await self.call("/readyz")).code)

    async def test_documents_show_what_is_in_force_and_what_was_refused(self) -> None:
        table = self.process.application.documents
        table.offer(DocumentRevision("table-ops", 1, json.dumps(DOCUMENT).encode()), "test")
        table.offer(DocumentRevision("table-ops", 2, b"{}"), "test")
        table.offer(DocumentRevision("broken", 3, b"{}"), "test")
        table.offer(DocumentRevision("gone", 4, None), "test")
        broken, gone, kept = (await self.read("/v1/documents"))["documents"]
        self.assertEqual((-1, 3), (broken["revision"], broken["refusal"]["revision"]))
        self.assertEqual((4, True), (gone["revision"], gone["deleted"]))
        self.assertEqual((1, "plain"), (kept["revision"], kept["kind"]))
        self.assertEqual((2, 5003), (kept["refusal"]["revision"], kept["refusal"]["code"]))

    async def test_status_counts_the_lists(self) -> None:
        self.process.application.inspected["upstreams"] = [{"name": "table-ops/bac-a/0"}]
        found = await self.read("/v1/status")
        self.assertEqual(
            {"documents": 0, "members": 0, "upstreams": 1, "transfers": 0}, found["counts"]
        )
        self.assertEqual(("entry/bac-a/0", "starting"), (found["name"], found["state"]))
        self.assertEqual({"in_flight": 0}, found["details"])
        self.assertEqual(
            [{"name": "table-ops/bac-a/0"}], (await self.read("/v1/upstreams"))["upstreams"]
        )

    async def test_decisions_are_filtered_by_their_fields(self) -> None:
        for number in range(4):
            log.decision("route", request=f"r{number}", service="table-ops", reason=ValueError("x"))
        log.decision("drain", reason="stop")
        found = (await self.read("/v1/decisions?event=route&request=r2"))["decisions"]
        self.assertEqual(["r2"], [view["fields"]["request"] for view in found])
        self.assertEqual("x", found[0]["fields"]["reason"])
        newest = (await self.read("/v1/decisions?limit=2"))["decisions"]
        self.assertEqual(["route", "drain"], [view["event"] for view in newest])
        after = newest[0]["sequence"]
        later = (await self.read(f"/v1/decisions?after={after}"))["decisions"]
        self.assertEqual(["drain"], [view["event"] for view in later])

    async def test_metrics_count_decisions_and_calls(self) -> None:
        log.decision("counted_here", reason="test")
        await self.call("/v1/no-such-page")
        text = (await self.call("/metrics")).body.decode()
        self.assertIn('gypsumpier_decisions_total{event="counted_here"} 1.0', text)
        self.assertIn('path="unknown",status="404"', text)


class DecisionHistoryTest(unittest.TestCase):
    def test_the_ring_is_bounded_and_keeps_the_newest(self) -> None:
        history = DecisionHistory(length=3)
        history.attach()
        self.addCleanup(history.detach)
        for number in range(10):
            log.decision("event", number=number)
        found = [view["fields"]["number"] for view in history.matching({}, -1, 100)]
        self.assertEqual([7, 8, 9], found)


class ReadinessTest(unittest.TestCase):
    def test_an_entry_waits_for_upstreams_for_a_bounded_time(self) -> None:
        clock = SettableClock()
        application = FakeApplication(Options())
        readiness = Readiness(Options(role="entry"), application, clock)
        application.documents.offer(
            DocumentRevision("table-ops", 1, json.dumps(DOCUMENT).encode()), "test"
        )
        application.members.merge_list([UPSTREAM])
        self.assertFalse(readiness.check())
        clock.now_s += UPSTREAM_WAIT_S - 0.01
        self.assertFalse(readiness.check())
        clock.now_s += 0.02
        self.assertTrue(readiness.check())
