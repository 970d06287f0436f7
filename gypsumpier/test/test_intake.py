"""Tests of the answer for an unknown service, before and after the first document."""

import json
import unittest

from tornado.httputil import HTTPHeaders, HTTPServerRequest

from gypsumpier.clock import SystemClock
from gypsumpier.document.table import DocumentTable
from gypsumpier.entry.intake import chat_request, plain_request
from gypsumpier.errors import GypsumpierError
from gypsumpier.external.configuration import DocumentRevision
from gypsumpier.test.builders_frame import DOCUMENT


class UnknownServiceTest(unittest.TestCase):
    def code_of(self, documents: DocumentTable) -> set[int]:
        """Return the result codes of calls to an unknown service."""
        body = json.dumps({"model": "no-such", "messages": []}).encode()
        call = HTTPServerRequest("POST", "/", headers=HTTPHeaders(), body=body)
        with self.assertRaises(GypsumpierError) as chat:
            chat_request(call, documents, 0.0)
        with self.assertRaises(GypsumpierError) as plain:
            plain_request(call, "no-such", "path", documents, 0.0)
        return {chat.exception.code.number, plain.exception.code.number}

    def test_a_service_is_unknown_only_where_documents_are_known(self) -> None:
        documents = DocumentTable(SystemClock())
        self.assertEqual({2007}, self.code_of(documents))
        documents.offer(DocumentRevision("table-ops", 1, json.dumps(DOCUMENT).encode()), "test")
        self.assertEqual({2001}, self.code_of(documents))
