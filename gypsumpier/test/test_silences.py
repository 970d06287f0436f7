"""Tests of what entries tell each other of silent engines, in virtual time.

The pattern is that of the incident GONE of the grown Rung Lab deployment: engines stood still, and
requests that left them went to others that stood still as well, where places had become free.
"""

import asyncio
import time
import unittest
from collections.abc import Callable, Coroutine
from typing import Any, Final
from unittest import mock

from gypsumpier.fleet.upstream import UpstreamRecord
from gypsumpier.gateway.request import GatewayRequest
from gypsumpier.gateway.silenceshare import STALL_S
from gypsumpier.gateway.streamwatch import STREAM_PAUSE_S
from gypsumpier.test.builders_gateway import engines_in, request_of
from gypsumpier.test.builders_platform import ENGINES
from gypsumpier.test.simulated_entries import SimulatedEntries, simulate
from gypsumpier.test.simulated_entry import SimulatedEntry
from gypsumpier.upstream.silences import SILENCE_MAX_S

ZONES: Final = ("bac-a", "nam-a")
KNOWN_S: Final = 0.15
"""Seconds within which entries of one zone know that an engine is silent."""
KNOWN_IN_ALL_ZONES_S: Final = 0.4
EVENT_PAUSE_S: Final = 0.12
SLOTS: Final = 12


class SilencesTest(unittest.TestCase):
    """Ten entries and four engines by turns in two zones, i-1 and i-3 in the first one."""

    def play(self, scenario: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run a scenario, in which ``self.fleet`` exchanges its news."""

        async def run() -> None:
            self.fleet = SimulatedEntries(engines_in(ZONES, 4, slots=SLOTS), 10, ZONES)
            await self.fleet.start()
            await asyncio.sleep(0.1)
            await scenario()

        simulate(run())

    def record(self, name: str) -> UpstreamRecord:
        return self.fleet.state.upstreams[name]

    def entries_in(self, zone: str) -> list[SimulatedEntry]:
        return [entry for entry in self.fleet.entries if entry.selector.zone == zone]

    def occupy(self, entries: list[SimulatedEntry], name: str) -> None:
        """Let each entry have a request in flight at the engine."""
        for entry in entries:
            entry.selector.begin(self.record(name), 0)

    def find_silent(self, entries: list[SimulatedEntry], name: str) -> None:
        """Let each entry find the engine silent, as its request there gets no answer."""
        for entry in entries:
            entry.selector.silences.record_found(self.record(name).run_key())

    def hear(self, entries: list[SimulatedEntry], name: str) -> None:
        for entry in entries:
            entry.selector.record_heard(self.record(name))

    def users(self, name: str) -> list[str]:
        """Return the entries that may send a request to the engine, by name."""
        record = self.record(name)
        return [
            entry.mesh.own.name for entry in self.fleet.entries if entry.selector.is_usable(record)
        ]

    # Guards against requests that leave a silent engine for one that other entries know is silent.
    def test_an_engine_that_entries_find_silent_gets_no_request_of_any(self) -> None:
        async def scenario() -> None:
            witnesses = self.entries_in("bac-a")[:3]
            self.occupy(witnesses, "i-1")
            self.find_silent(witnesses, "i-1")
            await asyncio.sleep(KNOWN_S)
            local = {entry.mesh.own.name for entry in self.entries_in("bac-a")}
            self.assertFalse(local & set(self.users("i-1")))
            await asyncio.sleep(KNOWN_IN_ALL_ZONES_S)
            self.assertEqual([], self.users("i-1"))
            selector = self.fleet.entries[-1].selector
            excluded = {self.record(name).run_key() for name in ("i-2", "i-3", "i-4")}
            self.assertIsNone(selector.choose(selector.candidates(ENGINES), excluded))
            self.assertEqual(10, len(self.users("i-3")))

        self.play(scenario)

    # Guards against leaving an engine out that has gone on.
    def test_an_engine_that_goes_on_is_used_again_at_once(self) -> None:
        async def scenario() -> None:
            witnesses = self.entries_in("bac-a")[:3]
            self.occupy(witnesses, "i-1")
            self.find_silent(witnesses, "i-1")
            await asyncio.sleep(KNOWN_IN_ALL_ZONES_S)
            self.hear(witnesses, "i-1")
            await asyncio.sleep(KNOWN_S)
            self.assertEqual(10, len(self.users("i-1")))

        self.play(scenario)

    # Guards against taking sound engines for silent on the word of an entry with a fault of its
    # own.
    def test_one_entry_alone_is_not_believed(self) -> None:
        async def scenario() -> None:
            self.occupy(self.fleet.entries[:1], "i-1")
            self.find_silent(self.fleet.entries[:1], "i-1")
            await asyncio.sleep(KNOWN_IN_ALL_ZONES_S)
            self.assertEqual(10, len(self.users("i-1")))

        self.play(scenario)

    # Guards against the same where a few of many entries have that fault.
    def test_fewer_than_half_of_the_entries_with_requests_are_not_believed(self) -> None:
        async def scenario() -> None:
            local = self.entries_in("bac-a")
            self.occupy(local, "i-1")
            self.find_silent(local[:2], "i-1")
            await asyncio.sleep(KNOWN_IN_ALL_ZONES_S)
            self.assertEqual(10, len(self.users("i-1")))

        self.play(scenario)

    # Guards against a zone that is cut off and declares the engines of all others silent.
    def test_the_entries_of_a_zone_are_believed_by_others_for_its_own_engines_only(self) -> None:
        async def scenario() -> None:
            local = self.entries_in("bac-a")
            self.occupy(local, "i-2")
            self.find_silent(local, "i-2")
            await asyncio.sleep(KNOWN_IN_ALL_ZONES_S)
            others = {entry.mesh.own.name for entry in self.entries_in("nam-a")}
            self.assertEqual(others, set(self.users("i-2")))

        self.play(scenario)

    # Guards against entries that stood still and report as they wake that all engines did.
    def test_entries_that_stood_still_report_nothing(self) -> None:
        async def scenario() -> None:
            local = self.entries_in("bac-a")[:3]
            self.occupy(local, "i-1")
            for entry in local:
                entry.silence_share.looked_at_s -= 2 * STALL_S
            await asyncio.sleep(0.1)
            self.find_silent(local, "i-1")
            await asyncio.sleep(KNOWN_S)
            self.assertEqual(10, len(self.users("i-1")))

        self.play(scenario)

    # Guards against an engine that nobody would try again.
    def test_an_engine_without_requests_that_would_tell_of_its_return_may_be_tried(self) -> None:
        async def scenario() -> None:
            witnesses = self.entries_in("bac-a")[:3]
            self.occupy(witnesses, "i-1")
            self.find_silent(witnesses, "i-1")
            await asyncio.sleep(KNOWN_S)
            for entry in witnesses:
                entry.selector.end(self.record("i-1"), 0)
            await asyncio.sleep(KNOWN_IN_ALL_ZONES_S)
            self.assertEqual(10, len(self.users("i-1")))

        self.play(scenario)

    # Guards against leaving a sound engine out because old connections to it are lost.
    def test_a_silence_that_does_not_end_is_reported_for_a_while_only(self) -> None:
        async def scenario() -> None:
            witnesses = self.entries_in("bac-a")[:3]
            self.occupy(witnesses, "i-1")
            for _ in range(int(SILENCE_MAX_S / 0.2) + 3):
                self.find_silent(witnesses, "i-1")
                await asyncio.sleep(0.2)
            self.assertEqual(10, len(self.users("i-1")))

        self.play(scenario)

    # Guards against leaving out plain services, whose answers may just take long.
    def test_a_plain_service_is_not_reported(self) -> None:
        async def scenario() -> None:
            witnesses = self.entries_in("bac-a")
            self.occupy(witnesses, "i-1")
            self.find_silent(witnesses, "i-1")
            with mock.patch("gypsumpier.upstream.selector.UpstreamSelector.model", lambda *_: None):
                await asyncio.sleep(KNOWN_S)
            self.assertEqual(10, len(self.users("i-1")))

        self.play(scenario)

    # Guards against a second in which requests are sent to an engine whose streams have stopped.
    def test_an_engine_whose_streams_pause_is_known_before_they_are_given_up(self) -> None:
        async def scenario() -> None:
            witnesses = self.entries_in("bac-a")[:3]
            streams = [start_stream(entry, self.record("i-1")) for entry in witnesses]
            await asyncio.sleep(EVENT_PAUSE_S)
            for stream in streams:
                stream.record_event()
            await asyncio.sleep(STREAM_PAUSE_S + KNOWN_IN_ALL_ZONES_S)
            self.assertEqual([], self.users("i-1"))

        self.play(scenario)

    # Guards against leaving out an engine that goes on with some of its streams.
    def test_an_engine_of_which_a_stream_goes_on_is_not_silent(self) -> None:
        async def scenario() -> None:
            witnesses = self.entries_in("bac-a")[:3]
            paused = [start_stream(entry, self.record("i-1")) for entry in witnesses]
            going_on = [start_stream(entry, self.record("i-1")) for entry in witnesses]
            await asyncio.sleep(EVENT_PAUSE_S)
            for stream in paused:
                stream.record_event()
            for _ in range(10):
                for stream in going_on:
                    stream.record_event()
                await asyncio.sleep(EVENT_PAUSE_S)
            self.assertEqual(10, len(self.users("i-1")))

        self.play(scenario)

    # Guards against taking the engine that a stream has moved to for silent, as its last event came
    # long before from another one.
    def test_an_event_of_another_engine_does_not_count(self) -> None:
        async def scenario() -> None:
            now_s = time.monotonic()
            for entry in self.entries_in("bac-a")[:3]:
                stream = start_stream(entry, self.record("i-1"))
                stream.last_event_at_s = now_s - 2 * STREAM_PAUSE_S
            await asyncio.sleep(KNOWN_S)
            self.assertEqual(10, len(self.users("i-1")))

        self.play(scenario)


def start_stream(entry: SimulatedEntry, record: UpstreamRecord) -> GatewayRequest:
    """Return a request of the entry that is in flight at the engine."""
    request = request_of(entry.fleet.state)
    excluded = {other.run_key() for other in entry.fleet.state.upstreams.values()}
    request.tried = excluded - {record.run_key()}
    assert entry.admission.try_admit(request) is record
    return request


if __name__ == "__main__":
    unittest.main()
