"""Changes and silences in series, which run beside faults and planned changes until cancelled."""

import asyncio
import random
import time
from typing import Final

from misc.faulting.actions import Window
from misc.soaking.deployment import SoakDeployment

CONFIGURATION_INTERVAL_S: Final = (0.4, 1.5)
SILENCE_S: Final = 1.2
"""Seconds of a silence of an upstream that is no fault by the platform's rules."""
SILENCE_PAUSE_S: Final = (0.3, 2.0)


class Series:
    """Draws the intervals of each series; silences are added to ``windows``."""

    def __init__(
        self, deployment: SoakDeployment, rng: random.Random, windows: list[Window]
    ) -> None:
        self.deployment = deployment
        self.rng = rng
        self.windows = windows

    async def configure_often(self) -> None:
        """Change the configuration in short intervals."""
        while True:
            self.deployment.configure()
            await asyncio.sleep(self.rng.uniform(*CONFIGURATION_INTERVAL_S))

    async def be_silent(self) -> None:
        """Hold back what one upstream after the other sends and gets."""
        while True:
            name = self.rng.choice(sorted(self.deployment.upstreams))
            flows = self.deployment.proxies[name].flows
            window = Window("be_silent", name, True, time.monotonic())
            self.windows.append(window)
            flows.clear()
            try:
                await asyncio.sleep(SILENCE_S)
            finally:
                flows.set()
                window.ended_at_s = time.monotonic()
            await asyncio.sleep(self.rng.uniform(*SILENCE_PAUSE_S))


async def end(tasks: list[asyncio.Task[None]]) -> None:
    """Cancel tasks that run until then, and wait until they have ended."""
    for task in tasks:
        task.cancel()
    await asyncio.wait(tasks)
