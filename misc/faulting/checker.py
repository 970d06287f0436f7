"""Compares the outcomes reported to callers with the runs that the upstreams counted."""

from collections import Counter, defaultdict
from typing import Final, TypedDict

from misc.faulting.actions import Window
from misc.faulting.sending import CUT, DONE, NOT_RUN, REFUSED_CONNECTION, UNKNOWN, Copy

ABRUPT_MARGIN_S: Final = 3.0
"""Seconds after an abrupt fault in which a lost outcome is still attributed to it."""


class Counts(TypedDict):
    """How often each key and each body was run, summed over all upstreams."""

    keys: dict[str, int]
    bodies: dict[str, int]


class Report(TypedDict):
    """The result of a test run; the five fields from ``ran_twice`` on must be 0."""

    seed: int
    requests: int
    done: int
    not_run: int
    unknown: int
    ran_twice: int
    false_not_run: int
    wrong_or_partial_answers: int
    cut_by_graceful_stop: int
    work_after_leaving: int
    errors_by_code: dict[str, int]


def check(
    seed: int, copies: list[Copy], counts: Counts, windows: list[Window], work_after_leaving: int
) -> Report:
    """Return the report of a test run."""
    copies = [copy for copy in copies if copy.told != REFUSED_CONNECTION]
    by_request = copies_by_request(copies)
    outcomes = Counter(UNKNOWN if copy.told == CUT else copy.told for copy in copies)
    codes = Counter(copy.code for copy in copies if copy.code)
    return Report(
        seed=seed,
        requests=len(copies),
        done=outcomes[DONE],
        not_run=outcomes[NOT_RUN],
        unknown=outcomes[UNKNOWN],
        ran_twice=sum(run_count(group, counts) > 1 for group in by_request.values()),
        false_not_run=sum(is_false_not_run(group, counts) for group in by_request.values()),
        wrong_or_partial_answers=sum(is_wrong_answer(copy, counts) for copy in copies),
        cut_by_graceful_stop=len(cut_copies(copies, windows)),
        work_after_leaving=work_after_leaving,
        errors_by_code=dict(sorted(codes.items())),
    )


def copies_by_request(copies: list[Copy]) -> dict[str, list[Copy]]:
    """Return the copies of each request that must not run twice, by key or body digest."""
    groups: dict[str, list[Copy]] = defaultdict(list)
    for copy in copies:
        if copy.kind != "chat":
            groups[copy.key or copy.body_digest].append(copy)
    return groups


def run_count(copies: list[Copy], counts: Counts) -> int:
    """Return how often the request that these are copies of was run."""
    copy = copies[0]
    if copy.key:
        return counts["keys"].get(copy.key, 0)
    return counts["bodies"].get(copy.body_digest, 0)


def is_false_not_run(copies: list[Copy], counts: Counts) -> bool:
    """Return whether *not run* was reported for a request that an earlier copy had run.

    A request with a copy sent after the last *not run* doesn't count, as that copy may have run.
    """
    refused = [copy for copy in copies if copy.told == NOT_RUN]
    if not refused or not run_count(copies, counts):
        return False
    last_refused_s = max(copy.ended_at_s for copy in refused)
    return not any(copy.sent_at_s >= last_refused_s for copy in copies)


def is_wrong_answer(copy: Copy, counts: Counts) -> bool:
    """Return whether an answer is partial, to another request, or to one that never ran."""
    if copy.told != DONE:
        return False
    return bool(copy.wrong) or (copy.kind != "chat" and not run_count([copy], counts))


def cut_copies(copies: list[Copy], windows: list[Window]) -> list[Copy]:
    """Return the copies without an answer in flight during a planned stop and no other fault.

    Once the outcome of a key is unknown, later copies of it get the same error at once.  They
    count if the copy whose outcome became unknown first counts.
    """
    first_by_key = first_unknown(copies)
    abrupt = [window for window in windows if not window.graceful]
    graceful = [window for window in windows if window.graceful]
    return [
        copy
        for copy in copies
        if copy.told in (CUT, UNKNOWN)
        and copy.code not in ("caller_timeout", "home_recovering", "home_unreachable")
        and any(
            overlaps(first_affected_copy(copy, first_by_key), window, 0.0) for window in graceful
        )
        and not any(
            overlaps(first_affected_copy(copy, first_by_key), window, ABRUPT_MARGIN_S)
            for window in abrupt
        )
    ]


def first_unknown(copies: list[Copy]) -> dict[str, Copy]:
    """Return, by key, the first copy that ended without a known outcome."""
    first_by_key: dict[str, Copy] = {}
    for copy in sorted(copies, key=lambda candidate: candidate.ended_at_s):
        if copy.key and copy.told in (CUT, UNKNOWN) and copy.code != "caller_timeout":
            first_by_key.setdefault(copy.key, copy)
    return first_by_key


def first_affected_copy(copy: Copy, first_by_key: dict[str, Copy]) -> Copy:
    """Return the copy whose outcome this one reports: itself or an earlier one of its key."""
    first = first_by_key.get(copy.key, copy)
    is_repeated_outcome = copy.code == "key_outcome_unknown" and first.ended_at_s <= copy.sent_at_s
    return first if is_repeated_outcome else copy


def overlaps(copy: Copy, window: Window, margin_s: float) -> bool:
    """Return whether the copy was in flight in the window, extended by the margin."""
    return copy.sent_at_s < window.ended_at_s + margin_s and copy.ended_at_s > window.began_at_s
