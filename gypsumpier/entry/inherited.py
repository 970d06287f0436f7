"""Records of lost entries whose keys another entry has taken over."""

from typing import NamedTuple

from gypsumpier.idempotency.recovery import EntryId


class Inherited(NamedTuple):
    """A lost entry whose keys this entry holds, and for which scope they are complete.

    ``scope`` is a service if the lost entry itself handed over all keys of that service.
    Otherwise it is the incarnation of an agent, which vouches for all keys sent to its slot while
    the document of that ``revision`` was in force.  An agent's vouching is valid only for the next
    process in the slot, because the lost entry may have sent keys to that process as well.
    """

    scope: str
    entry: EntryId
    revision: int | None
