"""What upstreams that have asked entries for a rest may get, for tests."""

from typing import Final

from gypsumpier.test.standin.crashingengine import CrashingEngine

UNDER_WAY_S: Final = 0.5
"""Seconds after an upstream has asked for a rest in which requests may still reach it."""
REQUESTS_MAX: Final = 2
"""Requests of one entry that may reach an upstream in the rest of the time."""


def most_in_rest(engine: CrashingEngine, entry_of: dict[str, str]) -> int:
    """Return the most requests that reached the engine from an entry within one of its rests.

    ``entry_of`` holds the entry to which each request was sent.
    """
    most = 0
    for turned_away in engine.turned_away:
        if turned_away.retry_after is None:
            continue
        from_s = turned_away.at_s + UNDER_WAY_S
        until_s = turned_away.at_s + float(turned_away.retry_after)
        entry = entry_of.get(turned_away.request_id)
        reached = [
            arrival
            for arrival in engine.arrivals
            if from_s <= arrival.at_s <= until_s and entry_of.get(arrival.request_id) == entry
        ]
        most = max(most, len(reached))
    return most
