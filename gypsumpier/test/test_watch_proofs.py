"""Tests of what the answer of a watch proves."""

import json
import unittest
from io import BytesIO

from tornado.httpclient import HTTPRequest, HTTPResponse
from tornado.httputil import HTTPHeaders

from gypsumpier.fleet.node import Address
from gypsumpier.platform.store import PlatformStore
from gypsumpier.test.standin.platform import item_body


class WatchProofTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_event_without_a_name_ends_the_wait_as_any_other(self) -> None:
        """Guards against a proof of the receipt: the store answered at once, the way was long."""
        store = PlatformStore(Address("127.0.0.1", 9))
        self.addCleanup(store.close)
        answer = {"events": [item_body("servers/\ud800", b"{}", 6)], "current_rev": 6}

        async def fetch(path: str, timeout_s: float) -> HTTPResponse:
            body = BytesIO(json.dumps(answer).encode())
            return HTTPResponse(HTTPRequest(path), 200, HTTPHeaders(), body)

        store.fetch = fetch  # type: ignore[method-assign]
        batch = await store.watch(5, 2.0)
        self.assertEqual((6, [], 0.0), (batch.revision, batch.records, batch.proven_after_s))


if __name__ == "__main__":
    unittest.main()
