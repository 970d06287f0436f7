"""Runs a session on a connection between two entries, on the dialling or the accepting side."""

import asyncio
from collections.abc import Callable

from gypsumpier.spread.identity import Identity
from gypsumpier.spread.message import is_control
from gypsumpier.spread.spread import Spread
from gypsumpier.wire.connection import Connection
from gypsumpier.wire.payload import bad_frame_on_error


async def serve(
    connection: Connection, spread: Spread, peer: Identity, on_frame: Callable[[], None]
) -> None:
    """Serve the connection until it closes; call ``on_frame`` for each received frame.

    Raises GypsumpierError with the code that closed the connection.
    """
    keep_alive = asyncio.create_task(connection.keep_alive())
    session = spread.attach(connection, peer)
    try:
        async for frame in connection.frames():
            on_frame()
            if is_control(frame.kind):
                with bad_frame_on_error(frame):
                    session.handle(frame)
    finally:
        keep_alive.cancel()
        connection.close()
        await spread.detach(session)
