"""Tests over real processes: the start, the graceful stop and the clean-up of the test driver."""

import json
import signal
import socket
import tempfile
import unittest
from pathlib import Path

from misc.child import Child, ChildError
from misc.fleet import Fleet
from misc.http import get_json
from misc.testbed import administration_url, local_url

START_FAILED_STATUS = 3


class ProcessTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.fleet = Fleet(Path(directory.name))
        await self.fleet.__aenter__()
        self.addAsyncCleanup(self.fleet.__aexit__, None, None, None)

    async def start_entry(self, name: str, port: int = 0) -> Child:
        """Start an entry with its own platform stand-ins."""
        configuration = await self.fleet.start_standin("configuration", f"configuration/{name}")
        membership = await self.fleet.start_standin("membership", f"membership/{name}")
        return await self.fleet.start_daemon(
            name,
            role="entry",
            region="bac",
            zone="bac-a",
            administration_port=port,
            configuration_url=local_url(configuration.port),
            membership_url=local_url(membership.port),
        )

    async def test_ports_are_printed_and_a_signal_stops_gracefully(self) -> None:
        for number, name in enumerate(("entry/bac-a/0", "entry/bac-a/1")):
            child = await self.start_entry(name)
            status = await get_json(f"{administration_url(child)}/v1/status")
            self.assertEqual((name, "starting"), (status["name"], status["state"]))
            self.assertEqual(child.ports, status["ports"])
            child.send((signal.SIGTERM, signal.SIGINT)[number])
            self.assertEqual(0, await child.process.wait())
            self.assertIn("event=stopped", child.log_path.read_text())

    async def test_a_taken_port_ends_the_start_with_its_code(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as taken:
            with self.assertRaises(ChildError) as caught:
                await self.start_entry("entry/bac-a/0", taken.getsockname()[1])
        self.assertIn("code=8010", str(caught.exception))
        child = self.fleet.children["entry/bac-a/0"]
        self.assertEqual(START_FAILED_STATUS, await child.process.wait())

    async def test_a_failing_driver_leaves_no_process(self) -> None:
        with self.assertRaises(ZeroDivisionError):
            async with Fleet(self.fleet.directory) as fleet:
                await fleet.start_standin("configuration", "one")
                two = await fleet.start_standin("membership", "two")
                two.send(signal.SIGSTOP)
                raise ZeroDivisionError
        self.assertEqual([False, False], [child.running for child in fleet.children.values()])

    async def test_the_log_can_be_json(self) -> None:
        configuration = await self.fleet.start_standin("configuration", "configuration")
        child = await self.fleet.start_daemon(
            "entry/bac-a/0",
            role="entry",
            region="bac",
            zone="bac-a",
            log_json=True,
            configuration_url=local_url(configuration.port),
            membership_url=local_url(configuration.port),
        )
        await self.fleet.stop(child.name)
        events = [json.loads(line)["event"] for line in child.log_path.read_text().splitlines()]
        self.assertIn("started", events)
