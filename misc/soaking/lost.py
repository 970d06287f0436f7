"""Finds requests that ended without an answer although no fault on their way explains it."""

from collections import defaultdict
from typing import Final

from gypsumpier.test.builders_platform import BOUNDS, ENGINES, PLAIN
from gypsumpier.test.standin.platform import Run
from misc.faulting.actions import Window
from misc.soaking.connection import CUT, TIMED_OUT
from misc.soaking.facts import MARGIN_S, STABLE_S, Facts
from misc.soaking.load import REPORT, TIME_LIMITS_S, Sent
from misc.soaking.starvation import SELF

LOSS_SLACK_S: Final = 0.2
"""Seconds after its last byte in which a request may cross a close, as on the platform."""
ENTRY_FAULTS: Final = frozenset({"kill", "freeze"})
UPSTREAM_FAULTS: Final = frozenset(
    {"crash_engine", "cut_upstream", "silence_upstream", "slow_upstream"}
)
OUTCOME_UNKNOWN: Final = 502
"""Status by which an entry says that a request may have run and its answer won't come."""
EARLY_IN_STOP_S: Final = 3.0
LAST_SHARE_OF_STOP: Final = 1 / 6
"""A request that was sent early in a stop and still runs in this last share of it may be cut."""


def lost(facts: Facts) -> list[str]:
    """Return requests that ended without a whole answer and without a fault that explains it.

    They were sent whole, and reached an upstream or had time to be read.  A fault explains the end
    of a request only if it was on its entry or on an upstream that it reached or wanted.
    """
    return [
        f"{sent.request_id} at {sent.entry} status {sent.status}, {len(runs)} runs"
        f" ({', '.join(run.upstream for run in runs)}), sent whole"
        f" {sent.whole_at_s - sent.sent_at_s:.2f} s and ended"
        f" {sent.ended_at_s - sent.sent_at_s:.2f} s after its head{during(facts, sent)}"
        for sent, runs in with_runs(facts)
        if is_without_answer(facts, sent, runs)
        and not is_explained(facts, sent, runs)
        and not ran_out_of_stop(facts, sent, runs)
        and not (sent.status == TIMED_OUT and is_starved(facts, sent))
    ]


def unexplained_failures(facts: Facts) -> list[str]:
    """Return requests that their entry gave up without a fault on their way or a stop."""
    return [
        f"{sent.request_id} at {sent.entry}, runs at [{', '.join(run.upstream for run in runs)}],"
        f" ended {sent.ended_at_s - sent.sent_at_s:.2f} s after its head{during(facts, sent)}"
        for sent, runs in with_runs(facts)
        if sent.status == OUTCOME_UNKNOWN
        and not is_explained(facts, sent, runs)
        and not is_in_stop(facts, sent)
    ]


def with_runs(facts: Facts) -> list[tuple[Sent, list[Run]]]:
    """Return each request with its runs."""
    runs_by_id = defaultdict(list)
    for run in facts.runs:
        runs_by_id[run.request_id].append(run)
    return [(sent, runs_by_id[sent.request_id]) for sent in facts.sent]


def is_explained(facts: Facts, sent: Sent, runs: list[Run]) -> bool:
    """Return whether a fault on its entry or on an upstream explains the end of a request."""
    return is_explained_by_entry(facts, sent) or is_explained_by_upstream(facts, sent, runs)


def is_in_stop(facts: Facts, sent: Sent) -> bool:
    """Return whether the entry was stopping, and might answer for what it can't finish."""
    return any(
        window.name == "stop" and window.target == sent.entry
        for window in facts.windows
        if overlaps(window, sent.sent_at_s, sent.ended_at_s)
    )


def is_without_answer(facts: Facts, sent: Sent, runs: list[Run]) -> bool:
    """Return whether a request was taken up and ended within its time without a whole answer."""
    is_cut = sent.status == CUT and sent.ended_at_s < sent.sent_at_s + TIME_LIMITS_S[sent.kind]
    if sent.whole_at_s == float("inf") or not (is_cut or sent.status == TIMED_OUT):
        return False
    crossed_until_s = sent.whole_at_s + LOSS_SLACK_S + waited_s(facts, sent)
    return bool(runs) or sent.ended_at_s > crossed_until_s


def is_explained_by_entry(facts: Facts, sent: Sent) -> bool:
    """Return whether the entry was killed or frozen from STABLE_S before the request to its end."""
    return any(
        window.name == "kill_all" or (window.name in ENTRY_FAULTS and window.target == sent.entry)
        for window in facts.windows
        if overlaps(window, sent.sent_at_s - STABLE_S, sent.ended_at_s + MARGIN_S)
    )


def is_explained_by_upstream(facts: Facts, sent: Sent, runs: list[Run]) -> bool:
    """Return whether an upstream answered wrongly, or a fault was on one that the request used.

    Those of the service count where the request has not run: its upstream is not known.
    """
    if any(run.action != "ok" for run in runs):
        return True
    service = ENGINES if sent.kind == REPORT else PLAIN
    began_at_s = min((run.at_s for run in runs), default=sent.sent_at_s)
    used = {run.upstream for run in runs}
    return any(
        window.target in used or (not used and service.startswith(window.target.split("-")[0]))
        for window in facts.windows
        if window.name in UPSTREAM_FAULTS
        and overlaps(window, began_at_s - MARGIN_S, sent.ended_at_s + MARGIN_S)
    )


def is_starved(facts: Facts, sent: Sent) -> bool:
    """Return whether the machine kept the caller or the entry from running meanwhile."""
    return any(
        window.target in (SELF, sent.entry)
        for window in facts.windows
        if window.name == "starved" and overlaps(window, sent.sent_at_s, sent.ended_at_s)
    )


def waited_s(facts: Facts, sent: Sent) -> float:
    """Return for how long the machine kept the caller or the entry from running at its end.

    The entry reads the last byte, and the caller notices the close, that much later.
    """
    return sum(
        wait.within_s(sent.whole_at_s, sent.ended_at_s)
        for wait in facts.waits
        if wait.target in (SELF, sent.entry)
    )


def ran_out_of_stop(facts: Facts, sent: Sent, runs: list[Run]) -> bool:
    """Return whether a request sent early in a stop of its entry still ran in the last part."""
    last_s = BOUNDS.stop_s * (1 - LAST_SHARE_OF_STOP)
    return bool(runs) and any(
        sent.whole_at_s <= window.began_at_s + EARLY_IN_STOP_S
        and window.began_at_s + last_s <= sent.ended_at_s <= window.ended_at_s + MARGIN_S
        for window in facts.windows
        if window.name == "stop" and window.target == sent.entry
    )


def overlaps(window: Window, from_s: float, to_s: float) -> bool:
    """Return whether a fault was in effect at some time between these."""
    return window.began_at_s < to_s and window.ended_at_s > from_s


def during(facts: Facts, sent: Sent) -> str:
    """Return the faults and changes beside a request, for the report."""
    found = [
        f"{window.name} {window.target} {sent.ended_at_s - window.began_at_s:.2f} s before its end"
        for window in facts.windows
        if overlaps(window, sent.sent_at_s, sent.ended_at_s)
    ]
    return "".join(f"; {text}" for text in found)
