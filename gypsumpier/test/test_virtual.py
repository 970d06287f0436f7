"""Tests of the virtual loop and of the in-memory network."""

import asyncio
import unittest

from gypsumpier.codes.wire import CONNECTION_CLOSED, CONNECTION_SILENT
from gypsumpier.errors import GypsumpierError
from gypsumpier.test.network import WINDOW_BYTES, Link, Network
from gypsumpier.test.virtual import NothingToWaitForError, VirtualClock, run
from gypsumpier.wire.connection import Connection
from gypsumpier.wire.stream import Stream


class VirtualTest(unittest.TestCase):
    def test_an_hour_passes_in_order_and_at_once(self) -> None:
        async def scenario() -> list[float]:
            clock = VirtualClock()
            woken: list[float] = []

            async def wake(after_s: float) -> None:
                await clock.sleep(after_s)
                woken.append(clock.monotonic())

            await asyncio.gather(wake(3600), wake(0.5), wake(7))
            return woken

        self.assertEqual([0.5, 7.0, 3600.0], run(scenario()))

    def test_tasks_that_wait_for_each_other_are_reported(self) -> None:
        async def scenario() -> None:
            await asyncio.Event().wait()

        with self.assertRaises(NothingToWaitForError):
            run(scenario())

    def test_a_silenced_connection_is_closed_by_its_heartbeats(self) -> None:
        async def scenario() -> tuple[Connection, float]:
            link = Link("one", "other", delay_s=0.001)
            clock = VirtualClock()
            ends = [Connection(s, clock, 1.0, 3.0) for s in (link.dialled, link.accepted)]
            readers = [asyncio.ensure_future(drain(end)) for end in ends]
            keepers = [asyncio.ensure_future(end.keep_alive()) for end in ends]
            await clock.sleep(60)
            self.assertFalse(ends[0].closed)
            link.silent = True
            await asyncio.gather(*keepers, *readers)
            return ends[0], clock.monotonic()

        end, closed_at_s = run(scenario())
        self.assertEqual(CONNECTION_SILENT, end.close_reason)
        self.assertTrue(62 < closed_at_s <= 64, closed_at_s)

    def test_a_stream_keeps_order_and_blocks_at_its_window(self) -> None:
        async def scenario() -> bytes:
            link = Link("one", "other", delay_s=0.2)
            await link.dialled.write(b"first ")
            link.delay_s = 0.0
            await link.dialled.write(b"second")
            await asyncio.sleep(1)
            received = await link.accepted.read()
            with self.assertRaises(TimeoutError):
                await asyncio.wait_for(link.dialled.write(bytes(WINDOW_BYTES + 1)), 5)
            link.cut()
            with self.assertRaises(GypsumpierError):
                await link.dialled.write(b"x")
            return received

        self.assertEqual(b"first second", run(scenario()))

    def test_a_partition_silences_links_and_stops_new_ones(self) -> None:
        async def scenario() -> None:
            network = Network()
            accepted: list[Stream] = []

            async def handler(stream: Stream) -> None:
                accepted.append(stream)

            network.listen("b", 1, handler)
            dialer = network.dialer("a")
            stream = await dialer.dial("b", 1, 1.0)
            network.partition("a", "b")
            await stream.write(b"lost")
            for port in (1, 2):
                with self.assertRaises(GypsumpierError) as caught:
                    await dialer.dial("b", port, 1.0)
                self.assertEqual(CONNECTION_CLOSED, caught.exception.code)
            network.heal("a", "b")
            again = await dialer.dial("b", 1, 1.0)
            await again.write(b"heard")
            await asyncio.sleep(0.1)
            self.assertEqual(b"heard", await accepted[1].read())
            with self.assertRaises(TimeoutError):
                await asyncio.wait_for(accepted[0].read(), 1)

        run(scenario())


async def drain(connection: Connection) -> None:
    """Read frames until the connection closes."""
    try:
        async for _ in connection.frames():
            pass
    except GypsumpierError:
        return
