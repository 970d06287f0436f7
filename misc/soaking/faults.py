"""The soak test's faults and planned changes, in an order drawn from the seed."""

import asyncio
import random
import signal
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Final

from gypsumpier.test.builders_odd import odd_records
from misc.faulting.actions import Window
from misc.soaking.deployment import (
    EVENT_PAUSE_S,
    EVENTS,
    LONGEST_WORK_S,
    ZONES,
    SoakDeployment,
)
from misc.soaking.node import Node
from misc.soaking.series import Series, end

SETTLE_S: Final = 3.2
"""Seconds to wait after a burst of faults; the bounds hold again after the platform's 3."""
PLANNED_CHANGE_S: Final = 2.6
"""Seconds without a fault after a planned change: its bound of 2 and a margin."""
VERSION_CHANGE_S: Final = 9.0
"""Seconds without a fault after a new version of weights: its bound of 8 and a margin."""
EVACUATION_S: Final = 9.0
"""Seconds that an evacuation lasts: its bound of 5 and some in which no request may come."""
SLOW_FROM_S: Final = 5.6
"""Seconds after the naming of a version from which requests are slow to start, while entries still
use engines with older weights."""
SLOW_UNTIL_S: Final = 9.0
"""Seconds after the naming until which they are, and until which the late engine gets its pieces:
past the limit of 8."""
LATE_STAGE_S: Final = 1.3
"""Seconds to stage one of 16 pieces, two at a time, so that all take longer than SLOW_UNTIL_S."""
SLOW_EVENT_PAUSE_S: Final = 0.8
"""Seconds between events of a slow engine; below 1, from which entries take it for silent."""
SLOW_LINK_S: Final = 0.9
"""Seconds on a slow link, for a request and a close behind it; entries allow 1 s for a close."""
LONGEST_OUTAGE_S: Final = 7.0
"""Seconds of the longest outage or freeze; must exceed the 5 that a revoked key may work."""
COPY_AGE_MAX_S: Final = 4.0
STORE_AWAY_S: Final = 0.8
LAPSE_S: Final = 3.6
"""Seconds from the making of a copy until the store is lost, for which it is away before it comes
back from the copy, and after which records in it of upstreams that are gone lapse."""
DELAY_S: Final = 0.15
ANSWER_FAULTS: Final = (
    *("full", "wrong", "error", "cut", "crossed", "extra", "mute", "unsealed"),
    *("again", "text", "head", "408", "429", "503"),
)
ODD_ENTRIES_MAX: Final = 8
"""Keys among which odd entries of another writer are left."""
FAULTY_ANSWER_INTERVAL_S: Final = 0.15
"""Seconds between two planned faulty answers."""
FAULTY_ANSWERS: Final = 60
FAULTY_SHARE: Final = 0.5
BUSY_EVENT_PAUSE_S: Final = 0.2
"""Seconds between events with which the callers fill the slots of all engines."""
LATE_ORDER_S: Final = (2.2, 5.0)
"""Seconds after which engines accept late orders; a call ends without an answer after 2."""
LATE_ORDERS_MAX: Final = 2
"""Orders in a row that an engine accepts late."""
NEXT_NAMING_S: Final = (4.0, 8.0)
"""Seconds between two namings; the first version is ordered in between."""
SECOND_STOP_S: Final = (0.0, 4.0)
"""Seconds between two stops that overlap; a stop lasts up to 8."""


class SoakFaults:
    """Injects and reverts faults, and records when each was in effect.

    The coroutine of a fault has the name that its window has in the output.
    """

    def __init__(self, deployment: SoakDeployment, rng: random.Random) -> None:
        self.deployment = deployment
        self.rng = rng
        # Of their own, as overlapping faults draw from a shared one in an order set by timing.
        self.planned_rng = random.Random(rng.random())
        self.windows: list[Window] = []
        self.series = Series(deployment, random.Random(rng.random()), self.windows)
        self.answers_rng = random.Random(rng.random())
        self.busy: set[str] = set()
        self.killed_at_stop = 0

    async def run(self, seconds: float, is_enough: Callable[[], bool]) -> None:
        """Alternate bursts of overlapping faults with lone planned changes, for so many seconds.

        Goes on until it ``is_enough``, but no longer than for as many seconds again.
        """
        began_s = time.monotonic()

        def is_due() -> bool:
            past_s = time.monotonic() - began_s
            return past_s < seconds or (past_s < 2 * seconds and not is_enough())

        while is_due():
            await self.fault_burst()
            await asyncio.sleep(SETTLE_S)
            if is_due():
                await self.planned_rng.choice(self.planned())()

    async def fault_burst(self) -> None:
        """Inject two or three overlapping faults, with changes and faulty answers among them."""
        series = [self.odd_answers, self.series.configure_often, self.series.be_silent]
        background = [asyncio.create_task(found()) for found in self.rng.sample(series, 2)]
        running = []
        for _ in range(self.rng.choice([2, 3])):
            running.append(asyncio.ensure_future(self.rng.choice(self.abrupt())()))
            await asyncio.sleep(self.rng.uniform(0.1, 1.5))
            if self.rng.random() < 0.5:
                self.rng.choice([self.deployment.configure, self.revoke_newest, self.name])()
        await asyncio.gather(*running)
        await end(background)

    async def odd_answers(self) -> None:
        """Make some answers of random upstreams wrong or missing until cancelled."""
        async with self.window("odd_answers", "upstreams"):
            try:
                while True:
                    await asyncio.sleep(FAULTY_ANSWER_INTERVAL_S)
                    name = self.answers_rng.choice(sorted(self.deployment.upstreams))
                    upstream = self.deployment.upstreams[name]
                    if not upstream.plan:
                        upstream.cut_after = self.answers_rng.randrange(EVENTS)
                        upstream.plan.append(self.answers_rng.choice(ANSWER_FAULTS))
                        if upstream.plan == ["full"]:
                            upstream.plan.append("again")
            finally:
                for upstream in self.deployment.upstreams.values():
                    upstream.plan = []

    def abrupt(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the faults under which requests may fail; a repeated one is likelier."""
        return [
            *(self.kill, self.kill, self.freeze, self.freeze),
            *(self.crash_engine, self.cut_upstream, self.silence_upstream, self.slow_upstream),
            *(
                self.bad_answers,
                self.bad_answers,
                self.lose_store,
                self.restore_store,
                self.cut_from_store,
                self.lose_answers_of_store,
            ),
            *(self.forget_history, self.lose_origin, self.spoil_origin, self.kill_all),
            *(self.leave_odd_entries, self.stop, self.late_orders),
        ]

    def planned(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the changes and stops under which no request may fail."""
        return [
            self.stop,
            self.stop_two,
            self.stop_two,
            self.stay_busy,
            self.change_configuration,
            self.revoke_key,
            self.drain,
            self.change_version,
            self.late_engine,
            self.late_engine,
            self.evacuate_zone,
        ]

    @asynccontextmanager
    async def window(self, name: str, target: str, graceful: bool = False) -> AsyncIterator[None]:
        """Reserve a target and record when the fault was in effect."""
        window = Window(name, target, graceful, time.monotonic())
        self.windows.append(window)
        self.busy.add(target)
        try:
            yield
        finally:
            self.busy.discard(target)
            window.ended_at_s = time.monotonic()

    def node(self) -> Node | None:
        """Return a process that no fault targets, preferably an entry; None if there is none."""
        free = [node for node in self.deployment.nodes.values() if node.name not in self.busy]
        entries = [node for node in free if node.role == "entry"]
        found = entries if entries and self.rng.random() < 0.7 else free
        return self.rng.choice(found) if found else None

    def upstream(self) -> str:
        """Return the name of a random upstream."""
        return self.rng.choice(sorted(self.deployment.upstreams))

    async def kill(self) -> None:
        node = self.node()
        if node is not None:
            async with self.window("kill", node.name):
                await node.kill()
                await asyncio.sleep(self.rng.choice([0.0, 0.5, 2.0]))
                await node.start()

    async def kill_all(self) -> None:
        nodes = [node for node in self.deployment.nodes.values() if node.name not in self.busy]
        async with self.window("kill_all", "all"):
            self.busy.update(node.name for node in nodes)
            await asyncio.gather(*(node.kill() for node in nodes))
            await asyncio.gather(*(node.start() for node in nodes))
            self.busy.difference_update(node.name for node in nodes)

    async def freeze(self) -> None:
        node = self.node()
        if node is not None:
            async with self.window("freeze", node.name):
                node.send(signal.SIGSTOP)
                self.revoke_newest()
                await asyncio.sleep(self.rng.choice([0.3, 1.5, LONGEST_OUTAGE_S]))
                node.send(signal.SIGCONT)

    async def stop(self) -> None:
        node = self.node()
        if node is not None:
            async with self.window("stop", node.name, graceful=True):
                self.killed_at_stop += not await node.stop()
                await node.start()
                await asyncio.sleep(PLANNED_CHANGE_S)

    async def stop_two(self) -> None:
        """Stop two processes in stops that overlap, amid configurations and silences."""
        background = [asyncio.create_task(self.series.configure_often())]
        if self.planned_rng.random() < 0.5:
            background.append(asyncio.create_task(self.series.be_silent()))
        first = asyncio.create_task(self.stop())
        await asyncio.sleep(self.planned_rng.uniform(*SECOND_STOP_S))
        await asyncio.gather(first, self.stop())
        await end(background)

    async def stay_busy(self) -> None:
        """Fill the engines while configurations change and upstreams are silent for a while."""
        background = [
            asyncio.create_task(self.series.configure_often()),
            asyncio.create_task(self.series.be_silent()),
        ]
        for engine in self.deployment.engines():
            engine.event_pause_s = BUSY_EVENT_PAUSE_S
        await asyncio.sleep(VERSION_CHANGE_S)
        for engine in self.deployment.engines():
            engine.event_pause_s = EVENT_PAUSE_S
        await end(background)

    async def crash_engine(self) -> None:
        engine = self.rng.choice(self.deployment.engines())
        async with self.window("crash_engine", engine.name):
            engine.crash()
            self.deployment.proxies[engine.name].cut()

    async def late_orders(self) -> None:
        """Name two versions while engines accept orders late and don't answer them."""
        async with self.window("late_orders", "engines"):
            for engine in self.deployment.engines():
                engine.late_calls.late_s = self.rng.uniform(*LATE_ORDER_S)
                engine.late_orders = self.rng.randint(1, LATE_ORDERS_MAX)
            self.name()
            await asyncio.sleep(self.rng.uniform(*NEXT_NAMING_S))
            self.name()
            await asyncio.sleep(LATE_ORDER_S[1])
            for engine in self.deployment.engines():
                engine.late_orders = 0

    async def cut_upstream(self) -> None:
        name = self.upstream()
        async with self.window("cut_upstream", name):
            proxy = self.deployment.proxies[name]
            proxy.refuses = True
            self.rng.choice([proxy.cut, proxy.reset])()
            await asyncio.sleep(self.rng.uniform(0.2, 2.0))
            proxy.refuses = False

    async def silence_upstream(self) -> None:
        name = self.upstream()
        async with self.window("silence_upstream", name):
            proxy = self.deployment.proxies[name]
            self.rng.choice([proxy.drop_traffic, proxy.drop_responses])()
            await asyncio.sleep(1.0)
            proxy.cut()

    async def slow_upstream(self) -> None:
        name = self.upstream()
        async with self.window("slow_upstream", name):
            proxy = self.deployment.proxies[name]
            proxy.delay_s = DELAY_S
            await asyncio.sleep(2.0)
            proxy.delay_s = 0.0

    async def bad_answers(self) -> None:
        name = self.upstream()
        async with self.window("bad_answers", name):
            upstream = self.deployment.upstreams[name]
            upstream.cut_after = self.rng.randrange(EVENTS)
            upstream.plan = [
                self.rng.choice(ANSWER_FAULTS) if self.rng.random() < FAULTY_SHARE else "ok"
                for _ in range(FAULTY_ANSWERS)
            ]
            await asyncio.sleep(3.0)
            upstream.plan = []

    async def lose_store(self) -> None:
        async with self.window("lose_store", "store"):
            self.deployment.store.down = True
            # Processes that can't read the store don't learn of this revocation.
            self.revoke_newest()
            await asyncio.sleep(self.rng.choice([1.0, LONGEST_OUTAGE_S]))
            self.deployment.store.down = False

    async def restore_store(self) -> None:
        async with self.window("restore_store", "store"):
            copy = self.deployment.store.copied()
            await asyncio.sleep(self.rng.uniform(0.5, COPY_AGE_MAX_S))
            self.deployment.store.leave()
            await asyncio.sleep(STORE_AWAY_S)
            self.deployment.store.come_back(copy)
            self.deployment.write_again()
            await asyncio.sleep(LAPSE_S)
            self.deployment.remove_stale_records()

    async def cut_from_store(self) -> None:
        name = self.rng.choice(sorted(self.deployment.nodes))
        async with self.window("cut_from_store", name):
            proxy = self.deployment.store_proxies[name]
            proxy.refuses = True
            proxy.cut()
            await asyncio.sleep(self.rng.choice([1.0, LONGEST_OUTAGE_S]))
            proxy.refuses = False

    async def lose_answers_of_store(self) -> None:
        name = self.rng.choice(sorted(self.deployment.nodes))
        async with self.window("lose_answers_of_store", name):
            self.deployment.store_proxies[name].drop_responses()
            await asyncio.sleep(3.0)
            self.deployment.store_proxies[name].cut()

    async def forget_history(self) -> None:
        async with self.window("forget_history", "store"):
            self.deployment.store.compact()

    async def leave_odd_entries(self) -> None:
        odd = odd_records()
        async with self.window("leave_odd_entries", "store"):
            for label in self.rng.sample(sorted(odd), 3):
                key = f"servers/odd-{self.rng.randrange(ODD_ENTRIES_MAX)}"
                self.deployment.store.put_bytes(key, odd[label])

    async def lose_origin(self) -> None:
        async with self.window("lose_origin", "origin"):
            self.deployment.origin.down = True
            await asyncio.sleep(3.0)
            self.deployment.origin.down = False

    async def spoil_origin(self) -> None:
        async with self.window("spoil_origin", "origin"):
            self.deployment.origin.bad.update(range(0, self.deployment.origin.pieces, 3))

    async def change_configuration(self) -> None:
        self.deployment.configure()
        await asyncio.sleep(PLANNED_CHANGE_S)

    def name(self) -> None:
        """Name the next version of the weights as the one to serve."""
        self.deployment.publish_version()

    def revoke_newest(self) -> None:
        """Revoke the newest key in force, except the callers' common key and the last spare one."""
        unrevoked = [
            key for key in self.deployment.keys[1:] if key not in self.deployment.revoked_at_s
        ]
        if len(unrevoked) > 1:
            self.deployment.revoke(unrevoked[-1])

    async def revoke_key(self) -> None:
        self.revoke_newest()
        await asyncio.sleep(PLANNED_CHANGE_S)

    async def drain(self) -> None:
        """Add a plain upstream, then drain and remove another."""
        name = self.rng.choice(sorted(found.name for found in self.deployment.plain()))
        async with self.window("drain", name, graceful=True):
            await self.deployment.add_plain()
            await asyncio.sleep(PLANNED_CHANGE_S)
            self.deployment.drain(name)
            await asyncio.sleep(PLANNED_CHANGE_S + LONGEST_WORK_S)
            self.deployment.retire(name)

    async def evacuate_zone(self) -> None:
        """Evacuate a zone while its engine gets weights, for longer than the bound."""
        zone = self.planned_rng.choice(ZONES)
        async with self.window("evacuate_zone", zone, graceful=True):
            self.deployment.evacuate(zone)
            if self.planned_rng.random() < 0.5:
                self.name()
            await asyncio.sleep(EVACUATION_S)
            self.deployment.end_evacuation()
            await asyncio.sleep(PLANNED_CHANGE_S)

    async def change_version(self) -> None:
        self.name()
        await asyncio.sleep(VERSION_CHANGE_S)

    async def late_engine(self) -> None:
        """Name a version that one engine gets past the limit, while requests are slow to start.

        They wait for slots as every engine is slow, or are on their way as its link is slow too.
        """
        engines = self.deployment.engines()
        late = self.planned_rng.choice(engines)
        async with self.window("late_engine", late.name, graceful=True):
            late.stage_s = LATE_STAGE_S
            self.name()
            await asyncio.sleep(SLOW_FROM_S)
            late.link_s = self.planned_rng.choice([0.0, SLOW_LINK_S])
            for engine in engines:
                engine.event_pause_s = SLOW_EVENT_PAUSE_S
            await asyncio.sleep(SLOW_UNTIL_S - SLOW_FROM_S)
            for engine in engines:
                engine.event_pause_s, engine.stage_s, engine.link_s = EVENT_PAUSE_S, 0.0, 0.0
            await asyncio.sleep(PLANNED_CHANGE_S)
