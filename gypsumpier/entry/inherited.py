"""Whose keys an entry holds for another one."""

from typing import NamedTuple

from gypsumpier.idempotency.recovery import EntryId


class Inherited(NamedTuple):
    """A lost entry whose keys this entry holds.

    The ``scope`` is a service, for all keys of it, which the entry left itself.  Or it is an
    incarnation of an agent, which vouches for the keys sent to its slot, while the document
    of the ``revision`` was in force.  That holds for the next process in the slot only, because the
    lost entry may have sent keys to that one as well.
    """

    scope: str
    entry: EntryId
    revision: int | None
