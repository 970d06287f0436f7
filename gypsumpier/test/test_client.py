"""Tests of the command-line tool against administration servers in the same process."""

import asyncio
import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path

from gypsumpier import log
from gypsumpier.client.command import main
from gypsumpier.external.configuration import DocumentRevision
from gypsumpier.test.builders_frame import DOCUMENT, ServedProcess

CLOSED_URL = "http://127.0.0.1:1"


def run_tool(arguments: list[str]) -> tuple[int, str, str]:
    """Return the exit status, the output and the errors of one run of the tool."""
    output, errors = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
        status = main(arguments)
    return status, output.getvalue(), errors.getvalue()


class ClientTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.processes = [ServedProcess("entry/bac-a/0"), ServedProcess("entry/bac-a/1")]
        for process in self.processes:
            await process.start()
            self.addAsyncCleanup(process.stop)
        body = json.dumps(DOCUMENT).encode()
        for process in self.processes:
            process.application.documents.offer(DocumentRevision("table-ops", 1, body), "test")
        self.processes[1].application.documents.offer(
            DocumentRevision("table-ops", 2, b"{"), "test"
        )

    async def run_on_all_processes(self, *arguments: str) -> tuple[int, str, str]:
        """Run the tool against all processes."""
        flags = [f"--administration={process.url}" for process in self.processes]
        return await asyncio.to_thread(run_tool, [*flags, *arguments])

    async def test_each_listing_is_a_table_or_one_json_object(self) -> None:
        for command in ("status", "documents", "upstreams", "transfers", "explain"):
            with self.subTest(command=command):
                status, output, errors = await self.run_on_all_processes(command)
                self.assertEqual((0, ""), (status, errors))
                self.assertEqual(output.splitlines()[0], output.splitlines()[0].upper())
                status, output, errors = await self.run_on_all_processes("--json", command)
                self.assertEqual((0, ""), (status, errors))
                urls = [item["administration"] for item in json.loads(output)["processes"]]
                self.assertEqual([process.url for process in self.processes], urls)

    async def test_documents_count_the_processes_that_hold_a_revision(self) -> None:
        _, output, _ = await self.run_on_all_processes("documents")
        rows = output.splitlines()[1:]
        self.assertEqual(2, len(rows))
        self.assertTrue(all(row.endswith("1 of 2") for row in rows))
        self.assertIn("revision 2: 5001", output)

    async def test_explain_filters(self) -> None:
        log.decision("route", request="r1", reason="own zone")
        log.decision("route", request="r2", reason="own zone")
        _, output, _ = await self.run_on_all_processes("explain", "request=r2")
        self.assertIn("request=r2", output)
        self.assertNotIn("request=r1", output)

    async def test_watch_reads_as_often_as_asked(self) -> None:
        status, output, _ = await self.run_on_all_processes(
            "--json", "watch", "--count=2", "--interval=0.1"
        )
        self.assertEqual(0, status)
        reads = [json.loads(line) for line in output.splitlines()]
        self.assertEqual([{"documents", "transfers", "upstreams"}] * 2, [set(r) for r in reads])

    async def test_one_process_down_leaves_the_others_shown(self) -> None:
        await self.processes[0].server.stop()
        status, output, errors = await self.run_on_all_processes("status")
        self.assertEqual(4, status)
        self.assertIn("entry/bac-a/1", output)
        self.assertIn("8201 administration_unreachable", errors)

    async def test_validate_here_and_at_a_process(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            good, bad = Path(directory, "good.json"), Path(directory, "bad.json")
            good.write_text(json.dumps(DOCUMENT))
            bad.write_text(json.dumps(DOCUMENT | {"kind": "both"}))
            for run in (self.run_on_all_processes, self.run_without_processes):
                status, output, _ = await run("validate", str(good))
                self.assertEqual((0, f"{good}: accepted\n"), (status, output))
                status, output, _ = await run("--json", "validate", str(bad))
                refusal = json.loads(output)["refusal"]
                self.assertEqual((5, 5006, "kind"), (status, refusal["code"], refusal["field"]))

    async def run_without_processes(self, *arguments: str) -> tuple[int, str, str]:
        """Run the tool without any process."""
        return await asyncio.to_thread(run_tool, list(arguments))


class ClientErrorTest(unittest.TestCase):
    def test_wrong_arguments_have_their_code(self) -> None:
        cases = [
            (["--no-such-flag"], "8205"),
            (["no-such-command"], "8205"),
            (["status"], "8205"),
            (["watch"], "8205"),
            (["--timeout", "x", "status"], "8205"),
            (["--administration", CLOSED_URL, "explain", "request"], "8205"),
            (["--administration", "127.0.0.1:1", "status"], "8204"),
            (["validate", "/no/such/file"], "8203"),
        ]
        for arguments, number in cases:
            with self.subTest(arguments=arguments):
                status, output, errors = run_tool(arguments)
                self.assertEqual((2, "", number), (status, output, errors[:4]))

    def test_an_unreachable_process_is_reported(self) -> None:
        status, _, errors = run_tool(["--administration", CLOSED_URL, "status"])
        self.assertEqual(4, status)
        self.assertIn("8201", errors)
