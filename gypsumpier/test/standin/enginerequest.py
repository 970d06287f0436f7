"""Requests at a stand-in for a model engine, which has a limited number of slots."""

import asyncio
from typing import Final

from gypsumpier.test.standin.platform import UpstreamHandler

START_S: Final = 0.03
"""Seconds from the arrival of a request to its start, and between checks for a free slot."""


class EngineRequestHandler(UpstreamHandler):
    """Handles a request once the engine has a slot for it; drops it if its caller has left."""

    has_slot = False

    async def run(self) -> None:
        await asyncio.sleep(self.state.link_s)
        try:
            await super().run()
        finally:
            self.state.running -= self.has_slot

    def on_connection_close(self) -> None:
        # A close can't overtake its request.
        asyncio.get_running_loop().call_later(self.state.link_s, super().on_connection_close)

    async def wait_for_start(self, action: str) -> bool:
        self.state.waiting.append(self)
        try:
            while not self.has_slot:
                if await self.closes_within(START_S):
                    return False
                self.has_slot = self.state.has_slot_for(self)
        finally:
            self.state.waiting.remove(self)
        self.state.running += 1
        return await super().wait_for_start(action)
