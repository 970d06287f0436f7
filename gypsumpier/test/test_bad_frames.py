"""Malformed payloads close the connection with a result code; the process keeps working."""

import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumpier.codes.wire import CONNECTION_CLOSED
from gypsumpier.errors import GypsumpierError
from gypsumpier.test.builders_request import AgentParts, World, outcome, plain_call
from gypsumpier.test.virtual import run
from gypsumpier.wire.frame import Frame, encode
from gypsumpier.wire.stream import Stream

TO_AGENT = ("hello", "request", "resume", "cancel", "outcome", "keys", "entries", "farewell")
TO_ENTRY = ("welcome", "state", "inherited", "entries_wanted", "token", "head", "end", "refused")
FIELDS = [
    "name",
    "incarnation",
    "uptime_s",
    "live",
    "leaving",
    "healthy",
    "in_flight",
    "suspects",
    "keys",
    "complete",
    "inherited",
    "revision",
    "lost",
    "listed",
    "next_sequence",
    "age_s",
    "workspace",
    "key",
    "remaining_s",
    "headers",
    "body",
    "code",
    "detail",
]
SETTLE_S = 0.1
REDIAL_S = 10.0

arbitrary_values = (
    st.none() | st.booleans() | st.integers(-1, 9) | st.text(max_size=3) | st.binary(max_size=3)
)
values = (
    arbitrary_values
    | st.lists(arbitrary_values, max_size=3)
    | st.lists(st.lists(arbitrary_values, max_size=4), max_size=2)
)
payloads = st.dictionaries(st.sampled_from(FIELDS), values, max_size=6)


def frames(kinds: tuple[str, ...]) -> st.SearchStrategy[Frame]:
    """Return a strategy for frames of these kinds with arbitrary fields."""
    return st.builds(
        Frame, st.sampled_from(kinds), st.just("x/0"), st.just(0), st.just(0.0), payloads
    )


def request_fields() -> dict[str, Any]:
    """Return the fields of a well-formed request frame."""
    return {
        "service": "table-ops",
        "workspace": "lab",
        "method": "GET",
        "path": "/",
        "headers": {},
        "body": b"",
        "key": "",
        "streamed": False,
        "idempotent": True,
        "priority": 1,
        "remaining_s": 5.0,
        "age_s": 0.0,
        "model": "",
        "version": "",
        "fingerprint": "",
        "suspect": False,
    }


class BadFrameTest(unittest.TestCase):
    @given(st.lists(frames(TO_AGENT), min_size=1, max_size=3))
    @settings(derandomize=True, deadline=None, max_examples=150)
    def test_an_agent_keeps_working(self, sent: list[Frame]) -> None:
        run(self.check_agent_keeps_working(sent))

    async def check_agent_keeps_working(self, sent: list[Frame]) -> None:
        """Send the frames to an agent, then check that a call through an entry succeeds."""
        world = World()
        agent = world.agent()
        failures = watch_failures(world, agent)
        stream = await world.network.dialer("stranger").dial(agent.member.host, 1, 1.0)
        await send_all(stream, sent)
        await world.clock.sleep(SETTLE_S)
        entry = await world.entry()
        await world.clock.sleep(SETTLE_S)
        self.assertEqual("go", await outcome(world, entry, plain_call(world)))
        self.assertEqual([], failures)

    @given(st.lists(frames(TO_ENTRY), min_size=1, max_size=3))
    @settings(derandomize=True, deadline=None, max_examples=150)
    def test_an_entry_redials(self, sent: list[Frame]) -> None:
        run(self.check_entry_redials(sent))

    async def check_entry_redials(self, sent: list[Frame]) -> None:
        """Send the frames on the entry's first connection; serve the next one as an agent does."""
        world = World()
        agent = world.agent()
        address = (agent.member.host, agent.member.port)

        async def misbehave(stream: Stream) -> None:
            world.network.listen(*address, agent.listener.serve)
            await send_all(stream, sent)
            await world.clock.sleep(SETTLE_S)
            stream.close()

        world.network.listen(*address, misbehave)
        entry = await world.entry()
        await world.clock.sleep(REDIAL_S)
        self.assertEqual("go", await outcome(world, entry, plain_call(world)))

    @given(st.sampled_from(sorted(request_fields())), arbitrary_values)
    @settings(derandomize=True, deadline=None, max_examples=150)
    def test_a_request_with_a_wrong_field_is_never_left_unanswered(
        self, name: str, value: object
    ) -> None:
        run(self.check_request_ends(request_fields() | {name: value}))

    async def check_request_ends(self, payload: dict[str, Any]) -> None:
        """Send the request; check that the agent does not keep it running or raise a bare error."""
        world = World()
        agent = world.agent()
        failures = watch_failures(world, agent)
        stream = await world.network.dialer("stranger").dial(agent.member.host, 1, 1.0)
        await send_all(stream, [Frame("request", "x/0", 0, 0.0, payload)])
        await world.clock.sleep(REDIAL_S)
        self.assertEqual({}, agent.gate.running)
        self.assertEqual([], failures)


def watch_failures(world: World, agent: AgentParts) -> list[Exception]:
    """Return a list that collects the uncoded exceptions of the agent's connections from now on."""
    failures: list[Exception] = []

    async def serve(stream: Stream) -> None:
        try:
            await agent.listener.serve(stream)
        except GypsumpierError:
            raise
        except Exception as error:
            failures.append(error)

    world.network.listen(agent.member.host, agent.member.port, serve)
    return failures


async def send_all(stream: Stream, sent: list[Frame]) -> None:
    """Write the frames; the other end may close at any of them."""
    try:
        for frame in sent:
            await stream.write(encode(frame))
    except GypsumpierError as error:
        assert error.code is CONNECTION_CLOSED
