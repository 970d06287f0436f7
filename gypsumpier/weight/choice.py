"""Selection of the next chunk: rarest first, ties at random, from the least busy holder."""

from collections.abc import Mapping, Sequence, Set
from random import Random
from typing import NamedTuple


class Choice(NamedTuple):
    """A chunk and the peer to request it from."""

    chunk: int
    peer: str


def choose(
    offers: Mapping[str, Set[int]],
    busy: Mapping[str, int],
    counts: Sequence[int],
    random: Random,
) -> Choice | None:
    """Return the next chunk to request, or None where no peer offers a wanted chunk.

    ``offers`` holds the wanted chunks by peer, ``busy`` the number of open requests to each peer
    and ``counts`` the number of peers that hold each chunk.
    """
    offered = set().union(*offers.values())
    if not offered:
        return None
    fewest = min(counts[index] for index in offered)
    index = random.choice(sorted(index for index in offered if counts[index] == fewest))
    holders = [peer for peer, chunks in offers.items() if index in chunks]
    least = min(busy[peer] for peer in holders)
    return Choice(index, random.choice(sorted(p for p in holders if busy[p] == least)))
