"""Which instance is at the other end of a session."""

from typing import NamedTuple

from gypsumpier.external.membership import Member
from gypsumpier.options import Options


class Identity(NamedTuple):
    """The peer as the member list or its own introduction names it."""

    name: str
    role: str


def own_member(options: Options, leaving: bool = False) -> Member:
    """Return this instance as a member."""
    return Member(
        name=options.name,
        incarnation=options.incarnation,
        role=options.role,
        service=options.service,
        region=options.region,
        zone=options.zone,
        host=options.host,
        port=options.port,
        bulk_port=options.bulk_port,
        leaving=leaving,
    )
