"""Invalid calls at an entry's HTTP port: each gets its numbered code, and the entry stays up."""

import json
import unittest
from typing import Any

from tornado.httpclient import AsyncHTTPClient
from tornado.netutil import bind_sockets

from gypsumpier.entry.application import EntryApplication
from gypsumpier.external.configuration import DocumentRevision
from gypsumpier.settings import build
from gypsumpier.test.builders_frame import DOCUMENT, ENTRY_TEXTS

BODY_LIMIT_BYTES = 1000
MODEL_DOCUMENT: dict[str, object] = {
    "service": "small-llm",
    "kind": "model",
    "model": "small",
    "versions": [{"version": "1", "share_percent": 100}],
    "zones": [{"zone": "bac-a", "replicas": 1}],
    "limits": {"body_bytes": 500},
}
CHAT = "/v1/chat/completions"
GOOD_CHAT = {"model": "small", "messages": [{"role": "user", "content": "x"}]}


class CallerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        texts = ENTRY_TEXTS | {"body_limit_bytes": str(BODY_LIMIT_BYTES)}
        application = EntryApplication(build(texts))
        for number, document in enumerate((DOCUMENT, MODEL_DOCUMENT), 1):
            body = json.dumps(document).encode()
            name = str(document["service"])
            self.assertTrue(
                application.documents.offer(DocumentRevision(name, number, body), "test")
            )
        sockets = bind_sockets(0, "127.0.0.1")
        application.server.add_sockets(sockets)
        self.addCleanup(application.server.stop)
        self.url = f"http://127.0.0.1:{sockets[0].getsockname()[1]}"

    async def call(
        self, method: str, path: str, body: bytes | None, headers: dict[str, str]
    ) -> tuple[int, dict[str, Any]]:
        """Return the HTTP status and the error object of a call that must be refused."""
        response = await AsyncHTTPClient().fetch(
            self.url + path,
            method=method,
            body=body,
            headers=headers,
            raise_error=False,
            allow_nonstandard_methods=True,
        )
        error_object: dict[str, Any] = json.loads(response.body)["error"]
        self.assertEqual(str(error_object["code"]), response.headers["Gypsumpier-Code"])
        return response.code, error_object

    async def test_bad_calls_get_their_code(self) -> None:
        chat = json.dumps(GOOD_CHAT).encode()
        cases: list[tuple[str, str, bytes | None, dict[str, str], int, int]] = [
            ("POST", CHAT, b"", {}, 400, 2010),
            ("POST", CHAT, b"{", {}, 400, 2010),
            ("POST", CHAT, b"[]", {}, 400, 2010),
            ("POST", CHAT, b"\xff", {}, 400, 2010),
            ("POST", CHAT, b'{"model": 1, "messages": []}', {}, 400, 2010),
            ("POST", CHAT, b'{"model": "small", "messages": {}}', {}, 400, 2010),
            ("POST", CHAT, json.dumps(GOOD_CHAT | {"stream": 1}).encode(), {}, 400, 2010),
            ("POST", CHAT, json.dumps(GOOD_CHAT | {"model": "no"}).encode(), {}, 404, 2001),
            ("POST", CHAT, chat, {"Request-Timeout": "soon"}, 400, 2010),
            ("POST", CHAT, chat, {"Request-Timeout": "-1"}, 400, 2010),
            ("POST", CHAT, chat, {"Idempotency-Key": "k" * 256}, 400, 2010),
            ("POST", CHAT, chat + b" " * 500, {}, 413, 2011),
            ("POST", CHAT, b"x" * (BODY_LIMIT_BYTES + 1), {}, 413, 2011),
            ("POST", CHAT, b"x" * (100 * BODY_LIMIT_BYTES), {}, 413, 2011),
            ("POST", "/services/table-ops/x", b"x" * (10 * BODY_LIMIT_BYTES), {}, 413, 2011),
            ("GET", "/services/no-such/x", None, {}, 404, 2001),
            ("GET", "/services/table-ops", None, {}, 404, 2013),
            ("GET", "/v1/nothing", None, {}, 404, 2013),
            ("GET", CHAT, None, {}, 405, 2014),
        ]
        for method, path, body, headers, status, number in cases:
            with self.subTest(method=method, path=path, body=(body or b"")[:30], headers=headers):
                found_status, error = await self.call(method, path, body, headers)
                self.assertEqual((status, number), (found_status, error["code"]))
                self.assertEqual("not_run", error["outcome"])

    async def test_a_good_call_without_upstream_gets_a_retry_after_time(self) -> None:
        status, error = await self.call("POST", CHAT, json.dumps(GOOD_CHAT).encode(), {})
        self.assertEqual((503, "not_run"), (status, error["outcome"]))
        self.assertGreater(error["retry_after_s"], 0)
