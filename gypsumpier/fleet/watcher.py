"""Reads and watches the platform's store while this process is responsible for it.

A few processes of each zone watch the store and forward its changes.  The others take over when no
freshness proof has reached them for the take-over time (see ``gypsumpier.mesh.feed``).
"""

import asyncio
import random
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

from prometheus_client import Counter

from gypsumpier.backoff import Backoff
from gypsumpier.codes.platform import HISTORY_GONE, PLATFORM_BAD_ANSWER
from gypsumpier.errors import GypsumpierError, RateLimitedError
from gypsumpier.fleet.change import Batch, FleetSource
from gypsumpier.fleet.clock import boot_time_s
from gypsumpier.fleet.position import Position
from gypsumpier.fleet.readergroup import ReaderGroup
from gypsumpier.fleet.stall import StallMonitor
from gypsumpier.fleet.state import UNKNOWN_AGE_S, FleetState
from gypsumpier.log import decision
from gypsumpier.metrics import REGISTRY
from gypsumpier.ratelimit.bucket import TokenBucket
from gypsumpier.tasks import end_task

WATCH_WAIT_S: Final = 2.0
"""Seconds that a watch call waits for a change.  After a lost answer there is time for a second
call within the 5 s in which the revocation of a key must take effect."""
WATCH_WAIT_MIN_S: Final = 0.25
"""The shortest wait of a watch that is to renew the freshness proof."""
PROOF_AGE_MAX_S: Final = 2.75
"""Age in seconds of the freshness proof by which a watch ends where a service limits its cold
upstreams: from 3 s on (``coldstart.upstreams.FRESH_S``) they all count as cold."""
BACKOFF_LIMIT_S: Final = 0.5
"""Longest wait in seconds between attempts; a key's revocation must arrive within seconds."""
RETRY_AFTER_MAX_S: Final = 1.0
"""Longest time in seconds that the store is left alone as it asks for that, before this wait."""
POSITION_INTERVAL_S: Final = 0.4
"""Age in seconds of the newest known time of a position from which a process that watches the store
reads the position.  A version counts from the last time before its naming, so that engines lose up
to this for their switch."""
POSITION_JITTER_S: Final = 0.1
"""Seconds by which readings are spread at random, so that the first one serves other zones too."""
POSITION_POLL_S: Final = 0.05
"""Seconds between two checks whether the position should be read."""
CALLS_PER_S: Final = 25.0
CALLS_BURST: Final = 25.0
"""Readings of the store that one process begins in a second at most, and at once after a pause.  A
snapshot of several pages counts once.  What changes faster is read together."""
OUTAGE_FAILURES: Final = 3
"""Calls in a row that must fail for an outage of the store.  One may be due to a connection that
has gone silent or was cut, a second one to a stall of this process; each later one opens a new
connection and does not wait."""
READERS_CHECK_S: Final = 1.0
"""Seconds between checks on the readers of the store: a change that they don't hear of is read by
another process before the 2 s are over in which it must be in force."""
PROOF_RENEWAL_S: Final = 1.0
"""Age in seconds of the proof of a large answer from which the revision is read after it: the next
watch may prove nothing for its whole wait, and the large one has waited and was long on its way."""
IDLE_CHECK_S: Final = 0.1
"""Seconds between checks whether this process should start to read the store."""

SNAPSHOT: Final = "snapshot"
WATCH: Final = "watch"
REVISION: Final = "revision"
"""Kinds of calls to the store, as they stand in logs and metrics."""

STORE_CALLS: Final = Counter(
    "gypsumpier_store_calls",
    "Calls to the platform's store by kind and outcome.",
    ["kind", "outcome"],
    registry=REGISTRY,
)


@contextmanager
def counted(kind: str) -> Iterator[None]:
    """Count a call to the store by its outcome."""
    try:
        yield
    except GypsumpierError as error:
        STORE_CALLS.labels(kind, error.code.name).inc()
        raise
    STORE_CALLS.labels(kind, "ok").inc()


class StoreWatcher:
    """Keeps the fleet state up to date from the store.

    ``calls`` limits the readings of the store.  ``history_losses`` counts the watches without an
    answered one in between for which the store lacked the history.
    ``failures`` counts the calls in a row that have failed, the first of them at
    ``failing_since_s``.  ``is_watching`` is set while a watch waits for a change, and
    ``position_tried_at_s`` is when the position was last asked for beside one, which is due again
    after ``position_interval_s``.
    ``checked_at_s`` is when this process last checked on the readers of the store.  ``is_behind``
    is set where a check of the store's revision has shown changes that are still to be read.
    ``checks_first`` is set where the next call reads the revision alone.  ``is_large`` is set while
    a large answer arrives.
    """

    def __init__(
        self,
        source: FleetSource,
        fleet_state: FleetState,
        readers: ReaderGroup,
    ) -> None:
        self.source = source
        self.fleet_state = fleet_state
        self.readers = readers
        self.backoff = Backoff(random.Random(), BACKOFF_LIMIT_S)
        self.calls = TokenBucket(CALLS_PER_S, CALLS_BURST, CALLS_BURST, time.monotonic())
        self.history_losses = 0
        self.failures = 0
        self.failing_since_s = 0.0
        self.is_watching = False
        self.position_tried_at_s = float("-inf")
        self.position_interval_s = POSITION_INTERVAL_S
        self.checked_at_s = float("-inf")
        self.needs_snapshot = True
        self.is_behind = False
        self.checks_first = False
        self.is_large = False
        self.stalls = StallMonitor()
        source.on_progress = self.record_progress
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start the reading tasks and the monitor of stalls."""
        works = (self.run(), self.run_position_readings(), self.stalls.run())
        self.tasks = [asyncio.create_task(work) for work in works]

    async def stop(self) -> None:
        """Stop the tasks and release the client."""
        for task in self.tasks:
            await end_task(task)
        self.source.close()

    async def run(self) -> None:
        """Read and watch the store whenever this process should; check on its readers otherwise."""
        while True:
            self.fleet_state.drop_expired_lapsed()
            if not self.readers.should_read_store():
                self.stop_reading()
                await asyncio.sleep(IDLE_CHECK_S)
                await self.check_readers()
                continue
            try:
                await self.read()
                self.record_success()
            except GypsumpierError as error:
                await self.handle_failure(error)

    def stop_reading(self) -> None:
        """Leave the reading of the store to others; begin with a snapshot when it is resumed.

        A watch would return each configuration since then, which takes long over a narrow link and
        looks like the answer of a watch that was waiting for the last of them.
        """
        self.needs_snapshot = True
        self.is_behind = False
        self.checks_first = True
        if self.failures:
            # The store may have answered others meanwhile: these failures make no longer outage.
            decision("store_left_to_others", failures=self.failures)
            self.failures = 0
            self.backoff.reset()

    async def read(self) -> None:
        """Make one call to the store and apply its answer; raise GypsumpierError on failure.

        After a failure that is a read of the revision alone.  It neither waits nor depends on the
        store's watches, so that it tells an outage from a lost connection.  Before a snapshot it
        shows whether one is needed, and after a large answer it brings a newer proof.
        """
        checks_first, self.checks_first = self.checks_first, False
        is_current = self.fleet_state.revision and not self.readers.is_news_overdue()
        if self.failures or (checks_first and is_current):
            await self.check_revision()
            return
        self.is_large = False
        is_snapshot = self.needs_snapshot or not self.fleet_state.revision
        kind = SNAPSHOT if is_snapshot else WATCH
        await self.take_call()
        known = self.fleet_state.position
        sent_at_s = boot_time_s()
        wait_s = 0.0 if self.is_behind else self.watch_wait_s()
        with counted(kind):
            if is_snapshot:
                self.readers.share_reading()
                batch = await self.source.snapshot()
                self.check_era(batch.era)
                self.needs_snapshot = False
            else:
                batch = await self.watch(known.revision, wait_s)
                self.check_era(batch.era)
                if batch.era != known.era:
                    # Its changes follow the revision ``known`` of another history.
                    raise GypsumpierError(HISTORY_GONE, f"era {known.era} of the store has ended")
                self.history_losses = 0
        self.is_behind = False
        if batch.records:
            self.log_news(kind, batch, sent_at_s)
        proven_at_s = sent_at_s + batch.proven_after_s
        if proven_at_s > boot_time_s():
            # An answer before the end of the wait may have been made at any time since its sending.
            proven_at_s = sent_at_s
        is_news = batch.position > self.fleet_state.position
        self.fleet_state.apply(batch, proven_at_s, "store")
        if batch.position == self.fleet_state.position:
            # A batch that a peer has overtaken must not be shared with the newer one's proof.
            known_batch = self.unchanged() if not is_news else batch
            is_new_snapshot = is_snapshot and is_news
            self.readers.share(self.fleet_state.snapshot() if is_new_snapshot else known_batch)
        self.checks_first = self.is_large and boot_time_s() - proven_at_s > PROOF_RENEWAL_S

    async def watch(self, revision: int, wait_s: float) -> Batch:
        """Return the changes after ``revision``; wait up to ``wait_s`` seconds for the first."""
        self.is_watching = True
        try:
            return await self.source.watch(revision, wait_s)
        finally:
            self.is_watching = False

    async def run_position_readings(self) -> None:
        """Read the store's position at intervals while a watch waits, until cancelled."""
        while True:
            await asyncio.sleep(POSITION_POLL_S)
            if self.is_position_due():
                await self.read_position()

    def is_position_due(self) -> bool:
        """Return whether a watch waits and the newest reading of the position has become old."""
        known_at_s = max(self.fleet_state.position_times.newest_s(), self.position_tried_at_s)
        return self.is_watching and boot_time_s() - known_at_s >= self.position_interval_s

    async def read_position(self) -> None:
        """Record the store's position, from which later changes are dated.

        The answer of a watch tells nothing of the time of a change: it may have waited in the
        store, on its way, or in this process.  A failure is left to the watch to notice.
        """
        await self.take_call()
        sent_at_s = self.position_tried_at_s = boot_time_s()
        self.position_interval_s = POSITION_INTERVAL_S + random.uniform(0.0, POSITION_JITTER_S)
        try:
            with counted(REVISION):
                position = await self.source.current_position()
                self.check_era(position.era)
        except GypsumpierError as error:
            self.position_tried_at_s += min(error.retry_after_s or 0.0, RETRY_AFTER_MAX_S)
            decision("store_position_unread", code=error.code.number, reason=error.detail)
            return
        self.record_position(position, sent_at_s)

    def record_position(self, position: Position, sent_at_s: float) -> None:
        """Record and share the position that a call sent at that time has returned."""
        self.fleet_state.record_position(position, sent_at_s)
        self.fleet_state.record_reached(position)
        self.readers.share_position(position, sent_at_s)

    def unchanged(self) -> Batch:
        """Return a batch that tells that the store has nothing newer."""
        era, revision = self.fleet_state.position
        return Batch(revision, revision, [], False, 0.0, era)

    def record_progress(self) -> None:
        """Tell the other readers that a large answer is arriving."""
        self.is_large = True
        self.readers.share_reading()

    def watch_wait_s(self) -> float:
        """Return the seconds for which the next watch waits for a change.

        A watch that ends with a change proves the state as of its start only, and the next one
        proves nothing before it ends: two of full length would leave a proof of twice that age.
        """
        configuration = self.fleet_state.configuration
        services = configuration.services.values() if configuration else ()
        if not any(service.cold_per_s > 0 for service in services):
            return WATCH_WAIT_S
        left_s = PROOF_AGE_MAX_S - self.fleet_state.proof_age_s()
        return min(WATCH_WAIT_S, max(WATCH_WAIT_MIN_S, left_s))

    async def take_call(self) -> None:
        """Wait until the next reading of the store may begin, and count it."""
        while wait_s := self.calls.wait_s(time.monotonic()):
            await asyncio.sleep(wait_s)
        self.calls.take(time.monotonic())

    def check_era(self, era: int) -> None:
        """Raise GypsumpierError with PLATFORM_BAD_ANSWER where an answer is of an ended era."""
        if era < self.fleet_state.era:
            detail = f"answer of era {era}, but era {self.fleet_state.era} is known"
            raise GypsumpierError(PLATFORM_BAD_ANSWER, detail)

    async def check_readers(self) -> None:
        """Compare the store's position with the known one at intervals, where this process should.

        The processes that read the store may wait in vain: a silent connection looks like a store
        without changes.
        """
        now_s = boot_time_s()
        is_due = now_s - self.checked_at_s >= READERS_CHECK_S
        if not is_due or not self.readers.should_check_revision():
            return
        self.checked_at_s = now_s
        try:
            with counted(REVISION):
                position = await self.source.current_position()
            self.readers.record_announced(position)
            self.record_position(position, now_s)
        except GypsumpierError as error:
            decision("store_check_failed", code=error.code.number, reason=error.detail)

    async def check_revision(self) -> None:
        """Read the store's position; share a proof where it is the known one.

        Where it is newer, its changes are read next: as a snapshot if only one call has failed, as
        watches may hear of nothing, or if a new era has begun.  After an outage many processes do
        so at once, and the changes alone are less.
        """
        await self.take_call()
        sent_at_s = boot_time_s()
        with counted(REVISION):
            position = await self.source.current_position()
            self.check_era(position.era)
        if self.failures >= OUTAGE_FAILURES:
            # The store was back when it received the call, which was not before its sending.
            lasted_s = sent_at_s - self.failing_since_s
            self.fleet_state.record_outage(lasted_s, boot_time_s() - sent_at_s)
        self.is_behind = position != self.fleet_state.position
        if not self.is_behind:
            if not self.failures:
                self.needs_snapshot = False
            unchanged = self.unchanged()
            self.fleet_state.apply(unchanged, sent_at_s, "store")
            self.readers.share(unchanged)
        elif 0 < self.failures < OUTAGE_FAILURES or position.era != self.fleet_state.era:
            self.needs_snapshot = True

    def log_news(self, kind: str, batch: Batch, sent_at_s: float) -> None:
        """Log how changes were read, which shows whether their news may have been late."""
        now_s = boot_time_s()
        after_s = self.fleet_state.position_times.last_before(batch.position)
        decision(
            "store_news",
            kind=kind,
            revision=batch.revision,
            records=len(batch.records),
            waited_s=round(now_s - sent_at_s, 3),
            proof_gap_s=round(min(self.fleet_state.proof_age_s(), UNKNOWN_AGE_S), 3),
            stalled_s=round(now_s - self.stalls.running_since_s(), 3),
            changed_ago_s=round(min(now_s - after_s, UNKNOWN_AGE_S), 3),
        )

    def record_success(self) -> None:
        """Reset the backoff and log where the store answers again after an outage."""
        self.backoff.reset()
        if self.failures:
            self.failures = 0
            decision("dependency_regained", dependency="store", revision=self.fleet_state.revision)

    async def handle_failure(self, error: GypsumpierError) -> None:
        """Log the failure, tell the other readers and wait before the next attempt.

        Where the store no longer has the history, the next call reads a snapshot: at once, unless
        a snapshot has not helped before.
        """
        self.needs_snapshot |= self.is_behind
        if error.code is HISTORY_GONE:
            self.needs_snapshot = True
            self.history_losses += 1
            decision(
                "store_history_gone",
                era=self.fleet_state.era,
                revision=self.fleet_state.revision,
                reason=error.detail,
                losses=self.history_losses,
            )
            if self.history_losses > 1:
                await asyncio.sleep(self.backoff.next_wait_s())
            return
        if isinstance(error, RateLimitedError):
            # The store has answered: there is no outage.
            self.fleet_state.record_contact(boot_time_s())
        else:
            self.count_failure(error)
        self.readers.share_failure()
        rest_s = min(error.retry_after_s or 0.0, RETRY_AFTER_MAX_S)
        await asyncio.sleep(self.backoff.next_wait_s(rest_s))

    def count_failure(self, error: GypsumpierError) -> None:
        """Count a call without an answer; log the first one."""
        self.failures += 1
        if self.failures == 1:
            self.failing_since_s = boot_time_s()
            decision(
                "dependency_lost",
                dependency="store",
                code=error.code.number,
                reason=error.detail,
                proof_age_s=round(self.fleet_state.proof_age_s(), 3),
            )
