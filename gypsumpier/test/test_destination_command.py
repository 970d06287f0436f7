"""Tests of ``gypsumpier destination`` and of the page that it asks, with a server on this host."""

import asyncio
import json
import unittest
from urllib.parse import urlencode

from tornado.httpclient import AsyncHTTPClient, HTTPResponse

from gypsumpier.codes.setting import ADMINISTRATION_QUERY_INVALID
from gypsumpier.errors import GypsumpierError
from gypsumpier.fleet.node import Address
from gypsumpier.gateway.destinationpage import PATH, DestinationPage
from gypsumpier.gateway.destinationquery import PARTS_MAX, QUERY_MAX, parsed_query
from gypsumpier.gateway.status import StatusServer, metrics_address
from gypsumpier.test.builders_destination import destinations_of
from gypsumpier.test.builders_platform import KEY, PLAIN, apply_records, evacuation_record
from gypsumpier.test.builders_regions import regional_fleet
from gypsumpier.test.gatewayfleet import GatewayFleet, free_port
from gypsumpier.test.test_client import run_tool
from gypsumpier.upstream.peerloads import Load

ASKED = {"host": "lab.example", "path": "/reports/2f?token=secret"}


class DestinationCommandTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet_state = regional_fleet(["bac-a", "bac-b", "nam-a"], tenant=["bac"])
        self.destinations = destinations_of(self.fleet_state)
        self.page = DestinationPage(self.destinations.explain)
        self.status = StatusServer(lambda: True)
        address = Address("127.0.0.1", free_port())
        self.url = f"http://{address.host}:{address.port}"
        self.status.listen_metrics(address, self.page)
        self.addAsyncCleanup(self.status.stop)

    async def run_command(self, *arguments: str) -> tuple[int, str, str]:
        """Return the exit status, the output and the errors of the command."""
        return await asyncio.to_thread(run_tool, ["--administration", self.url, *arguments])

    async def fetch(self, path: str, method: str = "GET") -> HTTPResponse:
        """Return the answer to a call."""
        body = b"" if method == "POST" else None
        client = AsyncHTTPClient()
        return await client.fetch(self.url + path, raise_error=False, method=method, body=body)

    async def test_the_command_prints_the_choice_and_the_reasons(self) -> None:
        apply_records(self.fleet_state, evacuation_record(400, "bac-b"))
        self.destinations.selector.record_peer_loads("front-bac-a-2", {"i-1": Load(2, 0)})
        arguments = ("destination", *ASKED.values(), "--workspace", "lab", "--part", "p1")
        status, output, errors = await self.run_command(*arguments, "--prompt-tokens", "900")
        self.assertEqual((0, ""), (status, errors))
        self.assertIn("service engines: sent to i-1\n", output)
        lines = {line.split()[0]: line.split() for line in output.splitlines() if line}
        self.assertEqual(["i-1", "bac-a", "bac", "2", "16", "no", "-", "-"], lines["i-1"][:8])
        self.assertEqual("evacuated", lines["i-2"][6])
        self.assertEqual("region", lines["i-3"][6])
        self.assertIn("front-bac-a-2 0.", output)
        self.assertNotIn("secret", output)
        status, output, errors = await self.run_command("--json", *arguments)
        answer = json.loads(output)["processes"][0]["answer"]
        self.assertEqual("i-1", answer["services"][0]["chosen"])

    async def test_the_command_prints_waits_and_refusals(self) -> None:
        loads = {f"i-{number}": Load(17, 0) for number in (1, 2, 3)}
        self.destinations.selector.record_peer_loads("front-bac-a-2", loads)
        _, output, _ = await self.run_command("destination", "--route", "reports")
        self.assertRegex(output, r"queued behind 0 requests, estimated wait 0\.0[1-9] s")
        _, output, _ = await self.run_command("destination", "lab.example", "/none")
        self.assertIn("the request would be refused: 2060 no_route", output)

    async def test_wrong_arguments(self) -> None:
        for arguments in ([], ["lab.example"], ["lab.example", "/x", "--route", "reports"]):
            with self.subTest(arguments=arguments):
                status, _, errors = await self.run_command("destination", *arguments)
                self.assertEqual((2, "8205"), (status, errors[:4]))
        # A key that is given for a name must not appear in an error.
        status, output, errors = await self.run_command(
            "destination", "--route", "reports", "--workspace", KEY
        )
        self.assertEqual(4, status)
        self.assertIn("administration_query_invalid workspace", errors)
        self.assertNotIn(KEY, output + errors)
        status, _, errors = await self.run_command(
            "destination", "--route", "reports", "--zone", "moon"
        )
        self.assertEqual((4, True), (status, "administration_query_invalid zone" in errors))

    # Guards against a monitor of all entries that loses the metrics, or a page for any method.
    async def test_metrics_stay_on_all_other_paths(self) -> None:
        for path in ("/metrics", "/"):
            response = await self.fetch(path)
            self.assertIn(b"gypsumpier_", response.body)
        response = await self.fetch(PATH, "POST")
        self.assertEqual((405, 8102), (response.code, json.loads(response.body)["code"]))

    # Guards against a caller that leaves and so keeps the page busy for ever.
    async def test_a_caller_that_leaves_does_not_keep_the_page_busy(self) -> None:
        host, _, port = self.url.rpartition("//")[2].partition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(f"GET {PATH}?route=reports HTTP/1.1\r\nHost: entry\r\n\r\n".encode())
        writer.transport.abort()
        response = await self.fetch(f"{PATH}?route=reports")
        if response.code == 429:
            response = await self.fetch(f"{PATH}?route=reports")
        self.assertEqual((200, None), (response.code, self.page.task))

    # Guards against metrics in place of an answer, which the command could not explain.
    async def test_a_process_that_is_no_entry_says_so(self) -> None:
        self.status.destinations = None
        status, _, errors = await self.run_command("destination", "--route", "reports")
        self.assertEqual(4, status)
        self.assertIn("404 administration_path_unknown only an entry", errors)

    # Guards against a script that asks in a loop and so slows the callers of the entry.
    async def test_the_rate_of_questions_is_bounded(self) -> None:
        path = f"{PATH}?{urlencode(ASKED)}"
        responses = [await self.fetch(path) for _ in range(8)]
        codes = [response.code for response in responses]
        self.assertEqual(200, codes[0])
        self.assertIn(429, codes)
        self.assertEqual(8106, json.loads(responses[codes.index(429)].body)["code"])
        together = await asyncio.gather(*(self.fetch(PATH) for _ in range(3)))
        self.assertTrue({response.code for response in together} <= {400, 429})

    async def test_a_question_that_fails_is_answered_without_its_arguments(self) -> None:
        async def fail(query: object) -> None:
            raise KeyError(query)

        self.page.explain = fail  # type: ignore[assignment]
        response = await self.fetch(f"{PATH}?{urlencode(ASKED)}")
        self.assertEqual((500, 8105), (response.code, json.loads(response.body)["code"]))
        self.assertNotIn(b"lab.example", response.body)
        self.assertIsNone(self.page.task)


class EntryDestinationTest(unittest.IsolatedAsyncioTestCase):
    # Guards against an entry that does not serve the page, or sends something to its upstreams.
    async def test_an_entry_answers_at_the_address_of_its_metrics(self) -> None:
        fleet = GatewayFleet()
        fleet.configure()
        upstream = fleet.add("i-1", PLAIN)
        await fleet.start()
        self.addAsyncCleanup(fleet.stop)
        await fleet.settle()
        address = metrics_address(fleet.entry.settings, fleet.entry.options)
        url = f"http://{address.host}:{address.port}"
        arguments = ["--administration", url, "destination", "--route", "commands"]
        status, output, errors = await asyncio.to_thread(run_tool, arguments)
        self.assertEqual((0, ""), (status, errors))
        self.assertIn("service plain: sent to i-1", output)
        self.assertFalse(upstream.run_ids)
        self.assertEqual({}, fleet.entry.selector.own_loads)


class DestinationQueryTest(unittest.TestCase):
    # Guards against a query that costs memory or time, and against keys in error messages.
    def test_malformed_queries_are_refused_without_their_values(self) -> None:
        route = "route=reports"
        queries = [
            "",
            "host=secret",
            f"{route}&host=secret&path=/",
            f"{route}&secret=1",
            f"{route}&{route}",
            f"{route}&prompt_tokens=secret",
            f"{route}&answer_tokens=-1",
            f"{route}&prompt_tokens=99999999999",
            f"{route}&part=%ff",
            route + "&part=secret" * (PARTS_MAX + 1),
            route + "&part=secret" * (QUERY_MAX // 10),
        ]
        for query in queries:
            with self.subTest(query=query[:60]), self.assertRaises(GypsumpierError) as raised:
                parsed_query(query)
            self.assertIs(ADMINISTRATION_QUERY_INVALID, raised.exception.code)
            self.assertNotIn("secret", str(raised.exception))

    def test_the_query_of_a_path_is_dropped(self) -> None:
        query = parsed_query(urlencode(ASKED))
        self.assertEqual(("lab.example", "/reports/2f"), (query.host, query.path))
