"""Tests of the age of a message that waits in this process for the one read before it."""

import unittest
from typing import Any, Final

from gypsumpier.mesh.link import MeshLink
from gypsumpier.mesh.mesh import Mesh
from gypsumpier.mesh.peer import Peer
from gypsumpier.test.builders_frame import SettableClock
from gypsumpier.test.fakes_piece import entry_peer
from gypsumpier.wire.connection import HEARTBEAT, Connection
from gypsumpier.wire.frame import Frame, encode

SLOW: Final = "slow"
AGED: Final = "aged"
HANDLING_S: Final = 0.5


class ReadOnceStream:
    """A stream that returns its content in one read, and nothing after it."""

    def __init__(self, content: bytes) -> None:
        self.content = content

    async def read(self) -> bytes:
        content, self.content = self.content, b""
        return content

    async def write(self, content: bytes) -> None:
        raise NotImplementedError

    def close(self) -> None:
        return None


class HandlingDelayTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_message_is_older_by_the_handling_of_the_one_before_it(self) -> None:
        """Guards against late proofs and versions: a large snapshot is read with what follows."""
        clock = SettableClock()
        kinds = (HEARTBEAT, SLOW, AGED)
        frames = [Frame(kind, "", 0, clock.now_s, {}) for kind in kinds]
        stream = ReadOnceStream(b"".join(encode(frame) for frame in frames))
        connection = Connection(stream, clock, 1.0, 3.0)
        mesh = Mesh(entry_peer("front-bac-a-1", "bac-a"), (), None)  # type: ignore[arg-type]
        mesh.clock = clock  # type: ignore[assignment]
        delays_s: list[float] = []

        def handle_slowly(peer: Peer, payload: dict[str, Any]) -> None:
            clock.now_s += HANDLING_S

        mesh.listeners[SLOW] = handle_slowly
        mesh.aged_listeners[AGED] = lambda peer, payload, delay_s: delays_s.append(delay_s)
        link = MeshLink(entry_peer("front-bac-a-2", "bac-a"), connection)
        async for frame in connection.frames():
            mesh.dispatch(link, frame)
            if frame.kind == AGED:
                connection.close()
        self.assertAlmostEqual(HANDLING_S, delays_s[0])


if __name__ == "__main__":
    unittest.main()
