"""The engine stand-in's continuous batching and its prefix cache.

Each step produces one token for every running stream; it takes longer with more running streams
and with more uncached prompt blocks admitted.  Waiting streams are admitted by priority, highest
first, then by arrival.
"""

import asyncio
import random
import time
from collections import OrderedDict
from typing import Any, Final, NamedTuple

from gypsumpier.external.prefix import prefix_ids
from gypsumpier.test.standin.answer import answer, prompt_of

MAX_EVENTS: Final = 4096


class BatchOptions(NamedTuple):
    """Sizes and times of the engine; ``event_gap_share`` is the share of cache events lost."""

    capacity: int = 32
    step_s: float = 0.005
    stream_step_s: float = 0.0002
    block_step_s: float = 0.001
    cache_blocks: int = 512
    event_lag_s: float = 0.2
    event_gap_share: float = 0.05


class Stream:
    """One generation and its events so far."""

    def __init__(self, order: dict[str, Any], arrival: int) -> None:
        self.version = str(order["version"])
        self.rank = (-int(order["priority"]), arrival)
        self.prompt = prompt_of(order["body"])
        self.tokens = answer(self.version, self.prompt, order["body"].get("max_tokens"))
        self.events: list[dict[str, Any]] = []
        self.changed = asyncio.Event()

    @property
    def finished(self) -> bool:
        """Whether the final event has been added."""
        return bool(self.events) and self.events[-1]["finish_reason"] is not None

    def step(self) -> None:
        """Add the next token, or the final event."""
        position = len(self.events)
        if position < len(self.tokens):
            self.add(position, self.tokens[position], None)
        else:
            self.add(position, "", "stop")

    def add(self, position: int, text: str, reason: str | None) -> None:
        """Add one event and wake the readers."""
        event = {"position": position, "text": text, "finish_reason": reason}
        self.events.append(event | {"version": self.version})
        self.changed.set()
        self.changed = asyncio.Event()


class PrefixCache:
    """An LRU cache of prompt prefixes; its change events are delayed and some are lost."""

    def __init__(self, options: BatchOptions) -> None:
        self.options = options
        self.random = random.Random(1)
        self.prefixes: OrderedDict[str, None] = OrderedDict()
        self.events: list[tuple[float, dict[str, Any]]] = []
        self.sequence = 0
        self.hits = 0
        self.misses = 0

    def insert(self, prompt: str) -> int:
        """Cache the prompt's prefixes; return the number of blocks that were not cached before."""
        names = prefix_ids(prompt)
        missing = [name for name in names if name not in self.prefixes]
        self.hits += len(names) - len(missing)
        self.misses += len(missing)
        for name in names:
            self.prefixes[name] = None
            self.prefixes.move_to_end(name)
        for name in missing:
            self.publish(name, True)
        while len(self.prefixes) > self.options.cache_blocks:
            self.publish(self.prefixes.popitem(last=False)[0], False)
        return len(missing)

    def publish(self, name: str, cached: bool) -> None:
        """Add an event under the next sequence number; a share of the events is lost."""
        self.sequence += 1
        if self.random.random() >= self.options.event_gap_share:
            event = {"sequence": self.sequence, "prefix": name, "cached": cached}
            self.events.append((time.monotonic(), event))
            del self.events[:-MAX_EVENTS]

    def visible_events(self, after: int) -> list[dict[str, Any]]:
        """Return the events after the sequence number that are old enough to be seen."""
        until_s = time.monotonic() - self.options.event_lag_s
        return [e for at_s, e in self.events if at_s <= until_s and e["sequence"] > after]


class Batch:
    """Runs streams, step by step."""

    def __init__(self, options: BatchOptions) -> None:
        self.options = options
        self.cache = PrefixCache(options)
        self.waiting: list[Stream] = []
        self.running: list[Stream] = []
        self.submitted = asyncio.Event()
        self.not_frozen = asyncio.Event()
        self.not_frozen.set()
        self.tokens = 0

    def submit(self, stream: Stream) -> None:
        """Queue a stream."""
        self.waiting.append(stream)
        self.submitted.set()

    def drop(self, stream: Stream) -> None:
        """Cancel a stream that has not finished."""
        self.waiting = [other for other in self.waiting if other is not stream]
        self.running = [other for other in self.running if other is not stream]
        if not stream.finished:
            stream.add(len(stream.events), "", "cancelled")

    async def run(self) -> None:
        """Run steps until cancelled."""
        while True:
            await self.not_frozen.wait()
            blocks = self.admit_waiting()
            if not self.running:
                self.submitted.clear()
                await self.submitted.wait()
                continue
            await asyncio.sleep(self.step_s(blocks))
            await self.not_frozen.wait()
            for stream in self.running:
                stream.step()
                self.tokens += 1
            self.running = [stream for stream in self.running if not stream.finished]

    def admit_waiting(self) -> int:
        """Fill the batch with waiting streams; return the number of uncached blocks admitted."""
        self.waiting.sort(key=lambda stream: stream.rank)
        room = self.options.capacity - len(self.running)
        admitted, self.waiting = self.waiting[:room], self.waiting[room:]
        self.running += admitted
        return sum(self.cache.insert(stream.prompt) for stream in admitted)

    def step_s(self, blocks: int) -> float:
        """Return the duration of the next step in seconds."""
        options = self.options
        streams_s = len(self.running) * options.stream_step_s
        return options.step_s + streams_s + blocks * options.block_step_s
