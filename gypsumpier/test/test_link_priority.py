"""Tests that pieces of weights do not delay what is urgent on a connection between processes."""

import asyncio
import socket
import unittest
from typing import Any, Final

from tornado.iostream import IOStream

from gypsumpier.errors import GypsumpierError
from gypsumpier.fleet.node import Address
from gypsumpier.mesh.link import SEND_QUEUE_MAX
from gypsumpier.mesh.mesh import Mesh
from gypsumpier.mesh.peer import Peer
from gypsumpier.test.narrownetwork import NarrowNetwork
from gypsumpier.test.virtualtime import run_at_virtual_time
from gypsumpier.wire.tcp import TcpStream

PIECE: Final = "piece"
NEWS: Final = "news"
OTHER: Final = "other"
BURST: Final = 16
"""Messages that are posted at once beside the pieces that wait."""
ANSWER_S: Final = 15.0
"""Seconds for all pieces: 255 of them take 7.2 s over the link between regions."""
PIECE_BYTES: Final = 49_152
PIECES: Final = 24
LINK_MBPS: Final = 20.0
NEWS_LATE_MAX_S: Final = 0.15
"""Seconds for a small message beside pieces, which take 0.67 s over the link between regions."""
SOCKET_BUFFER_BYTES: Final = 16 * 1024
CHUNK_BYTES: Final = 8 * 1024
CHUNKS_MAX: Final = 1024
ACCEPTED_MAX_BYTES: Final = 256 * 1024
"""Bytes that a socket may take whose peer does not read; without a limit they are megabytes."""
WRITE_TIMEOUT_S: Final = 0.2


class LinkPriorityTest(unittest.TestCase):
    def test_a_small_message_overtakes_pieces_that_wait_for_the_link(self) -> None:
        """Guards against proofs that are as late as the pieces in front of them."""
        late_s = run_at_virtual_time(self.news_beside_pieces())
        self.assertLess(late_s, NEWS_LATE_MAX_S)

    def test_pieces_that_wait_do_not_close_the_connection(self) -> None:
        """Guards against a connection that is lost for pieces which wait behind a few messages."""
        late_s = run_at_virtual_time(self.news_beside_pieces(SEND_QUEUE_MAX - 1, BURST))
        self.assertLess(late_s, NEWS_LATE_MAX_S)

    async def news_beside_pieces(self, pieces: int = PIECES, others: int = 0) -> float:
        """Return how long a message takes that is posted after the answers with pieces.

        It follows on ``others`` that are posted together with it.
        """
        network = NarrowNetwork()
        loop = asyncio.get_running_loop()
        meshes = []
        for name, region in (("front-1", "bac"), ("front-2", "nam")):
            network.add_host(name, region, LINK_MBPS)
            own = Peer(name, "entry", region, region, name, 1, "run")
            mesh = Mesh(own, (Address("front-1", 1),), network.dialer(name))
            network.listen(name, 1, mesh.accept)
            meshes.append(mesh)
        sender, receiver = meshes
        answered = asyncio.Event()

        async def answer(peer: Peer, payload: dict[str, Any]) -> dict[str, Any]:
            answered.set()
            return {"content": bytes(PIECE_BYTES)}

        sender.request_handlers[PIECE] = answer
        sender.bulk_kinds.add(PIECE)
        arrived: asyncio.Future[float] = loop.create_future()
        receiver.listeners[NEWS] = lambda peer, payload: arrived.set_result(loop.time())
        receiver.start()
        await asyncio.sleep(1.0)
        link = receiver.link("front-1")
        assert link is not None
        requests = [asyncio.create_task(link.request(PIECE, {}, ANSWER_S)) for _ in range(pieces)]
        await answered.wait()
        await asyncio.sleep(0.05)
        posted_at_s = loop.time()
        for _ in range(others):
            sender.post("front-2", OTHER, {})
        sender.post("front-2", NEWS, {})
        async with asyncio.timeout(ANSWER_S):
            late_s = await arrived - posted_at_s
        await asyncio.gather(*requests)
        await receiver.stop()
        await sender.stop()
        return late_s


class UnsentBytesTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_write_waits_while_the_kernel_holds_what_is_not_in_transit(self) -> None:
        """Guards against megabytes in a socket's buffer, which nothing urgent can overtake."""
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
        self.addCleanup(listener.close)
        dialled = socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()
        self.addCleanup(accepted.close)
        dialled.setblocking(False)
        stream = IOStream(dialled)
        self.addCleanup(stream.close)
        tcp_stream = TcpStream(stream)
        accepted_bytes = 0
        for _ in range(CHUNKS_MAX):
            writing = asyncio.create_task(tcp_stream.write(bytes(CHUNK_BYTES)))
            done, _ = await asyncio.wait({writing}, timeout=WRITE_TIMEOUT_S)
            if not done:
                stream.close()
                await asyncio.wait({writing})
                self.assertIsInstance(writing.exception(), GypsumpierError)
                break
            accepted_bytes += CHUNK_BYTES
        self.assertLess(accepted_bytes, ACCEPTED_MAX_BYTES)


if __name__ == "__main__":
    unittest.main()
