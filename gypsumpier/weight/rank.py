"""Rendezvous hashing: all processes that know the same names rank them equally for a key."""

from collections.abc import Iterable

from blake3 import blake3


def score(key: str, name: str) -> bytes:
    """Return the score of a name for a key; the lowest ranks first."""
    return blake3(f"{key}\0{name}".encode()).digest(8)


def ranked(key: str, names: Iterable[str]) -> list[str]:
    """Return the names, best rank first."""
    return sorted(names, key=lambda name: (score(key, name), name))


def slot_ranks(key: str, names: list[str], slots: int) -> list[list[str]]:
    """Return the names in rank order for each slot.

    The best-ranked names of the slots differ if there are enough names, so that the load is even.
    A change of the names reassigns few slots.
    """
    assigned: set[str] = set()
    result = []
    for slot in range(slots):
        order = ranked(f"{key}/{slot}", names)
        first = next((name for name in order if name not in assigned), None)
        if first is None:
            assigned.clear()
            first = order[0]
        assigned.add(first)
        order.remove(first)
        result.append([first, *order])
    return result
