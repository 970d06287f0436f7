"""The limits of upstreams as this entry knows them, and its own share of each."""

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final, NamedTuple, Protocol

from prometheus_client import Gauge

from gypsumpier.log import decision
from gypsumpier.metrics import REGISTRY
from gypsumpier.ratelimit.bucket import TokenBucket
from gypsumpier.ratelimit.capacity import LimitedCapacity
from gypsumpier.statement.run import RunKey, StatingUpstream
from gypsumpier.statement.statedlimit import StatedLimit

TRIAL_PER_S: Final = 0.2
"""Requests a second that all entries together send an upstream at least, however low its limit:
only an answer can tell that the limit has ended."""
BURST_MIN: Final = 1.0
BURST_S: Final = 0.5
"""Requests that all entries together may send at once after a pause: one, and as many as the limit
allows in so many seconds."""
FORGOTTEN_S: Final = 30.0
"""Seconds after which the limit of an upstream that is in no record is dropped; its record may be
on its way."""
LIMITS_MAX: Final = 16_384
"""Upstreams whose limits are kept; more than there are upstreams in the largest deployment."""

LOG_INTERVAL_S: Final = 10.0
"""Seconds between two log lines of one upstream's changes, or of its unreadable values: it may
state another one in each answer."""

LIMITED_UPSTREAMS: Final = Gauge(
    "gypsumpier_limited_upstreams",
    "Upstreams that state how many requests they take.",
    registry=REGISTRY,
)


class Shares(Protocol):
    """Divides limits among the entries."""

    def share(self, service: str) -> float:
        """Return this entry's share, above 0 and at most 1."""

    def phase(self, upstream: str) -> float:
        """Return the part of a first token, from 0 to 1, that this entry begins with."""


class WholeShare:
    """The shares of a process that is alone."""

    def share(self, service: str) -> float:
        return 1.0

    def phase(self, upstream: str) -> float:
        return 1.0


class LimitNews(NamedTuple):
    """A limit, or None where there is none, of one run of an upstream since ``at_s``."""

    run: RunKey
    per_s: float | None
    at_s: float


@dataclass
class KnownLimit:
    """The limit of one run of an upstream, as stated at ``at_s`` in monotonic seconds.

    ``per_s`` and ``bucket`` are None once the upstream has answered without a limit.  The time of
    that is kept, so that older news does not bring the limit back.
    """

    per_s: float | None
    at_s: float
    bucket: TokenBucket | None = None
    logged_at_s: float = float("-inf")


class RequestLimits:
    """Which upstreams may get a request now.

    ``listeners`` are called with each limit that an answer here has set, changed or lifted.
    """

    def __init__(self, shares: Shares) -> None:
        self.shares = shares
        self.known: dict[RunKey, KnownLimit] = {}
        self.unreadable_logged_at_s: dict[RunKey, float] = {}
        self.listeners: list[Callable[[LimitNews], None]] = []

    def record_answer(self, record: StatingUpstream, stated: StatedLimit, sent_at_s: float) -> None:
        """Record what an answer states; its request was sent at ``sent_at_s``.

        An answer without a limit lifts it only if its request was sent after the limit was stated:
        it may have overtaken the answer that did.  It counts as of the sending, as it may have been
        read long after it was given.  A value that is no rate changes nothing.
        """
        run = record.run_key()
        if stated.unreadable:
            self.log_unreadable(record, stated.unreadable)
            return
        known = self.known.get(run)
        if stated.per_s is None and (known is None or sent_at_s <= known.at_s):
            return
        before = known.per_s if known else None
        at_s = sent_at_s if stated.per_s is None else time.monotonic()
        news = LimitNews(run, stated.per_s, at_s)
        self.record_news(news, "answer")
        if stated.per_s != before:
            for listener in self.listeners:
                listener(news)

    def record_news(self, news: LimitNews, origin: str) -> bool:
        """Record a limit that ``origin`` has stated or lifted; return whether it was newer."""
        known = self.known.get(news.run)
        if known is not None and news.at_s <= known.at_s:
            return False
        if known is None and len(self.known) >= LIMITS_MAX:
            decision("limit_dropped", upstream=news.run[0], known=len(self.known))
            return False
        before = known.per_s if known else None
        if known is None:
            known = self.known[news.run] = KnownLimit(news.per_s, news.at_s)
        known.per_s, known.at_s = news.per_s, news.at_s
        if news.per_s is None:
            known.bucket = None
        if news.per_s != before:
            self.log_change(news, before, origin)
        return True

    def log_change(self, news: LimitNews, before: float | None, origin: str) -> None:
        """Log a new or lifted limit, and now and then one that has changed."""
        LIMITED_UPSTREAMS.set(len(self.limited()))
        known, now_s = self.known[news.run], time.monotonic()
        is_begin_or_end = before is None or news.per_s is None
        if not is_begin_or_end and now_s - known.logged_at_s < LOG_INTERVAL_S:
            return
        known.logged_at_s = now_s
        decision(
            "upstream_limit",
            upstream=news.run[0],
            per_s=news.per_s,
            before_per_s=before,
            age_s=round(now_s - news.at_s, 3),
            source=origin,
        )

    def log_unreadable(self, record: StatingUpstream, text: str) -> None:
        """Log a value that is no rate, now and then."""
        run, now_s = record.run_key(), time.monotonic()
        if now_s - self.unreadable_logged_at_s.get(run, float("-inf")) >= LOG_INTERVAL_S:
            self.unreadable_logged_at_s[run] = now_s
            decision("upstream_limit_ignored", upstream=record.id, value=text)

    def limited(self) -> set[str]:
        """Return the names of the upstreams that state a limit."""
        return {run[0] for run, found in self.known.items() if found.per_s is not None}

    def is_limited(self, record: StatingUpstream) -> bool:
        """Return whether the upstream states a limit."""
        known = self.known.get(record.run_key())
        return known is not None and known.per_s is not None

    def bucket(self, record: StatingUpstream) -> TokenBucket | None:
        """Return the bucket of this entry's share of the limit; None where there is none."""
        known = self.known.get(record.run_key()) if self.known else None
        if known is None or known.per_s is None:
            return None
        now_s = time.monotonic()
        share = self.shares.share(record.service)
        rate_per_s = max(TRIAL_PER_S, known.per_s) * share
        burst = (BURST_MIN + BURST_S * known.per_s) * share
        if known.bucket is None:
            phase = self.shares.phase(record.id)
            known.bucket = TokenBucket(rate_per_s, burst, phase, now_s)
        known.bucket.set_rate(rate_per_s, burst, now_s)
        return known.bucket

    def allows(self, record: StatingUpstream) -> bool:
        """Return whether the upstream may get a request from this entry now."""
        bucket = self.bucket(record)
        return bucket is None or bucket.has_token(time.monotonic())

    def take(self, record: StatingUpstream) -> None:
        """Count a request that is sent to the upstream."""
        bucket = self.bucket(record)
        if bucket is not None:
            bucket.take(time.monotonic())

    def give_back(self, record: StatingUpstream) -> None:
        """Count a request as not sent, because there was no connection to the upstream."""
        bucket = self.bucket(record)
        if bucket is not None:
            bucket.give_back()

    def rate_per_s(self, record: StatingUpstream) -> float | None:
        """Return the requests per second that this entry may send; None for no limit."""
        bucket = self.bucket(record)
        return None if bucket is None else bucket.rate_per_s

    def capacity(self, records: Sequence[StatingUpstream]) -> LimitedCapacity | None:
        """Return what the limits of all these upstreams together allow this entry to send.

        None where one of them has no limit, or there is none.
        """
        buckets = [self.bucket(record) for record in records]
        limited = [bucket for bucket in buckets if bucket is not None]
        if not buckets or len(limited) < len(buckets):
            return None
        now_s = time.monotonic()
        return LimitedCapacity(
            sum(bucket.rate_per_s for bucket in limited),
            min(bucket.wait_s(now_s) for bucket in limited),
        )

    def retain(self, runs: set[RunKey]) -> None:
        """Drop what is known of runs that have no record, some time after it was stated."""
        oldest_s = time.monotonic() - FORGOTTEN_S
        for run in [run for run in self.known if run not in runs]:
            if self.known[run].at_s < oldest_s:
                del self.known[run]
        for run in [run for run in self.unreadable_logged_at_s if run not in runs]:
            del self.unreadable_logged_at_s[run]
        LIMITED_UPSTREAMS.set(len(self.limited()))
