"""A simulation of entries and engines in which requests with certain parts end the engines.

It needs no network: events on a heap, one quarantine for each entry, and messages between entries
that arrive after ``MESSAGE_S``.  Times are seconds.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Final, NamedTuple

from gypsumpier.quarantine.quarantine import FIRST_REFUSAL_S, Quarantine
from gypsumpier.quarantine.trait import traits_of

MESSAGE_S: Final = 0.01
NOTICE_S: Final = 0.01
"""Seconds from the end of an engine until an entry knows that it has ended."""
START_S: Final = 0.15
"""Seconds from the arrival of a request at an engine to the beginning of its answer."""
CRASH_S: Final = 0.1
"""Seconds from the beginning of a fatal answer to the end of the engine."""
RUN_S: Final = 1.0
DOWN_S: Final = 6.0
ATTEMPTS: Final = 2
TRIAL_STAGGER_S: Final = 0.5


class Load(NamedTuple):
    """What callers send: requests a second, sound ones over subjects of Zipf popularity.

    All prompts have ``shared_parts`` parts in common, ``parts_before`` of them in front of the
    fatal part or the subject.
    """

    sound_per_s: float = 60.0
    fatal_per_s: float = 2.0
    subjects: int = 40
    first_parts: int = 3
    shared_parts: int = 0
    parts_before: int = 0

    def prompt(self, first: str, own: str) -> tuple[str, ...]:
        """Return the parts of a prompt with this first part and this own one."""
        shared = [f"shared-{number}" for number in range(self.shared_parts)]
        return first, *shared[: self.parts_before], own, *shared[self.parts_before :]


USUAL_LOAD: Final = Load()


@dataclass
class SimulatedRequest:
    """A request, and whether it was refused, answered or given up."""

    number: int
    traits: tuple[str, ...]
    is_fatal: bool
    entry: int
    sent_at_s: float
    attempts: int = 0
    outcome: str = ""
    reached_at_s: list[float] = field(default_factory=list)


@dataclass
class SimulatedEngine:
    """An engine with the requests that it runs; ``starts`` tells its starts apart."""

    name: str
    starts: int = 0
    is_down: bool = False
    running: dict[int, SimulatedRequest] = field(default_factory=dict)


class CrashSimulation:
    """Runs the load for some time.  ``crashes`` are the times at which engines ended."""

    def __init__(
        self, seed: int, entries: int = 7, engines: int = 8, load: Load = USUAL_LOAD
    ) -> None:
        self.random = random.Random(seed)
        self.load = load
        self.now_s = 0.0
        self.events: list[tuple[float, int, Callable[[], object]]] = []
        self.numbers = itertools.count()
        self.engines = [SimulatedEngine(f"i-{number}") for number in range(engines)]
        self.quarantines = [Quarantine(FIRST_REFUSAL_S) for _ in range(entries)]
        for rank, quarantine in enumerate(self.quarantines):
            quarantine.trial_delay_s = rank * TRIAL_STAGGER_S
        self.fatal_part = ""
        self.requests: list[SimulatedRequest] = []
        self.crashes: list[float] = []
        self.popularity = [1.0 / rank for rank in range(1, load.subjects + 1)]

    def at(self, delay_s: float, action: Callable[[], object]) -> None:
        """Do something after so many seconds."""
        heapq.heappush(self.events, (self.now_s + delay_s, next(self.numbers), action))

    def run(self, until_s: float) -> None:
        """Handle the events until a time."""
        while self.events and self.events[0][0] < until_s:
            self.now_s, _, action = heapq.heappop(self.events)
            action()
        self.now_s = until_s

    def start(self) -> None:
        """Begin to send requests."""
        self.at(0.0, self.send_sound)
        self.at(0.0, self.send_fatal)

    def send_sound(self) -> None:
        """Send a sound request, and the next one later."""
        self.at(self.random.expovariate(self.load.sound_per_s), self.send_sound)
        subject = self.random.choices(range(self.load.subjects), self.popularity)[0]
        first = f"first-{subject % self.load.first_parts}"
        self.send(self.load.prompt(first, f"subject-{subject}"), False)

    def send_fatal(self) -> None:
        """Send a request with the fatal part, if there is one, and the next one later."""
        self.at(self.random.expovariate(self.load.fatal_per_s), self.send_fatal)
        if self.fatal_part:
            self.send(self.load.prompt("first-0", self.fatal_part), True)

    def send(self, parts: tuple[str, ...], is_fatal: bool) -> None:
        """Send a request to a random entry."""
        number = next(self.numbers)
        entry = self.random.randrange(len(self.quarantines))
        traits = traits_of(f"request-{number}", parts)
        request = SimulatedRequest(number, traits, is_fatal, entry, self.now_s)
        self.requests.append(request)
        self.attempt(request)

    def attempt(self, request: SimulatedRequest) -> None:
        """Send the request to an engine, unless it is refused or there is none."""
        quarantine = self.quarantines[request.entry]
        if quarantine.refused_for_s(request.traits, self.now_s) > 0:
            request.outcome = "refused"
            return
        up = [engine for engine in self.engines if not engine.is_down]
        if not up:
            request.outcome = "no engine"
            return
        tried = quarantine.begin_trial(request.traits, self.now_s)
        if tried:
            self.tell(request.entry, lambda other: other.begin_trial(tried, self.now_s))
        engine = min(up, key=lambda found: (len(found.running), self.random.random()))
        engine.running[request.number] = request
        request.reached_at_s.append(self.now_s)
        start = engine.starts
        if request.is_fatal:
            self.at(START_S + CRASH_S, lambda: self.crash(engine, start))
        else:
            self.at(START_S + RUN_S, lambda: self.answer(engine, start, request))

    def answer(self, engine: SimulatedEngine, start: int, request: SimulatedRequest) -> None:
        """Complete the answer, unless the engine has ended since."""
        if engine.starts != start:
            return
        del engine.running[request.number]
        request.outcome = "answered"
        if request.attempts:
            return
        cleared = self.quarantines[request.entry].record_answered(request.traits, self.now_s)
        if cleared:
            self.tell(request.entry, lambda other: other.clear(cleared, self.now_s))

    def crash(self, engine: SimulatedEngine, start: int) -> None:
        """End the engine and all that it runs, unless it has ended since."""
        if engine.starts != start:
            return
        self.crashes.append(self.now_s)
        crash = f"{engine.name}/{engine.starts}"
        lost = list(engine.running.values())
        engine.running.clear()
        engine.starts += 1
        engine.is_down = True
        self.at(DOWN_S, lambda: setattr(engine, "is_down", False))
        for request in lost:
            self.at(NOTICE_S, partial(self.notice, request, crash))

    def notice(self, request: SimulatedRequest, crash: str) -> None:
        """Record the crash at the request's entry and repeat the request."""
        self.quarantines[request.entry].record_crash(request.traits, crash, self.now_s)
        self.tell(
            request.entry, lambda other: other.record_crash(request.traits, crash, self.now_s)
        )
        request.attempts += 1
        if request.attempts == ATTEMPTS:
            request.outcome = "lost"
            return
        self.attempt(request)

    def tell(self, sender: int, change: Callable[[Quarantine], object]) -> None:
        """Make a change at the other entries once the message has arrived."""
        for number, quarantine in enumerate(self.quarantines):
            if number != sender:
                self.at(MESSAGE_S, partial(change, quarantine))

    def late_requests(self, part: str, stable_s: float) -> int:
        """Return how many requests with the part reached engines late after its fifth crash.

        The fifth request with the part that reached an engine stands for the fifth crash, which
        comes later.
        """
        reached = sorted(
            at_s
            for request in self.requests
            if f"part:{part}" in request.traits
            for at_s in request.reached_at_s
        )
        if len(reached) < 5:
            return 0
        return sum(at_s > reached[4] + stable_s for at_s in reached)

    def served_share(self, from_s: float, until_s: float, first_part: str = "") -> float:
        """Return the share of sound requests that began at their first attempt."""
        found = [
            bool(request.reached_at_s)
            for request in self.requests
            if not request.is_fatal
            and from_s <= request.sent_at_s < until_s
            and (not first_part or f"part:{first_part}" in request.traits)
        ]
        return sum(found) / max(1, len(found))
