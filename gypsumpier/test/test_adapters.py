"""Tests of the HTTP adapters against the stand-ins, in one event loop."""

import asyncio
import json
import socket
import tempfile
import unittest
from pathlib import Path
from typing import Any, Final

from tornado.web import Application

from gypsumpier.codes.platform import (
    ORDER_FENCED,
    PLATFORM_BAD_ANSWER,
    PLATFORM_REFUSED,
    PLATFORM_UNREACHABLE,
)
from gypsumpier.codes.result import ResultCode
from gypsumpier.errors import GypsumpierError
from gypsumpier.external.configuration import DocumentRevision
from gypsumpier.external.configuration_http import HttpConfiguration
from gypsumpier.external.engine import Completion, EngineEvent, LoadOrder
from gypsumpier.external.engine_http import HttpEngine
from gypsumpier.external.membership_http import HttpMembership
from gypsumpier.external.service import ServiceCall
from gypsumpier.external.service_http import HttpService
from gypsumpier.external.store import WeightFile, version_digest
from gypsumpier.external.store_http import HttpStore
from gypsumpier.test import builders
from gypsumpier.test.standin import configuration, engine, membership, service, store
from gypsumpier.test.standin.answer import answer
from gypsumpier.test.standin.batch import BatchOptions
from gypsumpier.test.standin.server import listen
from gypsumpier.test.standin.store import CHUNK_BYTES
from gypsumpier.test.standin.weights import Weights
from gypsumpier.weight.publication import published_file

EVENT_LAG_S: Final = 60.0
"""Seconds after which the stand-in engine shows a cache event; longer than any test takes."""

PROMPT = "Summarise run 17 of the accelerometer at table 3. " * 4


class AdapterTest(unittest.IsolatedAsyncioTestCase):
    def serve(self, application: Application) -> str:
        """Serve the stand-in for this test; return its URL."""
        server, port = listen(application)
        self.addCleanup(server.stop)
        return f"http://127.0.0.1:{port}"

    async def assert_refused(self, code: ResultCode, call: Any) -> GypsumpierError:
        """Assert that the awaited call raises the code; return the exception."""
        with self.assertRaises(GypsumpierError) as caught:
            await call
        self.assertEqual(code, caught.exception.code, str(caught.exception))
        return caught.exception


class ConfigurationAdapterTest(AdapterTest):
    def setUp(self) -> None:
        self.state = configuration.ConfigurationState()
        self.adapter = HttpConfiguration(self.serve(configuration.make_application(self.state)))

    async def test_watch_returns_changes_deletions_and_nothing_at_the_timeout(self) -> None:
        await self.state.put("a", "{}")
        watch = asyncio.ensure_future(self.adapter.watch(1, 5.0))
        while not self.state.counts["watch"]:
            await asyncio.sleep(0)
        await self.state.put("a", None)
        self.assertEqual([DocumentRevision("a", 2, None)], (await watch).documents)
        self.assertEqual((2, []), await self.adapter.watch(2, 0.01))
        self.assertEqual(2, self.state.counts["watch"])

    async def test_faults(self) -> None:
        await self.state.put("a", "old")
        await self.state.put("a", "new")
        self.state.stale_position = 1
        self.assertEqual(
            [DocumentRevision("a", 1, b"old")], (await self.adapter.read_all()).documents
        )
        self.state.calls_per_s = 0
        error = await self.assert_refused(PLATFORM_REFUSED, self.adapter.read_all())
        self.assertEqual(1, error.retry_after_s)
        self.state.down = True
        await self.assert_refused(PLATFORM_REFUSED, self.adapter.read_all())


class MembershipAdapterTest(AdapterTest):
    async def test_members_appear_after_the_lag(self) -> None:
        state = membership.MembershipState()
        adapter = HttpMembership(self.serve(membership.make_application(state)))
        first = builders.agent(0)
        state.change(first.name, first._asdict())
        self.assertEqual([first], await adapter.members())
        state.lag_s = 3600
        state.change(first.name, None)
        self.assertEqual([first], await adapter.members())
        state.lag_s = 0
        self.assertEqual([], await adapter.members())

    async def test_an_unchanged_list_is_not_sent_again(self) -> None:
        state = membership.MembershipState()
        adapter = HttpMembership(self.serve(membership.make_application(state)))
        state.put_all([builders.agent(number)._asdict() for number in range(1000)])
        first = await adapter.members()
        first_bytes = state.bytes_sent
        self.assertEqual(first, await adapter.members())
        # Only headers are sent: the content alone would be as large as the first answer.
        self.assertLess(state.bytes_sent - first_bytes, first_bytes / 2)
        state.change(first[0].name, None)
        self.assertEqual(first[1:], await adapter.members())


class StoreAdapterTest(AdapterTest):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        builders.write_weights(Path(folder.name), "gypsum", "v1", 4096)
        self.state = store.StoreState(Path(folder.name))
        self.adapter = HttpStore(self.serve(store.make_application(self.state)))

    async def test_ranges_corruption_and_replacement(self) -> None:
        files = await self.adapter.files("gypsum", "v1")
        largest = max(files, key=lambda file: file.size_bytes)
        whole = await self.adapter.read("gypsum", "v1", largest.path, 0, largest.size_bytes)
        self.state.corrupt_reads = 1
        part = await self.adapter.read("gypsum", "v1", largest.path, 100, 50)
        self.assertNotEqual(whole[100:150], part)
        self.assertEqual(
            whole[100:150], await self.adapter.read("gypsum", "v1", largest.path, 100, 50)
        )
        past_end = self.adapter.read("gypsum", "v1", largest.path, largest.size_bytes - 1, 2)
        await self.assert_refused(PLATFORM_BAD_ANSWER, past_end)
        self.state.replaced[f"gypsum/v1/{largest.path}"] = b"other"
        self.assertNotEqual(files, await self.adapter.files("gypsum", "v1"))

    async def test_refusal_over_the_rate(self) -> None:
        self.state.refuse = True
        self.state.bytes_per_s = 1.0
        self.state.reserve(1000)
        read = self.adapter.read("gypsum", "v1", "config.json", 0, 4)
        await self.assert_refused(PLATFORM_REFUSED, read)


class EngineAdapterTest(AdapterTest):
    async def asyncSetUp(self) -> None:
        self.state = self.engine_state(fencing=True)
        self.adapter = HttpEngine(self.serve(engine.make_application(self.state)))

    def engine_state(self, fencing: bool) -> engine.EngineState:
        """Return a running engine stand-in."""
        state = engine.EngineState(BatchOptions(step_s=0.001), Weights(1 << 20, 0.0, fencing))
        state.start()
        self.addCleanup(state.stop)
        return state

    async def load(self, content: bytes, digest: str, fence: int = 5) -> None:
        """Stage and load version v1 and wait until it is live."""
        loads = self.state.weights.loads
        await self.adapter.stage(digest, "a", 0, content[:3])
        await self.adapter.stage(digest, "a", 3, content[3:])
        await self.adapter.load(LoadOrder("gypsum", "v1", digest, fence))
        while self.state.weights.loads == loads:
            await asyncio.sleep(0.001)

    async def events(self, stream_id: str) -> list[EngineEvent]:
        """Run a generation to its end."""
        body: dict[str, object] = {"prompt": PROMPT}
        completion = Completion(stream_id, "gypsum", "v1", 1, body)
        return [event async for event in self.adapter.complete(completion)]

    async def test_a_partial_load_is_visible(self) -> None:
        content = b"tensors"
        digest = version_digest([store_file("a", content)])
        await self.load(content[:5], digest)
        self.assertEqual(1, self.state.weights.partial_or_mixed_loads)
        self.assertNotEqual(digest, (await self.adapter.status()).live[0].digest)
        await self.load(content, digest)
        self.assertEqual(1, self.state.weights.partial_or_mixed_loads)
        self.assertEqual(digest, (await self.adapter.status()).live[0].digest)

    async def test_old_orders_are_fenced_or_not(self) -> None:
        old = LoadOrder("gypsum", "v1", "d", 4)
        self.state.weights.highest_fence = 5
        await self.assert_refused(ORDER_FENCED, self.adapter.load(old))
        self.state.weights.fencing = False
        await self.adapter.load(old)
        self.assertEqual(2, self.state.weights.stale_orders)

    async def test_answers_are_whole_and_can_be_resumed_and_cancelled(self) -> None:
        await self.load(b"tensors", "d")
        events = await self.events("one")
        self.assertEqual(answer("v1", PROMPT), [event.text for event in events[:-1]])
        self.assertEqual(("stop", len(events) - 1), (events[-1].finish_reason, events[-1].position))
        self.assertEqual(events[3:], [e async for e in self.adapter.resume("one", 3)])
        body: dict[str, object] = {"prompt": PROMPT, "max_tokens": 100_000}
        stream = self.adapter.complete(Completion("two", "gypsum", "v1", 1, body))
        await anext(stream)
        await self.adapter.cancel("two")
        rest = [event async for event in stream]
        self.assertEqual("cancelled", rest[-1].finish_reason)

    async def test_refusals_guarantee_that_nothing_was_run(self) -> None:
        await self.assert_refused(PLATFORM_REFUSED, self.events("one"))
        self.assertEqual(0, self.state.arrivals)

    async def test_cache_events_come_late_and_with_gaps(self) -> None:
        cache = self.state.batch.cache
        cache.options = cache.options._replace(event_lag_s=EVENT_LAG_S)
        await self.load(b"tensors", "d")
        await self.events("one")
        self.assertEqual([], await self.adapter.cache_events(0))
        events = self.state.batch.cache.events
        self.state.batch.cache.events = [(float("-inf"), event) for _, event in events]
        seen = await self.adapter.cache_events(1)
        self.assertEqual(len([e for _, e in events if e["sequence"] > 1]), len(seen))


class ServiceAdapterTest(AdapterTest):
    async def test_a_run_is_counted_and_a_timeout_after_sending_may_have_run(self) -> None:
        state = service.ServiceState()
        adapter = HttpService(self.serve(service.make_application(state)))
        call = ServiceCall("POST", "/commands?x=1", {"Idempotency-Key": "k"}, b"{}")
        answered = await adapter.call(call, 5.0)
        self.assertEqual((200, "/commands?x=1"), (answered.status, path_of(answered.body)))
        state.delay_s = 0.2
        await self.assert_refused(PLATFORM_BAD_ANSWER, adapter.call(call, 0.05))
        await asyncio.sleep(0.3)
        self.assertEqual({"k": 2}, state.keys)
        self.assertTrue(await adapter.healthy())

    async def test_a_refused_connection_was_not_sent(self) -> None:
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            adapter = HttpService(f"http://127.0.0.1:{unused.getsockname()[1]}")
            call = ServiceCall("GET", "/", {}, b"")
            await self.assert_refused(PLATFORM_UNREACHABLE, adapter.call(call, 5.0))
            self.assertFalse(await adapter.healthy())

    async def test_a_connection_cut_after_sending_may_have_run(self) -> None:
        async def cut(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readline()
            writer.close()

        server = await asyncio.start_server(cut, "127.0.0.1", 0)
        self.addCleanup(server.close)
        adapter = HttpService(f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}")
        call = ServiceCall("POST", "/", {}, b"{}")
        await self.assert_refused(PLATFORM_BAD_ANSWER, adapter.call(call, 5.0))


def path_of(body: bytes) -> str:
    """Return the request path that the service stand-in echoed."""
    return str(json.loads(body)["path"])


def store_file(path: str, content: bytes) -> WeightFile:
    """Return the entry of a file list for the content."""
    return published_file(path, content, CHUNK_BYTES)
