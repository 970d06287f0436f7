"""Compares the answers to callers with the runs at upstreams and the changes at the platform."""

from collections import Counter
from typing import Final

from gypsumpier.test.builders_platform import BOUNDS
from misc.soaking.connection import CUT, NOT_CONNECTED
from misc.soaking.facts import MARGIN_S, Facts, is_free_of_abrupt_faults
from misc.soaking.load import COMMAND, PROBE, UPLOAD
from misc.soaking.lost import lost, unexplained_failures

EVACUATED_S: Final = 5.0
"""Seconds after the store has acknowledged an evacuation from which no request may reach the zone.
"""
ONCE_KINDS: Final = frozenset({COMMAND, UPLOAD})
"""Kinds of request that may run at most once."""
NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})
STOP_MARGIN_S: Final = 1.0
"""Seconds around a graceful stop in which the end of a request is attributed to it."""


Violations = dict[str, list[str]]
"""The violations of each guarantee; the list of one that held is empty."""


def check(facts: Facts) -> Violations:
    """Return the violations of each guarantee."""
    ran = Counter(run.request_id for run in facts.runs)
    return {
        "ran_twice": [
            sent.request_id
            for sent in facts.sent
            if sent.kind in ONCE_KINDS and ran[sent.request_id] > 1
        ],
        "false_not_run": [
            f"{sent.request_id} status {sent.status}"
            for sent in facts.sent
            if sent.kind in ONCE_KINDS and sent.status in NOT_RUN_STATUSES and ran[sent.request_id]
        ],
        "wrong_answers": [f"{sent.request_id}: {sent.wrong}" for sent in facts.sent if sent.wrong],
        "revoked_key_ran": revoked_key_ran(facts),
        "ran_after_drain": ran_after_drain(facts),
        "ran_in_evacuated_zone": ran_in_evacuated_zone(facts),
        "old_version_ran": old_version_ran(facts),
        "partial_loads": ["an engine got an order without all valid pieces"] * facts.partial_loads,
        "configuration_went_back": configuration_went_back(facts),
        "configuration_late": configuration_late(facts),
        "lost": lost(facts),
        "unexplained_failures": unexplained_failures(facts),
        "cut_by_graceful_stop": cut_by_graceful_stop(facts, ran),
        "stop_too_slow": ["a process did not stop within its bound and was killed"]
        * facts.killed_at_stop,
    }


def revoked_key_ran(facts: Facts) -> list[str]:
    """Return requests that ran with a key revoked longer ago than the bound, even under faults."""
    sent_by_id = {sent.request_id: sent for sent in facts.sent}
    bound_s = BOUNDS.key_revoked_s + MARGIN_S
    violations = []
    for run in facts.runs:
        sent = sent_by_id.get(run.request_id)
        if sent is None or sent.key not in facts.revoked_at_s:
            continue
        late_s = sent.sent_at_s - facts.revoked_at_s[sent.key]
        if late_s > bound_s:
            violations.append(f"{run.request_id} sent {late_s:.2f} s after its key was revoked")
    return violations


def ran_after_drain(facts: Facts) -> list[str]:
    """Return runs at upstreams that had been draining for longer than the bound."""
    bound_s = BOUNDS.upstream_drain_s + MARGIN_S
    return [
        f"{run.request_id} at {run.upstream} {run.at_s - drained_at_s:.2f} s after its drain began"
        for run in facts.runs
        if (drained_at_s := facts.draining_at_s.get(run.upstream, float("inf")))
        < run.at_s - bound_s
        and is_free_of_abrupt_faults(facts, drained_at_s, run.at_s)
    ]


def ran_in_evacuated_zone(facts: Facts) -> list[str]:
    """Return runs at upstreams of a zone that was evacuated longer ago than the bound."""
    return [
        f"{run.request_id} at {run.upstream} {run.at_s - found.began_at_s:.2f} s after {found.zone}"
        " was evacuated"
        for found in facts.evacuations
        for run in facts.runs
        if run.upstream in found.upstreams
        and found.began_at_s + EVACUATED_S + MARGIN_S < run.at_s < found.ended_at_s
        and is_free_of_abrupt_faults(facts, found.began_at_s, run.at_s)
    ]


def old_version_ran(facts: Facts) -> list[str]:
    """Return runs on a version of weights that was to be replaced within the bound."""
    bound_s = BOUNDS.version_in_force_s + MARGIN_S
    violations = []
    for run in facts.runs:
        due = [
            (version, at_s)
            for version, at_s in facts.named_at_s.items()
            if version > run.version > 0 and at_s < run.at_s - bound_s
        ]
        # One version named under faults doesn't excuse another one that was named without.
        for version, at_s in due:
            if is_free_of_abrupt_faults(facts, at_s, run.at_s):
                late_s = run.at_s - at_s
                text = (
                    f"{run.request_id} on {run.version}, {late_s:.2f} s after {version} was named"
                )
                violations.append(text)
                break
    return violations


def configuration_went_back(facts: Facts) -> list[str]:
    """Return probes refused although the same process had served that version or a newer one."""
    served: dict[tuple[str, int], list[tuple[int, float]]] = {}
    for sent in facts.sent:
        if sent.kind == PROBE and sent.status == 200:
            served.setdefault((sent.entry, sent.run), []).append(
                (sent.probed_version, sent.ended_at_s)
            )
    return [
        f"{sent.request_id} at {sent.entry}: no route of configuration {sent.probed_version}"
        for sent in facts.sent
        if sent.kind == PROBE
        and sent.status == 404
        and any(
            version >= sent.probed_version and at_s + MARGIN_S < sent.sent_at_s
            for version, at_s in served.get((sent.entry, sent.run), [])
        )
    ]


def configuration_late(facts: Facts) -> list[str]:
    """Return probes refused for a route that was to be in force within the bound."""
    bound_s = BOUNDS.configuration_in_force_s + MARGIN_S
    return [
        f"{sent.request_id} at {sent.entry}: no route of configuration {sent.probed_version}"
        for sent in facts.sent
        if sent.kind == PROBE
        and sent.status == 404
        and sent.sent_at_s > (written_at_s := facts.configured_at_s[sent.probed_version]) + bound_s
        and is_free_of_abrupt_faults(facts, written_at_s, sent.ended_at_s)
    ]


def cut_by_graceful_stop(facts: Facts, ran: Counter[str]) -> list[str]:
    """Return requests that ran and were cut by an entry's graceful stop, without other faults."""
    stops = [window for window in facts.windows if window.name == "stop"]
    return [
        f"{sent.request_id} at {sent.entry}"
        for sent in facts.sent
        if sent.status in (CUT, NOT_CONNECTED)
        and ran[sent.request_id]
        and is_free_of_abrupt_faults(facts, sent.sent_at_s, sent.ended_at_s)
        and any(
            window.target == sent.entry
            and window.began_at_s - STOP_MARGIN_S
            < sent.ended_at_s
            < window.ended_at_s + STOP_MARGIN_S
            for window in stops
        )
    ]
