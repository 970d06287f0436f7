"""The loads that other entries report, with their sums kept as reports arrive and expire."""

import time
from dataclasses import dataclass, field
from typing import Final, NamedTuple


class Load(NamedTuple):
    """Requests in flight at one upstream, and the prompt tokens of those not answered yet."""

    in_flight: int = 0
    unread_tokens: int = 0


NO_LOAD: Final = Load()


@dataclass
class PeerLoad:
    """The load that another entry puts on each upstream, as of ``at_s`` in monotonic seconds.

    ``waiting`` is the number of its queued requests by service.
    """

    loads: dict[str, Load] = field(default_factory=dict)
    at_s: float = 0.0
    waiting: dict[str, int] = field(default_factory=dict)


class Unread(NamedTuple):
    """Prompt tokens that had not been read at ``at_s``, in monotonic seconds."""

    tokens: int
    at_s: float


class PeerLoads:
    """The newest report of each entry, or of each other zone as a sum.

    ``in_flight`` and ``waiting`` are sums over all reports, by upstream and by service, so the cost
    of a look at an upstream does not grow with the number of entries.  ``unread`` holds the prompts
    that may not have been read yet, by upstream and reporter: a few at a time.
    """

    def __init__(self) -> None:
        self.reports: dict[str, PeerLoad] = {}
        self.in_flight: dict[str, int] = {}
        self.waiting: dict[str, int] = {}
        self.unread: dict[str, dict[str, Unread]] = {}

    def record(
        self, reporter: str, loads: dict[str, Load], waiting: dict[str, int], age_s: float = 0.0
    ) -> bool:
        """Replace what an entry or a zone has reported ``age_s`` seconds ago, if that is newer.

        Returns whether it is.
        """
        at_s = time.monotonic() - age_s
        known = self.reports.get(reporter)
        if known is not None and known.at_s > at_s:
            return False
        self.drop(reporter)
        self.reports[reporter] = PeerLoad(loads, at_s, waiting)
        for upstream, load in loads.items():
            add(self.in_flight, upstream, load.in_flight)
            if load.unread_tokens:
                reported = self.unread.setdefault(upstream, {})
                reported[reporter] = Unread(load.unread_tokens, at_s)
        for service, count in waiting.items():
            add(self.waiting, service, count)
        return True

    def drop(self, reporter: str) -> None:
        """Drop what an entry or a zone has reported."""
        report = self.reports.pop(reporter, None)
        if report is None:
            return
        for upstream, load in report.loads.items():
            add(self.in_flight, upstream, -load.in_flight)
            self.drop_unread(upstream, reporter)
        for service, count in report.waiting.items():
            add(self.waiting, service, -count)

    def drop_unread(self, upstream: str, reporter: str) -> None:
        """Drop the prompts that a reporter stated for an upstream, if it did."""
        reported = self.unread.get(upstream, {})
        reported.pop(reporter, None)
        if not reported:
            self.unread.pop(upstream, None)

    def drop_before(self, oldest_s: float) -> None:
        """Drop the reports from before that time, in monotonic seconds."""
        for reporter in [name for name, load in self.reports.items() if load.at_s <= oldest_s]:
            self.drop(reporter)

    def clear(self) -> None:
        """Drop every report."""
        for reporter in list(self.reports):
            self.drop(reporter)

    def unread_s(self, upstream: str, tokens_per_s: float) -> float:
        """Return the seconds until an upstream that reads so fast has read the reported prompts.

        What each reporter stated decreases with the time since then.
        """
        now_s = time.monotonic()
        unread_s = 0.0
        for reporter, (tokens, at_s) in list(self.unread.get(upstream, {}).items()):
            left_s = tokens / tokens_per_s - (now_s - at_s)
            if left_s > 0:
                unread_s += left_s
            else:
                self.drop_unread(upstream, reporter)
        return unread_s


def add(sums: dict[str, int], name: str, amount: int) -> None:
    """Add to the sum of that name; drop it at 0."""
    total = sums.get(name, 0) + amount
    if total:
        sums[name] = total
    else:
        sums.pop(name, None)
