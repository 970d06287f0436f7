"""Runs a session on a connection between two entries, on either side."""

import asyncio
from collections.abc import Callable

from gypsumpier.spread.identity import Identity
from gypsumpier.spread.message import is_control
from gypsumpier.spread.spread import Spread
from gypsumpier.wire.connection import Connection


async def serve(
    connection: Connection, spread: Spread, peer: Identity, heard: Callable[[], None]
) -> None:
    """Serve the connection until it closes; call ``heard`` with each frame of the peer.

    Raises GypsumpierError with the code that closed the connection.
    """
    keep_alive = asyncio.create_task(connection.keep_alive())
    session = spread.attach(connection, peer)
    try:
        async for frame in connection.frames():
            heard()
            if is_control(frame.kind):
                session.handle(frame)
    finally:
        keep_alive.cancel()
        connection.close()
        await spread.detach(session)
