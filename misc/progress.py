"""Waits for conditions on a running deployment, read from the administration API."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any, Final

from misc.child import Child
from misc.http import get_json
from misc.testbed import Testbed, administration_url

POLL_S: Final = 0.25
REPORT_INTERVAL_S: Final = 5.0


class ConditionTimeoutError(Exception):
    """A condition was not met before the timeout; the message names what was missing."""


async def wait_until(
    missing: Callable[[], Awaitable[list[str]]], timeout_s: float, print_line: Callable[[str], None]
) -> None:
    """Poll until nothing is missing and print what is every REPORT_INTERVAL_S seconds.

    Raises ConditionTimeoutError after ``timeout_s`` seconds.
    """
    deadline_s = time.monotonic() + timeout_s
    reported_at_s = time.monotonic()
    while names := await missing():
        now_s = time.monotonic()
        if now_s > deadline_s:
            raise ConditionTimeoutError(f"after {timeout_s:g} s: {', '.join(names)}")
        if now_s - reported_at_s > REPORT_INTERVAL_S:
            reported_at_s = now_s
            print_line(f"waiting for {len(names)}: {', '.join(names[:4])}")
        await asyncio.sleep(POLL_S)


async def agents_not_live(testbed: Testbed, version: str) -> list[str]:
    """Return the model agents whose engine does not serve exactly this version."""
    models = {slot.name for slot in testbed.deployment.slots() if slot.kind == "model"}
    children = [child for name, child in testbed.agents.items() if name in models]
    found = await asyncio.gather(*(get_upstreams(child) for child in children))
    return [
        child.name
        for child, views in zip(children, found, strict=True)
        if any(live_versions(view) != {version} for view in views)
    ]


async def entries_not_ready(testbed: Testbed, version: str) -> list[str]:
    """Return the entries that do not see every upstream healthy, and models at the version."""
    slots = testbed.deployment.slots()
    children = list(testbed.entries.values())
    found = await asyncio.gather(*(get_upstreams(child) for child in children))
    wanted = {slot.name: {version} if slot.kind == "model" else set() for slot in slots}
    return [
        child.name
        for child, views in zip(children, found, strict=True)
        if ready_versions(views) != wanted
    ]


def ready_versions(views: list[dict[str, Any]]) -> dict[str, set[str]]:
    """Return the live versions of each healthy upstream."""
    return {view["name"]: live_versions(view) for view in views if view["healthy"]}


def live_versions(view: dict[str, Any]) -> set[str]:
    """Return the versions that an upstream reports as live."""
    return {model["version"] if isinstance(model, dict) else model[1] for model in view["live"]}


async def get_upstreams(child: Child) -> list[dict[str, Any]]:
    """Return the process's current view of the upstreams."""
    found: list[dict[str, Any]] = (await get_json(f"{administration_url(child)}/v1/upstreams"))[
        "upstreams"
    ]
    return found
