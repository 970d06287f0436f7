"""The closing handshake on the connections of a stopping agent.

A frame in transit when a process closes its connections would be lost unread.  So the agent asks
each entry to send nothing more, and waits until the entry has confirmed that nothing more follows.
"""

import contextlib
from typing import Final

from gypsumpier.agent.listener import Listener
from gypsumpier.errors import GypsumpierError

CLOSING_WAIT_S: Final = 1.0
CLOSING_POLL_S: Final = 0.02


async def drain_connections(listener: Listener) -> None:
    """Wait until every frame that the entries had sent is answered.

    An entry that does not confirm within ``CLOSING_WAIT_S`` is not waited for any longer.
    """
    listener.awaiting_closed = set(listener.connections)
    for connection in list(listener.awaiting_closed):
        with contextlib.suppress(GypsumpierError):
            await connection.send("closing", {})
    until_s = listener.clock.monotonic() + CLOSING_WAIT_S
    while listener.awaiting_closed & listener.connections and listener.clock.monotonic() < until_s:
        await listener.clock.sleep(CLOSING_POLL_S)
    await listener.gate.drain()
