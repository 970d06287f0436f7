"""Tests of documents with real processes: service outage, stale service at a restart, pauses."""

import asyncio
import json
import re
import tempfile
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any

from gypsumpier.test.builders_document import document_fields
from misc.child import Child
from misc.fleet import Fleet
from misc.http import get_json, post_json
from misc.testbed import administration_url, local_url

NAME = "lab-portal"
ZONES = ("bac-a", "nam-a")
TIMEOUT_S = 30.0
POLL_S = 0.05


class DocumentProcessTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.fleet = Fleet(Path(directory.name))
        await self.fleet.__aenter__()
        self.addAsyncCleanup(self.fleet.__aexit__, None, None, None)
        self.configuration = await self.fleet.start_standin("configuration", "configuration")
        self.membership = await self.fleet.start_standin("membership", "membership")
        self.daemons: dict[str, Child] = {}
        for zone in ZONES:
            for number in range(3):
                await self.start(f"entry/{zone}/{number}")
        await self.start(f"{NAME}/bac-a/0")

    async def start(self, name: str) -> None:
        """Start the process with this name and put it on the member list."""
        kind, zone, _ = name.split("/")
        settings: dict[str, Any] = {"role": "entry"}
        if kind != "entry":
            settings = {"role": "agent", "service": kind, "upstream_kind": "plain"}
            settings["upstream_url"] = local_url(self.membership.port)
        child = await self.fleet.start_daemon(
            name,
            region=zone[:3],
            zone=zone,
            configuration_url=local_url(self.configuration.port),
            membership_url=local_url(self.membership.port),
            **settings,
        )
        self.daemons[name] = child
        status = await get_json(f"{administration_url(child)}/v1/status")
        member = {
            "name": name,
            "incarnation": status["incarnation"],
            "role": settings["role"],
            "service": settings.get("service", ""),
            "region": zone[:3],
            "zone": zone,
            "host": "127.0.0.1",
            "port": child.ports["port"],
            "bulk_port": child.ports["bulk_port"],
        }
        await post_json(f"{local_url(self.membership.port)}/control/put", member)

    async def publish(self, revision_of: int) -> int:
        """Publish an edit with this value of ``max_unavailable``; return its revision."""
        fields = document_fields(service=NAME, kind="plain", max_unavailable=revision_of)
        for field in ("model", "versions", "live_by"):
            del fields[field]
        body = {"name": NAME, "body": json.dumps(fields)}
        return int((await self.control("put", body))["revision"])

    async def control(self, action: str, body: dict[str, Any]) -> dict[str, Any]:
        """Send a control action to the configuration service."""
        return await post_json(f"{local_url(self.configuration.port)}/control/{action}", body)

    async def revision(self, name: str) -> int:
        """Return the revision in force at an instance, 0 where there is none."""
        url = f"{administration_url(self.daemons[name])}/v1/documents"
        rows = (await get_json(url))["documents"]
        return next((int(row["revision"]) for row in rows if row["name"] == NAME), 0)

    async def is_watcher(self, name: str) -> bool:
        """Return whether an instance watches the service."""
        status = await get_json(f"{administration_url(self.daemons[name])}/v1/status")
        return bool(status["details"]["spread"]["is_watcher"])

    async def wait_all(self, revision: int, is_meant: Callable[[str], bool]) -> None:
        """Wait until the revision is in force at all selected instances."""
        async with asyncio.timeout(TIMEOUT_S):
            for name in filter(is_meant, self.daemons):
                while await self.revision(name) < revision:
                    await asyncio.sleep(POLL_S)

    async def test_edits_reach_every_process_under_faults(self) -> None:
        await self.wait_all(await self.publish(1), lambda name: True)
        await self.control("down", {"on": True})
        second = await self.publish(2)
        await self.control("down", {"on": False})
        await self.wait_all(second, lambda name: True)

        watchers = [name for name in self.daemons if await self.is_watcher(name)]
        self.assertEqual({"entry"}, {name.split("/")[0] for name in watchers})
        paused = [name for name in watchers if "/nam-a/" in name]
        for name in paused:
            self.fleet.freeze(name)
        third = await self.publish(3)
        await self.wait_all(third, lambda name: name not in paused)
        for name in paused:
            self.fleet.thaw(name)
        await self.wait_all(third, lambda name: True)

        await self.control("stale", {"position": 1})
        for name in ("entry/nam-a/0", f"{NAME}/bac-a/0"):
            await self.fleet.kill(name)
            log = self.daemons[name].log_path
            before = len(log.read_text())
            await self.start(name)
            await self.wait_all(third, {name}.__contains__)
            accepted = re.findall(r"event=document_accepted .*", log.read_text()[before:])
            self.assertEqual(1, len(accepted), accepted)
            self.assertIn(f"revision={third}", accepted[0])
